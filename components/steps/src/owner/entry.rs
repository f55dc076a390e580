//! A job with its tasks, as the owner keeps it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kernel::{JobName, Time, VmName};

use crate::{
    Job, Outcome, Progress, TaskKey,
    message::RunKey,
    progress::{StepProgress, to_ranges},
};

/// One task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    /// Whether it is done for good.
    pub(super) done: bool,
    /// The runs that failed.
    pub(super) failures: Vec<u64>,
    /// The runs that exist or may exist, with their VMs.
    pub(super) runs: Vec<(VmName, u64)>,
    /// The newest saved work.
    pub(super) checkpoint: Option<Arc<str>>,
    /// Where it failed or stood still.
    pub(super) avoid: BTreeSet<VmName>,
    /// When it may be started again.
    pub(super) not_before: Time,
}

/// One step of one occurrence.
#[derive(Clone, Debug)]
pub(super) struct StepState {
    pub(super) tasks: Vec<Task>,
    /// How many tasks are done.
    pub(super) done: usize,
    /// How long tasks that ended as done took, in milliseconds, in order.
    pub(super) spans: Vec<u64>,
}

impl StepState {
    fn new(count: u32) -> Self {
        Self {
            tasks: vec![Task::default(); usize::try_from(count).unwrap_or_default()],
            done: 0,
            spans: Vec::new(),
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// The median time of tasks that are done, in milliseconds, once there are
    /// enough of them.
    pub(super) fn median_span(&self, at_least: usize) -> Option<u64> {
        if self.spans.len() < at_least.max(1) {
            return None;
        }
        let mut spans = self.spans.clone();
        spans.sort_unstable();
        Some(spans[spans.len() / 2])
    }
}

/// A job with what is known of its tasks.
#[derive(Clone, Debug)]
pub struct JobEntry {
    pub(super) job: Arc<Job>,
    pub(super) known_since: Time,
    /// The revision of the durable record, if there is one.
    pub(super) record: Option<i64>,
    pub(super) outcome: Option<Outcome>,
    pub(super) ended: Option<Time>,
    /// Whether a worker has begun a task of it; an order alone may come to nothing.
    pub(super) started: bool,
    /// Since when nothing of it runs.
    pub(super) idle_since: Option<Time>,
    pub(super) occurrences: BTreeMap<u32, Vec<StepState>>,
    /// Occurrences all of whose tasks are done, as a count of the first ones
    /// and a set of later ones.
    pub(super) finished: BTreeSet<u32>,
}

impl JobEntry {
    pub(super) fn new(job: Arc<Job>, progress: Option<(Progress, i64)>, now: Time) -> Self {
        let mut entry = Self {
            known_since: now,
            record: None,
            outcome: None,
            ended: None,
            started: false,
            idle_since: None,
            occurrences: BTreeMap::new(),
            finished: BTreeSet::new(),
            job,
        };
        if let Some((progress, revision)) = progress {
            entry.record = Some(revision);
            entry.recover(&progress, now);
        }
        entry
    }

    fn recover(&mut self, progress: &Progress, now: Time) {
        self.outcome = progress.outcome;
        self.ended = progress.outcome.map(|_| now);
        self.started = !progress.steps.is_empty();
        for part in &progress.steps {
            let job = Arc::clone(&self.job);
            if part.occurrence >= job.occurrences() {
                continue;
            }
            let steps = self.occurrence(part.occurrence);
            let Some(step) = steps.get_mut(usize::from(part.step)) else {
                continue;
            };
            for &(from, until) in &part.done {
                for index in from..until {
                    if let Some(task) = step.tasks.get_mut(index as usize) {
                        step.done += usize::from(!task.done);
                        task.done = true;
                    }
                }
            }
            for (index, failures) in &part.failed {
                if let Some(task) = step.tasks.get_mut(*index as usize) {
                    task.failures.clone_from(failures);
                }
            }
        }
        let occurrences: Vec<u32> = self.occurrences.keys().copied().collect();
        for occurrence in occurrences {
            self.note_finished(occurrence);
        }
    }

    /// The steps of an occurrence, made when first asked for.
    pub(super) fn occurrence(&mut self, occurrence: u32) -> &mut Vec<StepState> {
        let job = &self.job;
        self.occurrences.entry(occurrence).or_insert_with(|| {
            let steps = job.steps.iter();
            steps.map(|step| StepState::new(step.count)).collect()
        })
    }

    pub(super) fn step(&self, key: &TaskKey) -> Option<&StepState> {
        self.occurrences
            .get(&key.occurrence)?
            .get(usize::from(key.step))
    }

    pub(super) fn step_mut(&mut self, key: &TaskKey) -> Option<&mut StepState> {
        if key.occurrence >= self.job.occurrences() {
            return None;
        }
        self.occurrence(key.occurrence)
            .get_mut(usize::from(key.step))
    }

    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        self.step_mut(key)?.tasks.get_mut(key.index as usize)
    }

    /// Notes whether all tasks of an occurrence are done.
    pub(super) fn note_finished(&mut self, occurrence: u32) {
        let is_done = self
            .occurrences
            .get(&occurrence)
            .is_some_and(|steps| steps.iter().all(StepState::is_done));
        if is_done {
            self.finished.insert(occurrence);
        }
    }

    /// Whether all tasks of all occurrences are done.
    pub(super) fn is_complete(&self) -> bool {
        self.finished.len() == self.job.occurrences() as usize
    }

    /// Whether the steps before are done, so that a step's turn has come.
    pub(super) fn may_start(&self, occurrence: u32, step: usize) -> bool {
        let Some(steps) = self.occurrences.get(&occurrence) else {
            return false;
        };
        let after = &self.job.steps[step].after;
        after.iter().all(|&n| steps[usize::from(n)].is_done())
    }

    /// All runs that exist or may exist.
    pub(super) fn runs(&self) -> Vec<(VmName, RunKey)> {
        let mut found = Vec::new();
        for (&occurrence, steps) in &self.occurrences {
            for (number, step) in steps.iter().enumerate() {
                for (index, task) in step.tasks.iter().enumerate() {
                    for (vm, run) in &task.runs {
                        let task = task_key(&self.job.name, occurrence, number, index);
                        found.push((vm.clone(), RunKey { task, run: *run }));
                    }
                }
            }
        }
        found
    }

    pub(super) fn has_runs(&self) -> bool {
        let mut steps = self.occurrences.values().flatten();
        steps.any(|step| step.tasks.iter().any(|task| !task.runs.is_empty()))
    }

    /// What has to be durable.
    pub(super) fn progress(&self) -> Progress {
        let mut progress = Progress {
            outcome: self.outcome,
            steps: Vec::new(),
        };
        if self.outcome.is_some() {
            return progress;
        }
        for (&occurrence, steps) in &self.occurrences {
            for (number, step) in steps.iter().enumerate() {
                let part = step_progress(occurrence, number, step);
                if !part.done.is_empty() || !part.failed.is_empty() {
                    progress.steps.push(part);
                }
            }
        }
        progress
    }
}

/// The identity of a task by the numbers of its places.
pub(super) fn task_key(job: &JobName, occurrence: u32, step: usize, index: usize) -> TaskKey {
    TaskKey {
        job: job.clone(),
        occurrence,
        step: u16::try_from(step).unwrap_or(u16::MAX),
        index: u32::try_from(index).unwrap_or(u32::MAX),
    }
}

fn step_progress(occurrence: u32, number: usize, step: &StepState) -> StepProgress {
    let mut done = Vec::new();
    let mut failed = Vec::new();
    for (index, task) in (0u32..).zip(&step.tasks) {
        if task.done {
            done.push(index);
        } else if !task.failures.is_empty() {
            failed.push((index, task.failures.clone()));
        }
    }
    StepProgress {
        occurrence,
        step: u16::try_from(number).unwrap_or(u16::MAX),
        done: to_ranges(done),
        failed,
    }
}
