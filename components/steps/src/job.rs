//! A job as its submitter described it.

use std::{fmt, str::FromStr, sync::Arc};

use kernel::{JobName, Resources, Time};
use serde::{Deserialize, Serialize};

/// The most tasks that one step may have; a bound on what one request can make
/// an owner keep.
pub const MAX_STEP_TASKS: u32 = 10_000;
/// The most steps that one job may have.
pub const MAX_STEPS: usize = 256;
/// The most times that a job may repeat.
pub const MAX_REPETITIONS: u32 = 100_000;
/// The longest description that is handed to the tasks, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// Why a job can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// There is nothing to run.
    #[error("steps: the job has no step; give at least one")]
    NoStep,
    /// There are too many steps.
    #[error("steps: {0} steps are more than {MAX_STEPS}")]
    TooManySteps(usize),
    /// A step without tasks, or with too many.
    #[error("steps[{step}].count: {count} is not between 1 and {MAX_STEP_TASKS}")]
    Count {
        /// The step's number.
        step: usize,
        /// What was given.
        count: u32,
    },
    /// A step waits for itself or for a later one.
    #[error("steps[{step}].after: {after} is not the number of an earlier step")]
    After {
        /// The step's number.
        step: usize,
        /// What it would wait for.
        after: u16,
    },
    /// The description is too long.
    #[error("spec: {0} bytes are more than {MAX_SPEC_BYTES}")]
    Spec(usize),
    /// A schedule that can't be kept.
    #[error("repetitions: {0} is more than {MAX_REPETITIONS}")]
    Repetitions(u32),
    /// Copies of a gang can't be told apart.
    #[error("steps[{0}]: a gang can't have copies; drop one of the two")]
    GangWithCopies(usize),
}

/// One step: tasks of one kind that may run side by side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks it has.
    pub count: u32,
    /// What each of them reserves.
    pub need: Resources,
    /// A rough guess of how long a task runs, in milliseconds.
    pub estimate_millis: u64,
    /// The earlier steps all of whose tasks must be done first.
    pub after: Vec<u16>,
    /// Whether the tasks work only together and end together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<Arc<str>>,
    /// The rack near its data; elsewhere a task runs longer.
    #[serde(rename = "rack")]
    pub data_rack: Option<Arc<str>>,
    /// The most tasks of the step on one worker, if bounded.
    pub per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time; the first end counts.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Whether the tasks save their work.
    pub checkpoints: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// The tail latency that a serving task has to stay below.
    pub target_millis: Option<u64>,
    /// Whether the tasks use only the processor time that others leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// How many tasks of a lasting step we may take away at the same time.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// What a task takes from its worker's room; one that fills takes no
    /// processor time from it.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        if self.best_effort {
            return Resources::new(0, self.need.memory_mib, self.need.accelerators);
        }
        self.need
    }
}

/// When a repeated job is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, by the wall clock.
    pub first: Time,
    /// The time between two occurrences, in milliseconds.
    pub interval_millis: u64,
    /// How many occurrences there are.
    pub repetitions: u32,
}

impl Schedule {
    /// When an occurrence is due, by the wall clock.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Time {
        let after = self.interval_millis.saturating_mul(u64::from(occurrence));
        self.first + std::time::Duration::from_millis(after)
    }
}

/// A job as it is kept in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its identity, chosen by the submitter.
    pub name: JobName,
    /// The name of the queue that it came by.
    pub queue: Arc<str>,
    /// What its tasks are handed.
    pub spec: Arc<str>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// When it repeats, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// When it was accepted, by the wall clock of the entry.
    pub accepted: Time,
}

impl Job {
    /// Refuses a job that contradicts itself.
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

    /// How many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.repetitions)
    }

    /// When an occurrence may start, by the wall clock.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Time {
        self.schedule
            .map_or(Time::ZERO, |schedule| schedule.due(occurrence))
    }

    /// Whether some of its tasks run until it is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// The longest chain of estimates through the steps, in milliseconds.
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

/// The identity of one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct TaskKey {
    /// Its job.
    pub job: JobName,
    /// The occurrence of the job, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
    /// The task within the step, from 0.
    pub index: u32,
}

/// A string that names no task.
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
