//! State that the owner keeps for a job and its tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kernel::{JobName, Time, VmName};

use super::health::FailingStep;
use crate::{
    Job, Outcome, Progress, Queue, TaskKey,
    message::RunKey,
    progress::{StepProgress, TaskCrash, to_ranges},
};

/// Number of times that the time to a recovery doubles.
const MAX_RECOVERY_DOUBLINGS: u32 = 10;

/// State of one task. Only [`JobEntry`] changes its runs and its completion, since it
/// counts both.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    /// Whether the task has completed.
    done: bool,
    /// Numbers of the runs that failed.
    pub(super) failures: Vec<u64>,
    /// Crashes of workers that had just started the task; empty again once a worker has
    /// survived it.
    pub(super) crashes: Vec<TaskCrash>,
    /// Number of the change that added the last crash.
    pub(super) crash_change: u64,
    /// Since when the task would run if it did not have to start on trial.
    pub(super) trial_awaited_since: Option<Time>,
    /// Runs that exist or may exist, each as VM and run number.
    runs: Vec<(VmName, u64)>,
    /// Newest checkpoint that a run of the task has saved, with the number of the run. The first
    /// member of a gang holds that of all members, which must resume from the same one.
    checkpoint: Option<(u64, Arc<str>)>,
    /// Number of runs that were stopped as they were stuck or too slow.
    pub(super) recoveries: u32,
    /// VMs on which the task failed, was stuck or ran too slowly.
    pub(super) avoid: BTreeSet<VmName>,
    /// When the last run of the task ended or was lost; `None` if there was none in this
    /// term. A start that was refused is no run.
    interrupted_at: Option<Time>,
}

impl Task {
    pub(super) const fn is_done(&self) -> bool {
        self.done
    }

    pub(super) fn runs(&self) -> &[(VmName, u64)] {
        &self.runs
    }

    /// Whether the task is not done and has no run.
    pub(super) const fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }

    /// Factor by which a run may take longer before it is stopped: a task that is stuck or slow
    /// on several workers is hardly so because of them.
    pub(super) fn recovery_backoff(&self) -> u32 {
        1 << self.recoveries.min(MAX_RECOVERY_DOUBLINGS)
    }
}

/// What holds back the start of a task whose step is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeldBackBy {
    /// Too many starts have no reply yet.
    Window,
    /// No worker has enough free capacity.
    Capacity,
    /// Every worker with enough free capacity would run the best-effort task too slowly.
    Speed,
    /// The task waits for a near place.
    NearPlace,
}

/// State of one step in one occurrence of the job.
#[derive(Clone, Debug)]
pub(super) struct StepState {
    tasks: Vec<Task>,
    /// Number of completed tasks.
    done: usize,
    /// Number of tasks that are not done and have no run.
    waiting: usize,
    /// What last held back a start of the step.
    held_back_by: Option<HeldBackBy>,
    /// Durations of the completed tasks in milliseconds, shortest first.
    durations_millis: Vec<u64>,
    pub(super) failing: FailingStep,
}

impl StepState {
    fn new(count: u32) -> Self {
        let count = usize::try_from(count).unwrap_or_default();
        Self {
            tasks: vec![Task::default(); count],
            done: 0,
            waiting: count,
            held_back_by: None,
            durations_millis: Vec::new(),
            failing: FailingStep::default(),
        }
    }

    pub(super) fn tasks(&self) -> &[Task] {
        &self.tasks
    }

    pub(super) fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Whether a task of the step may crash each worker that starts it.
    pub(super) fn has_suspects(&self) -> bool {
        self.tasks.iter().any(Task::is_suspect)
    }

    /// Number of tasks that are not done and have no run.
    pub(super) const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of tasks that are not done and have a run.
    pub(super) const fn running(&self) -> usize {
        self.tasks.len() - self.done - self.waiting
    }

    /// Completes a task; returns whether it was not done before.
    fn complete(&mut self, index: usize) -> bool {
        let Some(task) = self.tasks.get_mut(index).filter(|task| !task.done) else {
            return false;
        };
        self.waiting -= usize::from(task.is_waiting());
        task.done = true;
        self.done += 1;
        self.failing.record_success();
        true
    }

    fn complete_all(&mut self) {
        for index in 0..self.tasks.len() {
            self.complete(index);
        }
    }

    fn record_duration(&mut self, millis: u64) {
        let place = self
            .durations_millis
            .partition_point(|&known| known <= millis);
        self.durations_millis.insert(place, millis);
    }

    /// Median duration of completed tasks in milliseconds; `None` if fewer than
    /// `at_least` have completed.
    pub(super) fn median_duration_millis(&self, at_least: usize) -> Option<u64> {
        if self.durations_millis.len() < at_least.max(1) {
            return None;
        }
        Some(self.durations_millis[self.durations_millis.len() / 2])
    }
}

/// State of a job and its tasks.
#[derive(Clone, Debug)]
pub struct JobEntry {
    pub(super) job: Arc<Job>,
    /// Time at which this owner learned of the job.
    pub(super) known_since: Time,
    /// Whether an earlier owner may have known the job and started its tasks.
    pub(super) may_have_earlier_runs: bool,
    /// Store revision of the durable record; `None` if no record has been written.
    pub(super) record_revision: Option<i64>,
    pub(super) outcome: Option<Outcome>,
    /// Time at which this owner ended the job or learned of its end; `None` before.
    pub(super) ended_at: Option<Time>,
    /// Whether a worker has started a task of the job. An order alone does not count,
    /// since the worker may never carry it out.
    pub(super) started: bool,
    /// Time since which the job has had no runs; `None` while it has runs.
    idle_since: Option<Time>,
    /// Until when the job is owed no start, since it could not use the last one.
    pub(super) passed_over_until: Time,
    /// Number of runs of all tasks.
    run_count: usize,
    /// Longest chain of estimated durations through the steps.
    longest_chain: Duration,
    /// Whether a task has saved a checkpoint that this owner knows.
    has_checkpoints: bool,
    pub(super) occurrences: BTreeMap<u32, Vec<StepState>>,
    /// Occurrences in which all tasks have completed.
    pub(super) finished: BTreeSet<u32>,
}

impl JobEntry {
    pub(super) fn new(job: Arc<Job>, progress: Option<(Progress, i64)>, now: Time) -> Self {
        let mut entry = Self {
            known_since: now,
            may_have_earlier_runs: true,
            record_revision: None,
            outcome: None,
            ended_at: None,
            started: false,
            idle_since: Some(now),
            passed_over_until: Time::ZERO,
            run_count: 0,
            longest_chain: Duration::from_millis(job.longest_chain_millis()),
            has_checkpoints: false,
            occurrences: BTreeMap::new(),
            finished: BTreeSet::new(),
            job,
        };
        if let Some((progress, revision)) = progress {
            entry.record_revision = Some(revision);
            entry.restore(&progress, now);
        }
        entry
    }

    /// Logs what later lines about the job refer to.
    pub(super) fn log_known(&self) {
        let steps = &self.job.steps;
        tracing::info!(
            job = %self.job.name,
            queue = %self.job.queue,
            tasks = steps.iter().map(|step| u64::from(step.count)).sum::<u64>(),
            steps = steps.len(),
            longest_chain_ms = self.longest_chain.as_millis() as u64,
            best_effort = steps.iter().any(|step| step.best_effort),
            long_running = self.job.is_long_running(),
            restored = self.record_revision.is_some(),
            "job known"
        );
    }

    fn restore(&mut self, progress: &Progress, now: Time) {
        self.outcome = progress.outcome;
        self.ended_at = progress.outcome.map(|_| now);
        self.started = !progress.steps.is_empty() || !progress.finished.is_empty();
        for &(from, until) in &progress.finished {
            for occurrence in from..until.min(self.job.occurrences()) {
                for step in self.occurrence(occurrence) {
                    step.complete_all();
                }
            }
        }
        for saved in &progress.steps {
            let job = Arc::clone(&self.job);
            if saved.occurrence >= job.occurrences() {
                continue;
            }
            let steps = self.occurrence(saved.occurrence);
            let Some(step) = steps.get_mut(usize::from(saved.step)) else {
                continue;
            };
            for &(from, until) in &saved.done {
                let until = step.tasks.len().min(until as usize);
                for index in from as usize..until {
                    step.complete(index);
                }
            }
            for (index, failures) in &saved.failed {
                if let Some(task) = step.tasks.get_mut(*index as usize) {
                    task.failures.clone_from(failures);
                }
            }
            for (index, crashes) in &saved.crashes {
                if let Some(task) = step.tasks.get_mut(*index as usize) {
                    task.avoid
                        .extend(crashes.iter().map(|crash| crash.vm.clone()));
                    task.crashes.clone_from(crashes);
                }
            }
        }
        let occurrences: Vec<u32> = self.occurrences.keys().copied().collect();
        for occurrence in occurrences {
            self.note_finished(occurrence);
        }
    }

    /// Steps of an occurrence; creates their state on first use.
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

    /// Whether a task of a step may crash each worker that starts it.
    pub(super) fn has_suspects(&self, occurrence: u32, step: usize) -> bool {
        let steps = self.occurrences.get(&occurrence);
        let step = steps.and_then(|steps| steps.get(step));
        step.is_some_and(StepState::has_suspects)
    }

    pub(super) fn task(&self, key: &TaskKey) -> Option<&Task> {
        self.step(key)?.tasks.get(key.index as usize)
    }

    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        self.step_mut(key)?.tasks.get_mut(key.index as usize)
    }

    /// The task that holds what the members of a gang have in common; a task of any other step
    /// itself.
    pub(super) fn shared_key(&self, key: &TaskKey) -> TaskKey {
        let step = self.job.steps.get(usize::from(key.step));
        let mut key = key.clone();
        if step.is_some_and(|step| step.gang) {
            key.index = 0;
        }
        key
    }

    /// Records a checkpoint, unless it is of an earlier run than the newest one.
    pub(super) fn record_checkpoint(&mut self, run: &RunKey, checkpoint: Option<&Arc<str>>) {
        let key = self.shared_key(&run.task);
        let (Some(task), Some(checkpoint)) = (self.task_mut(&key), checkpoint) else {
            return;
        };
        let newest = task.checkpoint.as_ref().map_or(0, |(run, _)| *run);
        if run.run >= newest {
            task.checkpoint = Some((run.run, Arc::clone(checkpoint)));
            self.has_checkpoints = true;
        }
    }

    /// Checkpoint from which a task resumes.
    pub(super) fn checkpoint(&self, key: &TaskKey) -> Option<Arc<str>> {
        let task = self.task(&self.shared_key(key))?;
        let (_, checkpoint) = task.checkpoint.as_ref()?;
        Some(Arc::clone(checkpoint))
    }

    /// Adds a run to its task; returns whether the job has the task.
    pub(super) fn add_run(&mut self, key: &RunKey, vm: &VmName) -> bool {
        let Some(step) = self.step_mut(&key.task) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(key.task.index as usize) else {
            return false;
        };
        step.waiting -= usize::from(task.is_waiting());
        task.runs.push((vm.clone(), key.run));
        self.run_count += 1;
        self.idle_since = None;
        true
    }

    /// Removes a run from its task; returns whether the task may start again.
    pub(super) fn remove_run(&mut self, now: Time, key: &RunKey) -> bool {
        let Some(step) = self.step_mut(&key.task) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(key.task.index as usize) else {
            return false;
        };
        let before = task.runs.len();
        task.runs.retain(|(_, run)| *run != key.run);
        let removed = before - task.runs.len();
        let is_waiting = task.is_waiting();
        step.waiting += usize::from(is_waiting && removed > 0);
        self.run_count -= removed;
        if self.run_count == 0 && removed > 0 {
            self.idle_since = Some(now);
        }
        is_waiting && self.outcome.is_none()
    }

    /// Completes a task and, for a gang, all tasks of its step, and records how long the
    /// run took. Returns the runs that are left.
    pub(super) fn complete(
        &mut self,
        key: &TaskKey,
        is_gang: bool,
        span_millis: Option<u64>,
    ) -> Vec<(VmName, RunKey)> {
        let mut left = Vec::new();
        let Some(step) = self.step_mut(key) else {
            return left;
        };
        if let Some(millis) = span_millis {
            step.record_duration(millis);
        }
        let indexes = match is_gang {
            true => 0..step.tasks.len(),
            false => key.index as usize..key.index as usize + 1,
        };
        for index in indexes {
            if !step.complete(index) {
                continue;
            }
            let mut task = key.clone();
            task.index = u32::try_from(index).unwrap_or(u32::MAX);
            for (vm, run) in &step.tasks[index].runs {
                let task = task.clone();
                left.push((vm.clone(), RunKey { task, run: *run }));
            }
        }
        self.note_finished(key.occurrence);
        left
    }

    /// Whether a task may start now or once the next occurrence is due. Otherwise only
    /// the end of a run makes a task ready.
    pub(super) fn may_have_ready_tasks(&self) -> bool {
        if self.outcome.is_some() {
            return false;
        }
        if self.occurrences.len() < self.job.occurrences() as usize {
            return true;
        }
        for (&occurrence, steps) in &self.occurrences {
            if self.finished.contains(&occurrence) {
                continue;
            }
            for (number, step) in steps.iter().enumerate() {
                if step.waiting > 0 && self.may_start(occurrence, number) {
                    return true;
                }
            }
        }
        false
    }

    /// Whether a step has started and only a few of its tasks wait: at most a quarter. With a
    /// larger part the order would be that of the first starts.
    pub(super) fn has_last_tasks(&self) -> bool {
        let mut steps = self.occurrences.values().flatten();
        steps.any(|step| step.waiting > 0 && 4 * step.waiting <= step.tasks.len())
    }

    /// Whether tasks are done or have saved checkpoints.
    pub(super) fn has_progress(&self) -> bool {
        let mut steps = self.occurrences.values().flatten();
        self.has_checkpoints || !self.finished.is_empty() || steps.any(|step| step.done > 0)
    }

    /// Number of long-running tasks, and of those without a run.
    pub(super) fn count_long_running(&self) -> (usize, usize) {
        let (mut known, mut waiting) = (0, 0);
        for states in self.occurrences.values() {
            for (step, state) in self.job.steps.iter().zip(states) {
                if step.long_running {
                    known += state.tasks.len();
                    waiting += state.waiting;
                }
            }
        }
        (known, waiting)
    }

    /// Notes that a start of the step was held back.
    pub(super) fn hold_back(&mut self, occurrence: u32, step: usize, by: HeldBackBy) {
        let steps = self.occurrences.get_mut(&occurrence);
        if let Some(state) = steps.and_then(|steps| steps.get_mut(step)) {
            state.held_back_by = Some(by);
        }
    }

    /// What last held back a start of the task's step.
    pub(super) fn held_back_by(&mut self, key: &TaskKey) -> Option<HeldBackBy> {
        self.step_mut(key)?.held_back_by
    }

    /// Notes that a run of the task has ended or was lost.
    pub(super) fn note_interruption(&mut self, now: Time, key: &TaskKey) {
        if let Some(task) = self.task_mut(key) {
            task.interrupted_at = Some(now);
        }
    }

    /// Since when a task without a run has been waiting.
    pub(super) fn waiting_since(&self, task: &Task) -> Time {
        task.interrupted_at.unwrap_or(self.known_since)
    }

    /// Since when the job has had no runs; `None` while it has runs.
    pub(super) const fn idle_since(&self) -> Option<Time> {
        self.idle_since
    }

    /// Takes back the changes that starts which were not sent made to the idle time.
    pub(super) const fn set_idle_since(&mut self, idle_since: Option<Time>) {
        self.idle_since = idle_since;
    }

    /// Time within which the job should be done from its submission on.
    pub(super) fn objective(&self, queue: &Queue) -> Duration {
        queue.objective_of_chain(self.longest_chain)
    }

    /// Adds an occurrence to the finished ones if all of its tasks have completed.
    pub(super) fn note_finished(&mut self, occurrence: u32) {
        let is_done = self
            .occurrences
            .get(&occurrence)
            .is_some_and(|steps| steps.iter().all(StepState::is_done));
        if is_done {
            self.finished.insert(occurrence);
        }
    }

    /// Whether all tasks of all occurrences have completed.
    pub(super) fn is_complete(&self) -> bool {
        self.finished.len() == self.job.occurrences() as usize
    }

    /// Whether all steps that the step depends on are done.
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

    /// Tasks that may crash each worker that starts them.
    pub(super) fn suspects(&self) -> Vec<TaskKey> {
        let mut found = Vec::new();
        for (&occurrence, steps) in &self.occurrences {
            for (number, step) in steps.iter().enumerate() {
                for (index, task) in step.tasks.iter().enumerate() {
                    if task.is_suspect() {
                        found.push(task_key(&self.job.name, occurrence, number, index));
                    }
                }
            }
        }
        found
    }

    pub(super) const fn has_runs(&self) -> bool {
        self.run_count > 0
    }

    /// State of the job that must be durable.
    pub(super) fn progress(&self) -> Progress {
        let mut progress = Progress {
            outcome: self.outcome,
            ..Progress::default()
        };
        if self.outcome.is_some() {
            return progress;
        }
        progress.finished = to_ranges(self.finished.iter().copied());
        for (&occurrence, steps) in &self.occurrences {
            if self.finished.contains(&occurrence) {
                continue;
            }
            for (number, step) in steps.iter().enumerate() {
                let saved = step_progress(occurrence, number, step);
                let is_empty = saved.done.is_empty() && saved.failed.is_empty();
                if !is_empty || !saved.crashes.is_empty() {
                    progress.steps.push(saved);
                }
            }
        }
        progress
    }
}

/// Builds the key of a task.
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
    let mut crashes = Vec::new();
    for (index, task) in (0u32..).zip(&step.tasks) {
        if task.done {
            done.push(index);
            continue;
        }
        if !task.failures.is_empty() {
            failed.push((index, task.failures.clone()));
        }
        if !task.crashes.is_empty() {
            crashes.push((index, task.crashes.clone()));
        }
    }
    StepProgress {
        occurrence,
        step: u16::try_from(number).unwrap_or(u16::MAX),
        done: to_ranges(done),
        failed,
        crashes,
    }
}
