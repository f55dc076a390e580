//! The part of the configuration that step jobs use.

use std::{sync::Arc, time::Duration};

use kernel::ServiceName;
use serde::{Deserialize, Serialize};

use crate::Job;

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host name that clients use for the queue.
    pub host: Arc<str>,
    /// Prefix of the paths that belong to the queue.
    pub path_prefix: Arc<str>,
    /// Service whose workers run the queue's tasks.
    pub service: ServiceName,
    /// Priority of the queue's jobs; 0 is the highest and may preempt others.
    pub priority: u32,
    /// Number of failures of a task after which its job has failed.
    pub max_attempts: u32,
    /// Factor on the longest chain of estimates in the latency objective of a job.
    pub slack_factor: f64,
    /// Constant part of the latency objective of a job.
    pub target_latency: Duration,
    /// Approval that a worker needs before it may run a step; `None` if none is
    /// needed.
    pub approval: Option<ApprovalPolicy>,
}

impl Queue {
    /// Time within which a job should be done from its submission on.
    #[must_use]
    pub fn objective(&self, job: &Job) -> Duration {
        self.objective_of_chain(Duration::from_millis(job.longest_chain_millis()))
    }

    /// The same for a job with this longest chain of estimates.
    pub(crate) fn objective_of_chain(&self, longest_chain: Duration) -> Duration {
        longest_chain.mul_f64(self.slack_factor.max(1.0)) + self.target_latency
    }
}

/// Rules for approvals of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApprovalPolicy {
    /// Time for which an approval is valid.
    pub valid: Duration,
}

/// A service with its pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the service's machines are switched off.
    pub standby: bool,
}

/// Limits on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum length of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time in which a request's head must arrive.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

/// The configuration as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version of the configuration. A process never replaces its configuration by one
    /// with a lower version.
    pub version: u64,
    /// Queues of jobs.
    pub queues: Vec<Queue>,
    /// Services that run tasks.
    pub services: Vec<Service>,
    /// Limits on clients' connections.
    pub limits: ConnectionLimits,
}

impl Config {
    /// Returns the queue for a request: of the queues of the host, the one with the
    /// longest matching path prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or_default();
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(queue.path_prefix.as_ref()))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the queue with the given name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name.as_ref() == name)
    }
}
