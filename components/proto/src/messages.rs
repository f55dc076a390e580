//! Messages between our own processes.
//!
//! Remaining times travel as milliseconds or microseconds and become deadlines
//! on arrival, since the clocks of two machines may differ. Fields added later
//! must have a default, so that processes of two versions understand each other.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use kernel::{
    AccountPart, AvailabilityZoneName, CellName, Checkpoint, EndpointLoad, EntryName, Epoch, Event,
    Incarnation, JobName, JobSpec, ObjectSet, RequestId, Resources, Revision, ServiceName, Sum,
    TaskRun, TaskState, TeamSums, Time, Verdict, VmInfo, VmName,
};
use serde::{Deserialize, Serialize};

/// An agent's sign of life, sent about once a second and at once after news.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub vm: VmName,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// Counts the heartbeats of this life, so that a late one is recognised.
    pub sequence: u64,
    /// The fixed facts, sent when the entry asked or the stream is new.
    #[serde(default)]
    pub info: Option<VmInfo>,
    /// The highest epoch of the cell that the agent has obeyed.
    #[serde(default)]
    pub epoch: Epoch,
    /// The revision of the configuration in force at the agent.
    #[serde(default)]
    pub revision: Revision,
    /// The agent takes no new work any more.
    #[serde(default)]
    pub leaving: bool,
    /// The load of the endpoints.
    #[serde(default)]
    pub load: Vec<EndpointLoad>,
    /// The agent could not ask its worker yet, so `tasks` says nothing.
    #[serde(default)]
    pub tasks_unknown: bool,
    /// Every attempt that the agent holds, and ended ones until acknowledged.
    #[serde(default)]
    pub tasks: Vec<TaskReport>,
}

/// What an agent says of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt.
    pub run: TaskRun,
    /// What it does.
    pub phase: TaskPhase,
    /// The newest checkpoint, if there is one.
    #[serde(default)]
    pub checkpoint: Option<Checkpoint>,
    /// What the platform measured last, if it did.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// What an attempt does at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// Runs.
    Running,
    /// Runs with less processor time.
    Throttled,
    /// Was stopped on order or by the end of its lease; its checkpoint counts.
    Stopped,
    /// Ended well.
    Succeeded,
    /// Ended badly.
    Failed,
}

/// What the platform measured of an attempt, with the age of the measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// What it used.
    pub used: Resources,
    /// How long before the heartbeat it was measured, in milliseconds.
    pub age_millis: u64,
}

/// What an entry answers to a heartbeat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HeartbeatReply {
    /// The entry does not know the VM; the next heartbeat must bring its facts.
    pub need_info: bool,
    /// All entries known, to fall back on.
    pub entries: Vec<SocketAddr>,
    /// The owner of the VM's cell, if one is known; tasks are reported there.
    pub owner: Option<CellOwner>,
    /// The epoch under which `orders` and `renewed` are given.
    pub epoch: Epoch,
    /// Attempts whose leases are renewed from the sending of the heartbeat.
    pub renewed: Vec<Renewal>,
    /// What the agent has to do.
    pub orders: Vec<Order>,
    /// Ended attempts that are recorded; the agent may forget them.
    pub recorded: Vec<TaskRun>,
    /// A configuration that is newer than the agent's.
    pub config: Option<ConfigUpdate>,
    /// How long ago the entry proved that its revision was the newest, in
    /// milliseconds; nothing if it never did.
    pub proof_age_millis: Option<u64>,
}

/// Who owns a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellOwner {
    /// The cell.
    pub cell: CellName,
    /// The entry that owns it.
    pub entry: EntryName,
    /// Where that entry takes calls.
    pub address: SocketAddr,
    /// Since which epoch.
    pub epoch: Epoch,
    /// How much room the cell has, as its owner told last.
    #[serde(default, rename = "room")]
    pub capacity: CellCapacity,
}

/// How much room a cell has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CellCapacity {
    /// What is free on workers that take new work.
    pub free: Resources,
    /// The largest worker that takes new work.
    pub largest: Resources,
    /// How many tasks wait.
    pub waiting: u64,
}

/// The renewed lease of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The attempt.
    pub run: TaskRun,
    /// How long it may run from the sending of the heartbeat, in milliseconds.
    pub lease_millis: u64,
}

/// What an agent has to do with an attempt; repeating an order changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Start the attempt if the agent has never seen it.
    Start(StartOrder),
    /// Give the attempt less processor time.
    Throttle(TaskRun),
    /// Give the attempt its full processor time again.
    Unthrottle(TaskRun),
    /// Take a checkpoint, stop and report the stop.
    Evict(TaskRun),
    /// Stop without a checkpoint and report the stop.
    Stop(TaskRun),
}

/// An order to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The attempt.
    pub run: TaskRun,
    /// What it reserves.
    pub reserved: Resources,
    /// What to run.
    pub program: String,
    /// Whether callers wait on it.
    pub class: kernel::TaskClass,
    /// The service of a latency-critical task.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Where to resume, if an earlier attempt left a checkpoint.
    #[serde(default)]
    pub checkpoint: Option<Checkpoint>,
    /// How long it may run from the sending of the heartbeat, in milliseconds.
    pub lease_millis: u64,
    /// After how long from the sending of the heartbeat it must no longer be
    /// started, in milliseconds: the proof of the configuration ends then.
    pub start_within_millis: u64,
}

/// A configuration on its way to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Its revision.
    pub revision: Revision,
    /// The objects that an agent needs.
    pub objects: ObjectSet,
}

/// What an entry tells another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// Who tells.
    pub entry: EntryName,
    /// The life of the telling process.
    pub incarnation: Incarnation,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The revision of the configuration in force there.
    #[serde(default)]
    pub revision: Revision,
    /// VMs whose heartbeats arrive there and that changed since the last exchange.
    #[serde(default)]
    pub vms: Vec<VmSummary>,
    /// Cells that the entry owns.
    #[serde(default)]
    pub cells: Vec<CellOwner>,
    /// What teams hold and want in those cells.
    #[serde(default)]
    pub teams: BTreeMap<CellName, Arc<TeamSums>>,
    /// The whole configuration, for an entry that has none: it may have started
    /// while the store was away.
    #[serde(default)]
    pub config: Option<ConfigUpdate>,
    /// Whether `vms` is everything the entry hears, not only changes.
    #[serde(default)]
    pub complete: bool,
}

/// What an entry knows of a VM at first hand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSummary {
    /// The fixed facts.
    pub info: VmInfo,
    /// The heartbeat that the rest is from.
    pub sequence: u64,
    /// How old that heartbeat is, in milliseconds.
    pub age_millis: u64,
    /// The agent takes no new work any more.
    pub leaving: bool,
    /// The revision in force at the agent.
    #[serde(default)]
    pub revision: Revision,
    /// The load of its endpoints.
    pub load: Vec<EndpointLoad>,
}

/// The answer to an exchange: the same in the other direction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// What the asked entry tells.
    pub exchange: Exchange,
    /// The asked entry wants everything next time.
    #[serde(default)]
    pub need_complete: bool,
}

/// A job for a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submit {
    /// The cell.
    pub cell: CellName,
    /// The job.
    pub spec: JobSpec,
}

/// What became of a submitted job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitReply {
    /// [`Verdict::Done`] once the job is durable.
    pub verdict: Verdict,
    /// Why it was refused or is in doubt.
    #[serde(default)]
    pub reason: String,
}

/// A job to cancel.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// The job.
    pub job: JobName,
}

/// What became of a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelReply {
    /// [`Verdict::Done`] once the cancellation is durable.
    pub verdict: Verdict,
    /// Whether the asked entry owns a part of the job.
    pub known: bool,
}

/// Which jobs to list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct JobQuery {
    /// Only this job.
    pub job: Option<JobName>,
    /// With each task, not only sums.
    pub tasks: bool,
}

/// The jobs of the cells of one entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct JobReply {
    /// The part of each job in each cell.
    pub jobs: Vec<JobPart>,
}

/// The part of a job that lies in one cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobPart {
    /// The cell.
    pub cell: CellName,
    /// The job as submitted.
    pub spec: JobSpec,
    /// When it was accepted.
    pub accepted_at: Time,
    /// How many of its tasks here are in which state.
    pub counts: Vec<StateCount>,
    /// Each task, if asked for.
    #[serde(default)]
    pub tasks: Vec<TaskSummary>,
}

/// How many tasks are in one state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateCount {
    /// The state.
    pub state: TaskState,
    /// The number of tasks.
    pub count: u32,
}

/// One task in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSummary {
    /// The newest attempt.
    pub run: TaskRun,
    /// Its state.
    pub state: TaskState,
    /// Its worker, if bound.
    #[serde(default)]
    pub vm: Option<VmName>,
    /// The availability zone of its worker.
    #[serde(default)]
    pub zone: Option<AvailabilityZoneName>,
    /// Why it waits or failed, for the operator.
    #[serde(default)]
    pub note: String,
}

/// Which events to send.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventQuery {
    /// From this time on.
    pub from: Time,
    /// Before this time.
    pub until: Time,
}

/// Accounting events of one entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EventReply {
    /// The events of the cells that the entry owns, oldest first.
    pub events: Vec<Event>,
    /// Sums that stand for older events of these cells.
    pub sums: Vec<Sum>,
    /// Parts of the entry's own accounts that the store may not hold yet.
    pub parts: Vec<AccountPart>,
    /// What could not be read, in words; empty if nothing is missing.
    pub missing: Vec<String>,
}

/// An HTTP header field on its way through the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name in lower case.
    pub name: String,
    /// Its value.
    #[serde(with = "serde_bytes_vec")]
    pub value: Vec<u8>,
}

/// A caller's request on its way to an endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Forward {
    /// The caller's identity of the request; the same on every attempt.
    pub id: RequestId,
    /// Distinguishes the entry's attempts for one request.
    pub attempt: u32,
    /// The service that must answer.
    pub service: ServiceName,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// How long the caller still waits, in microseconds.
    pub remaining_micros: u64,
    /// Whether the agent has to recognise a repeat of it.
    #[serde(default)]
    pub record: RecordMode,
    /// The life of the agent that the entry knows; an agent of another life has
    /// lost the records, so it must not run a recorded request.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Header fields for the endpoint.
    pub headers: Vec<Header>,
    /// The whole body.
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
}

/// What an agent does about repeats of a request, see `docs/AT-MOST-ONCE.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordMode {
    /// Runs it each time it comes.
    #[default]
    Off,
    /// Runs it unless its id is recorded, and records what became of it.
    Run,
    /// Never runs it: tells what is recorded, or refuses the id from now on.
    Probe,
}

/// What an agent says of a forwarded request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardReply {
    /// The request that this answers; must equal the asked one.
    pub id: RequestId,
    /// The attempt that this answers.
    pub attempt: u32,
    /// The endpoint's whole answer, or why there is none.
    pub outcome: ForwardOutcome,
    /// Requests at the endpoint as the answer left.
    pub in_flight: u32,
    /// Requests in the agent's queue as the answer left.
    pub queued: u32,
}

/// The end of a forwarded request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ForwardOutcome {
    /// The endpoint's answer, whole.
    Answered(EndpointResponse),
    /// The endpoint saw no byte of it.
    NotRun(Refusal),
    /// The endpoint may have run it; the answer is missing or cut off.
    MayHaveRun(String),
}

/// Why an agent refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Its queue is full.
    QueueFull,
    /// The answer could not be ready before the deadline.
    Deadline,
    /// The agent is leaving.
    Leaving,
    /// There is no such endpoint, or it does not accept connections.
    NoEndpoint,
    /// The availability zone or VM takes no work.
    ZoneOut,
    /// The id is not recorded and will not run here; answers a probe.
    NotHere,
    /// The agent was restarted and its records are lost.
    Restarted,
    /// The id belongs to a request with other content.
    IdReused,
    /// The request can't be written as HTTP, or its body is too large.
    Invalid,
}

/// An endpoint's whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointResponse {
    /// The HTTP status.
    pub status: u16,
    /// Header fields for the caller.
    pub headers: Vec<Header>,
    /// The whole body, its length checked.
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
    /// How long the endpoint took, in microseconds.
    pub service_micros: u64,
}

/// Writes bytes as one MessagePack value instead of a list of numbers.
mod serde_bytes_vec {
    use std::fmt;

    use serde::{Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        from.deserialize_byte_buf(Bytes)
    }

    struct Bytes;

    impl<'de> de::Visitor<'de> for Bytes {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }

        fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<u8>, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = seq.next_element()? {
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }
}
