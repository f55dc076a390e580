//! Recovery of tasks that are stuck, fall behind their step, or run on a draining
//! worker.

use std::{collections::BTreeSet, time::Duration};

use kernel::{Resources, Time, VmName};

use super::{
    Owner,
    entry::{Task, task_key},
    place::{PlacementRequest, Trial},
    schedule::count_tasks_per_vm,
    vm::{AssignedRun, Phase, Vm, VmStatus},
};
use crate::message::{Role, RunKey};

/// Interval between two checks of all runs.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// Time without CPU use after which a task counts as stuck: measurements cover half a
/// second, and a task that resumes from a checkpoint may be idle for 600 ms. It doubles with each
/// run of the task that was stopped.
const STUCK_AFTER: Duration = Duration::from_millis(1800);
/// Number of tasks of a step that must have completed before another one can be late.
const MIN_ENDED_TASKS: usize = 2;
/// Multiple of the step's median duration at which a second run of a task starts.
const COPY_AT_MULTIPLE: f64 = 1.5;
/// Multiple at which a task without copies is restarted; the restart loses its work. It doubles
/// with each run of the task that was stopped.
const RESTART_AT_MULTIPLE: f64 = 3.0;
/// Time that a task may run beyond a multiple before it is late.
const LATE_MARGIN: Duration = Duration::from_millis(150);

impl Owner {
    pub(super) fn recover_runs(&mut self, now: Time) {
        if !self.next_recovery.passed(now) {
            return;
        }
        self.next_recovery = now + RECOVERY_INTERVAL;
        self.schedule_due = true;
        self.retry_stops(now);
        self.stop_stuck(now);
        self.handle_stragglers(now);
        self.move_off_draining(now);
        self.save_on_draining(now);
        self.track_losses(now);
    }

    /// Moves long-running tasks off draining workers, one task of each worker in each
    /// round. A VM may disappear without notice within 2 s, and its tasks could then
    /// not be restarted before their leases expire.
    fn move_off_draining(&mut self, now: Time) {
        let mut runs_to_move = Vec::new();
        for (name, vm) in &self.vms {
            if vm.status() != VmStatus::Draining {
                continue;
            }
            let stays =
                |assigned: &AssignedRun| !matches!(assigned.phase(), Phase::Stopping { .. });
            let mut runs = vm.runs.iter();
            let next = runs.find(|(key, assigned)| stays(assigned) && self.is_long_running(key));
            runs_to_move.extend(next.map(|(key, _)| (name.clone(), key.clone())));
        }
        for (name, key) in runs_to_move {
            if self.has_place_elsewhere(now, &key) {
                self.stop_run(now, &name, &key, "worker is draining");
            }
        }
    }

    /// Stops tasks with checkpoints on draining workers that can't end in the time left, so that
    /// their progress is saved and they go on elsewhere. Other tasks run on, since a stop would
    /// lose all that they have done.
    fn save_on_draining(&mut self, now: Time) {
        let mut runs_to_save = Vec::new();
        for (name, vm) in &self.vms {
            let ends_at = vm.info.as_ref().and_then(|info| info.drains_until_millis);
            if vm.status() != VmStatus::Draining || ends_at.is_none() {
                continue;
            }
            let time_left = vm.time_until(now, ends_at);
            for (key, assigned) in &vm.runs {
                let is_present = matches!(assigned.phase(), Phase::Present { .. });
                let work_left = self
                    .work_left(now, vm, key, assigned)
                    .filter(|_| is_present);
                if let Some(work_left) = work_left.filter(|left| *left > time_left) {
                    runs_to_save.push((name.clone(), key.clone(), work_left, time_left));
                }
            }
        }
        // A worker may have room for one of the tasks but not for all of them, and those that are
        // still being stopped need it too.
        let mut wanted = self.stopping_on_draining();
        for (name, key, work_left, time_left) in runs_to_save {
            let entry = self.jobs.get(&key.task.job);
            let step = entry.and_then(|entry| entry.job.steps.get(usize::from(key.task.step)));
            let Some(need) = step.map(|step| step.need) else {
                continue;
            };
            if !self.can_take_now(now, &key, wanted) {
                continue;
            }
            wanted = wanted.plus(need);
            tracing::info!(
                task = %key.task,
                run = key.run,
                vm = %name,
                work_left_ms = work_left.as_millis() as u64,
                time_left_ms = time_left.as_millis() as u64,
                "task saves its progress, since it can't end on its draining worker"
            );
            self.stop_run(now, &name, &key, "worker is draining");
        }
    }

    /// Needs of the tasks that are being stopped on draining workers.
    fn stopping_on_draining(&self) -> Resources {
        let mut needs = Resources::NONE;
        for vm in self.vms.values() {
            if vm.status() != VmStatus::Draining {
                continue;
            }
            for (key, assigned) in &vm.runs {
                let entry = self.jobs.get(&key.task.job);
                let step = entry.and_then(|entry| entry.job.steps.get(usize::from(key.task.step)));
                if let (Some(step), Phase::Stopping { .. }) = (step, assigned.phase()) {
                    needs = needs.plus(step.need);
                }
            }
        }
        needs
    }

    /// Least time that the run of a task with checkpoints still takes; `None` for any other task.
    ///
    /// Estimates are wrong by up to 90%, so the progress so far counts if it shows that the task
    /// takes longer. A run that has resumed shows too much progress for its time, never too
    /// little.
    fn work_left(
        &self,
        now: Time,
        vm: &Vm,
        key: &RunKey,
        assigned: &AssignedRun,
    ) -> Option<Duration> {
        let entry = self.jobs.get(&key.task.job)?;
        let step = entry.job.steps.get(usize::from(key.task.step))?;
        // The members of a gang end together, so a stop of one breaks off all of them.
        if !step.checkpoints || step.gang || step.long_running {
            return None;
        }
        let progress = vm.listing.running().get(key)?.progress_percent.min(100);
        let left = f64::from(100 - progress) / 100.0;
        let median = entry
            .step(&key.task)?
            .median_duration_millis(MIN_ENDED_TASKS);
        let expected = Duration::from_millis(median.unwrap_or(step.estimate_millis)).mul_f64(left);
        if progress == 0 {
            return Some(expected);
        }
        let pace = now
            .since(assigned.since)
            .mul_f64(100.0 / f64::from(progress));
        Some(expected.max(pace.mul_f64(left)))
    }

    /// Whether one worker could take the task now beside tasks that need `others`. The task is
    /// not urgent: it would wait for a worker that is fast enough.
    fn can_take_now(&mut self, now: Time, key: &RunKey, others: Resources) -> bool {
        self.has_place(now, key, others, false)
    }

    fn has_place_elsewhere(&mut self, now: Time, key: &RunKey) -> bool {
        self.has_place(now, key, Resources::NONE, true)
    }

    fn has_place(&mut self, now: Time, key: &RunKey, others: Resources, is_urgent: bool) -> bool {
        let Some(entry) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let step = entry.job.steps.get(usize::from(key.task.step)).cloned();
        let queue = self.queues.get(&entry.job.queue).cloned();
        let (Some(mut step), Some(queue), Some(state)) = (step, queue, entry.step(&key.task))
        else {
            return false;
        };
        step.need = step.need.plus(others);
        let tasks_per_vm = count_tasks_per_vm(&step, state);
        let request = PlacementRequest {
            service: &queue.service,
            step: &step,
            avoid: &BTreeSet::new(),
            tasks_per_vm: &tasks_per_vm,
            required_rack: None,
            is_urgent,
            is_overdue: false,
            may_join_trials: false,
            trial: Trial::No,
        };
        self.choose_vm(now, &request).is_ok()
    }

    fn stop_stuck(&mut self, now: Time) {
        let mut stuck = Vec::new();
        for (name, vm) in &self.vms {
            for (key, assigned) in &vm.runs {
                let is_present = matches!(assigned.phase(), Phase::Present { .. });
                let Some(idle_since) = assigned.idle_since.filter(|_| is_present) else {
                    continue;
                };
                let backoff = self.recovery_backoff(key);
                // Long-running tasks may be idle, and a stop would interrupt service
                // to users.
                if (idle_since + STUCK_AFTER * backoff).passed(now) && !self.is_long_running(key) {
                    stuck.push((name.clone(), key.clone(), backoff));
                }
            }
        }
        for (name, key, backoff) in stuck {
            if backoff == 1 {
                self.quarantine(now, &name, "a task used no CPU time");
            }
            self.stop_and_avoid(now, &name, &key, "uses no CPU time");
        }
    }

    fn recovery_backoff(&self, key: &RunKey) -> u32 {
        let entry = self.jobs.get(&key.task.job);
        let task = entry.and_then(|entry| entry.task(&key.task));
        task.map_or(1, Task::recovery_backoff)
    }

    pub(super) fn is_long_running(&self, key: &RunKey) -> bool {
        let entry = self.jobs.get(&key.task.job);
        let step = entry.and_then(|entry| entry.job.steps.get(usize::from(key.task.step)));
        step.is_some_and(|step| step.long_running)
    }

    /// Stops a run so that its task starts on another VM.
    fn stop_and_avoid(&mut self, now: Time, name: &VmName, key: &RunKey, reason: &'static str) {
        if let Some(task) = self
            .jobs
            .get_mut(&key.task.job)
            .and_then(|entry| entry.task_mut(&key.task))
        {
            task.avoid.insert(name.clone());
            task.recoveries += 1;
        }
        self.stop_run(now, name, key, reason);
    }

    fn handle_stragglers(&mut self, now: Time) {
        let mut late = Vec::new();
        for (name, vm) in &self.vms {
            for (key, assigned) in &vm.runs {
                let is_present = matches!(assigned.phase(), Phase::Present { .. });
                if !is_present || assigned.role != Role::Plain {
                    continue;
                }
                let Some(multiple) = self.relative_duration(now, key, assigned.since) else {
                    continue;
                };
                late.push((name.clone(), key.clone(), multiple));
            }
        }
        for (name, key, multiple) in late {
            self.handle_straggler(now, &name, &key, multiple);
        }
    }

    /// Duration of a run as a multiple of its step's median; `None` if it can't be
    /// compared.
    fn relative_duration(&self, now: Time, key: &RunKey, since: Time) -> Option<f64> {
        let entry = self.jobs.get(&key.task.job)?;
        let step = entry.job.steps.get(usize::from(key.task.step))?;
        if step.long_running || step.gang || step.best_effort || entry.outcome.is_some() {
            return None;
        }
        let median = entry
            .step(&key.task)?
            .median_duration_millis(MIN_ENDED_TASKS)?;
        let span = now.since(since).saturating_sub(LATE_MARGIN);
        Some(span.as_millis() as f64 / median.max(1) as f64)
    }

    fn handle_straggler(&mut self, now: Time, name: &VmName, key: &RunKey, multiple: f64) {
        let Some(entry) = self.jobs.get(&key.task.job) else {
            return;
        };
        let Some(step) = entry.job.steps.get(usize::from(key.task.step)).cloned() else {
            return;
        };
        let Some(queue) = self.queues.get(&entry.job.queue).cloned() else {
            return;
        };
        let Some(state) = entry.step(&key.task) else {
            return;
        };
        let Some(task) = state.tasks().get(key.task.index as usize) else {
            return;
        };
        if let Some(vm) = self.vms.get_mut(name)
            && multiple >= RESTART_AT_MULTIPLE
        {
            vm.health.record_duration(now, multiple);
        }
        let may_copy = step.copies
            && !task.is_suspect()
            && task.runs().len() == 1
            && multiple >= COPY_AT_MULTIPLE;
        let restart_at = RESTART_AT_MULTIPLE * f64::from(task.recovery_backoff());
        if !may_copy && (step.copies || multiple < restart_at) {
            return;
        }
        let mut avoid = task.avoid.clone();
        avoid.insert(name.clone());
        let tasks_per_vm = count_tasks_per_vm(&step, state);
        let request = PlacementRequest {
            service: &queue.service,
            step: &step,
            avoid: &avoid,
            tasks_per_vm: &tasks_per_vm,
            required_rack: None,
            is_urgent: true,
            is_overdue: false,
            may_join_trials: false,
            trial: Trial::No,
        };
        let Ok(vm) = self.choose_vm(now, &request) else {
            return;
        };
        if avoid.contains(&vm) {
            return;
        }
        if !may_copy {
            self.stop_and_avoid(now, name, key, "slower than the median of its step");
            return;
        }
        let run = self.next_run();
        let index = key.task.index as usize;
        let (occurrence, number) = (key.task.occurrence, usize::from(key.task.step));
        let task = task_key(&key.task.job, occurrence, number, index);
        tracing::info!(task = %task, vm = %vm, late_on = %name, multiple, "starting copy of a late task");
        self.order_start(now, &vm, RunKey { task, run }, &step);
    }
}
