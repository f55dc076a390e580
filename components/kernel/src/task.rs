//! Jobs, tasks and their attempts.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{JobName, Resources, ServiceName, TeamName, Time};

/// The most tasks that one job may have.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;

/// How much a task's delay hurts, which decides who may displace whom.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum TaskClass {
    /// Only has to finish; may be throttled and evicted.
    #[default]
    Batch,
    /// Serves callers that wait; never evicted for batch.
    LatencyCritical,
}

/// How soon a task must start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Starts when its team's turn comes.
    #[default]
    Normal,
    /// Starts within seconds and evicts normal batch tasks where it must.
    Urgent,
}

/// A job as submitted: a number of equal tasks of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Chosen by the submitter; a second submit under this name is the same job.
    pub name: JobName,
    /// The team that pays.
    pub team: TeamName,
    /// Whether callers wait on it.
    #[serde(default)]
    pub class: TaskClass,
    /// How soon its tasks must start.
    #[serde(default)]
    pub urgency: Urgency,
    /// The number of tasks, 1 to [`MAX_TASKS_PER_JOB`].
    pub tasks: u32,
    /// What each task declares to need.
    pub need: Resources,
    /// The declared run time of one task, often far off the truth.
    pub expected_run: Duration,
    /// When the whole job has to be finished, if it matters.
    #[serde(default)]
    pub finish_by: Option<Time>,
    /// The service that the tasks belong to, for latency-critical tasks.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// What the platform's worker runs; passed on unread.
    #[serde(default)]
    pub program: String,
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job it is part of.
    pub job: JobName,
    /// Its number within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// The number of a try to run a task, from 1; each binding takes the next one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl Attempt {
    /// The attempt after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One attempt of one task: the unit that a worker starts at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// Which attempt.
    pub attempt: Attempt,
}

impl fmt::Display for TaskRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.task, self.attempt.0)
    }
}

/// The term of a cell's owner; a higher one always wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Progress that a later attempt can resume from; opaque to the system.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Checkpoint(pub String);

/// Where a task is in its life, see `docs/ARCHITECTURE.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Waits to be placed.
    Waiting,
    /// Bound to a worker; may be starting or running there.
    Bound,
    /// Being throttled, checkpointed and stopped to run elsewhere later.
    Evicting,
    /// Being stopped for good because its job was cancelled.
    Cancelling,
    /// Ended well and recorded.
    Finished,
    /// Failed on too many workers; needs an operator.
    Failed,
    /// Stopped because its job was cancelled.
    Cancelled,
}

impl TaskState {
    /// Whether the task will never run again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}
