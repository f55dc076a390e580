//! Accounting events: who got what, when, and at whose expense.
//!
//! Events travel in the journal of the cell or the summary of the entry where
//! they happened; the `report` crate folds them into sums. See
//! `docs/ACCOUNTS.md`.

use serde::{Deserialize, Serialize};

use crate::{
    AvailabilityZoneName, Resources, Revision, ServiceName, TaskRun, TeamName, Time, VmName,
};

/// Someone who gains from or pays for an event.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Party {
    /// The team, if one is known.
    pub team: Option<TeamName>,
    /// The service, if it is about requests.
    pub service: Option<ServiceName>,
    /// The attempt of a task, if it is about one.
    pub run: Option<TaskRun>,
}

/// Why something was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The ordinary course: a turn came, work ended.
    Ordinary,
    /// Urgent work needed the room.
    Urgent,
    /// A service suffered from a neighbour.
    Interference,
    /// Operators took the availability zone out.
    ZoneOut,
    /// Operators drained the VM.
    Drain,
    /// The VM fell silent and its lease ran out.
    WorkerLost,
    /// The worker fails everything it starts.
    Quarantine,
    /// The job was cancelled.
    Cancelled,
    /// The task itself failed.
    TaskFailed,
    /// The deadline would have passed, or passed.
    Deadline,
    /// A limit or queue was full.
    Overload,
    /// No endpoint could take the request.
    NoEndpoint,
    /// The endpoint failed or cut the answer off.
    EndpointFailed,
    /// The team's quota was used up.
    Quota,
    /// The store or the proof of a current configuration was missing.
    StoreDown,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A job's task was accepted.
    Accepted,
    /// A job was refused and will not run.
    Refused,
    /// A task waited from its readiness to its binding.
    Waited,
    /// A task attempt was bound to a worker.
    Bound,
    /// A task attempt ran; the amount is what it held.
    Ran,
    /// A task attempt was throttled.
    Throttled,
    /// A task attempt was evicted.
    Evicted,
    /// Work was lost and has to be done again.
    Lost,
    /// A task finished.
    Finished,
    /// A task failed for good.
    Failed,
    /// A task was cancelled.
    Cancelled,
    /// A task was handed to another cell.
    Transferred,
    /// Requests were answered whole and in time.
    RequestsGood,
    /// Requests were answered after their objective.
    RequestsLate,
    /// Requests failed.
    RequestsFailed,
    /// Requests were refused and not run.
    RequestsRefused,
    /// Requests were retried.
    RequestsRetried,
    /// Requests were hedged.
    RequestsHedged,
    /// An availability zone out of service came into force at an entry.
    ZoneOut,
    /// An availability zone back in service came into force at an entry.
    ZoneIn,
}

impl EventKind {
    /// Whether sums keep the distribution of its durations, not only their total.
    #[must_use]
    pub const fn has_tail(self) -> bool {
        matches!(
            self,
            Self::Waited | Self::RequestsGood | Self::RequestsLate | Self::RequestsFailed
        )
    }
}

/// How much an event is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Amount {
    /// How many tasks or requests.
    pub count: u64,
    /// Wall time, in milliseconds, summed over `count`.
    pub millis: u64,
    /// Processor time reserved, in thousandths of a core times milliseconds.
    pub cpu_milli_millis: u128,
    /// Memory reserved, in MiB times milliseconds.
    pub memory_mib_millis: u128,
    /// Accelerators reserved, in accelerators times milliseconds.
    pub accelerator_millis: u128,
}

impl Amount {
    /// One item that held `held` for `millis` milliseconds.
    #[must_use]
    pub fn of(held: Resources, millis: u64) -> Self {
        let span = u128::from(millis);
        Self {
            count: 1,
            millis,
            cpu_milli_millis: u128::from(held.cpu_milli) * span,
            memory_mib_millis: u128::from(held.memory_mib) * span,
            accelerator_millis: u128::from(held.accelerators) * span,
        }
    }

    /// `count` items without any resources.
    #[must_use]
    pub fn count(count: u64) -> Self {
        Self {
            count,
            ..Self::default()
        }
    }

    /// The sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            count: self.count + other.count,
            millis: self.millis + other.millis,
            cpu_milli_millis: self.cpu_milli_millis + other.cpu_milli_millis,
            memory_mib_millis: self.memory_mib_millis + other.memory_mib_millis,
            accelerator_millis: self.accelerator_millis + other.accelerator_millis,
        }
    }
}

/// One entry of the accounts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened, or when the span it is about ended.
    pub at: Time,
    /// What happened.
    pub kind: EventKind,
    /// Why.
    pub cause: Cause,
    /// Who gained from it.
    #[serde(default)]
    pub beneficiary: Party,
    /// At whose expense.
    #[serde(default)]
    pub payer: Party,
    /// Where, if on one VM.
    #[serde(default)]
    pub vm: Option<VmName>,
    /// The availability zone of `vm`.
    #[serde(default)]
    pub zone: Option<AvailabilityZoneName>,
    /// The revision of the configuration in force.
    #[serde(default)]
    pub revision: Revision,
    /// How much.
    #[serde(default)]
    pub amount: Amount,
}
