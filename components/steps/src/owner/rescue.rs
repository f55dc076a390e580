//! Tasks that stand still, fall behind their step, or lose their worker soon.

use std::{collections::BTreeSet, time::Duration};

use kernel::{Time, VmName};

use super::{
    Owner,
    entry::task_key,
    place::Wish,
    schedule::count_beside,
    vm::{Held, Phase, VmStatus},
};
use crate::message::RunKey;

/// How often runs are looked through.
const RESCUE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a task may use no processor time before it counts as stuck: figures
/// cover half a second, and a task that resumes may be idle for 600 ms.
const STUCK_AFTER: Duration = Duration::from_millis(1800);
/// How many tasks of a step must have ended to call another one late.
const ENDED_TO_COMPARE: usize = 2;
/// A task this many times slower than the median of its step gets a copy.
const COPY_AT: f64 = 1.5;
/// A task without copies is started again at this multiple: what it did is lost.
const RESTART_AT: f64 = 3.0;
/// No task is late before this much more than its multiple.
const LATE_MARGIN: Duration = Duration::from_millis(150);

impl Owner {
    pub(super) fn rescue(&mut self, now: Time) {
        if !self.next_rescue.passed(now) {
            return;
        }
        self.next_rescue = now + RESCUE_INTERVAL;
        self.schedule_due = true;
        self.stop_again(now);
        self.stop_stuck(now);
        self.help_late(now);
        self.leave_draining(now);
    }

    /// Moves tasks that last away from workers that are about to leave, one of
    /// each worker in each round: a VM may be gone within 2 s without a word, and
    /// then nothing may be started again before its leases have ended.
    fn leave_draining(&mut self, now: Time) {
        let mut leaving = Vec::new();
        for (name, vm) in &self.vms {
            if vm.status() != VmStatus::Draining {
                continue;
            }
            let stays = |held: &Held| !matches!(held.phase, Phase::Stopping { .. });
            let mut runs = vm.held.iter();
            let next = runs.find(|(key, held)| stays(held) && self.lasts(key));
            leaving.extend(next.map(|(key, _)| (name.clone(), key.clone())));
        }
        for (name, key) in leaving {
            if self.has_place_elsewhere(now, &key) {
                self.stop_run(now, &name, &key, "its worker leaves");
            }
        }
    }

    fn has_place_elsewhere(&mut self, now: Time, key: &RunKey) -> bool {
        let Some(entry) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let step = entry.job.steps.get(usize::from(key.task.step)).cloned();
        let queue = self.queues.get(&entry.job.queue).cloned();
        let (Some(step), Some(queue), Some(state)) = (step, queue, entry.step(&key.task)) else {
            return false;
        };
        let beside = count_beside(state);
        let wish = Wish {
            service: &queue.service,
            step: &step,
            avoid: &BTreeSet::new(),
            beside: &beside,
            rack: None,
            is_urgent: true,
        };
        self.choose(now, &wish).is_some()
    }

    fn stop_stuck(&mut self, now: Time) {
        let mut stuck = Vec::new();
        for (name, vm) in &self.vms {
            for (key, held) in &vm.held {
                let is_present = matches!(held.phase, Phase::Present { .. });
                // A task that lasts may rest, and a stop of ours takes it from users.
                if self.lasts(key) {
                    continue;
                }
                let is_idle = held
                    .idle_since
                    .is_some_and(|since| (since + STUCK_AFTER).passed(now));
                if is_present && is_idle {
                    stuck.push((name.clone(), key.clone()));
                }
            }
        }
        for (name, key) in stuck {
            if let Some(vm) = self.vms.get_mut(&name) {
                vm.health.rest(now);
            }
            self.abandon(now, &name, &key, "stands still");
        }
    }

    fn lasts(&self, key: &RunKey) -> bool {
        let entry = self.jobs.get(&key.task.job);
        let step = entry.and_then(|entry| entry.job.steps.get(usize::from(key.task.step)));
        step.is_some_and(|step| step.long_running)
    }

    /// Stops a run so that its task starts elsewhere.
    fn abandon(&mut self, now: Time, name: &VmName, key: &RunKey, why: &'static str) {
        if let Some(task) = self
            .jobs
            .get_mut(&key.task.job)
            .and_then(|entry| entry.task_mut(&key.task))
        {
            task.avoid.insert(name.clone());
        }
        self.stop_run(now, name, key, why);
    }

    fn help_late(&mut self, now: Time) {
        let mut late = Vec::new();
        for (name, vm) in &self.vms {
            for (key, held) in &vm.held {
                if !matches!(held.phase, Phase::Present { .. }) {
                    continue;
                }
                let Some(multiple) = self.lateness(now, key, held.since) else {
                    continue;
                };
                late.push((name.clone(), key.clone(), multiple));
            }
        }
        for (name, key, multiple) in late {
            self.help(now, &name, &key, multiple);
        }
    }

    /// How many medians of its step a run has taken, if it can be compared.
    fn lateness(&self, now: Time, key: &RunKey, since: Time) -> Option<f64> {
        let entry = self.jobs.get(&key.task.job)?;
        let step = entry.job.steps.get(usize::from(key.task.step))?;
        if step.long_running || step.gang || step.best_effort || entry.outcome.is_some() {
            return None;
        }
        let median = entry.step(&key.task)?.median_span(ENDED_TO_COMPARE)?;
        let span = now.since(since).saturating_sub(LATE_MARGIN);
        Some(span.as_millis() as f64 / median.max(1) as f64)
    }

    fn help(&mut self, now: Time, name: &VmName, key: &RunKey, multiple: f64) {
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
        let Some(task) = state.tasks.get(key.task.index as usize) else {
            return;
        };
        if let Some(vm) = self.vms.get_mut(name)
            && multiple >= RESTART_AT
        {
            vm.health.took(now, multiple);
        }
        let may_copy = step.copies && task.runs.len() == 1 && multiple >= COPY_AT;
        if !may_copy && (step.copies || multiple < RESTART_AT) {
            return;
        }
        let mut avoid = task.avoid.clone();
        avoid.insert(name.clone());
        let beside = count_beside(state);
        let wish = Wish {
            service: &queue.service,
            step: &step,
            avoid: &avoid,
            beside: &beside,
            rack: None,
            is_urgent: true,
        };
        let Some(vm) = self.choose(now, &wish) else {
            return;
        };
        if avoid.contains(&vm) {
            return;
        }
        if !may_copy {
            self.abandon(now, name, key, "late against its step");
            return;
        }
        let run = self.next_run();
        let index = key.task.index as usize;
        let (occurrence, number) = (key.task.occurrence, usize::from(key.task.step));
        let task = task_key(&key.task.job, occurrence, number, index);
        tracing::info!(task = %task, vm = %vm, late_on = %name, multiple, "copy");
        self.start(now, &vm, RunKey { task, run }, &step);
    }
}
