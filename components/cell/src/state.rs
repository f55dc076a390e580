//! The state that results from replaying a cell's journal.
//!
//! Only [`State::apply`] changes the state, so the same records always give the
//! same state, for the owner that made them and for an owner that recovers.

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

/// Number of different workers with failures at which a task fails permanently.
pub const MAX_FAILED_WORKERS: usize = 3;

/// Number of failures, on any workers, at which a task fails permanently.
pub const MAX_FAILURES: usize = 5;

/// The worker that an attempt is bound to, with the reserved resources.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// The worker's VM.
    pub vm: VmName,
    /// The incarnation of the agent that the attempt was bound to.
    pub incarnation: Incarnation,
    /// The availability zone of the VM.
    pub zone: AvailabilityZoneName,
    /// The resources reserved for the attempt.
    pub reserved: Resources,
    /// When the attempt was bound, by the clock of the owner.
    pub at: Time,
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The state in the task's life cycle.
    pub state: TaskState,
    /// The newest attempt; 0 if the task was never bound.
    pub attempt: Attempt,
    /// When the task entered its state.
    pub since: Time,
    /// The binding of the newest attempt; `None` while the task waits and after it
    /// ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound: Option<Binding>,
    /// Where the next attempt resumes; `None` to start from the beginning.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Checkpoint>,
    /// The VMs on which the task failed, once for each failure.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<VmName>,
    /// The reason for a permanent failure, shown to operators; empty otherwise.
    #[serde(default, rename = "note", skip_serializing_if = "String::is_empty")]
    pub failure_reason: String,
}

impl Task {
    /// Returns a task that waits and was never bound.
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

    /// Returns whether the task has failed so often that it gets no further attempt.
    #[must_use]
    pub fn has_exhausted_retries(&self) -> bool {
        self.failed_workers() >= MAX_FAILED_WORKERS || self.failed_on.len() >= MAX_FAILURES
    }

    /// Returns a description of the failures for operators.
    #[must_use]
    pub fn failures(&self) -> String {
        let (times, workers) = (self.failed_on.len(), self.failed_workers());
        format!("failed {times} times, on {workers} workers")
    }

    fn failed_workers(&self) -> usize {
        self.failed_on.iter().collect::<BTreeSet<_>>().len()
    }
}

/// The part of a job in this cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// When the job was accepted, by the clock of the accepting entry.
    #[serde(rename = "accepted")]
    pub accepted_at: Time,
    /// When the cancellation was accepted; `None` if the job is not cancelled.
    #[serde(default, rename = "cancelled")]
    pub cancelled_at: Option<Time>,
    /// Why the tasks fit on no worker, shown to operators. If set, the waiting tasks
    /// have failed; `None` otherwise.
    #[serde(default, rename = "hopeless")]
    pub unplaceable_reason: Option<String>,
    /// The tasks assigned to this cell at submission. Those neither in `tasks` nor
    /// in `moved` are implicit: they were never bound and need no entry.
    #[serde(rename = "own")]
    pub assigned: TaskRange,
    /// Tasks with an explicit entry, by index: bound at least once, or received from
    /// another cell.
    pub tasks: BTreeMap<u32, Task>,
    /// Tasks transferred to other cells, by index.
    #[serde(default)]
    pub moved: BTreeMap<u32, CellName>,
    /// The number of tasks in this cell that have not ended.
    #[serde(rename = "open")]
    pub open_tasks: u32,
    /// When the last open task ended; `None` while tasks are open.
    #[serde(default, rename = "ended")]
    pub ended_at: Option<Time>,
}

impl Job {
    /// Returns a job without tasks in this cell.
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

    /// Returns a task by its index, or `None` if the task is not in this cell.
    #[must_use]
    pub fn task(&self, index: u32) -> Option<Task> {
        if let Some(task) = self.tasks.get(&index) {
            return Some(task.clone());
        }
        self.is_implicit(index).then(|| self.implicit_task())
    }

    /// Returns whether waiting tasks may still be bound.
    #[must_use]
    pub const fn may_bind_tasks(&self) -> bool {
        self.cancelled_at.is_none() && self.unplaceable_reason.is_none()
    }

    /// Returns the number of implicit tasks.
    #[must_use]
    pub fn implicit_count(&self) -> u32 {
        let assigned = self.assigned.from..self.assigned.until.max(self.assigned.from);
        let explicit =
            self.tasks.range(assigned.clone()).count() + self.moved.range(assigned).count();
        let explicit = u32::try_from(explicit).unwrap_or(u32::MAX);
        self.assigned.len().saturating_sub(explicit)
    }

    /// Returns the state of an implicit task, which depends only on its job.
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

    /// Iterates over all tasks in this cell, with their indexes.
    pub fn all_tasks(&self) -> impl Iterator<Item = (u32, Task)> + '_ {
        let last = self.tasks.keys().next_back().map_or(0, |last| last + 1);
        (0..last.max(self.assigned.until)).filter_map(|index| Some((index, self.task(index)?)))
    }

    /// Returns whether a task is in this cell by its assigned range of indexes only,
    /// without a record of its own.
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

/// The durable state of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The jobs with tasks assigned to or received by this cell.
    pub jobs: BTreeMap<JobName, Job>,
    /// Until when each faulty worker gets no new tasks; the time may have passed.
    pub quarantined_until: BTreeMap<VmName, Time>,
    /// The accounting events: the newest individually, older ones as hourly and daily
    /// sums.
    pub ledger: Ledger,
}

impl State {
    /// Returns a task, or `None` if it is not in this cell.
    #[must_use]
    pub fn task(&self, id: &TaskId) -> Option<Task> {
        self.jobs.get(&id.job)?.task(id.index)
    }

    /// Returns the task and binding of `run`, or `None` if `run` is not the newest
    /// attempt of its task or not bound.
    #[must_use]
    pub fn binding(&self, run: &TaskRun) -> Option<(&Task, &Binding)> {
        let task = self.jobs.get(&run.task.job)?.tasks.get(&run.task.index)?;
        let binding = task.bound.as_ref()?;
        (task.attempt == run.attempt).then_some((task, binding))
    }

    /// Iterates over all bound attempts.
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
