//! Messages of the HTTP and JSON interface of the platform's worker on each VM.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/runs` | list all attempts on record at the worker, as [`WorkerRun`] |
//! | `PUT /v1/runs/JOB/INDEX/ATTEMPT` with [`StartRun`] | start; a repeat changes nothing |
//! | `POST .../lease` with [`RenewRun`] | move the end of the lease |
//! | `POST .../throttle` with [`ThrottleRun`] | reduce or restore the processor time |
//! | `POST .../evict` | take a checkpoint and stop; returns the [`WorkerRun`] |
//! | `POST .../stop` | stop; returns the [`WorkerRun`] |
//! | `DELETE .../` | forget an ended attempt |
//!
//! The worker itself stops an attempt whose lease has ended, even while the agent
//! is paused. Lease ends are absolute times of the VM's clock, so that a delayed
//! call can't extend a lease.

use kernel::{Checkpoint, Resources, TaskRun, Time};
use serde::{Deserialize, Serialize};

/// The request to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRun {
    /// The program to run.
    pub program: String,
    /// The resources that the attempt may use.
    pub reserved: Resources,
    /// The checkpoint to resume from; `None` to start from the beginning.
    #[serde(default)]
    pub checkpoint: Option<Checkpoint>,
    /// When the worker must stop the attempt unless the lease is renewed.
    pub lease_until: Time,
    /// The latest time at which the worker may start the attempt.
    pub start_until: Time,
}

/// The request to extend a lease; an end before the current one is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRun {
    /// The new end of the lease.
    pub lease_until: Time,
}

/// The request to change the processor time of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleRun {
    /// Whether the attempt gets less processor time than it reserved.
    pub on: bool,
}

/// The state of an attempt at the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRun {
    /// The attempt.
    pub run: TaskRun,
    /// The phase of the attempt.
    pub phase: crate::messages::TaskPhase,
    /// The resources that the attempt may use.
    pub reserved: Resources,
    /// The newest checkpoint; `None` if the attempt has none.
    #[serde(default)]
    pub checkpoint: Option<Checkpoint>,
    /// The end of its lease.
    pub lease_until: Time,
    /// The resources it used at the latest measurement; `None` if not measured.
    #[serde(default)]
    pub used: Option<Resources>,
    /// When `used` was measured.
    #[serde(default)]
    pub measured_at: Time,
}
