//! What waits for the owner of a cell.
//!
//! A job is accepted by the transaction that creates its key and its inbox
//! item, so it is accepted exactly once whether or not the cell has an owner at
//! that moment. The owner journals the item and deletes it in one group.

use kernel::{Attempt, Checkpoint, JobName, JobSpec, Time, VmName};
use serde::{Deserialize, Serialize};
use store::{Compare, KeyRange, Op, Txn, keys::job as job_key};

use crate::keys::{inbox_cancel, inbox_job};

/// One item of an inbox.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InboxItem {
    /// A job that is new in the system, or this cell's part of it.
    Job {
        /// The job.
        spec: JobSpec,
        /// The tasks that this cell takes.
        part: TaskRange,
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

/// Tasks of a job with consecutive numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRange {
    /// The first.
    pub from: u32,
    /// The end, left out of the part.
    pub until: u32,
}

impl TaskRange {
    /// All tasks of a job.
    #[must_use]
    pub const fn whole(spec: &JobSpec) -> Self {
        Self {
            from: 0,
            until: spec.tasks,
        }
    }

    /// How many tasks.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.until.saturating_sub(self.from)
    }

    /// Whether it holds no task.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Whether it holds a task.
    #[must_use]
    pub const fn contains(self, index: u32) -> bool {
        self.from <= index && index < self.until
    }
}

/// A part of a job and the cell that took it at first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellShare {
    /// The cell.
    pub cell: kernel::CellName,
    /// The tasks.
    pub part: TaskRange,
}

/// What the key of a job says: the proof that it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The cells that took it at first; they know where their tasks moved.
    pub shares: Vec<CellShare>,
    /// The job.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: Time,
}

impl AcceptedJob {
    /// Accepts the job: creates its key and an inbox item for each cell.
    ///
    /// It creates a key, so repeating it after a lost answer changes nothing;
    /// if the key exists it reads what it says.
    #[must_use]
    pub fn accept_txn(&self) -> Txn {
        let name = &self.spec.name;
        let mut ops = vec![Op::put(job_key(name), json(self))];
        for share in &self.shares {
            let item = InboxItem::Job {
                spec: self.spec.clone(),
                part: share.part,
                at: self.at,
            };
            ops.push(Op::put(inbox_job(&share.cell, name), json(&item)));
        }
        Txn {
            compares: vec![Compare::Absent(job_key(name))],
            ops,
            otherwise: vec![KeyRange::one(job_key(name))],
        }
    }

    /// Accepts the cancellation of the job at every cell that took a part;
    /// repeating it changes nothing.
    #[must_use]
    pub fn cancel_txn(&self, at: Time) -> Txn {
        let name = &self.spec.name;
        let item = InboxItem::Cancel {
            job: name.clone(),
            at,
        };
        let mut ops = Vec::new();
        for share in &self.shares {
            ops.push(Op::put(inbox_cancel(&share.cell, name), json(&item)));
        }
        Txn {
            compares: vec![Compare::Present(job_key(name))],
            ops,
            otherwise: Vec::new(),
        }
    }
}

/// Our own types always serialise: no map has keys that JSON can't hold.
fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
