//! Input and result of a placement decision.

use kernel::{Resources, ServiceName, TaskClass, TaskRun, TeamName, Time, Urgency, VmName};
use serde::{Deserialize, Serialize};

/// A task attempt that waits to be placed on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The attempt to bind.
    pub run: TaskRun,
    /// The team whose quota and share are charged.
    pub team: TeamName,
    /// Whether callers wait for the task.
    pub class: TaskClass,
    /// How soon the task must start.
    pub urgency: Urgency,
    /// The resources to reserve on the worker.
    pub need: Resources,
    /// The service that the task is a replica of; `None` if it is no replica.
    pub service: Option<ServiceName>,
    /// VMs on which earlier attempts failed; the filter `avoid` rejects them.
    pub avoid: Vec<VmName>,
    /// Deadline of the job; `None` if it has none.
    pub finish_by: Option<Time>,
    /// Teams above their fair share whose batch tasks may be evicted for this
    /// task. [`crate::Queue::next`] sets them when the task has waited too long
    /// while its team is below its share; [`crate::Queue::push`] clears them.
    #[serde(default)]
    pub payers: Vec<TeamName>,
}

impl PlacementRequest {
    /// Whether the task is urgent or latency-critical, so that normal batch
    /// tasks of any team may be evicted for it.
    #[must_use]
    pub fn is_high_priority(&self) -> bool {
        self.urgency == Urgency::Urgent || self.class == TaskClass::LatencyCritical
    }
}

/// The reason why a task is not bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnplacedReason {
    /// No worker accepts new tasks.
    NoWorker,
    /// No worker that accepts new tasks has enough free capacity now.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// Batch tasks are being evicted to free capacity for the task.
    Evicting,
    /// The task fits only on workers where earlier attempts failed.
    Avoided,
    /// The task fits only on workers whose free capacity is kept for tasks that
    /// need accelerators.
    AcceleratorsKept,
    /// The task exceeds the capacity of every worker.
    TooLarge,
}

impl UnplacedReason {
    /// Returns the reason as text for operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoWorker => "no worker accepts new tasks",
            Self::NoCapacity => "no worker has enough free capacity now",
            Self::Evicting => "batch tasks are being evicted to free capacity",
            Self::Avoided => "the task fits only on workers where it failed before",
            Self::AcceleratorsKept => "the free capacity is kept for tasks that need accelerators",
            Self::TooLarge => "no worker is large enough; lower the need of the job",
        }
    }
}

/// The result of a placement decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Bind the task to the worker on this VM.
    Bind(VmName),
    /// Evict the victims and place the task again once they have stopped. The
    /// fleet keeps the freed capacity for the task until then.
    Evict {
        /// The VM on which capacity is freed.
        vm: VmName,
        /// The attempts to evict, all of them normal batch tasks.
        victims: Vec<TaskRun>,
    },
    /// No worker can take the task now; try again later.
    Wait(UnplacedReason),
    /// No worker of this fleet can ever run the task.
    #[serde(rename = "never")]
    Reject(UnplacedReason),
}
