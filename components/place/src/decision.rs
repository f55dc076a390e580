//! What is asked of the placement and what it answers.

use kernel::{Resources, ServiceName, TaskClass, TaskRun, TeamName, Time, Urgency, VmName};
use serde::{Deserialize, Serialize};

/// A task attempt that waits for a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The attempt to be bound.
    pub run: TaskRun,
    /// The team that pays.
    pub team: TeamName,
    /// Whether callers wait on it.
    pub class: TaskClass,
    /// How soon it must start.
    pub urgency: Urgency,
    /// What it reserves.
    pub need: Resources,
    /// The service that it is a replica of.
    pub service: Option<ServiceName>,
    /// VMs where it failed before.
    pub avoid: Vec<VmName>,
    /// When it has to be finished, if it matters.
    pub finish_by: Option<Time>,
    /// Teams above their share whose batch tasks may be evicted for it. The
    /// queue fills this in when the task's team starves below its share;
    /// whoever pushes the task leaves it empty.
    #[serde(default)]
    pub payers: Vec<TeamName>,
}

impl PlacementRequest {
    /// Whether normal batch tasks of any team may be evicted for it.
    #[must_use]
    pub fn is_high_priority(&self) -> bool {
        self.urgency == Urgency::Urgent || self.class == TaskClass::LatencyCritical
    }
}

/// UnplacedReason a task is not bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnplacedReason {
    /// No worker takes new work.
    NoWorker,
    /// No worker that takes new work has room now.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// Room is being made by evicting others.
    Evicting,
    /// It fits only on workers where it failed before.
    Avoided,
    /// It fits only on workers whose room is kept for tasks with accelerators.
    AcceleratorsKept,
    /// No worker is large enough even when empty.
    TooLarge,
}

impl UnplacedReason {
    /// The reason in words for an operator.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoWorker => "no worker takes new work",
            Self::NoCapacity => "no worker has room now",
            Self::Evicting => "room is being made by evicting batch tasks",
            Self::Avoided => "it fits only on workers where it failed before",
            Self::AcceleratorsKept => {
                "the room left is kept for tasks that need the accelerators beside it"
            }
            Self::TooLarge => "no worker is large enough; lower the need of the job",
        }
    }
}

/// Where a task goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Bind it to this VM's worker.
    Bind(VmName),
    /// Evict the victims and ask again once they have stopped; the room is kept
    /// for the task meanwhile.
    Evict {
        /// Where the room is made.
        vm: VmName,
        /// Whose work is stopped, all batch.
        victims: Vec<TaskRun>,
    },
    /// Ask again later.
    Wait(UnplacedReason),
    /// It can't run on this fleet.
    #[serde(rename = "never")]
    Reject(UnplacedReason),
}
