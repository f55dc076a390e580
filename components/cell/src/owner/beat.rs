//! Handling of heartbeats and the owner's replies to them.

use std::collections::BTreeSet;

use kernel::{TaskRun, TaskState, Time, VmName};
use proto::messages::{Heartbeat, Order, Renewal, StartOrder, TaskPhase, TaskReport};

use super::{Action, Answer, Owner};
use crate::RunEnd;

impl Owner {
    pub(super) fn handle_heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Option<Action> {
        if beat.epoch > self.epoch {
            return Some(self.step_down());
        }
        let mut answer = Answer {
            epoch: self.epoch,
            ..Answer::default()
        };
        if self.update_worker(now, beat, &mut answer) {
            if !beat.tasks_unknown {
                self.handle_reports(now, beat, &mut answer);
                self.order_unlisted(now, beat, &mut answer);
                self.learn_from_heartbeat(now, beat);
            }
            self.update_availability(now, &beat.vm);
        }
        Some(Action::Answer(answer))
    }

    /// Updates a worker from its heartbeat. Returns whether the heartbeat is newer
    /// than all earlier ones and its worker is registered.
    fn update_worker(&mut self, now: Time, beat: &Heartbeat, answer: &mut Answer) -> bool {
        let known_incarnation = self.workers.get(&beat.vm).map(|worker| worker.incarnation);
        if known_incarnation.is_some_and(|known_incarnation| beat.incarnation < known_incarnation) {
            return false;
        }
        if known_incarnation != Some(beat.incarnation) {
            let Some(info) = beat.info.clone() else {
                answer.need_info = true;
                return false;
            };
            self.register_worker(now, info);
            if let Some(worker) = self.workers.get_mut(&beat.vm) {
                worker.sequence = 0;
                worker.follows_term = false;
                worker.leaving = false;
            }
        } else if let Some(info) = &beat.info {
            self.update_info(now, info);
        }
        let Some(worker) = self.workers.get_mut(&beat.vm) else {
            return false;
        };
        if beat.sequence <= worker.sequence {
            return false;
        }
        worker.sequence = beat.sequence;
        worker.last_heartbeat = now;
        worker.leaving |= beat.leaving;
        worker.follows_term |= beat.epoch == self.epoch;
        true
    }

    fn update_info(&mut self, now: Time, info: &kernel::VmInfo) {
        let changed = self
            .workers
            .get(&info.vm)
            .is_some_and(|worker| worker.info != *info);
        if changed {
            self.register_worker(now, info.clone());
        }
    }

    fn handle_reports(&mut self, now: Time, beat: &Heartbeat, answer: &mut Answer) {
        for report in &beat.tasks {
            self.handle_report(now, &beat.vm, report, answer);
        }
    }

    fn handle_report(&mut self, now: Time, vm: &VmName, report: &TaskReport, answer: &mut Answer) {
        let run = &report.run;
        let end = end_from_phase(report.phase);
        let is_current = self.bound_task(run, vm).is_some();
        match (is_current, end) {
            (true, Some(end)) => self.end(now, run, end, report.checkpoint.clone()),
            (true, None) => self.renew(now, report, answer),
            (false, None) => answer.orders.push(Order::Stop(run.clone())),
            (false, Some(_)) => {}
        }
        let recorded = end.is_some() && !self.journal.has_pending_end(run);
        if recorded && self.bound_task(run, vm).is_none() {
            answer.recorded.push(run.clone());
        }
    }

    /// Renews the lease of an attempt that runs on the worker it is bound to, and
    /// adds the orders for it.
    fn renew(&mut self, now: Time, report: &TaskReport, answer: &mut Answer) {
        let run = &report.run;
        let Some(bound_run) = self.bound_runs.get_mut(run) else {
            return;
        };
        bound_run.may_have_started = true;
        if report.checkpoint.is_some() {
            bound_run.checkpoint.clone_from(&report.checkpoint);
        }
        let overdue = bound_run.checkpoint_by.is_some_and(|by| by.passed(now));
        let mut may_renew = self.may_grant(now);
        match self.run_state(run) {
            Some(TaskState::Evicting) if overdue => {
                answer.orders.push(Order::Stop(run.clone()));
                may_renew = false;
            }
            Some(TaskState::Evicting) => {
                answer.orders.push(Order::Throttle(run.clone()));
                answer.orders.push(Order::Evict(run.clone()));
            }
            Some(TaskState::Cancelling) => {
                answer.orders.push(Order::Stop(run.clone()));
                may_renew = false;
            }
            _ => answer.orders.extend(self.pace_order(report)),
        }
        if !may_renew {
            return;
        }
        self.extend_lease(now, run);
        answer.renewed.push(Renewal {
            run: run.clone(),
            lease_millis: millis(self.timing.lease),
        });
    }

    /// Handles attempts that are bound to the worker but missing in its heartbeat.
    fn order_unlisted(&mut self, now: Time, beat: &Heartbeat, answer: &mut Answer) {
        let listed: BTreeSet<&TaskRun> = beat.tasks.iter().map(|report| &report.run).collect();
        for run in self.runs_on(&beat.vm) {
            if listed.contains(&run) {
                continue;
            }
            self.order_unlisted_run(now, beat, &run, answer);
        }
    }

    fn order_unlisted_run(
        &mut self,
        now: Time,
        beat: &Heartbeat,
        run: &TaskRun,
        answer: &mut Answer,
    ) {
        let Some((task, binding)) = self.state.binding(run) else {
            return;
        };
        let (state, bound_to) = (task.state, binding.incarnation);
        let until = self
            .bound_runs
            .get(run)
            .map_or(Time::ZERO, |bound_run| bound_run.lease_until);
        if bound_to != beat.incarnation {
            // The agent restarted after the binding; the task may still run until the
            // lease granted to the earlier incarnation expires.
            if until.passed(now) {
                self.end(now, run, RunEnd::Lost, None);
            }
            return;
        }
        if beat.epoch != self.epoch {
            return;
        }
        if state != TaskState::Bound && until.passed(now) {
            self.end(now, run, RunEnd::Stopped, None);
            return;
        }
        match state {
            TaskState::Evicting => answer.orders.push(Order::Evict(run.clone())),
            TaskState::Cancelling => answer.orders.push(Order::Stop(run.clone())),
            _ => self.push_start_order(now, &beat.vm, run, answer),
        }
    }

    /// Adds an order to start an attempt if its binding is durable, its worker
    /// takes work and the owner may start tasks.
    fn push_start_order(&mut self, now: Time, vm: &VmName, run: &TaskRun, answer: &mut Answer) {
        let durable = self
            .bound_runs
            .get(run)
            .is_some_and(|bound_run| self.is_durable(bound_run.bound_in));
        let Some(worker) = self.workers.get(vm) else {
            return;
        };
        let takes_work = self.objects.takes_work(&worker.info.zone, vm) && !worker.leaving;
        if !durable || !takes_work || !self.may_start(now) {
            return;
        }
        let Some(order) = self.start_order(now, run) else {
            return;
        };
        self.extend_lease(now, run);
        answer.orders.push(Order::Start(order));
    }

    fn start_order(&self, now: Time, run: &TaskRun) -> Option<StartOrder> {
        let spec = &self.state.jobs.get(&run.task.job)?.spec;
        let (task, binding) = self.state.binding(run)?;
        Some(StartOrder {
            run: run.clone(),
            reserved: binding.reserved,
            program: spec.program.clone(),
            class: spec.class,
            service: spec.service.clone(),
            checkpoint: task.checkpoint.clone(),
            lease_millis: millis(self.timing.lease),
            start_within_millis: millis(self.start_until()?.remaining(now)),
        })
    }
}

const fn end_from_phase(phase: TaskPhase) -> Option<RunEnd> {
    match phase {
        TaskPhase::Running | TaskPhase::Throttled => None,
        TaskPhase::Stopped => Some(RunEnd::Stopped),
        TaskPhase::Succeeded => Some(RunEnd::Finished),
        TaskPhase::Failed => Some(RunEnd::Failed),
    }
}

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
