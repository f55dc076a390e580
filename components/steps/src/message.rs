//! Calls between an owner and the agent on the VM of a worker.
//!
//! The owner makes both calls: [`ReportPoll`] waits for an update of the agent's
//! report, [`Orders`] starts and stops runs. Times are readings of the worker's own
//! clock, the only clock that owner, agent and worker share for a lease.

use std::sync::Arc;

use kernel::{AvailabilityZoneName, EntryName, Resources, ServiceName};
use proto::Method;
use serde::{Deserialize, Serialize};

use crate::{TaskKey, crash::WorkerCrash, interference::Weight, listing::ReportId};

/// One incarnation of a worker. A restart under the same name is a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Name that the worker gave itself.
    pub worker: Arc<str>,
    /// Start of the incarnation in milliseconds since 1970, on the worker's clock.
    #[serde(rename = "born")]
    pub started_at: u64,
}

/// Reading of the clock of one worker incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Incarnation of the worker that the clock belongs to.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Lower bound of the clock, in milliseconds.
    pub millis: u64,
}

/// Role of a task among the tasks on its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Uses the resources that it reserved.
    #[default]
    Plain,
    /// Answers requests of users and has a target for its tail latency.
    #[serde(rename = "Serves")]
    Serving {
        /// Target of the tail latency in milliseconds.
        target_millis: u64,
        /// Image that the task runs.
        image: Option<Arc<str>>,
    },
    /// Uses CPU time that other tasks leave, and interferes with serving tasks.
    #[serde(rename = "Fills")]
    BestEffort {
        /// Image that the task runs.
        image: Option<Arc<str>>,
        /// CPU time at full speed, in thousandths of a core.
        cpu_milli: u64,
    },
}

/// One run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey {
    /// Task that runs.
    pub task: TaskKey,
    /// Run number. A later run of the task has a higher number.
    pub run: u64,
}

/// Order to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Run to start.
    pub key: RunKey,
    /// Description of the job that is passed to the task.
    pub spec: Arc<str>,
    /// Checkpoint to resume from; `None` starts from the beginning.
    pub checkpoint: Option<Arc<str>>,
    /// Approval that the worker checks before it runs the task; an invalid one is
    /// refused with [`Refusal::Ticket`]. `None` if the task needs no approval.
    pub ticket: Option<Arc<str>>,
    /// Role of the task on its worker.
    pub role: Role,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// The worker has carried the order out.
    Done,
    /// The order was not carried out and never will be.
    Refused(Refusal),
    /// The worker did not answer and may still carry the order out.
    Unsettled,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker or its agent has received a higher epoch.
    Fenced,
    /// The same run or a later run of the task has been stopped or has ended there.
    Old,
    /// The order arrived after its deadline, or its lease had expired.
    Late,
    /// The worker lacks the capacity.
    Room,
    /// The approval is not valid.
    Ticket,
    /// The worker is not the one that the order is meant for, is draining, or is not
    /// working.
    Worker,
    /// The worker can't parse the order.
    Malformed,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The run failed, because of the task or the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The run's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// An ended run in a worker's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Number of the end within the worker's incarnation, from 1.
    pub number: u64,
    /// Run that ended.
    pub key: RunKey,
    /// How the run ended.
    pub how: RunEnd,
    /// Newest checkpoint, if the run saved one.
    pub checkpoint: Option<Arc<str>>,
}

/// An active run in a worker's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// Run that is active.
    pub key: RunKey,
    /// Newest checkpoint, if the run saved one.
    pub checkpoint: Option<Arc<str>>,
    /// Completed part of the work in percent; 100 for a long-running task that has
    /// started.
    pub progress_percent: u32,
    /// Measurement of the last half second: tail latency in milliseconds for a serving
    /// task, CPU time in thousandths of a core for any other.
    #[serde(rename = "figure")]
    pub measurement: u64,
}

/// Description of a worker, from its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Incarnation of the worker.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Service whose tasks the worker runs.
    pub service: ServiceName,
    /// Availability zone of the worker.
    pub zone: AvailabilityZoneName,
    /// Kind and rack of the worker.
    pub labels: Vec<Arc<str>>,
    /// Total resources for tasks.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// Whether the worker is draining and accepts no new tasks.
    pub draining: bool,
    /// Reading of the worker's clock until which it is cold and runs tasks slower; `None` if it
    /// is not cold.
    #[serde(default)]
    pub cold_until_millis: Option<u64>,
    /// Reading of the worker's clock until which it stays at least while it drains; `None` if it
    /// does not tell.
    #[serde(default)]
    pub drains_until_millis: Option<u64>,
}

impl WorkerInfo {
    /// Takes over the times of an earlier heartbeat of the incarnation if they have hardly
    /// changed, so that a countdown in heartbeats is not told to the owner each time.
    pub fn settle(&mut self, earlier: &Self) {
        settle_time(&mut self.cold_until_millis, earlier.cold_until_millis);
        settle_time(&mut self.drains_until_millis, earlier.drains_until_millis);
    }
}

/// Difference below which two times on a worker's clock are taken for the same, in milliseconds.
const TIME_TOLERANCE_MILLIS: u64 = 250;

fn settle_time(newer: &mut Option<u64>, earlier: Option<u64>) {
    let (Some(new), Some(old)) = (*newer, earlier) else {
        return;
    };
    if new.abs_diff(old) < TIME_TOLERANCE_MILLIS {
        *newer = Some(old);
    }
}

/// Header of each call of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerHeader {
    /// Epoch of the owner. An agent refuses calls with an epoch below the highest it
    /// has received.
    pub epoch: u64,
    /// Name of the owner.
    pub owner: EntryName,
    /// Newest clock reading that the owner has from this agent; limits how long the
    /// agent may renew leases. `None` allows no renewal beyond earlier readings.
    pub echo: Option<ClockReading>,
    /// Incarnation of the worker, and number of its last end whose record is durable.
    pub recorded: Option<(WorkerIncarnation, u64)>,
    /// Start of the agent process, and number of its last report of a crash whose record is
    /// durable.
    #[serde(default)]
    pub recorded_crash: Option<(u64, u64)>,
}

/// Long poll that waits for an update of an agent's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportPoll {
    /// Header of the owner.
    #[serde(rename = "contact")]
    pub header: OwnerHeader,
    /// Version of the report that the owner has, 0 for none. The agent answers at once
    /// if it has a different version.
    #[serde(rename = "seen")]
    pub known_version: u64,
    /// Maximum wait for an update, in milliseconds.
    pub wait_millis: u64,
    /// Roles of runs that an earlier owner started, or that the agent lost in a
    /// restart.
    pub roles: Vec<(RunKey, Role)>,
    /// Interference weights that the agent may not have yet.
    pub weights: Vec<Weight>,
    /// Last report that the owner has applied; the reply may leave out what that one
    /// contained.
    #[serde(default)]
    pub known_report: Option<ReportId>,
    /// Whether the report must name the runs that the worker has not survived for
    /// [`PROBATION`](crate::crash::PROBATION) yet.
    #[serde(default)]
    pub wants_doubts: bool,
}

/// An agent's report about its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Start of the agent process. Versions and poll numbers count from it.
    #[serde(rename = "keeper")]
    pub agent_incarnation: u64,
    /// Increases with each change that owners need.
    pub version: u64,
    /// Highest epoch received. An owner with a lower epoch ends its term.
    pub epoch: u64,
    /// Epoch with which the worker last answered a poll. A worker that checks fencing
    /// tokens carries out no order of an earlier epoch any more.
    #[serde(rename = "confirmed")]
    pub confirmed_epoch: u64,
    /// The worker, if one has reported and has not left.
    pub worker: Option<WorkerInfo>,
    /// Whether the worker answers polls.
    #[serde(rename = "answering")]
    pub worker_responsive: bool,
    /// Whether all leases of the worker have expired, so that nothing can run.
    #[serde(rename = "lapsed")]
    pub leases_expired: bool,
    /// Reading of the worker's clock.
    #[serde(rename = "stamp")]
    pub clock_reading: Option<ClockReading>,
    /// Number of the worker poll that returned the lists.
    #[serde(rename = "look")]
    pub poll: u64,
    /// Active runs; only new or changed ones if the report is based on an earlier one.
    pub running: Vec<ActiveRun>,
    /// Ended runs whose records are not known to be durable; only new ones if the report
    /// is based on an earlier one.
    pub ended: Vec<EndedRun>,
    /// Whether the worker may have ended runs that it has not listed, so that a run in
    /// neither list may have ended.
    #[serde(default)]
    pub has_more_ends: bool,
    /// Number of this report; 0 if no later report may be based on it.
    #[serde(default)]
    pub number: u64,
    /// Number of the report on which this one is based; 0 if it holds the whole state.
    #[serde(default)]
    pub base: u64,
    /// Runs of the earlier report that are not active any more.
    #[serde(default)]
    pub gone: Vec<RunKey>,
    /// Runs that the worker may still start on an order whose outcome is unknown,
    /// whichever owner gave it; always all of them.
    #[serde(default)]
    pub unsettled: Vec<RunKey>,
    /// Crashes of the worker whose records are not known to be durable; always all of them.
    #[serde(default)]
    pub crashes: Vec<WorkerCrash>,
    /// Runs that the worker has not survived for long enough yet; `None` if the owner did
    /// not ask for them.
    #[serde(default)]
    pub in_doubt: Option<Vec<RunKey>>,
}

/// Orders to start and stop runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Header of the owner.
    #[serde(rename = "contact")]
    pub header: OwnerHeader,
    /// Incarnation of the worker that the orders are meant for.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Latest reading of the worker's clock at which the agent may still send a start
    /// to the worker.
    pub start_by_millis: u64,
    /// Capacity of the worker that the starts were decided on; `None` from an owner that
    /// does not tell.
    #[serde(default)]
    pub capacity: Option<Resources>,
    /// Runs to start.
    pub starts: Vec<StartOrder>,
    /// Runs to stop.
    pub stops: Vec<RunKey>,
}

/// Reply to [`Orders`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersReply {
    /// Start of the agent process, from which the polls count.
    pub agent_incarnation: u64,
    /// Highest epoch received.
    pub epoch: u64,
    /// Worker polls with a higher number show the effect of the orders.
    #[serde(rename = "look")]
    pub poll: u64,
    /// Results of the starts, in order.
    pub starts: Vec<OrderResult>,
    /// Results of the stops, in order.
    pub stops: Vec<OrderResult>,
}

/// RPC method of [`ReportPoll`].
#[derive(Debug)]
pub struct ReportPollCall;

impl Method for ReportPollCall {
    const PATH: &'static str = "/hemlockmoor.Keeper/Attend";
    type Req = ReportPoll;
    type Resp = AgentReport;
}

/// RPC method of [`Orders`].
#[derive(Debug)]
pub struct OrdersCall;

impl Method for OrdersCall {
    const PATH: &'static str = "/hemlockmoor.Keeper/Orders";
    type Req = Orders;
    type Resp = OrdersReply;
}
