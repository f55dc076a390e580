//! The edges of the daemons: workers, clients and operators of a platform.

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

/// An answer to a call from outside.
pub type HttpResponse = http::Response<Full<Bytes>>;

/// The worker beside an agent.
#[async_trait]
pub trait WorkerApi: Send + Sync + 'static {
    /// Renews the leases there and asks what runs and what has ended.
    async fn poll(&self, look: &WorkerPoll) -> Result<PollReply, PollError>;

    /// Starts a task.
    async fn start(
        &self,
        life: &WorkerIncarnation,
        start: &StartOrder,
        admitted: StartGrant,
    ) -> OrderResult;

    /// Stops a run; one that is not there yet will never start.
    async fn stop(&self, life: &WorkerIncarnation, key: &RunKey, epoch: u64) -> OrderResult;

    /// Lets a run work at a share of its speed; whether the worker took it.
    async fn set_pace(
        &self,
        life: &WorkerIncarnation,
        key: &RunKey,
        percent: u32,
        epoch: u64,
    ) -> bool;
}

/// What a client wants.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCall {
    /// A job is handed in.
    Submit(Box<Job>),
    /// The state of a job is asked for.
    State(JobName),
    /// A job is to be cancelled.
    Cancel(JobName),
    /// The number of jobs of a queue that have not started.
    Pending(Arc<str>),
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientReply {
    /// The job is durable and will run.
    Accepted,
    /// The state of a job.
    State(JobState),
    /// The cancelling is durable.
    CancelAccepted,
    /// How many jobs of a queue have not started.
    Pending(usize),
    /// There is no such job.
    NoSuchJob,
    /// There is no such queue.
    NoSuchQueue,
    /// The call contradicts itself.
    Malformed(String),
    /// Its method is not known here.
    NoSuchMethod,
    /// It is too large.
    TooLarge,
    /// It did not run and never will; come back after this time.
    Unavailable {
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: String,
    },
    /// It may have run; repeating it is safe.
    OutcomeUnknown(String),
}

/// What a worker says to its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    /// It lives.
    Heartbeat(Heartbeat),
    /// It has left.
    Left(Arc<str>),
}

/// What an operator has written.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorItem {
    /// The configuration.
    Config(Arc<Config>),
    /// An availability zone takes no new work.
    ZoneOut(AvailabilityZoneName),
}

/// Why something from outside can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub String);

/// The calls and records of a platform, translated.
pub trait Codec: Send + Sync + 'static {
    /// Reads a client's call.
    ///
    /// # Errors
    ///
    /// Returns the answer to a call that can't be read.
    fn decode_client_call(
        &self,
        config: &Config,
        head: &Parts,
        body: &[u8],
    ) -> Result<ClientCall, ClientReply>;

    /// Writes the answer to a client.
    fn encode_client_reply(&self, reply: &ClientReply) -> HttpResponse;

    /// How long a client waits for its answer, if it says so.
    fn client_deadline(&self, head: &Parts) -> Option<Duration>;

    /// Reads a worker's call.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn decode_worker_call(&self, head: &Parts, body: &[u8]) -> Result<WorkerCall, DecodeError>;

    /// Whether the call is the balancer's question whether to send clients.
    fn is_readiness_check(&self, head: &Parts) -> bool;

    /// The beginning of the keys that operators write.
    fn operator_key_prefix(&self) -> &'static str;

    /// Reads what an operator wrote; nothing for what is none of ours.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn decode_operator_item(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<OperatorItem>, DecodeError>;
}
