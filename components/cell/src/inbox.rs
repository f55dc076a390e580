//! What waits for the owner of a cell.
//!
//! A job is accepted by the transaction that creates its key and its inbox
//! item, so it is accepted exactly once whether or not the cell has an owner at
//! that moment. The owner journals the item and deletes it in one group.

use kernel::{Attempt, Checkpoint, JobName, JobSpec, Time, VmName};
use serde::{Deserialize, Serialize};

/// One item of an inbox.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InboxItem {
    /// A whole job, new in the system.
    Job {
        /// The job.
        spec: JobSpec,
        /// When it was accepted.
        at: Time,
    },
    /// Tasks of a job that another cell gave away.
    Moved {
        /// The job.
        spec: JobSpec,
        /// When it was accepted.
        at: Time,
        /// The tasks with what is known of them.
        tasks: Vec<MovedTask>,
    },
    /// The cancellation of a job.
    Cancel {
        /// The job.
        job: JobName,
        /// When it was cancelled.
        at: Time,
    },
}

/// A task on its way to another cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovedTask {
    /// Its number within the job.
    pub index: u32,
    /// The last attempt made, 0 if none.
    #[serde(default)]
    pub attempt: Attempt,
    /// Where to resume.
    #[serde(default)]
    pub checkpoint: Option<Checkpoint>,
    /// Where it failed.
    #[serde(default)]
    pub failed_on: Vec<VmName>,
}

/// What the key of a job says: the proof that it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobKey {
    /// The cell that took it first.
    pub cell: kernel::CellName,
    /// The job.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: Time,
}
