//! Jobs, tasks and their attempts.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{JobName, Resources, ServiceName, TeamName, Time};

/// The most tasks that one job may have.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;

/// Latency class of a task, which decides which tasks may evict others.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum TaskClass {
    /// Has no latency requirement; may be throttled and evicted.
    #[default]
    Batch,
    /// Serves callers that wait; never evicted for batch tasks.
    LatencyCritical,
}

/// How soon a task must start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Starts in the queue order of its team.
    #[default]
    Normal,
    /// Starts within seconds and may evict normal batch tasks for this.
    Urgent,
}

/// A job as submitted: a number of identical tasks of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The name chosen by the submitter. A second submission under the same
    /// name is the same job.
    pub name: JobName,
    /// The team whose quota and share are charged.
    pub team: TeamName,
    /// Whether callers wait for the tasks.
    #[serde(default)]
    pub class: TaskClass,
    /// How soon the tasks must start.
    #[serde(default)]
    pub urgency: Urgency,
    /// The number of tasks, 1 to [`MAX_TASKS_PER_JOB`].
    pub tasks: u32,
    /// The declared need of each task.
    pub need: Resources,
    /// The declared run time of one task, often far from the actual one.
    pub expected_run: Duration,
    /// The deadline of the whole job; `None` if it has none.
    #[serde(default)]
    pub finish_by: Option<Time>,
    /// The service of latency-critical tasks; `None` for other tasks.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The program, passed on to the platform's worker without interpretation.
    #[serde(default)]
    pub program: String,
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job of the task.
    pub job: JobName,
    /// The number of the task within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// The number of an attempt to run a task, from 1. Each binding takes the next
/// number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl Attempt {
    /// Returns the number of the next attempt.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One attempt of one task. A worker starts it at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: Attempt,
}

impl fmt::Display for TaskRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.task, self.attempt.0)
    }
}

/// The term of a cell's owner. The owner with the highest epoch is the valid
/// one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Progress from which a later attempt can resume; opaque to the system.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Checkpoint(pub String);

/// The state of a task; see `docs/ARCHITECTURE.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The task waits to be placed.
    Waiting,
    /// The task is bound to a worker and may be starting or running there.
    Bound,
    /// The task is being throttled, checkpointed and stopped, to run elsewhere
    /// later.
    Evicting,
    /// The task is being stopped permanently because its job was cancelled.
    Cancelling,
    /// The task finished and its end is recorded.
    Finished,
    /// The task failed on too many workers; an operator has to act.
    Failed,
    /// The task was stopped because its job was cancelled.
    Cancelled,
}

impl TaskState {
    /// Whether the task will never run again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}
