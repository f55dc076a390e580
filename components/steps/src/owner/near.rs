//! Waits of steps for places near their data or near each other.

use std::{sync::Arc, time::Duration};

use kernel::{JobName, Time, VmName};

use super::{
    Owner,
    place::PlacementRequest,
    schedule::MAX_IDLE,
    vm::{AssignedRun, Vm, VmStatus},
};
use crate::{
    Step, TaskKey,
    locality::{
        self, Decision, Expectation, Objective, Rack, Reason, Room, Size, StepKey, WaitBegin,
        WaitChange, Wish,
    },
    message::Role,
};

/// The tasks of a step that could start on far workers only.
pub(super) struct FarTasks<'a> {
    pub(super) job: &'a JobName,
    pub(super) occurrence: u32,
    pub(super) number: usize,
    /// Number of the tasks.
    pub(super) count: usize,
    /// Racks any of which would be near.
    pub(super) racks: &'a [Arc<str>],
    /// Whether all tasks need places in one rack at the same time.
    pub(super) together: bool,
}

impl Owner {
    /// Whether tasks of the step may wait for a near place. Those of long-running steps do not,
    /// since they have no duration that a near place shortens.
    pub(super) fn may_wait_for_near(&self, step: &Step) -> bool {
        let is_far_slower = self.timing.far_factor > 1.0;
        self.timing.wait_for_near && is_far_slower && !step.long_running && step.estimate_millis > 0
    }

    /// Decides whether the tasks wait for near places. Returns how many do, all or none; otherwise
    /// they should take far workers.
    pub(super) fn tasks_to_wait(
        &mut self,
        now: Time,
        tasks: &FarTasks<'_>,
        request: &PlacementRequest<'_>,
    ) -> usize {
        let Some(entry) = self.jobs.get(tasks.job) else {
            return 0;
        };
        let Some(queue) = self.queues.get(&entry.job.queue) else {
            return 0;
        };
        let step = request.step;
        let near = Duration::from_millis(step.estimate_millis);
        let far = near.mul_f64(self.timing.far_factor);
        let objective = Objective {
            since: entry.known_since,
            span: entry.objective(queue),
            rest: entry.job.chain_after(tasks.number, 1.0),
            far_rest: entry.job.chain_after(tasks.number, self.timing.far_factor),
        };
        let has_objective = entry.job.schedule.is_none() && !entry.job.is_long_running();
        let slack_until = match has_objective {
            true => locality::slack_until(now, &objective, far),
            false => None,
        };
        let idle_until = entry.idle_since().map(|since| since + MAX_IDLE);
        let key: StepKey = (tasks.job.clone(), tasks.occurrence, tasks.number);
        let began = self.locality.began(&key).unwrap_or(WaitBegin {
            at: now,
            slack_until,
        });
        let size = Size::of(step);
        let mut best: Option<(Decision, Rack, Expectation)> = None;
        for name in tasks.racks {
            let rack: Rack = (request.service.clone(), Arc::clone(name));
            if !self.has_worker_in_rack(&rack, request) {
                continue;
            }
            let rate = self.locality.rate(now, &rack, size);
            // Only these need a look at all workers of the rack.
            let (all, free) = match rate.is_none() || tasks.together {
                true => self.near_places(&rack, size, request),
                false => (0, 0),
            };
            if tasks.together && all < tasks.count as u64 {
                // The rack can't hold them together, whatever becomes free.
                continue;
            }
            let expectation = rate.map_or(Expectation::Unlearnt(all), Expectation::Learnt);
            let decision = locality::decide(&Wish {
                now,
                since: began.at,
                tasks: tasks.count,
                free: if tasks.together { free } else { 0 },
                waiting: self.locality.waiting_of(&rack, &key),
                ahead: self.locality.ahead(&rack, &key),
                near,
                far,
                slack_until: began.slack_until,
                idle_until,
                expectation,
            });
            let is_more =
                |(known, ..): &(Decision, Rack, Expectation)| decision.tasks > known.tasks;
            if best.as_ref().is_none_or(is_more) {
                best = Some((decision, rack, expectation));
            }
        }
        let none = || {
            let rack = tasks.racks.first().cloned().unwrap_or_default();
            let decision = Decision {
                tasks: 0,
                until: now,
                reason: Reason::NoWorker,
            };
            (
                decision,
                (request.service.clone(), rack),
                Expectation::Unlearnt(0),
            )
        };
        let (decision, rack, expectation) = best.unwrap_or_else(none);
        let change = self
            .locality
            .set(now, &key, &rack, began, decision.until, decision.tasks);
        self.report_decision(now, &key, &rack, &decision, expectation, change);
        decision.tasks
    }

    fn report_decision(
        &mut self,
        now: Time,
        (job, occurrence, step): &StepKey,
        (_, rack): &Rack,
        decision: &Decision,
        expectation: Expectation,
        change: WaitChange,
    ) {
        let gave_up = change.before.saturating_sub(change.after);
        self.work.near_waits += change.after.saturating_sub(change.before) as u64;
        self.work.near_given_up += gave_up as u64;
        let waited_ms = change.waited.as_millis() as u64;
        if change.before == 0 && change.after > 0 {
            tracing::info!(
                %job,
                occurrence,
                step,
                %rack,
                tasks = change.after,
                reason = ?decision.reason,
                expectation = ?expectation,
                limit_ms = decision.until.since(now).as_millis() as u64,
                "step waits for a near place"
            );
        } else if gave_up > 0 {
            tracing::info!(
                %job,
                occurrence,
                step,
                %rack,
                tasks = gave_up,
                tasks_left = change.after,
                reason = ?decision.reason,
                expectation = ?expectation,
                waited_ms,
                "tasks of a step take far places after a wait"
            );
        } else if change.after == 0 {
            tracing::debug!(
                %job,
                occurrence,
                step,
                %rack,
                reason = ?decision.reason,
                expectation = ?expectation,
                waited_ms,
                "step takes far places"
            );
        }
    }

    /// Number of places of the size that the rack's workers have in all and free, among those that
    /// the request may use.
    fn near_places(
        &mut self,
        rack: &Rack,
        size: Size,
        request: &PlacementRequest<'_>,
    ) -> (u64, u64) {
        let (mut all, mut free) = (0, 0);
        for vm in self.workers_in_rack(rack, request) {
            let capacity = vm.info.as_ref().map(|info| info.capacity);
            let capacity = capacity.unwrap_or_default();
            if !request.step.reserved().fits(capacity) {
                continue;
            }
            let empty = Room {
                available: capacity,
                headroom_milli: i64::try_from(capacity.cpu_milli).unwrap_or(i64::MAX),
            };
            all += size.places(&empty);
            free += size.places(&vm.room());
        }
        (all, free)
    }

    /// Records the start of a task by itself: on a near place, or in a rack for which others wait.
    pub(super) fn record_near_start(&mut self, now: Time, vm: &VmName, key: &TaskKey, step: &Step) {
        if step.data_rack.is_some() && !self.is_far(vm, step) {
            self.record_near_found(now, key, 1);
            return;
        }
        let Some((rack, after)) = self.vms.get(vm).and_then(rack_and_room) else {
            return;
        };
        let before = Room {
            available: after.available.plus(step.reserved()),
            headroom_milli: after
                .headroom_milli
                .saturating_add_unsigned(step.need.cpu_milli),
        };
        self.locality
            .record_other_start(now, &rack, &before, &after);
    }

    /// Records that tasks of a step have started on near places.
    pub(super) fn record_near_found(&mut self, now: Time, key: &TaskKey, tasks: usize) {
        let step = (key.job.clone(), key.occurrence, usize::from(key.step));
        let change = self.locality.found(now, &step, tasks);
        self.work.near_found += change.before.saturating_sub(change.after) as u64;
        if change.before > 0 && change.after == 0 {
            tracing::info!(
                job = %key.job,
                occurrence = key.occurrence,
                step = key.step,
                waited_ms = change.waited.as_millis() as u64,
                "step found near places after a wait"
            );
        }
    }

    /// Forgets the wait of a step of which no task is left to start.
    pub(super) fn end_near_wait(&mut self, now: Time, key: &TaskKey) {
        let step = (key.job.clone(), key.occurrence, usize::from(key.step));
        let change = self.locality.end(now, &step);
        self.work.near_given_up += change.before as u64;
        if change.before > 0 {
            tracing::info!(
                job = %key.job,
                occurrence = key.occurrence,
                step = key.step,
                tasks = change.before,
                waited_ms = change.waited.as_millis() as u64,
                "job with nothing running takes far places after a wait"
            );
        }
    }

    /// Records that a run has ended and left its room.
    pub(super) fn record_freed_room(&mut self, now: Time, name: &VmName, run: &AssignedRun) {
        let Some(vm) = self
            .vms
            .get(name)
            .filter(|vm| vm.status() == VmStatus::Ready)
        else {
            return;
        };
        let Some((rack, after)) = rack_and_room(vm) else {
            return;
        };
        let cpu_milli = match run.role {
            Role::BestEffort { cpu_milli, .. } => cpu_milli,
            Role::Plain | Role::Serving { .. } => run.reserved.cpu_milli,
        };
        let before = Room {
            available: after.available.minus(run.reserved),
            headroom_milli: after.headroom_milli.saturating_sub_unsigned(cpu_milli),
        };
        self.locality.record_end(now, &rack, &before, &after);
    }
}

fn rack_and_room(vm: &Vm) -> Option<(Rack, Room)> {
    let info = vm.info.as_ref()?;
    let rack = info.labels.get(super::place::RACK_LABEL_INDEX)?;
    Some(((info.service.clone(), Arc::clone(rack)), vm.room()))
}
