//! Heartbeats: what a worker says, what it is told.

use std::collections::BTreeSet;

use kernel::{TaskRun, TaskState, Time, VmName};
use proto::messages::{Heartbeat, Order, Renewal, StartOrder, TaskPhase, TaskReport};

use super::{Action, Answer, Owner};
use crate::RunEnd;

impl Owner {
    pub(super) fn take_heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Option<Action> {
        if beat.epoch > self.epoch {
            return Some(self.step_down());
        }
        let mut answer = Answer {
            epoch: self.epoch,
            ..Answer::default()
        };
        if self.note_worker(now, beat, &mut answer) {
            if !beat.tasks_unknown {
                self.take_reports(now, beat, &mut answer);
                self.order_unlisted(now, beat, &mut answer);
                self.learn_from(now, beat);
            }
            self.review(now, &beat.vm);
        }
        Some(Action::Answer(answer))
    }

    /// Notes that a worker lives; whether the heartbeat is news.
    fn note_worker(&mut self, now: Time, beat: &Heartbeat, answer: &mut Answer) -> bool {
        let known = self.workers.get(&beat.vm).map(|worker| worker.incarnation);
        if known.is_some_and(|known| beat.incarnation < known) {
            return false;
        }
        if known != Some(beat.incarnation) {
            let Some(info) = beat.info.clone() else {
                answer.need_info = true;
                return false;
            };
            self.learn_worker(now, info);
            if let Some(worker) = self.workers.get_mut(&beat.vm) {
                worker.sequence = 0;
                worker.obeys = false;
            }
        } else if let Some(info) = &beat.info {
            self.refresh_info(now, info);
        }
        let Some(worker) = self.workers.get_mut(&beat.vm) else {
            return false;
        };
        if beat.sequence <= worker.sequence {
            return false;
        }
        worker.sequence = beat.sequence;
        worker.heard = now;
        worker.leaving |= beat.leaving;
        worker.obeys |= beat.epoch == self.epoch;
        true
    }

    fn refresh_info(&mut self, now: Time, info: &kernel::VmInfo) {
        let changed = self
            .workers
            .get(&info.vm)
            .is_some_and(|worker| worker.info != *info);
        if changed {
            self.learn_worker(now, info.clone());
        }
    }

    fn take_reports(&mut self, now: Time, beat: &Heartbeat, answer: &mut Answer) {
        for report in &beat.tasks {
            self.take_report(now, &beat.vm, report, answer);
        }
    }

    fn take_report(&mut self, now: Time, vm: &VmName, report: &TaskReport, answer: &mut Answer) {
        let run = &report.run;
        let end = end_of(report.phase);
        let is_current = self.bound_to(run, vm).is_some();
        match (is_current, end) {
            (true, Some(end)) => self.end(now, run, end, report.checkpoint.clone()),
            (true, None) => self.renew(now, report, answer),
            (false, None) => answer.orders.push(Order::Stop(run.clone())),
            (false, Some(_)) => {}
        }
        let recorded = end.is_some() && !self.journal.awaits_end(run);
        if recorded && self.bound_to(run, vm).is_none() {
            answer.recorded.push(run.clone());
        }
    }

    /// Renews the lease of an attempt that runs where it is bound.
    fn renew(&mut self, now: Time, report: &TaskReport, answer: &mut Answer) {
        let run = &report.run;
        let Some(live) = self.live.get_mut(run) else {
            return;
        };
        live.told = true;
        if report.checkpoint.is_some() {
            live.checkpoint.clone_from(&report.checkpoint);
        }
        let overdue = live.checkpoint_by.is_some_and(|by| by.passed(now));
        let mut renews = self.may_grant(now);
        match self.state_of(run) {
            Some(TaskState::Evicting) if overdue => {
                answer.orders.push(Order::Stop(run.clone()));
                renews = false;
            }
            Some(TaskState::Evicting) => {
                answer.orders.push(Order::Throttle(run.clone()));
                answer.orders.push(Order::Evict(run.clone()));
            }
            Some(TaskState::Cancelling) => {
                answer.orders.push(Order::Stop(run.clone()));
                renews = false;
            }
            _ => answer.orders.extend(self.pace(report)),
        }
        if !renews {
            return;
        }
        self.grant(now, run);
        answer.renewed.push(Renewal {
            run: run.clone(),
            lease_millis: millis(self.timing.lease),
        });
    }

    /// Deals with attempts bound to the worker that its agent did not list.
    fn order_unlisted(&mut self, now: Time, beat: &Heartbeat, answer: &mut Answer) {
        let listed: BTreeSet<&TaskRun> = beat.tasks.iter().map(|report| &report.run).collect();
        for run in self.runs_on(&beat.vm) {
            if listed.contains(&run) {
                continue;
            }
            self.order_one(now, beat, &run, answer);
        }
    }

    fn order_one(&mut self, now: Time, beat: &Heartbeat, run: &TaskRun, answer: &mut Answer) {
        let Some((task, binding)) = self.state.binding(run) else {
            return;
        };
        let (state, bound_to) = (task.state, binding.incarnation);
        let until = self
            .live
            .get(run)
            .map_or(Time::ZERO, |live| live.lease_until);
        if bound_to != beat.incarnation {
            // The agent that was told is gone; its lease still holds.
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
            _ => self.start(now, &beat.vm, run, answer),
        }
    }

    /// Tells an agent to start an attempt, if everything that must hold does.
    fn start(&mut self, now: Time, vm: &VmName, run: &TaskRun, answer: &mut Answer) {
        let durable = self
            .live
            .get(run)
            .is_some_and(|live| self.is_durable(live.bound_in));
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
        self.grant(now, run);
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

const fn end_of(phase: TaskPhase) -> Option<RunEnd> {
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
