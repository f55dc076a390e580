//! Records and groups of a cell's journal.
//!
//! Replaying the records also derives the accounting events, so the journal does
//! not store these.

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
    /// The task finished successfully.
    Finished,
    /// The task failed. A quarantine of the worker later removes the failure.
    Failed,
    /// The agent stopped the attempt before its end; a checkpoint is kept.
    Stopped,
    /// The lease expired without a report from the worker.
    Lost,
}

/// The binding of an attempt to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundRecord {
    /// The bound attempt.
    pub run: TaskRun,
    /// The worker's VM.
    pub vm: VmName,
    /// The incarnation of the agent that the attempt was bound to.
    pub incarnation: Incarnation,
    /// The availability zone of the VM.
    pub zone: AvailabilityZoneName,
    /// The resources reserved for the attempt.
    pub reserved: Resources,
    /// When the owner bound the attempt.
    pub at: Time,
}

/// One change of a cell's state.
///
/// All times are by the clock of the owner, except where noted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// The owner handled a new job, or this cell's part of it, from the inbox.
    Accepted {
        /// The job as submitted.
        spec: JobSpec,
        /// The tasks assigned to this cell.
        part: TaskRange,
        /// When the job was accepted, by the clock of the accepting entry.
        at: Time,
    },
    /// The owner handled tasks of a job that another cell transferred.
    Received {
        /// The job as submitted.
        spec: JobSpec,
        /// When the job was accepted, by the clock of the accepting entry.
        accepted: Time,
        /// The tasks with their attempts so far.
        tasks: Vec<MovedTask>,
        /// When the owner handled the transfer.
        at: Time,
    },
    /// An attempt was bound to a worker.
    Bound(BoundRecord),
    /// The eviction of a bound attempt started: the agent checkpoints and stops it.
    Evicting {
        /// The evicted attempt.
        run: TaskRun,
        /// The reason for the eviction.
        cause: Cause,
        /// The attempt that benefits from the eviction, if any.
        #[serde(rename = "gains")]
        beneficiary_run: Option<TaskRun>,
        /// The service that benefits from the eviction, if any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        service: Option<ServiceName>,
        /// When the eviction started.
        at: Time,
    },
    /// A bound attempt was throttled from `since` to `at`. Recorded when the throttling
    /// ends.
    Throttled {
        /// The throttled attempt.
        run: TaskRun,
        /// The service that the throttling protected.
        service: ServiceName,
        /// When the throttling started.
        since: Time,
        /// When the throttling ended.
        at: Time,
    },
    /// An attempt ended.
    Ended {
        /// The ended attempt.
        run: TaskRun,
        /// How the attempt ended.
        end: RunEnd,
        /// Where a later attempt can resume; `None` if no checkpoint is known.
        checkpoint: Option<Checkpoint>,
        /// When the owner learned of the end.
        at: Time,
    },
    /// The waiting tasks of a job failed, because no worker can hold them.
    #[serde(rename = "hopeless")]
    Unplaceable {
        /// The failed job.
        job: JobName,
        /// The reason, shown to operators.
        reason: String,
        /// When the owner decided this.
        at: Time,
    },
    /// The owner handled the cancellation of a job.
    Cancelled {
        /// The cancelled job.
        job: JobName,
        /// When the cancellation was accepted, by the clock of the accepting entry.
        at: Time,
    },
    /// Waiting tasks were transferred to another cell.
    Moved {
        /// The job of the tasks.
        job: JobName,
        /// The indexes of the tasks.
        tasks: Vec<u32>,
        /// The cell that receives the tasks.
        to: CellName,
        /// When the owner transferred the tasks.
        at: Time,
    },
    /// A faulty worker was quarantined. Failures on it no longer count against tasks.
    Quarantined {
        /// The worker's VM.
        vm: VmName,
        /// When the worker may take tasks again.
        until: Time,
    },
    /// An ended job was dropped after its retention.
    Forgotten {
        /// The dropped job.
        job: JobName,
    },
}

/// Records that one transaction writes together, as one key of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The epoch of the owner that wrote the group.
    pub epoch: Epoch,
    /// The group's sequence number; the numbers of a cell have no gaps.
    pub seq: u64,
    /// The revision of the configuration under which the records were made.
    pub revision: Revision,
    /// The records, in the order in which they apply.
    pub records: Vec<Record>,
    /// Keys that the same transaction deletes: handled inbox items and the keys of
    /// dropped jobs.
    #[serde(skip)]
    pub deletes: Vec<String>,
    /// Keys and values that the same transaction writes: inbox items of other cells.
    #[serde(skip)]
    pub puts: Vec<(String, Vec<u8>)>,
}
