//! What the journal of a cell holds.
//!
//! Records are small facts. The accounting events follow from them by replay,
//! so they cost no bytes of their own in the journal.

use kernel::{
    AvailabilityZoneName, Cause, CellName, Checkpoint, Epoch, Incarnation, JobName, JobSpec,
    Resources, Revision, ServiceName, TaskRun, Time, VmName,
};
use serde::{Deserialize, Serialize};

use crate::{MovedTask, TaskRange};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It did its work.
    Finished,
    /// It failed, and its worker is not suspected of failing everything.
    Failed,
    /// It was stopped before its end; its checkpoint counts.
    Stopped,
    /// Its lease ran out without a word from its worker.
    Lost,
}

/// The binding of an attempt to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundRecord {
    /// The attempt.
    pub run: TaskRun,
    /// The worker's VM.
    pub vm: VmName,
    /// The life of its agent.
    pub incarnation: Incarnation,
    /// The availability zone of the VM.
    pub zone: AvailabilityZoneName,
    /// What is reserved.
    pub reserved: Resources,
    /// When.
    pub at: Time,
}

/// One fact about a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A job, or this cell's part of it, was taken from the inbox.
    Accepted {
        /// The job.
        spec: JobSpec,
        /// The tasks.
        part: TaskRange,
        /// When it was accepted.
        at: Time,
    },
    /// Tasks of a job came from another cell.
    Received {
        /// The job.
        spec: JobSpec,
        /// When the job was accepted.
        accepted: Time,
        /// The tasks.
        tasks: Vec<MovedTask>,
        /// When they came.
        at: Time,
    },
    /// An attempt was bound to a worker.
    Bound(BoundRecord),
    /// A bound attempt is to be checkpointed and stopped.
    Evicting {
        /// The attempt.
        run: TaskRun,
        /// Why.
        cause: Cause,
        /// Who gains from it, if a task does.
        #[serde(rename = "gains")]
        beneficiary_run: Option<TaskRun>,
        /// The service that gains from it, if one does.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        service: Option<ServiceName>,
        /// When.
        at: Time,
    },
    /// A bound attempt had less processor time for a while.
    Throttled {
        /// The attempt.
        run: TaskRun,
        /// The service that gained from it.
        service: ServiceName,
        /// Since when.
        since: Time,
        /// Until when.
        at: Time,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        run: TaskRun,
        /// How.
        end: RunEnd,
        /// Where a later attempt can resume.
        checkpoint: Option<Checkpoint>,
        /// When the owner learnt of it.
        at: Time,
    },
    /// The waiting tasks of a job can never run.
    #[serde(rename = "hopeless")]
    Unplaceable {
        /// The job.
        job: JobName,
        /// Why, for the operator.
        reason: String,
        /// When.
        at: Time,
    },
    /// A job was cancelled.
    Cancelled {
        /// The job.
        job: JobName,
        /// When.
        at: Time,
    },
    /// Tasks were given to another cell.
    Moved {
        /// The job.
        job: JobName,
        /// The tasks.
        tasks: Vec<u32>,
        /// The other cell.
        to: CellName,
        /// When.
        at: Time,
    },
    /// A worker failed everything it started; its failures count against no task.
    Quarantined {
        /// The worker's VM.
        vm: VmName,
        /// When it may take work again.
        until: Time,
    },
    /// An ended job was dropped from the lists.
    Forgotten {
        /// The job.
        job: JobName,
    },
}

/// Records that become durable together, one key of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The term of the owner that wrote it.
    pub epoch: Epoch,
    /// Its number; the numbers of a cell have no gaps.
    pub seq: u64,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The facts, in their order.
    pub records: Vec<Record>,
    /// Keys of the inbox that the same transaction deletes.
    #[serde(skip)]
    pub deletes: Vec<String>,
    /// Keys that the same transaction writes, such as another cell's inbox.
    #[serde(skip)]
    pub puts: Vec<(String, Vec<u8>)>,
}
