//! Ends of runs.

use kernel::{Time, VmName};

use super::Owner;
use crate::{
    Outcome,
    message::{EndedRun, RunEnd, RunKey},
};

/// Enough ended tasks of a step to compare another one with.
const SPANS_TO_COMPARE: usize = 3;

impl Owner {
    pub(super) fn take_end(&mut self, now: Time, name: &VmName, end: &EndedRun) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if end.number <= vm.processed {
            return;
        }
        vm.processed = end.number;
        let held = vm.release(&end.key);
        let span_ms = held.map(|held| now.since(held.since).as_millis() as u64);
        tracing::info!(
            task = %end.key.task,
            run = end.key.run,
            vm = %name,
            how = ?end.how,
            end = end.number,
            span_ms,
            "run ended"
        );
        // What makes an end needless may itself not be durable yet, such as the
        // end of another run of the task, so every end that is done waits for it.
        let is_settled = self.settle_end(now, name, end, span_ms);
        let needs = match is_settled || end.how == RunEnd::Done {
            true => self.changes,
            false => 0,
        };
        if let Some(vm) = self.vms.get_mut(name) {
            vm.to_record.push_back((end.number, needs));
        }
        self.release_recorded();
        self.schedule_due = true;
    }

    /// Changes the task that a run belonged to; whether that has to be durable
    /// before the worker may forget the end.
    fn settle_end(
        &mut self,
        now: Time,
        name: &VmName,
        end: &EndedRun,
        span_ms: Option<u64>,
    ) -> bool {
        let key = &end.key.task;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        let Some(spec) = entry.job.steps.get(usize::from(key.step)).cloned() else {
            return false;
        };
        entry.started = true;
        let is_over = entry.outcome.is_some();
        let Some(task) = entry.task_mut(key) else {
            return false;
        };
        task.runs.retain(|(_, run)| *run != end.key.run);
        if end.checkpoint.is_some() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if is_over || task.done {
            return false;
        }
        match end.how {
            RunEnd::Done if spec.long_running => false,
            RunEnd::Done => {
                self.finish(now, name, &end.key, spec.gang, span_ms);
                true
            }
            RunEnd::Failed => {
                self.fail(now, name, &end.key, spec.gang, spec.long_running);
                !spec.long_running
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => false,
        }
    }

    fn finish(&mut self, now: Time, name: &VmName, run: &RunKey, gang: bool, span_ms: Option<u64>) {
        let key = &run.task;
        let job = key.job.clone();
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let Some(step) = entry.step_mut(key) else {
            return;
        };
        let median = step.median_span(SPANS_TO_COMPARE);
        step.spans.extend(span_ms);
        let mut others = Vec::new();
        for (index, task) in (0u32..).zip(&mut step.tasks) {
            if task.done || (index != key.index && !gang) {
                continue;
            }
            task.done = true;
            step.done += 1;
            let mut task_key = key.clone();
            task_key.index = index;
            for (vm, number) in &task.runs {
                let other = RunKey {
                    task: task_key.clone(),
                    run: *number,
                };
                others.push((vm.clone(), other));
            }
        }
        entry.note_finished(key.occurrence);
        let is_complete = entry.is_complete();
        if let Some(vm) = self.vms.get_mut(name) {
            vm.health.ended(now, &job, false);
            if let (Some(span), Some(median)) = (span_ms, median) {
                vm.health.took(now, span as f64 / median.max(1) as f64);
            }
        }
        // The members of a gang end together, so their own ends follow.
        if !gang {
            for (vm, other) in others {
                self.stop_run(now, &vm, &other, "task done elsewhere");
            }
        }
        self.mark_dirty(&job);
        if is_complete {
            self.end_job(now, &job, Outcome::Completed);
        }
    }

    fn fail(&mut self, now: Time, name: &VmName, run: &RunKey, gang: bool, long_running: bool) {
        let job = run.task.job.clone();
        let mut counted = run.task.clone();
        if gang {
            counted.index = 0;
        }
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let queue = entry.job.queue.clone();
        if let Some(task) = entry.task_mut(&run.task) {
            task.avoid.insert(name.clone());
        }
        let Some(task) = entry.task_mut(&counted) else {
            return;
        };
        if task.failures.contains(&run.run) {
            return;
        }
        // Only the count matters for tasks that last, and it has no bound there.
        if !long_running {
            task.failures.push(run.run);
        }
        let failures = u32::try_from(task.failures.len()).unwrap_or(u32::MAX);
        if let Some(vm) = self.vms.get_mut(name)
            && vm.health.ended(now, &job, true)
        {
            tracing::warn!(vm = %name, "worker rests: all that it runs fails");
        }
        if long_running {
            return;
        }
        self.mark_dirty(&job);
        let most = self
            .queues
            .get(&queue)
            .map_or(u32::MAX, |queue| queue.max_attempts);
        if failures >= most {
            tracing::info!(task = %run.task, failures, most, "task failed for good");
            self.end_job(now, &job, Outcome::Failed);
        }
    }
}
