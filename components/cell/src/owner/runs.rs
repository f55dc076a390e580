//! Bound attempts: their leases, evictions and ends.

use kernel::{Cause, Checkpoint, Resources, TaskRun, TaskState, Time, VmName};
use place::Reservation;

use super::{
    Owner,
    journal::Ordinal,
    learn::{Gains, Throttled},
};
use crate::{BoundRecord, Record, RunEnd, Task};

/// What is known of a bound attempt beside the state.
#[derive(Debug)]
pub(super) struct Live {
    /// Where it is bound.
    pub(super) vm: VmName,
    /// When every lease it may have been granted has ended.
    pub(super) lease_until: Time,
    /// Its agent may have been told to start it.
    pub(super) told: bool,
    /// The record that bound it; durable before its agent is told.
    pub(super) bound_in: Ordinal,
    /// Its newest checkpoint.
    pub(super) checkpoint: Option<Checkpoint>,
    /// When the time for its checkpoint ends, once it is to be evicted.
    pub(super) checkpoint_by: Option<Time>,
    /// It gets less processor time for the sake of a service.
    pub(super) throttled: Option<Throttled>,
    /// Its room is reserved in the fleet.
    pub(super) reserved: bool,
}

impl Owner {
    /// Binds a waiting task; its room must be free.
    pub(super) fn bind(&mut self, now: Time, bound: BoundRecord) -> bool {
        let run = bound.run.clone();
        let vm = bound.vm.clone();
        let Some(holding) = self.holding(&run, bound.reserved, now) else {
            return false;
        };
        if self.fleet.reserve(&run, &vm, holding).is_err() {
            return false;
        }
        let Some(bound_in) = self.record(Record::Bound(bound)) else {
            self.fleet.release(&run);
            return false;
        };
        let live = Live {
            vm: vm.clone(),
            lease_until: Time::ZERO,
            told: false,
            bound_in,
            checkpoint: None,
            checkpoint_by: None,
            throttled: None,
            reserved: true,
        };
        self.live.insert(run.clone(), live);
        self.homes.entry(vm).or_default().insert(run);
        true
    }

    /// Starts the eviction of a bound attempt.
    ///
    /// An attempt that its agent was never told of ends at once.
    pub(super) fn evict(&mut self, now: Time, run: &TaskRun, cause: Cause, gains: Gains) {
        let (beneficiary_run, service) = gains.into_parts();
        let record = Record::Evicting {
            run: run.clone(),
            cause,
            beneficiary_run,
            service,
            at: now,
        };
        if self.record(record).is_none() {
            return;
        }
        let by = now + self.timing.checkpoint_timeout;
        let Some(live) = self.live.get_mut(run) else {
            return;
        };
        live.checkpoint_by = Some(by);
        if !live.told {
            self.end(now, run, RunEnd::Stopped, None);
        }
    }

    /// Records the end of a bound attempt and frees its room.
    pub(super) fn end(
        &mut self,
        now: Time,
        run: &TaskRun,
        end: RunEnd,
        checkpoint: Option<Checkpoint>,
    ) {
        self.unthrottle(now, run);
        let started = self.state.binding(run).map(|(_, binding)| binding.at);
        let known = self.live.get(run).and_then(|live| live.checkpoint.clone());
        let record = Record::Ended {
            run: run.clone(),
            end,
            checkpoint: checkpoint.or(known),
            at: now,
        };
        let Some(ordinal) = self.record(record) else {
            return;
        };
        self.journal.await_end(run.clone(), ordinal);
        self.learn_end(now, run, end, started.unwrap_or(now));
        self.fleet.release(run);
        self.placement_due = true;
        if let Some(live) = self.live.remove(run) {
            self.leave_home(run, &live.vm);
            self.judge_health(now, run, &live.vm, end);
        }
        self.feed_again(run);
    }

    fn leave_home(&mut self, run: &TaskRun, vm: &VmName) {
        let Some(home) = self.homes.get_mut(vm) else {
            return;
        };
        home.remove(run);
        if home.is_empty() {
            self.homes.remove(vm);
        }
    }

    pub(super) fn holding(
        &self,
        run: &TaskRun,
        reserved: Resources,
        started: Time,
    ) -> Option<Reservation> {
        let spec = &self.state.jobs.get(&run.task.job)?.spec;
        Some(Reservation {
            team: spec.team.clone(),
            class: spec.class,
            urgency: spec.urgency,
            reserved,
            started,
        })
    }

    /// The attempts bound to a VM.
    pub(super) fn runs_on(&self, vm: &VmName) -> Vec<TaskRun> {
        let home = self.homes.get(vm);
        home.map_or_else(Vec::new, |runs| runs.iter().cloned().collect())
    }

    /// Ends attempts on `vm` whose last possible lease has passed.
    pub(super) fn end_lapsed(&mut self, now: Time, vm: &VmName) {
        for run in self.runs_on(vm) {
            let lapsed = self
                .live
                .get(&run)
                .is_none_or(|live| live.lease_until.passed(now));
            if lapsed {
                self.end(now, &run, RunEnd::Lost, None);
            }
        }
    }

    /// Starts the eviction of everything that runs on `vm`.
    pub(super) fn evict_all(&mut self, now: Time, vm: &VmName, cause: Cause) {
        for run in self.runs_on(vm) {
            self.evict(now, &run, cause, Gains::Nobody);
        }
    }

    /// Extends what is known of the leases of an attempt to one granted now.
    pub(super) fn grant(&mut self, now: Time, run: &TaskRun) {
        let until = self.timing.lease_end(now);
        if let Some(live) = self.live.get_mut(run) {
            live.lease_until = live.lease_until.max(until);
            live.told = true;
        }
    }

    pub(super) fn state_of(&self, run: &TaskRun) -> Option<TaskState> {
        let (task, _) = self.state.binding(run)?;
        Some(task.state)
    }

    /// The task of `run` if that is its newest attempt and bound to `vm`.
    pub(super) fn bound_to(&self, run: &TaskRun, vm: &VmName) -> Option<&Task> {
        let (task, binding) = self.state.binding(run)?;
        (binding.vm == *vm).then_some(task)
    }
}
