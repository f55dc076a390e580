//! The configuration in force, as far as jobs of steps need it.

use std::{sync::Arc, time::Duration};

use kernel::ServiceName;

/// One queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// The host name by which clients reach it.
    pub host: Arc<str>,
    /// The beginning of the paths that belong to it.
    pub path_prefix: Arc<str>,
    /// The service whose workers run its tasks.
    pub service: ServiceName,
    /// 0 goes first and may preempt others.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub max_attempts: u32,
    /// The objective is this many times the longest chain of work,
    pub slack_factor: f64,
    /// and this much more.
    pub target_latency: Duration,
    /// How its workers must be approved of before they may run a step, if so.
    pub approval: Option<ApprovalPolicy>,
}

/// The costs and the validity of an approval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApprovalPolicy {
    /// How long an approval holds.
    pub valid: Duration,
}

/// A service, a pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Whether its machines are off.
    pub standby: bool,
}

/// What a client's connection may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The longest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// The longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// The whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its version; a process only ever moves to a higher one.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// The limits of connections.
    pub limits: ConnectionLimits,
}

impl Config {
    /// The queue for a request: of those of the host, the one with the longest
    /// prefix that the path begins with.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or_default();
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(queue.path_prefix.as_ref()))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// The queue of that name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name.as_ref() == name)
    }
}
