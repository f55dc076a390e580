//! What must not be forgotten of a job once it runs.

use serde::{Deserialize, Serialize};

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// All of its tasks are done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// Its submitter cancelled it.
    Cancelled,
}

/// What a client is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// It has ended.
    Ended(Outcome),
}

/// The ends of the tasks of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The occurrence of the job.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// The tasks that are done, as ranges without their ends.
    pub done: Vec<(u32, u32)>,
    /// The runs of other tasks that failed, so that an end which is listed again
    /// counts once.
    pub failed: Vec<(u32, Vec<u64>)>,
}

/// The durable record of a job, written whole by its owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// How it ended, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// The steps in which something ended; dropped once the job has.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
}

/// Ascending numbers as ranges without their ends.
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
