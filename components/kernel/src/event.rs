//! Accounting events: who received resources or service, and who went without
//! them or waited for that, when and why.
//!
//! The journal of a cell or the summary of an entry carries the events that
//! happened there; the `report` crate adds them up. See `docs/ACCOUNTS.md`.

use serde::{Deserialize, Serialize};

use crate::{
    AvailabilityZoneName, Resources, Revision, ServiceName, TaskRun, TeamName, Time, VmName,
};

/// One of the two parties of an event, see [`Event::beneficiary`] and
/// [`Event::payer`].
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Party {
    /// The team; `None` if it is unknown.
    pub team: Option<TeamName>,
    /// The service; `None` if the event is not about requests.
    pub service: Option<ServiceName>,
    /// The task attempt; `None` if the event is not about one.
    pub run: Option<TaskRun>,
}

/// The cause of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Regular operation, such as a task that is bound in queue order or that
    /// finishes.
    Ordinary,
    /// Urgent tasks needed the capacity.
    Urgent,
    /// A task slowed down a service on the same VM.
    Interference,
    /// Operators took the availability zone out of service.
    ZoneOut,
    /// Operators drained the VM.
    Drain,
    /// The VM became unresponsive and its lease expired.
    WorkerLost,
    /// The worker is quarantined because every task that it starts fails.
    Quarantine,
    /// The job was cancelled.
    Cancelled,
    /// The task failed.
    TaskFailed,
    /// The deadline passed or would have passed.
    Deadline,
    /// A limit was reached or a queue was full.
    Overload,
    /// No endpoint could take the request.
    NoEndpoint,
    /// The endpoint failed or closed the connection before the end of the
    /// response.
    EndpointFailed,
    /// The team's quota was used up, or another team below its fair share needed
    /// the capacity.
    Quota,
    /// The store or the proof of a current configuration was unavailable.
    StoreDown,
}

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A task of a job was accepted.
    Accepted,
    /// A job was rejected and will not run.
    Refused,
    /// A task waited from the time it was ready until it was bound.
    Waited,
    /// A task attempt was bound to a worker.
    Bound,
    /// A task attempt ran; the amount is the resources that it held.
    Ran,
    /// A task attempt was throttled.
    Throttled,
    /// A task attempt was evicted.
    Evicted,
    /// Work was lost and must be repeated.
    Lost,
    /// A task finished.
    Finished,
    /// A task failed permanently.
    Failed,
    /// A task was cancelled.
    Cancelled,
    /// A task was transferred to another cell.
    Transferred,
    /// Requests were answered completely and within their objective.
    RequestsGood,
    /// Requests were answered later than their objective.
    RequestsLate,
    /// Requests failed.
    RequestsFailed,
    /// Requests were rejected and not run.
    RequestsRefused,
    /// Requests were retried.
    RequestsRetried,
    /// Requests were hedged.
    RequestsHedged,
    /// The change that takes an availability zone out of service took effect at
    /// an entry.
    ZoneOut,
    /// The change that returns an availability zone to service took effect at
    /// an entry.
    ZoneIn,
}

impl EventKind {
    /// Whether sums keep the distribution of the durations, not only their
    /// total.
    #[must_use]
    pub const fn has_tail(self) -> bool {
        matches!(
            self,
            Self::Waited | Self::RequestsGood | Self::RequestsLate | Self::RequestsFailed
        )
    }
}

/// How much an event covers: the number of tasks or requests, their time and the
/// resources reserved for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Amount {
    /// The number of tasks or requests.
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
    /// Returns the amount of one item that held `held` for `millis`
    /// milliseconds.
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

    /// Returns the amount of `count` items without resources or time.
    #[must_use]
    pub fn count(count: u64) -> Self {
        Self {
            count,
            ..Self::default()
        }
    }

    /// Returns the sum of both amounts.
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

/// One accounting event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When the event happened, or the end of the time that it covers.
    pub at: Time,
    /// What happened.
    pub kind: EventKind,
    /// Why it happened.
    pub cause: Cause,
    /// The party that received the resources or service. If `payer` is empty, a
    /// wait or loss names the affected party here.
    #[serde(default)]
    pub beneficiary: Party,
    /// The party that went without resources or waited so that `beneficiary`
    /// could have them, such as the team of an evicted task; empty if there is
    /// none.
    #[serde(default)]
    pub payer: Party,
    /// The VM where the event happened; `None` if it does not concern a single VM.
    #[serde(default)]
    pub vm: Option<VmName>,
    /// The availability zone of `vm`, or the zone that the event is about.
    #[serde(default)]
    pub zone: Option<AvailabilityZoneName>,
    /// The revision of the configuration in force.
    #[serde(default)]
    pub revision: Revision,
    /// The number of tasks or requests, with their time and resources.
    #[serde(default)]
    pub amount: Amount,
}
