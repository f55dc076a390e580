//! Handling of ended runs.

use kernel::{Time, VmName};

use super::{Owner, unknown::Release};
use crate::{
    Outcome,
    message::{EndedRun, RunEnd, RunKey},
};

/// Number of ended tasks of a step that are needed to compare another task with their
/// median.
const MIN_DURATIONS: usize = 3;

impl Owner {
    pub(super) fn on_run_ended(&mut self, now: Time, name: &VmName, end: &EndedRun) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if end.number <= vm.processed_end {
            return;
        }
        self.work.runs_lapsed += u64::from(end.how == RunEnd::Lapsed);
        vm.processed_end = end.number;
        let assigned = vm.remove_run(&end.key);
        vm.unknown_runs.remove(&end.key);
        let age_ms = |at: Time| now.since(at).as_millis() as u64;
        let span_ms = assigned.as_ref().map(|assigned| age_ms(assigned.since));
        if end.how == RunEnd::Lapsed {
            tracing::warn!(
                task = %end.key.task,
                run = end.key.run,
                vm = %name,
                how = ?end.how,
                end = end.number,
                span_ms,
                earlier_report_ms = vm.earlier_answer_at.map(age_ms),
                echo_sent_ms = vm.last_echo.map(|echo| age_ms(echo.sent_at)),
                echo_read_ms = vm.last_echo.map(|echo| age_ms(echo.read_at)),
                "run ended"
            );
        } else {
            tracing::info!(
                task = %end.key.task,
                run = end.key.run,
                vm = %name,
                how = ?end.how,
                end = end.number,
                span_ms,
                "run ended"
            );
        }
        if let Some(run) = &assigned {
            self.record_freed_room(now, name, run);
        }
        let release = match self.keep_unknown_end(name, end) {
            true => Release::AfterJobs(vec![end.key.task.job.clone()]),
            false => Release::AfterChange(self.apply_end(now, name, end, span_ms)),
        };
        if let Some(vm) = self.vms.get_mut(name) {
            vm.unrecorded_ends.push_back((end.number, release));
            vm.advance_recorded_end(self.durable_change);
            self.unrecorded_vms.insert(name.clone());
        }
        self.schedule_due = true;
    }

    /// Applies an end to its task. Returns the number of the change that must be durable
    /// before the worker may forget the end.
    pub(super) fn apply_end(
        &mut self,
        now: Time,
        name: &VmName,
        end: &EndedRun,
        span_ms: Option<u64>,
    ) -> u64 {
        // The state that makes an end redundant, such as the end of another run of the
        // task, may not be durable yet, so the worker keeps each successful end until
        // all changes so far are durable.
        let needs_record = self.apply_end_to_task(now, name, end, span_ms);
        match needs_record || end.how == RunEnd::Done {
            true => self.last_change,
            false => 0,
        }
    }

    /// Applies an end to its task. Returns whether the change must be durable before
    /// the worker may forget the end.
    fn apply_end_to_task(
        &mut self,
        now: Time,
        name: &VmName,
        end: &EndedRun,
        span_ms: Option<u64>,
    ) -> bool {
        let key = &end.key.task;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            tracing::warn!(
                task = %key,
                run = end.key.run,
                vm = %name,
                how = ?end.how,
                end = end.number,
                has_ended = self.ended_jobs.contains_key(&key.job),
                term_ms = now.since(self.term_start).as_millis() as u64,
                "end of a run of an unknown job"
            );
            return false;
        };
        let Some(step) = entry.job.steps.get(usize::from(key.step)).cloned() else {
            tracing::warn!(task = %key, run = end.key.run, vm = %name, "end of a run of an unknown step");
            return false;
        };
        entry.started = true;
        let has_ended = entry.outcome.is_some();
        entry.note_interruption(now, key);
        if entry.remove_run(now, &end.key) {
            self.waiting_jobs.insert(key.job.clone());
        }
        entry.record_checkpoint(&end.key, end.checkpoint.as_ref());
        let Some(task) = entry.task_mut(key) else {
            tracing::warn!(task = %key, run = end.key.run, vm = %name, "end of a run of an unknown task");
            return false;
        };
        if has_ended || task.is_done() {
            return false;
        }
        if matches!(end.how, RunEnd::Done | RunEnd::Failed) {
            self.clear_suspicion(&end.key);
        }
        match end.how {
            RunEnd::Done if step.long_running => false,
            RunEnd::Done => {
                self.complete_task(now, name, &end.key, step.gang, span_ms);
                true
            }
            RunEnd::Failed => {
                self.record_failure(now, name, &end.key, step.long_running);
                !step.long_running
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => false,
        }
    }

    fn complete_task(
        &mut self,
        now: Time,
        name: &VmName,
        run: &RunKey,
        gang: bool,
        span_ms: Option<u64>,
    ) {
        let key = &run.task;
        let job = key.job.clone();
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let median = entry
            .step(key)
            .and_then(|step| step.median_duration_millis(MIN_DURATIONS));
        let others = entry.complete(key, gang, span_ms);
        let is_complete = entry.is_complete();
        let step = entry.job.steps.get(usize::from(key.step));
        if let (Some(step), Some(queue)) = (step, self.queues.get(&entry.job.queue)) {
            let tasks = if gang { step.count as usize } else { 1 };
            self.demand.record_completed(&queue.service, step, tasks);
        }
        if let Some(vm) = self.vms.get_mut(name) {
            vm.health.record_end(now, &job, false);
            if let (Some(span), Some(median)) = (span_ms, median) {
                vm.health
                    .record_duration(now, span as f64 / median.max(1) as f64);
            }
        }
        // The members of a gang end together, so each member reports its end itself.
        if !gang {
            for (vm, other) in others {
                self.stop_run(now, &vm, &other, "task done elsewhere");
            }
        }
        self.mark_dirty(&job);
        // The next steps may be ready now.
        self.waiting_jobs.insert(job.clone());
        if is_complete {
            self.end_job(now, &job, Outcome::Completed);
        }
    }

    fn record_failure(&mut self, now: Time, name: &VmName, run: &RunKey, long_running: bool) {
        let job = run.task.job.clone();
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let counted = entry.shared_key(&run.task);
        let queue = entry.job.queue.clone();
        let is_evidence = entry
            .step_mut(&run.task)
            .is_some_and(|step| step.failing.record_failure(now, name));
        if let Some(task) = entry.task_mut(&run.task) {
            task.avoid.insert(name.clone());
        }
        let Some(task) = entry.task_mut(&counted) else {
            return;
        };
        if task.failures.contains(&run.run) {
            return;
        }
        // Long-running tasks have no limit on failures, so their failures are not
        // recorded.
        if !long_running {
            task.failures.push(run.run);
        }
        let failures = u32::try_from(task.failures.len()).unwrap_or(u32::MAX);
        if let Some(vm) = self.vms.get_mut(name)
            && is_evidence
            && vm.health.record_end(now, &job, true)
        {
            self.quarantine(now, name, "its recent runs failed");
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
            tracing::info!(task = %run.task, failures, most, "task reached its failure limit; its job fails");
            self.end_job(now, &job, Outcome::Failed);
        }
    }
}
