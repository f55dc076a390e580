//! Binding, leases, evictions and ends of attempts.

use kernel::{Cause, Checkpoint, Resources, TaskRun, TaskState, Time, VmName};
use place::Reservation;

use super::{
    Owner,
    journal::Ordinal,
    learn::{ActiveThrottle, Beneficiary},
};
use crate::{BoundRecord, Record, RunEnd, Task};

/// Volatile data about a bound attempt.
#[derive(Debug)]
pub(super) struct BoundRun {
    /// The VM that the attempt is bound to.
    pub(super) vm: VmName,
    /// When every lease that the attempt may have been granted has expired.
    pub(super) lease_until: Time,
    /// Whether the agent may have received a start order for the attempt.
    pub(super) may_have_started: bool,
    /// The record of the binding, which must be durable before a start order is
    /// sent.
    pub(super) bound_in: Ordinal,
    /// The newest checkpoint that the agent reported.
    pub(super) checkpoint: Option<Checkpoint>,
    /// Deadline for the checkpoint of an attempt that is being evicted; `None` if no
    /// eviction was started.
    pub(super) checkpoint_by: Option<Time>,
    /// Set while the attempt is throttled to protect a service.
    pub(super) throttled: Option<ActiveThrottle>,
    /// Whether the attempt's resources are reserved in the fleet.
    pub(super) reserved: bool,
}

impl Owner {
    /// Binds a waiting task. Returns false if its resources are not free on the VM or
    /// the record does not apply.
    pub(super) fn bind(&mut self, now: Time, bound: BoundRecord) -> bool {
        let run = bound.run.clone();
        let vm = bound.vm.clone();
        let Some(reservation) = self.reservation(&run, bound.reserved, now) else {
            return false;
        };
        if self.fleet.reserve(&run, &vm, reservation).is_err() {
            return false;
        }
        let Some(bound_in) = self.record(Record::Bound(bound)) else {
            self.fleet.release(&run);
            return false;
        };
        let bound_run = BoundRun {
            vm: vm.clone(),
            lease_until: Time::ZERO,
            may_have_started: false,
            bound_in,
            checkpoint: None,
            checkpoint_by: None,
            throttled: None,
            reserved: true,
        };
        self.bound_runs.insert(run.clone(), bound_run);
        self.runs_by_vm.entry(vm).or_default().insert(run);
        true
    }

    /// Starts the eviction of a bound attempt.
    ///
    /// An attempt without a start order ends immediately.
    pub(super) fn evict(
        &mut self,
        now: Time,
        run: &TaskRun,
        cause: Cause,
        beneficiary: Beneficiary,
    ) {
        let (beneficiary_run, service) = beneficiary.into_parts();
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
        let Some(bound_run) = self.bound_runs.get_mut(run) else {
            return;
        };
        bound_run.checkpoint_by = Some(by);
        if !bound_run.may_have_started {
            self.end(now, run, RunEnd::Stopped, None);
        }
    }

    /// Records the end of a bound attempt and releases its resources.
    pub(super) fn end(
        &mut self,
        now: Time,
        run: &TaskRun,
        end: RunEnd,
        checkpoint: Option<Checkpoint>,
    ) {
        self.unthrottle(now, run);
        let started = self.state.binding(run).map(|(_, binding)| binding.at);
        let reported = self
            .bound_runs
            .get(run)
            .and_then(|bound_run| bound_run.checkpoint.clone());
        let record = Record::Ended {
            run: run.clone(),
            end,
            checkpoint: checkpoint.or(reported),
            at: now,
        };
        let Some(ordinal) = self.record(record) else {
            return;
        };
        self.journal.add_pending_end(run.clone(), ordinal);
        self.learn_from_end(now, run, end, started.unwrap_or(now));
        self.fleet.release(run);
        self.placement_due = true;
        if let Some(bound_run) = self.bound_runs.remove(run) {
            self.remove_from_vm(run, &bound_run.vm);
            self.record_run_end(now, run, &bound_run.vm, end);
        }
        self.requeue_if_waiting(run);
    }

    fn remove_from_vm(&mut self, run: &TaskRun, vm: &VmName) {
        let Some(runs) = self.runs_by_vm.get_mut(vm) else {
            return;
        };
        runs.remove(run);
        if runs.is_empty() {
            self.runs_by_vm.remove(vm);
        }
    }

    pub(super) fn reservation(
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

    /// Returns the attempts bound to a VM.
    pub(super) fn runs_on(&self, vm: &VmName) -> Vec<TaskRun> {
        let runs = self.runs_by_vm.get(vm);
        runs.map_or_else(Vec::new, |runs| runs.iter().cloned().collect())
    }

    /// Ends attempts on `vm` for which every granted lease has expired.
    pub(super) fn end_expired(&mut self, now: Time, vm: &VmName) {
        for run in self.runs_on(vm) {
            let expired = self
                .bound_runs
                .get(&run)
                .is_none_or(|bound_run| bound_run.lease_until.passed(now));
            if expired {
                self.end(now, &run, RunEnd::Lost, None);
            }
        }
    }

    /// Starts the eviction of all attempts bound to `vm`.
    pub(super) fn evict_all(&mut self, now: Time, vm: &VmName, cause: Cause) {
        for run in self.runs_on(vm) {
            self.evict(now, &run, cause, Beneficiary::Unspecified);
        }
    }

    /// Notes that the owner grants the attempt a lease now.
    pub(super) fn extend_lease(&mut self, now: Time, run: &TaskRun) {
        let until = self.timing.lease_end(now);
        if let Some(bound_run) = self.bound_runs.get_mut(run) {
            bound_run.lease_until = bound_run.lease_until.max(until);
            bound_run.may_have_started = true;
        }
    }

    pub(super) fn run_state(&self, run: &TaskRun) -> Option<TaskState> {
        let (task, _) = self.state.binding(run)?;
        Some(task.state)
    }

    /// Returns the task of `run` if that is its newest attempt and bound to `vm`.
    pub(super) fn bound_task(&self, run: &TaskRun, vm: &VmName) -> Option<&Task> {
        let (task, binding) = self.state.binding(run)?;
        (binding.vm == *vm).then_some(task)
    }
}
