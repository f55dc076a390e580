//! Inbox items that wait in the store for the owner of a cell.
//!
//! One transaction accepts a job by creating its key and its inbox items, so a
//! job is accepted exactly once whether or not the cell has an owner at that
//! moment. The owner journals an item and deletes it in the same group.

use kernel::{Attempt, Checkpoint, JobName, JobSpec, Time, VmName};
use serde::{Deserialize, Serialize};
use store::{Compare, KeyRange, Op, Txn, keys::job as job_key};

use crate::keys::{inbox_cancel, inbox_job};

/// One item of an inbox.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InboxItem {
    /// A newly accepted job, or the part of it assigned to this cell.
    Job {
        /// The job as submitted.
        spec: JobSpec,
        /// The tasks assigned to this cell.
        part: TaskRange,
        /// When the job was accepted, by the clock of the accepting entry.
        at: Time,
    },
    /// Tasks of a job that another cell transferred to this one.
    Moved {
        /// The job as submitted.
        spec: JobSpec,
        /// When the job was accepted.
        at: Time,
        /// The tasks with their attempts so far.
        tasks: Vec<MovedTask>,
    },
    /// The cancellation of a job.
    Cancel {
        /// The job to cancel.
        job: JobName,
        /// When the cancellation was accepted.
        at: Time,
    },
}

/// A waiting task that is transferred to another cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovedTask {
    /// The index of the task within its job.
    pub index: u32,
    /// The last attempt; 0 if the task was never bound.
    #[serde(default)]
    pub attempt: Attempt,
    /// Where the next attempt resumes; `None` to start from the beginning.
    #[serde(default)]
    pub checkpoint: Option<Checkpoint>,
    /// The VMs on which the task failed, once for each failure.
    #[serde(default)]
    pub failed_on: Vec<VmName>,
}

/// A range of task indexes of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRange {
    /// The first index.
    pub from: u32,
    /// The end of the range, exclusive.
    pub until: u32,
}

impl TaskRange {
    /// Returns the range of all tasks of a job.
    #[must_use]
    pub const fn whole(spec: &JobSpec) -> Self {
        Self {
            from: 0,
            until: spec.tasks,
        }
    }

    /// Returns the number of tasks in the range.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.until.saturating_sub(self.from)
    }

    /// Returns whether the range has no task.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Returns whether the range includes the task with this index.
    #[must_use]
    pub const fn contains(self, index: u32) -> bool {
        self.from <= index && index < self.until
    }
}

/// A part of a job and the cell that it was assigned to at submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellShare {
    /// The cell that received the part.
    pub cell: kernel::CellName,
    /// The tasks assigned to the cell.
    pub part: TaskRange,
}

/// The value of a job's key in the store; its presence means that the job is
/// accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The cells that the tasks were assigned to at submission. Each of them records
    /// the cells to which its tasks moved.
    pub shares: Vec<CellShare>,
    /// The job as submitted.
    pub spec: JobSpec,
    /// When the job was accepted, by the clock of the accepting entry.
    pub at: Time,
}

impl AcceptedJob {
    /// Returns the transaction that accepts the job: it creates the job's key and
    /// an inbox item for each cell.
    ///
    /// The transaction requires that the key is absent, so repeating it after a
    /// lost reply changes nothing; if the key exists, the reply has its value.
    #[must_use]
    pub fn accept_txn(&self) -> Txn {
        let name = &self.spec.name;
        let mut ops = vec![Op::put(job_key(name), to_json(self))];
        for share in &self.shares {
            let item = InboxItem::Job {
                spec: self.spec.clone(),
                part: share.part,
                at: self.at,
            };
            ops.push(Op::put(inbox_job(&share.cell, name), to_json(&item)));
        }
        Txn {
            compares: vec![Compare::Absent(job_key(name))],
            ops,
            otherwise: vec![KeyRange::one(job_key(name))],
        }
    }

    /// Returns the transaction that accepts the cancellation of the job: it puts an
    /// inbox item for every cell that was assigned a part. Repeating it changes
    /// nothing.
    #[must_use]
    pub fn cancel_txn(&self, at: Time) -> Txn {
        let name = &self.spec.name;
        let item = InboxItem::Cancel {
            job: name.clone(),
            at,
        };
        let mut ops = Vec::new();
        for share in &self.shares {
            ops.push(Op::put(inbox_cancel(&share.cell, name), to_json(&item)));
        }
        Txn {
            compares: vec![Compare::Present(job_key(name))],
            ops,
            otherwise: Vec::new(),
        }
    }
}

/// Serializes a value of this crate; this can't fail, because no map in these types
/// has keys that JSON can't represent.
fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
