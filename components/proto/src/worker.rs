//! Messages of the platform's worker interface on each VM: HTTP with JSON.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/runs` | all attempts the worker remembers, as [`WorkerRun`] |
//! | `PUT /v1/runs/JOB/INDEX/ATTEMPT` with [`StartRun`] | start; a repeat changes nothing |
//! | `POST .../lease` with [`RenewRun`] | move the end of the lease |
//! | `POST .../throttle` with [`ThrottleRun`] | less or full processor time |
//! | `POST .../evict` | checkpoint and stop; answers with the [`WorkerRun`] |
//! | `POST .../stop` | stop; answers with the [`WorkerRun`] |
//! | `DELETE .../` | forget an ended attempt |
//!
//! The worker itself stops an attempt whose lease has ended, also while the
//! agent is paused. Lease ends are absolute on the VM's own clock, so that a
//! call that was held up can't extend a lease.

use kernel::{Checkpoint, Resources, TaskRun, Time};
use serde::{Deserialize, Serialize};

/// Starts an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRun {
    /// What to run.
    pub program: String,
    /// What it may use.
    pub reserved: Resources,
    /// Where to resume.
    #[serde(default)]
    pub checkpoint: Option<Checkpoint>,
    /// When the worker must stop it unless the lease is renewed.
    pub lease_until: Time,
    /// After this it must not be started any more.
    pub start_until: Time,
}

/// Moves the end of a lease; an earlier end than the present one is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRun {
    /// The new end.
    pub lease_until: Time,
}

/// Sets how much processor time an attempt gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleRun {
    /// Whether it gets less than it reserved.
    pub on: bool,
}

/// What the worker knows of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRun {
    /// The attempt.
    pub run: TaskRun,
    /// What it does.
    pub phase: crate::messages::TaskPhase,
    /// What it may use.
    pub reserved: Resources,
    /// The newest checkpoint.
    #[serde(default)]
    pub checkpoint: Option<Checkpoint>,
    /// When its lease ends or ended.
    pub lease_until: Time,
    /// What it used when last measured.
    #[serde(default)]
    pub used: Option<Resources>,
    /// When that was measured.
    #[serde(default)]
    pub measured_at: Time,
}
