//! What owner and keeper say to one another.
//!
//! Both calls go from the owner to the agent beside a worker: [`ReportPoll`] waits
//! for news, [`Orders`] has tasks started and stopped. Times travel as readings
//! of the worker's own clock, the only one that both ends of a lease share.

use std::sync::Arc;

use kernel::{AvailabilityZoneName, EntryName, Resources, ServiceName};
use proto::Method;
use serde::{Deserialize, Serialize};

use crate::{TaskKey, interference::Weight};

/// One life of a worker: a restart under the same name is another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// The name that the worker gave itself.
    pub worker: Arc<str>,
    /// When it began, in milliseconds since 1970 by its own account.
    #[serde(rename = "born")]
    pub started_at: u64,
}

/// A reading of the clock of one life of a worker, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Whose clock.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// What it showed, at most.
    pub millis: u64,
}

/// How a task behaves beside others on its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It uses what it reserved.
    #[default]
    Plain,
    /// It answers users, and its tail latency has a target.
    #[serde(rename = "Serves")]
    Serving {
        /// The target in milliseconds.
        target_millis: u64,
        /// What it runs.
        image: Option<Arc<str>>,
    },
    /// It uses what others leave, and disturbs those that serve.
    #[serde(rename = "Fills")]
    BestEffort {
        /// What it runs.
        image: Option<Arc<str>>,
        /// The processor time that it uses at full speed.
        cpu_milli: u64,
    },
}

/// One numbered run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// The number; a later run of the task has a higher one.
    pub run: u64,
}

/// A task is to be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub key: RunKey,
    /// What the task is handed.
    pub spec: Arc<str>,
    /// Where it resumes.
    pub checkpoint: Option<Arc<str>>,
    /// The approval to run it on this worker, where one is needed.
    pub ticket: Option<Arc<str>>,
    /// How it behaves beside others.
    pub role: Role,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// The worker has carried it out.
    Done,
    /// It was not carried out and will not be.
    Refused(Refusal),
    /// The worker has not answered; it may be carried out later.
    Unsettled,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// A higher epoch has spoken to the worker.
    Fenced,
    /// A run that is not older was stopped or has ended there.
    Old,
    /// The lease that it came with has ended.
    Late,
    /// The worker has no room for it.
    Room,
    /// The approval is not valid.
    Ticket,
    /// The worker is another one, leaves, or is out of order.
    Worker,
    /// The worker can't read the order.
    Malformed,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// It failed by its own fault or the worker's.
    Failed,
    /// It was stopped on an order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The number of the end within the life of the worker, from 1.
    pub number: u64,
    /// The run.
    pub key: RunKey,
    /// How it ended.
    pub how: RunEnd,
    /// The newest saved work, if there is any.
    pub checkpoint: Option<Arc<str>>,
}

/// A run that a worker lists as present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// The run.
    pub key: RunKey,
    /// The newest saved work, if there is any.
    pub checkpoint: Option<Arc<str>>,
    /// How much of its work is done, in percent; 100 for a task that lasts once
    /// it is at work.
    pub progress_percent: u32,
    /// The tail latency in milliseconds of a serving task, the processor time
    /// in use in thousandths of a core of any other, over the last half second.
    #[serde(rename = "figure")]
    pub measurement: u64,
}

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Its life.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// The service whose tasks it runs.
    pub service: ServiceName,
    /// Where it is.
    pub zone: AvailabilityZoneName,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// What it holds for tasks.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// Whether it is about to leave and takes nothing new.
    pub draining: bool,
}

/// What an owner proves with each call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerHeader {
    /// The term of the owner; a keeper obeys the highest it has seen.
    pub epoch: u64,
    /// The owner.
    pub owner: EntryName,
    /// The newest stamp that the owner has from this keeper, which bounds how
    /// long the keeper may renew leases on the owner's behalf.
    pub echo: Option<ClockReading>,
    /// The last end of that life whose record is durable.
    pub recorded: Option<(WorkerIncarnation, u64)>,
}

/// Waits for news of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportPoll {
    /// Who asks.
    #[serde(rename = "contact")]
    pub header: OwnerHeader,
    /// The version of the report that the owner has, 0 for none; any other one
    /// is news.
    #[serde(rename = "seen")]
    pub known_version: u64,
    /// How long to wait for a newer one, in milliseconds.
    pub wait_millis: u64,
    /// Roles of runs that another owner started.
    pub roles: Vec<(RunKey, Role)>,
    /// How much images disturb one another, where that has changed.
    pub weights: Vec<Weight>,
}

/// What a keeper knows of its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The keeper's own life: versions and looks count from its start.
    #[serde(rename = "keeper")]
    pub agent_incarnation: u64,
    /// Rises with each change worth telling.
    pub version: u64,
    /// The highest epoch seen; a higher one than the owner's ends its term.
    pub epoch: u64,
    /// The epoch with which the worker last answered, so that no order of an
    /// earlier one can still be carried out there.
    #[serde(rename = "confirmed")]
    pub confirmed_epoch: u64,
    /// The worker, if one has reported and has not left.
    pub worker: Option<WorkerInfo>,
    /// Whether it answers.
    #[serde(rename = "answering")]
    pub worker_responsive: bool,
    /// Whether every lease there has ended, so that nothing can run.
    #[serde(rename = "lapsed")]
    pub leases_expired: bool,
    /// A reading of the worker's clock.
    #[serde(rename = "stamp")]
    pub clock_reading: Option<ClockReading>,
    /// The number of the look at the worker that the lists come from.
    #[serde(rename = "look")]
    pub poll: u64,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// Ends whose record is not known to be durable.
    pub ended: Vec<EndedRun>,
}

/// Tasks are to be started and stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Who orders.
    #[serde(rename = "contact")]
    pub header: OwnerHeader,
    /// The life of the worker that is meant.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// The last reading of the worker's clock at which a start may be sent.
    pub start_by_millis: u64,
    /// What to start.
    pub starts: Vec<StartOrder>,
    /// What to stop.
    pub stops: Vec<RunKey>,
}

/// What became of each order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersReply {
    /// The highest epoch seen.
    pub epoch: u64,
    /// Looks at the worker that were begun later than this one show the effect.
    #[serde(rename = "look")]
    pub poll: u64,
    /// For each start, in order.
    pub starts: Vec<OrderResult>,
    /// For each stop, in order.
    pub stops: Vec<OrderResult>,
}

/// The call [`ReportPoll`].
#[derive(Debug)]
pub struct ReportPollCall;

impl Method for ReportPollCall {
    const PATH: &'static str = "/hemlockmoor.Keeper/Attend";
    type Req = ReportPoll;
    type Resp = AgentReport;
}

/// The call [`Orders`].
#[derive(Debug)]
pub struct OrdersCall;

impl Method for OrdersCall {
    const PATH: &'static str = "/hemlockmoor.Keeper/Orders";
    type Req = Orders;
    type Resp = OrdersReply;
}
