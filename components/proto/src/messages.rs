//! Messages between the processes of the system.
//!
//! Messages carry remaining times in milliseconds or microseconds, which the
//! receiver converts to deadlines, since the clocks of two machines may differ.
//! Fields added later must have a default, so that processes of two versions can
//! exchange messages.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use kernel::{
    AccountPart, AvailabilityZoneName, CellName, Checkpoint, EndpointLoad, EntryName, Epoch, Event,
    Incarnation, JobName, JobSpec, ObjectSet, RequestId, Resources, Revision, ServiceName, Sum,
    TaskRun, TaskState, TeamSums, Time, Verdict, VmInfo, VmName,
};
use serde::{Deserialize, Serialize};

/// A heartbeat of an agent, sent about once a second and immediately after a change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The VM of the agent.
    pub vm: VmName,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The number of the heartbeat within this incarnation; identifies late heartbeats.
    pub sequence: u64,
    /// The fixed properties of the VM, sent if the entry requested them, in the first
    /// heartbeat to an entry and after a failed heartbeat.
    #[serde(default)]
    pub info: Option<VmInfo>,
    /// The highest epoch of the cell whose orders the agent has followed.
    #[serde(default)]
    pub epoch: Epoch,
    /// The revision of the configuration in force at the agent.
    #[serde(default)]
    pub revision: Revision,
    /// Whether the agent is shutting down and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// The load of the endpoints of the VM.
    #[serde(default)]
    pub load: Vec<EndpointLoad>,
    /// Whether the agent still waits for the first list of its worker's attempts; `tasks`
    /// is not valid until then.
    #[serde(default)]
    pub tasks_unknown: bool,
    /// All attempts at the agent, including ended ones that are not acknowledged yet.
    #[serde(default)]
    pub tasks: Vec<TaskReport>,
}

/// An agent's report on one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt.
    pub run: TaskRun,
    /// The phase of the attempt.
    pub phase: TaskPhase,
    /// The newest checkpoint; `None` if the attempt has none.
    #[serde(default)]
    pub checkpoint: Option<Checkpoint>,
    /// The platform's latest measurement; `None` if there is none.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// The phase of an attempt at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// Runs with its full processor time.
    Running,
    /// Runs with less processor time.
    Throttled,
    /// Was stopped by an order or by the end of its lease; its checkpoint is valid.
    Stopped,
    /// Ended successfully.
    Succeeded,
    /// Ended with a failure.
    Failed,
}

/// The measured resource usage of an attempt, with the age of the measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The resources that the attempt used.
    pub used: Resources,
    /// The time between the measurement and the heartbeat, in milliseconds.
    pub age_millis: u64,
}

/// An entry's reply to a heartbeat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HeartbeatReply {
    /// Whether the next heartbeat must carry the properties of the VM, because the
    /// entry does not have them.
    pub need_info: bool,
    /// All entries known to the sender, for failover.
    pub entries: Vec<SocketAddr>,
    /// The owner of the VM's cell, to which the agent reports tasks; `None` if unknown.
    pub owner: Option<CellOwner>,
    /// The epoch under which `orders` and `renewed` were issued.
    pub epoch: Epoch,
    /// Attempts whose leases are renewed, counted from the sending of the heartbeat.
    pub renewed: Vec<Renewal>,
    /// The orders that the agent has to carry out.
    pub orders: Vec<Order>,
    /// Ended attempts that the owner has recorded, so that the agent may forget them.
    pub recorded: Vec<TaskRun>,
    /// A newer configuration; `None` if the agent's is up to date.
    pub config: Option<ConfigUpdate>,
    /// The time since the entry last proved that its configuration revision was the
    /// newest, in milliseconds; `None` if it never did.
    pub proof_age_millis: Option<u64>,
}

/// The owner of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellOwner {
    /// The cell.
    pub cell: CellName,
    /// The entry that owns the cell.
    pub entry: EntryName,
    /// The address at which that entry serves calls.
    pub address: SocketAddr,
    /// The epoch of this ownership.
    pub epoch: Epoch,
    /// The cell's capacity as last reported by its owner.
    #[serde(default, rename = "room")]
    pub capacity: CellCapacity,
}

/// The capacity of a cell that new tasks can use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CellCapacity {
    /// The sum of the free resources of workers that take new work.
    pub free: Resources,
    /// The resources of the largest worker that takes new work.
    pub largest: Resources,
    /// The number of waiting tasks.
    pub waiting: u64,
}

/// The renewed lease of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The attempt.
    pub run: TaskRun,
    /// The duration of the lease from the sending of the heartbeat, in milliseconds.
    pub lease_millis: u64,
}

/// An order to an agent concerning one attempt; orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Start the attempt unless the agent has already received it.
    Start(StartOrder),
    /// Give the attempt less processor time.
    Throttle(TaskRun),
    /// Restore the full processor time of the attempt.
    Unthrottle(TaskRun),
    /// Take a checkpoint, stop the attempt and report that it stopped.
    Evict(TaskRun),
    /// Stop the attempt without a checkpoint and report that it stopped.
    Stop(TaskRun),
}

/// An order to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The attempt.
    pub run: TaskRun,
    /// The resources reserved for the attempt.
    pub reserved: Resources,
    /// The program to run.
    pub program: String,
    /// Whether the task is latency-critical or batch.
    pub class: kernel::TaskClass,
    /// The service of a latency-critical task; `None` for batch tasks.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The checkpoint to resume from; `None` to start from the beginning.
    #[serde(default)]
    pub checkpoint: Option<Checkpoint>,
    /// The duration of the lease from the sending of the heartbeat, in milliseconds.
    pub lease_millis: u64,
    /// How long after the sending of the heartbeat the agent may still start the
    /// attempt, in milliseconds; then the proof of the configuration expires.
    pub start_within_millis: u64,
}

/// A configuration for an agent or an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The objects that the receiver needs.
    pub objects: ObjectSet,
}

/// The state that an entry reports to another entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// The reporting entry.
    pub entry: EntryName,
    /// The incarnation of the reporting process.
    pub incarnation: Incarnation,
    /// The address at which the reporting entry serves calls.
    pub address: SocketAddr,
    /// The revision of the configuration in force at the reporting entry.
    #[serde(default)]
    pub revision: Revision,
    /// VMs that send their heartbeats to this entry and that changed since the last
    /// exchange.
    #[serde(default)]
    pub vms: Vec<VmSummary>,
    /// The cells that the entry owns.
    #[serde(default)]
    pub cells: Vec<CellOwner>,
    /// The sums of the resources that teams hold and request in those cells.
    #[serde(default)]
    pub teams: BTreeMap<CellName, Arc<TeamSums>>,
    /// The whole configuration, sent to an entry that has none, for example because
    /// it started while the store was unavailable.
    #[serde(default)]
    pub config: Option<ConfigUpdate>,
    /// Whether `vms` lists all VMs that report to the entry, not only changed ones.
    #[serde(default)]
    pub complete: bool,
}

/// The state of a VM that sends its heartbeats to the reporting entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSummary {
    /// The fixed properties of the VM.
    pub info: VmInfo,
    /// The sequence number of the heartbeat that the other fields are taken from.
    pub sequence: u64,
    /// The age of that heartbeat, in milliseconds.
    pub age_millis: u64,
    /// Whether the agent is shutting down and takes no new work.
    pub leaving: bool,
    /// The revision of the configuration in force at the agent.
    #[serde(default)]
    pub revision: Revision,
    /// The load of the endpoints of the VM.
    pub load: Vec<EndpointLoad>,
}

/// The reply to an exchange, with the state of the replying entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// The state of the replying entry.
    pub exchange: Exchange,
    /// Whether the next exchange must be complete.
    #[serde(default)]
    pub need_complete: bool,
}

/// The submission of a job to a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submit {
    /// The cell.
    pub cell: CellName,
    /// The job.
    pub spec: JobSpec,
}

/// The result of a job submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitReply {
    /// [`Verdict::Done`] once the job is durable.
    pub verdict: Verdict,
    /// The reason why the job was refused or its acceptance is uncertain.
    #[serde(default)]
    pub reason: String,
}

/// The cancellation of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// The job.
    pub job: JobName,
}

/// The result of a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelReply {
    /// [`Verdict::Done`] once the cancellation is durable.
    pub verdict: Verdict,
    /// Whether the replying entry owns a part of the job.
    pub known: bool,
}

/// A query for jobs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct JobQuery {
    /// The job to list; `None` lists all jobs.
    pub job: Option<JobName>,
    /// Whether to list each task in addition to the counts.
    pub tasks: bool,
}

/// The jobs of the cells of one entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct JobReply {
    /// One item for each job in each cell.
    pub jobs: Vec<JobPart>,
}

/// The part of a job that lies in one cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobPart {
    /// The cell.
    pub cell: CellName,
    /// The job as submitted.
    pub spec: JobSpec,
    /// When the job was accepted.
    pub accepted_at: Time,
    /// The number of its tasks in this cell by state.
    pub counts: Vec<StateCount>,
    /// All its tasks in this cell; empty unless the query requests them.
    #[serde(default)]
    pub tasks: Vec<TaskSummary>,
}

/// The number of tasks in one state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateCount {
    /// The state.
    pub state: TaskState,
    /// The number of tasks.
    pub count: u32,
}

/// The state of one task in a list of tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSummary {
    /// The newest attempt.
    pub run: TaskRun,
    /// Its state.
    pub state: TaskState,
    /// The worker that the task is bound to; `None` if it is not bound.
    #[serde(default)]
    pub vm: Option<VmName>,
    /// The availability zone of that worker.
    #[serde(default)]
    pub zone: Option<AvailabilityZoneName>,
    /// The reason why the task waits or failed, as text for operators.
    #[serde(default)]
    pub note: String,
}

/// A query for the accounting events of a time range.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventQuery {
    /// The inclusive start.
    pub from: Time,
    /// The exclusive end.
    pub until: Time,
}

/// Accounting events of one entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EventReply {
    /// The events of the cells that the entry owns, oldest first.
    pub events: Vec<Event>,
    /// Sums that replace older events of these cells.
    pub sums: Vec<Sum>,
    /// Parts of the entry's own accounts that the store may not hold yet.
    pub parts: Vec<AccountPart>,
    /// Descriptions of data that could not be read; empty if nothing is missing.
    pub missing: Vec<String>,
}

/// An HTTP header field that the system forwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The field name in lower case.
    pub name: String,
    /// The field value.
    #[serde(with = "serde_bytes_vec")]
    pub value: Vec<u8>,
}

/// A caller's request that an entry forwards to an endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Forward {
    /// The request id given by the caller; the same for every attempt.
    pub id: RequestId,
    /// The number of the entry's attempt for this request.
    pub attempt: u32,
    /// The service that the request is for.
    pub service: ServiceName,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// The time left until the caller stops waiting, in microseconds.
    pub remaining_micros: u64,
    /// Whether the agent must detect repeats of the request.
    #[serde(default)]
    pub record: RecordMode,
    /// The incarnation of the agent that the entry expects. An agent of another
    /// incarnation has lost the records, so it must not run a recorded request.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The header fields for the endpoint.
    pub headers: Vec<Header>,
    /// The whole body.
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
}

/// How an agent handles repeats of a request; see `docs/AT-MOST-ONCE.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordMode {
    /// Runs the request each time it arrives.
    #[default]
    Off,
    /// Runs the request unless its id is recorded, and records the outcome.
    Run,
    /// Does not run the request: returns the recorded outcome, or refuses this id from
    /// now on if there is none.
    Probe,
}

/// An agent's reply to a forwarded request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardReply {
    /// The id of the request; must equal that of the forwarded request.
    pub id: RequestId,
    /// The number of the attempt; must equal that of the forwarded request.
    pub attempt: u32,
    /// The endpoint's complete response, or the reason why there is none.
    pub outcome: ForwardOutcome,
    /// The number of requests at the endpoint when the reply was sent.
    pub in_flight: u32,
    /// The number of requests in the agent's queue when the reply was sent.
    pub queued: u32,
}

/// The outcome of a forwarded request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ForwardOutcome {
    /// The endpoint's complete response.
    Answered(EndpointResponse),
    /// No byte of the request reached the endpoint.
    NotRun(Refusal),
    /// The endpoint may have run the request; its response is missing or truncated.
    MayHaveRun(String),
}

/// Why an agent refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The agent's queue is full.
    QueueFull,
    /// The response could not be ready before the deadline.
    Deadline,
    /// The agent is shutting down.
    Leaving,
    /// The endpoint does not exist or does not accept connections.
    NoEndpoint,
    /// The availability zone or the VM takes no new work.
    ZoneOut,
    /// A probe found no record of the id, so the agent will not run the request.
    NotHere,
    /// The agent was restarted and has lost its records.
    Restarted,
    /// The id was already used for a request with different content.
    IdReused,
    /// The request can't be encoded as HTTP, or its body is too large.
    Invalid,
}

/// The complete response of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointResponse {
    /// The HTTP status.
    pub status: u16,
    /// The header fields for the caller.
    pub headers: Vec<Header>,
    /// The complete body, whose length has been checked.
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
    /// The time that the endpoint took, in microseconds.
    pub service_micros: u64,
}

/// Serializes bytes as one MessagePack binary value instead of an array of numbers.
mod serde_bytes_vec {
    use std::fmt;

    use serde::{Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        from.deserialize_byte_buf(BytesVisitor)
    }

    struct BytesVisitor;

    impl<'de> de::Visitor<'de> for BytesVisitor {
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
