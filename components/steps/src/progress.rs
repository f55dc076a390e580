//! Durable state of a job and its state as shown to clients.

use kernel::VmName;
use serde::{Deserialize, Serialize};

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// All tasks have completed.
    Completed,
    /// A task failed as many times as its queue allows, or crashes its workers.
    Failed,
    /// The submitter cancelled the job.
    Cancelled,
}

/// State of a job as shown to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// The job has ended.
    Ended(Outcome),
}

/// A crash of a worker that had just started a run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrash {
    /// Number of the run.
    pub run: u64,
    /// VM of the worker.
    pub vm: VmName,
    /// Whether no other run can have caused the crash.
    pub is_sole_suspect: bool,
    /// Whether other machines were lost in the same moment, which one task hardly causes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_mass_loss: bool,
}

/// Completed and failed tasks of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Repetition number of a repeated job, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Completed tasks, as half-open ranges of indexes.
    pub done: Vec<(u32, u32)>,
    /// Numbers of the failed runs of tasks that have not completed, so that a failure
    /// that a worker lists again counts once.
    pub failed: Vec<(u32, Vec<u64>)>,
    /// Crashes under tasks that have not completed, by index of the task.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<(u32, Vec<TaskCrash>)>,
}

/// Durable record of a job. Its owner always writes the whole record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// How the job ended; `None` while it has not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// Occurrences in which all tasks have completed, as half-open ranges.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<(u32, u32)>,
    /// Steps of the other occurrences with completed or failed tasks; empty once the job has
    /// ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
}

/// Converts ascending numbers to half-open ranges.
#[must_use]
pub fn to_ranges(numbers: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for number in numbers {
        match ranges.last_mut() {
            Some((_, end)) if *end == number => *end += 1,
            _ => ranges.push((number, number + 1)),
        }
    }
    ranges
}
