//! A job as described by its submitter.

use std::{fmt, str::FromStr, sync::Arc, time::Duration};

use kernel::{JobName, Resources, Time};
use serde::{Deserialize, Serialize};

use crate::Queue;

/// Maximum number of tasks of a step; bounds the state that one request can create in
/// an owner.
pub const MAX_STEP_TASKS: u32 = 10_000;
/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 256;
/// Maximum number of occurrences of a job.
pub const MAX_REPETITIONS: u32 = 100_000;
/// Maximum length of the description that is passed to the tasks, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// Why a job was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// The job has no steps.
    #[error("steps: the job has no step; give at least one")]
    NoStep,
    /// The job has too many steps.
    #[error("steps: {0} steps are more than {MAX_STEPS}")]
    TooManySteps(usize),
    /// A step has no tasks or too many.
    #[error("steps[{step}].count: {count} is not between 1 and {MAX_STEP_TASKS}")]
    Count {
        /// Index of the step.
        step: usize,
        /// Given number of tasks.
        count: u32,
    },
    /// A step depends on itself or on a later step.
    #[error("steps[{step}].after: {after} is not the number of an earlier step")]
    After {
        /// Index of the step.
        step: usize,
        /// Given dependency.
        after: u16,
    },
    /// The description is too long.
    #[error("spec: {0} bytes are more than {MAX_SPEC_BYTES}")]
    Spec(usize),
    /// The schedule has too many occurrences.
    #[error("repetitions: {0} is more than {MAX_REPETITIONS}")]
    Repetitions(u32),
    /// A step is a gang and allows copies; copies of gang members can't be told apart.
    #[error("steps[{0}]: a gang can't have copies; drop one of the two")]
    GangWithCopies(usize),
}

/// A group of equal tasks that may run in parallel.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Rough estimate of a task's duration in milliseconds.
    pub estimate_millis: u64,
    /// Indexes of earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether the tasks can run only together and end together.
    pub gang: bool,
    /// Whether the tasks are slower if they run on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Arc<str>>,
    /// Rack near the data; tasks take longer on other racks.
    #[serde(rename = "rack")]
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one worker; `None` for no limit.
    pub per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time; the first one to complete
    /// counts.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Image that the tasks run. Tasks of one image are assumed to behave alike.
    pub image: Option<Arc<str>>,
    /// Limit of the tail latency in milliseconds; `None` for tasks that are not
    /// serving tasks.
    pub target_millis: Option<u64>,
    /// Whether the tasks use only CPU time that other tasks leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Maximum number of tasks of a long-running step that may be interrupted at the
    /// same time, if the submitter gave one.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Resources that a task reserves on its worker. A best-effort task reserves no
    /// CPU time.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        if self.best_effort {
            return Resources::new(0, self.need.memory_mib, self.need.accelerators);
        }
        self.need
    }
}

/// Schedule of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, by the wall clock.
    pub first: Time,
    /// Interval between two occurrences in milliseconds.
    pub interval_millis: u64,
    /// Number of occurrences.
    pub repetitions: u32,
}

impl Schedule {
    /// Due time of an occurrence, by the wall clock.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Time {
        let after = self.interval_millis.saturating_mul(u64::from(occurrence));
        self.first + Duration::from_millis(after)
    }
}

/// A job as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name chosen by the submitter; identifies the job.
    pub name: JobName,
    /// Name of the queue through which the job was submitted.
    pub queue: Arc<str>,
    /// The queue as it was when the job was accepted. An owner that has never seen a
    /// configuration with the queue goes by it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted_by: Option<Arc<Queue>>,
    /// Description that is passed to the tasks.
    pub spec: Arc<str>,
    /// Steps in the order in which they refer to each other.
    pub steps: Vec<Step>,
    /// Schedule of a repeated job; `None` for a job that runs once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// Time of acceptance, by the wall clock of the entry.
    pub accepted: Time,
}

impl Job {
    /// Checks that the job is consistent and within limits.
    ///
    /// # Errors
    ///
    /// Returns a [`JobError`] that names the field.
    pub fn validate(&self) -> Result<(), JobError> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(JobError::Spec(self.spec.len()));
        }
        if self.steps.is_empty() {
            return Err(JobError::NoStep);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(JobError::TooManySteps(self.steps.len()));
        }
        if let Some(schedule) = &self.schedule
            && schedule.repetitions > MAX_REPETITIONS
        {
            return Err(JobError::Repetitions(schedule.repetitions));
        }
        for (number, step) in self.steps.iter().enumerate() {
            check_step(number, step)?;
        }
        Ok(())
    }

    /// Number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.repetitions)
    }

    /// Earliest start of an occurrence, by the wall clock.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Time {
        self.schedule
            .map_or(Time::ZERO, |schedule| schedule.due(occurrence))
    }

    /// Whether some tasks run until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Longest chain of estimated durations through the steps after this one, where those that
    /// depend on a rack take `far_factor` times as long.
    #[must_use]
    pub fn chain_after(&self, step: usize, far_factor: f64) -> Duration {
        let mut ends: Vec<Option<Duration>> = vec![None; step];
        ends.push(Some(Duration::ZERO));
        for later in self.steps.iter().skip(step + 1) {
            let after = later.after.iter();
            let before = after.filter_map(|&n| ends.get(usize::from(n)).copied().flatten());
            let begin = before.max();
            let factor = match later.same_rack || later.data_rack.is_some() {
                true => far_factor,
                false => 1.0,
            };
            let duration = Duration::from_millis(later.estimate_millis).mul_f64(factor);
            ends.push(begin.map(|begin| begin.saturating_add(duration)));
        }
        ends.into_iter().flatten().max().unwrap_or_default()
    }

    /// Longest chain of estimated durations through the steps, in milliseconds.
    #[must_use]
    pub fn longest_chain_millis(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begins = step.after.iter().filter_map(|&n| ends.get(usize::from(n)));
            let begin = begins.copied().max().unwrap_or_default();
            ends.push(begin.saturating_add(step.estimate_millis));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

fn check_step(number: usize, step: &Step) -> Result<(), JobError> {
    if step.count == 0 || step.count > MAX_STEP_TASKS {
        return Err(JobError::Count {
            step: number,
            count: step.count,
        });
    }
    for &after in &step.after {
        if usize::from(after) >= number {
            return Err(JobError::After {
                step: number,
                after,
            });
        }
    }
    if step.gang && step.copies {
        return Err(JobError::GangWithCopies(number));
    }
    Ok(())
}

/// Identity of a task, written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct TaskKey {
    /// Name of the job.
    pub job: JobName,
    /// Repetition number of a repeated job, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

/// A string that is not a valid task name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not the name of a task, JOB.OCCURRENCE.STEP.INDEX")]
pub struct TaskKeyError(String);

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskKey {
    type Err = TaskKeyError;

    fn from_str(text: &str) -> Result<Self, TaskKeyError> {
        parse_key(text).ok_or_else(|| TaskKeyError(text.to_owned()))
    }
}

fn parse_key(text: &str) -> Option<TaskKey> {
    let mut parts = text.rsplitn(4, '.');
    let index = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let occurrence = parts.next()?.parse().ok()?;
    let job = JobName::new(parts.next()?).ok()?;
    Some(TaskKey {
        job,
        occurrence,
        step,
        index,
    })
}

impl From<TaskKey> for String {
    fn from(key: TaskKey) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for TaskKey {
    type Error = TaskKeyError;

    fn try_from(text: String) -> Result<Self, TaskKeyError> {
        text.parse()
    }
}
