//! What the journal of a cell amounts to.
//!
//! The state changes only by [`State::apply`], so the same records always give
//! the same state: at the owner that decided them and at the one that recovers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kernel::{
    Attempt, AvailabilityZoneName, CellName, Checkpoint, Incarnation, JobName, JobSpec, Resources,
    TaskId, TaskRun, TaskState, Time, VmName,
};
use serde::{Deserialize, Serialize};

use crate::{TaskRange, ledger::Ledger};

mod apply;

/// On how many workers a task may fail before it stops for good.
pub const MAX_FAILED_WORKERS: usize = 3;

/// How often a task may fail before it stops for good, on whichever workers.
pub const MAX_FAILURES: usize = 5;

/// Where an attempt is bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// The worker's VM.
    pub vm: VmName,
    /// The life of the agent that it was bound to.
    pub incarnation: Incarnation,
    /// The availability zone of the VM.
    pub zone: AvailabilityZoneName,
    /// What is reserved.
    pub reserved: Resources,
    /// When it was bound.
    pub at: Time,
}

/// One task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Where it is in its life.
    pub state: TaskState,
    /// The newest attempt, 0 if none was made.
    pub attempt: Attempt,
    /// Since when it is in this state.
    pub since: Time,
    /// Where it is bound, unless it waits or has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound: Option<Binding>,
    /// Where the next attempt resumes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Checkpoint>,
    /// Where it failed, once for each failure.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<VmName>,
    /// Why it stopped for good, for the operator.
    #[serde(default, rename = "note", skip_serializing_if = "String::is_empty")]
    pub failure_reason: String,
}

impl Task {
    /// A task that waits and was never bound.
    #[must_use]
    pub const fn waiting(since: Time) -> Self {
        Self {
            state: TaskState::Waiting,
            attempt: Attempt(0),
            since,
            bound: None,
            checkpoint: None,
            failed_on: Vec::new(),
            failure_reason: String::new(),
        }
    }

    /// Whether it failed so often that it is not tried again.
    #[must_use]
    pub fn has_exhausted_retries(&self) -> bool {
        self.failed_workers() >= MAX_FAILED_WORKERS || self.failed_on.len() >= MAX_FAILURES
    }

    /// Its failures in words.
    #[must_use]
    pub fn failures(&self) -> String {
        let (times, workers) = (self.failed_on.len(), self.failed_workers());
        format!("failed {times} times, on {workers} workers")
    }

    fn failed_workers(&self) -> usize {
        self.failed_on.iter().collect::<BTreeSet<_>>().len()
    }
}

/// The part of a job that lies in the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// When it was accepted.
    #[serde(rename = "accepted")]
    pub accepted_at: Time,
    /// When it was cancelled.
    #[serde(default, rename = "cancelled")]
    pub cancelled_at: Option<Time>,
    /// Why its waiting tasks were given up.
    #[serde(default, rename = "hopeless")]
    pub unplaceable_reason: Option<String>,
    /// The tasks that this cell took at first: each that is neither in `tasks`
    /// nor in `moved` was never bound.
    #[serde(rename = "own")]
    pub assigned: TaskRange,
    /// Tasks that something happened to.
    pub tasks: BTreeMap<u32, Task>,
    /// Tasks given to other cells.
    #[serde(default)]
    pub moved: BTreeMap<u32, CellName>,
    /// How many tasks here can still run.
    #[serde(rename = "open")]
    pub open_tasks: u32,
    /// When the last of them ended.
    #[serde(default, rename = "ended")]
    pub ended_at: Option<Time>,
}

impl Job {
    /// A job of which no task lies here yet.
    fn empty(spec: &JobSpec, accepted_at: Time) -> Self {
        Self {
            spec: Arc::new(spec.clone()),
            accepted_at,
            cancelled_at: None,
            unplaceable_reason: None,
            assigned: TaskRange::default(),
            tasks: BTreeMap::new(),
            moved: BTreeMap::new(),
            open_tasks: 0,
            ended_at: None,
        }
    }

    /// One task, if it lies in this cell.
    #[must_use]
    pub fn task(&self, index: u32) -> Option<Task> {
        if let Some(task) = self.tasks.get(&index) {
            return Some(task.clone());
        }
        self.is_implicit(index).then(|| self.implicit_task())
    }

    /// Whether tasks that wait may still be bound.
    #[must_use]
    pub const fn may_bind_tasks(&self) -> bool {
        self.cancelled_at.is_none() && self.unplaceable_reason.is_none()
    }

    /// How many tasks here were never bound or given away.
    #[must_use]
    pub fn implicit_count(&self) -> u32 {
        let own = self.assigned.from..self.assigned.until.max(self.assigned.from);
        let touched = self.tasks.range(own.clone()).count() + self.moved.range(own).count();
        let touched = u32::try_from(touched).unwrap_or(u32::MAX);
        self.assigned.len().saturating_sub(touched)
    }

    /// What a task is that nothing happened to but the end of its whole job.
    fn implicit_task(&self) -> Task {
        let mut task = Task::waiting(self.accepted_at);
        if let Some(reason) = &self.unplaceable_reason {
            task.state = TaskState::Failed;
            task.failure_reason.clone_from(reason);
        } else if let Some(at) = self.cancelled_at {
            task.state = TaskState::Cancelled;
            task.since = at;
        }
        task
    }

    /// All tasks that lie in this cell.
    pub fn all_tasks(&self) -> impl Iterator<Item = (u32, Task)> + '_ {
        let last = self.tasks.keys().next_back().map_or(0, |last| last + 1);
        (0..last.max(self.assigned.until)).filter_map(|index| Some((index, self.task(index)?)))
    }

    /// Whether the task lies here and was never bound.
    #[must_use]
    pub fn is_implicit(&self, index: u32) -> bool {
        self.assigned.contains(index)
            && !self.tasks.contains_key(&index)
            && !self.moved.contains_key(&index)
    }

    fn materialize(&mut self, index: u32) -> Option<&mut Task> {
        if self.is_implicit(index) {
            let task = self.implicit_task();
            self.tasks.insert(index, task);
        }
        self.tasks.get_mut(&index)
    }
}

/// All that a cell's owner must not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The jobs.
    pub jobs: BTreeMap<JobName, Job>,
    /// Workers that fail everything, until when they get no work.
    pub quarantined: BTreeMap<VmName, Time>,
    /// The accounting events, the older ones as sums.
    pub ledger: Ledger,
}

impl State {
    /// One task.
    #[must_use]
    pub fn task(&self, id: &TaskId) -> Option<Task> {
        self.jobs.get(&id.job)?.task(id.index)
    }

    /// The binding of `run`, if that is the newest attempt and still bound.
    #[must_use]
    pub fn binding(&self, run: &TaskRun) -> Option<(&Task, &Binding)> {
        let task = self.jobs.get(&run.task.job)?.tasks.get(&run.task.index)?;
        let binding = task.bound.as_ref()?;
        (task.attempt == run.attempt).then_some((task, binding))
    }

    /// All attempts that are bound.
    pub fn bound_attempts(&self) -> impl Iterator<Item = (TaskRun, &Task, &Binding)> {
        self.jobs.iter().flat_map(|(name, job)| {
            job.tasks.iter().filter_map(|(index, task)| {
                let binding = task.bound.as_ref()?;
                let id = TaskId {
                    job: name.clone(),
                    index: *index,
                };
                let run = TaskRun {
                    task: id,
                    attempt: task.attempt,
                };
                Some((run, task, binding))
            })
        })
    }
}
