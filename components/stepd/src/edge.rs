//! The interface of the daemons to a platform: its workers, clients and operators.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http::request::Parts;
use http_body_util::Full;
use kernel::{AvailabilityZoneName, JobName};
use steps::{
    Config, Job, JobState,
    agent::{Heartbeat, PollError, PollReply, StartGrant, WorkerPoll},
    message::{OrderResult, RunKey, StartOrder, WorkerIncarnation},
};

/// A response to a client, worker or load balancer.
pub type HttpResponse = http::Response<Full<Bytes>>;

/// How an attempt to make a worker refuse late calls for its earlier incarnations ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceResult {
    /// The worker refuses them.
    Fenced,
    /// No connection to the worker can be opened.
    NotUp,
    /// The worker may or may not refuse them.
    Unanswered,
}

/// The interface of an agent to its worker.
#[async_trait]
pub trait WorkerApi: Send + Sync + 'static {
    /// Renews the leases of the runs; returns the active and the ended runs.
    async fn poll(&self, poll: &WorkerPoll) -> Result<PollReply, PollError>;

    /// Makes the worker refuse late calls for its earlier incarnations, whichever one it is.
    async fn fence(&self) -> FenceResult;

    /// Starts a run of a task under the granted lease.
    async fn start(
        &self,
        incarnation: &WorkerIncarnation,
        start: &StartOrder,
        grant: StartGrant,
    ) -> OrderResult;

    /// Stops a run; a run that has not started yet will never start.
    async fn stop(&self, incarnation: &WorkerIncarnation, key: &RunKey, epoch: u64) -> OrderResult;

    /// Limits a run to a percentage of its full speed; returns whether the worker confirmed it.
    async fn set_pace(
        &self,
        incarnation: &WorkerIncarnation,
        key: &RunKey,
        percent: u32,
        epoch: u64,
    ) -> bool;
}

/// A decoded call of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCall {
    /// Submits a job.
    Submit(Box<Job>),
    /// Requests the state of a job.
    State(JobName),
    /// Cancels a job.
    Cancel(JobName),
    /// Requests the number of jobs of a queue that have not started.
    Pending(Arc<str>),
}

/// The reply to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientReply {
    /// The job is durable and will run.
    Accepted,
    /// The state of a job.
    State(JobState),
    /// The cancellation is durable.
    CancelAccepted,
    /// How many jobs of a queue have not started.
    Pending(usize),
    /// The job does not exist.
    NoSuchJob,
    /// No queue matches the host and path.
    NoSuchQueue,
    /// The call is invalid, for this reason.
    Malformed(String),
    /// The method is not supported.
    NoSuchMethod,
    /// The body is too large.
    TooLarge,
    /// The call did not take effect and never will.
    Unavailable {
        /// How long the client should wait before it retries.
        retry_after: Duration,
        /// Why the call was refused.
        reason: String,
    },
    /// The job was refused, since it can't be served in time. It never runs.
    Overloaded {
        /// How long the client should wait before it retries, in whole seconds.
        retry_after: Duration,
        /// Why the job was refused.
        reason: String,
    },
    /// The call may have taken effect; repeating it is safe. The text gives the reason.
    OutcomeUnknown(String),
}

/// A decoded call of a worker to its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    /// The worker is alive.
    Heartbeat(Heartbeat),
    /// The worker has left.
    Left {
        /// The name of the worker.
        worker: Arc<str>,
        /// The start of the incarnation that left in milliseconds since 1970; `None` if the
        /// call does not name it.
        started_at: Option<u64>,
    },
}

/// A decoded item that an operator has written.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorItem {
    /// The configuration of queues and services.
    Config(Arc<Config>),
    /// An availability zone accepts no new work.
    ZoneOut(AvailabilityZoneName),
}

/// Why a message or item can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub String);

/// Translates the messages and stored items of a platform.
pub trait Codec: Send + Sync + 'static {
    /// Decodes a call of a client.
    ///
    /// # Errors
    ///
    /// Returns the reply to a call that can't be decoded.
    fn decode_client_call(
        &self,
        config: &Config,
        head: &Parts,
        body: &[u8],
    ) -> Result<ClientCall, ClientReply>;

    /// Encodes the reply to a client.
    fn encode_client_reply(&self, reply: &ClientReply) -> HttpResponse;

    /// Returns how long the client waits for a reply; `None` if the call does not state it.
    fn client_deadline(&self, head: &Parts) -> Option<Duration>;

    /// Decodes a call of a worker.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the call is unknown or malformed.
    fn decode_worker_call(&self, head: &Parts, body: &[u8]) -> Result<WorkerCall, DecodeError>;

    /// Returns whether the call is the readiness check of the load balancer.
    fn is_readiness_check(&self, head: &Parts) -> bool;

    /// Returns the prefix of the keys that operators write.
    fn operator_key_prefix(&self) -> &'static str;

    /// Decodes an item of an operator; returns `None` for keys that the daemons don't use.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the item is malformed.
    fn decode_operator_item(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<OperatorItem>, DecodeError>;
}
