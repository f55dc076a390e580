//! Orders to workers and their results.

use kernel::{JobName, Time, VmName};

use super::{
    Owner,
    vm::{Phase, Vm},
};
use crate::message::{
    ClockReading, OrderResult, Orders, OrdersReply, OwnerHeader, Refusal, ReportPoll, RunKey,
};

/// Wait of a report poll; also the longest interval between two calls to an agent without
/// orders or updates.
pub(super) const REPORT_POLL_WAIT: std::time::Duration = std::time::Duration::from_millis(1_000);
/// Time after which an unconfirmed stop order is sent again.
const STOP_RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(400);
/// Time for which a worker that refused a task gets no tasks: until its next report.
const REFUSAL_PAUSE: std::time::Duration = std::time::Duration::from_millis(150);

impl Owner {
    /// Whether agents may renew leases. Without a recent proof of ownership they may
    /// not, so that the next owner can tell when the leases have expired.
    fn may_renew(&self, now: Time) -> bool {
        !(self.proved_at() + self.timing.renewal).passed(now)
    }

    /// Whether this process may still give orders. Its term ends without a proof, and a call
    /// to the store that is under way must not delay that.
    fn may_order(&self, now: Time) -> bool {
        !(self.proved_at() + self.timing.ownership).passed(now)
    }

    /// Logs when agents may no longer renew leases and when they may again.
    pub(super) fn track_renewal(&mut self, now: Time) {
        let proof_age_ms = now.since(self.proved_at()).as_millis() as u64;
        match (self.renewal_withheld_since, self.may_renew(now)) {
            (None, false) => {
                tracing::warn!(
                    epoch = self.epoch,
                    proof_age_ms,
                    limit_ms = self.timing.renewal.as_millis() as u64,
                    "ownership not proved recently; agents may not renew leases"
                );
                self.renewal_withheld_since = Some(now);
            }
            (Some(since), true) => {
                tracing::info!(
                    epoch = self.epoch,
                    proof_age_ms,
                    span_ms = now.since(since).as_millis() as u64,
                    "ownership proved; agents may renew leases again"
                );
                self.renewal_withheld_since = None;
            }
            _ => {}
        }
    }

    fn header(&self, now: Time, name: &VmName) -> OwnerHeader {
        let vm = self.vms.get(name);
        let clock_reading = vm
            .and_then(|vm| vm.clock_reading.as_ref())
            .map(|(clock_reading, _)| clock_reading)
            .or_else(|| self.told_reading(name))
            .filter(|_| self.may_renew(now));
        let incarnation = vm.and_then(|vm| vm.incarnation().cloned());
        OwnerHeader {
            epoch: self.epoch,
            owner: self.name.clone(),
            echo: clock_reading.cloned(),
            recorded: vm.and_then(|vm| Some((incarnation?, vm.recorded_end))),
            recorded_crash: vm
                .filter(|vm| vm.recorded_crash > 0)
                .map(|vm| (vm.agent_incarnation, vm.recorded_crash)),
        }
    }

    /// Returns the next report poll for a VM; `None` for an unknown VM.
    pub fn next_report_poll(&mut self, now: Time, vm: &VmName) -> Option<ReportPoll> {
        self.track_renewal(now);
        let header = self.header(now, vm);
        let entry = self.vms.get_mut(vm)?;
        entry.record_echo(now, &header);
        entry.acknowledged_end = entry.recorded_end;
        // Only an agent with serving tasks needs weights, and only those that it lacks.
        let mut weights = Vec::new();
        if entry.has_serving_runs() {
            weights = self
                .interference
                .published_since(entry.sent_weights_version);
            entry.sent_weights_version = self.interference.version();
        }
        Some(ReportPoll {
            weights,
            header,
            known_version: entry.report_version,
            wait_millis: REPORT_POLL_WAIT.as_millis() as u64,
            roles: std::mem::take(&mut entry.roles),
            known_report: entry.listing.applied(),
            wants_doubts: !self.suspects.is_empty(),
        })
    }

    /// VMs that have pending orders, or whose agents do not yet have the number of the
    /// last recorded end.
    pub fn vms_with_orders(&mut self) -> Vec<VmName> {
        let vms = &self.vms;
        self.order_vms
            .retain(|name| vms.get(name).is_some_and(Vm::has_orders));
        let may_send = |name: &&VmName| vms.get(*name).is_some_and(Vm::may_send_orders);
        self.order_vms.iter().filter(may_send).cloned().collect()
    }

    /// Returns and clears the pending orders for a VM; `None` if there are none, or if this
    /// process may not give any.
    pub fn take_orders(&mut self, now: Time, name: &VmName) -> Option<Orders> {
        self.track_renewal(now);
        if !self.may_order(now) {
            return None;
        }
        self.drop_stale_starts(now, name);
        let header = self.header(now, name);
        let start_within = self.timing.start_within;
        let vm = self.vms.get_mut(name).filter(|vm| vm.may_send_orders())?;
        let incarnation = vm.incarnation()?.clone();
        vm.open_calls += 1;
        vm.record_echo(now, &header);
        vm.acknowledged_end = vm.recorded_end;
        let starts = std::mem::take(&mut vm.starts);
        let ordered_at = starts.iter().filter_map(|start| vm.runs.get(&start.key));
        let oldest = ordered_at.map(|run| run.since).min().unwrap_or(now);
        let valid = (oldest + start_within).remaining(now);
        let start_by_millis = latest_start_millis(&vm.clock_reading, now, valid);
        let stops: Vec<RunKey> = std::mem::take(&mut vm.stops).into_iter().collect();
        for key in &stops {
            if let Some(assigned) = vm.runs.get_mut(key) {
                assigned.stop_sent_at = Some(now);
            }
        }
        Some(Orders {
            header,
            incarnation,
            start_by_millis,
            capacity: vm.info.as_ref().map(|info| info.capacity),
            starts,
            stops,
        })
    }

    /// Takes back queued starts whose validity has ended before they could be sent.
    fn drop_stale_starts(&mut self, now: Time, name: &VmName) {
        let Some(vm) = self.vms.get(name) else {
            return;
        };
        let mut stale = Vec::new();
        for start in &vm.starts {
            let since = vm.runs.get(&start.key).map_or(now, |run| run.since);
            if (since + self.timing.start_within).passed(now) {
                stale.push(start.key.clone());
            }
        }
        for key in stale {
            self.stop_run(now, name, &key, "start order not sent in time");
        }
    }

    /// Takes back waiting starts, the newest first, until the worker has the capacity for its
    /// runs. A start that has been sent before may have been carried out, so it is stopped and
    /// leaves no room yet.
    pub(super) fn take_back_starts(&mut self, now: Time, name: &VmName) {
        let Some(vm) = self.vms.get(name) else {
            return;
        };
        let waiting = vm.starts.iter().rev().map(|start| start.key.clone());
        for key in waiting.collect::<Vec<_>>() {
            if !self.vms.get(name).is_some_and(Vm::is_over_capacity) {
                return;
            }
            self.stop_run(now, name, &key, "capacity of the worker has fallen");
            self.stop_gang(now, &key);
        }
    }

    pub(super) fn stop_run(&mut self, now: Time, vm: &VmName, key: &RunKey, reason: &'static str) {
        let Some(entry) = self.vms.get_mut(vm) else {
            return;
        };
        let Some(assigned) = entry.runs.get_mut(key) else {
            return;
        };
        if matches!(assigned.phase(), Phase::Stopping { .. }) {
            return;
        }
        let age_ms = now.since(assigned.since).as_millis() as u64;
        tracing::info!(task = %key.task, run = key.run, %vm, why = reason, age_ms, "stopping run");
        let is_queued = entry.starts.iter().any(|start| start.key == *key);
        if is_queued && !assigned.start_unanswered {
            self.remove_run(now, vm, key);
            return;
        }
        entry.starts.retain(|start| start.key != *key);
        entry.set_phase(key, Phase::Stopping { after_poll: None });
        entry.stops.insert(key.clone());
        self.touch_vm(vm);
    }

    /// Removes a run that certainly does not exist on the worker.
    pub(super) fn remove_run(&mut self, now: Time, vm: &VmName, key: &RunKey) {
        if let Some(entry) = self.vms.get_mut(vm) {
            entry.remove_run(key);
            self.touch_vm(vm);
        }
        if let Some(entry) = self.jobs.get_mut(&key.task.job)
            && entry.remove_run(now, key)
        {
            self.waiting_jobs.insert(key.task.job.clone());
        }
        self.schedule_due = true;
    }

    pub(super) fn on_reply(
        &mut self,
        now: Time,
        vm: &VmName,
        orders: &Orders,
        reply: Option<OrdersReply>,
    ) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.open_calls = vm.open_calls.saturating_sub(1);
        }
        self.touch_vm(vm);
        let is_same_life =
            self.vms.get(vm).and_then(|vm| vm.incarnation()) == Some(&orders.incarnation);
        if !is_same_life {
            return;
        }
        let Some(reply) = reply else {
            self.on_unanswered(now, vm, orders);
            return;
        };
        if reply.epoch > self.epoch {
            self.deposed_by = Some(reply.epoch);
        }
        let poll = self.poll_after(vm, &reply);
        for (start, result) in orders.starts.iter().zip(&reply.starts) {
            self.on_start_result(now, vm, &start.key, *result, poll);
        }
        for (key, result) in orders.stops.iter().zip(&reply.stops) {
            self.on_stop_result(vm, key, *result, poll);
        }
    }

    /// Number of the poll of the present agent process after which the worker's lists show
    /// the effect of the orders. The reply may be the first sign of a restarted agent; one of
    /// an earlier process was sent before any poll of the present one.
    fn poll_after(&mut self, name: &VmName, reply: &OrdersReply) -> u64 {
        let vm = self.vms.get(name);
        if vm.is_some_and(|vm| vm.earlier_agents.contains(&reply.agent_incarnation)) {
            return 0;
        }
        self.track_agent(name, reply.agent_incarnation);
        reply.poll
    }

    /// Handles orders that got no reply and may have been carried out. Recent starts
    /// are sent again, since a worker accepts each run only once.
    fn on_unanswered(&mut self, now: Time, name: &VmName, orders: &Orders) {
        let fresh = self.timing.start_within;
        let mut stale = Vec::new();
        if let Some(vm) = self.vms.get_mut(name) {
            for start in &orders.starts {
                let Some(assigned) = vm.runs.get_mut(&start.key) else {
                    continue;
                };
                assigned.start_unanswered = true;
                self.window.record_reply(name, now.since(assigned.since));
                if assigned.phase() == Phase::Ordered && !(assigned.since + fresh).passed(now) {
                    vm.starts.push(start.clone());
                } else if assigned.phase() == Phase::Ordered {
                    stale.push(start.key.clone());
                }
            }
        }
        for key in stale {
            self.stop_run(now, name, &key, "start order not answered");
        }
        self.take_back_starts(now, name);
    }

    fn on_start_result(
        &mut self,
        now: Time,
        name: &VmName,
        key: &RunKey,
        result: OrderResult,
        poll: u64,
    ) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let Some(assigned) = vm.runs.get_mut(key) else {
            return;
        };
        let age = now.since(assigned.since);
        let age_ms = age.as_millis() as u64;
        tracing::info!(task = %key.task, run = key.run, vm = %name, ?result, age_ms, "start order answered");
        if assigned.phase() != Phase::Ordered {
            return;
        }
        if result != OrderResult::Unsettled {
            self.window.record_reply(name, age);
        }
        self.schedule_due |= self.window.was_full();
        match result {
            OrderResult::Done | OrderResult::Refused(Refusal::Old) => {
                vm.set_phase(key, Phase::Present { after_poll: poll });
                self.note_started(&key.task.job);
            }
            OrderResult::Unsettled => self.stop_run(now, name, key, "outcome of the start unknown"),
            OrderResult::Refused(_) if assigned.start_unanswered => {
                self.stop_run(
                    now,
                    name,
                    key,
                    "an earlier start order may have been carried out",
                );
                self.stop_gang(now, key);
            }
            OrderResult::Refused(refusal) => {
                self.work.starts_late += u64::from(refusal == Refusal::Late);
                vm.full_until = now + REFUSAL_PAUSE;
                self.remove_run(now, name, key);
                self.stop_gang(now, key);
            }
        }
    }

    /// Notes that a worker has started a task of the job.
    pub(super) fn note_started(&mut self, job: &JobName) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.started = true;
        }
    }

    fn on_stop_result(&mut self, name: &VmName, key: &RunKey, result: OrderResult, poll: u64) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let is_stopping = vm
            .runs
            .get(key)
            .is_some_and(|assigned| matches!(assigned.phase(), Phase::Stopping { .. }));
        if result == OrderResult::Done && is_stopping {
            let after_poll = Some(poll);
            vm.set_phase(key, Phase::Stopping { after_poll });
        }
    }

    /// Queues stop orders again that were not confirmed in time.
    pub(super) fn retry_stops(&mut self, now: Time) {
        for (name, vm) in &mut self.vms {
            for (key, assigned) in &vm.runs {
                let is_due = assigned
                    .stop_sent_at
                    .is_none_or(|at| (at + STOP_RETRY_INTERVAL).passed(now));
                if assigned.phase() == (Phase::Stopping { after_poll: None }) && is_due {
                    vm.stops.insert(key.clone());
                    self.order_vms.insert(name.clone());
                }
            }
        }
    }

    /// Stops the other members of a gang after one member could not start.
    fn stop_gang(&mut self, now: Time, key: &RunKey) {
        let Some(entry) = self.jobs.get(&key.task.job) else {
            return;
        };
        let is_gang = entry
            .job
            .steps
            .get(usize::from(key.task.step))
            .is_some_and(|step| step.gang);
        if !is_gang {
            return;
        }
        let members = members_of(entry.runs(), key);
        for (vm, member) in members {
            self.stop_run(now, &vm, &member, "gang incomplete");
        }
    }

    /// Runs of a job that exist or may exist.
    #[must_use]
    pub fn runs_of(&self, job: &JobName) -> Vec<(VmName, RunKey)> {
        self.jobs
            .get(job)
            .map(super::JobEntry::runs)
            .unwrap_or_default()
    }
}

/// The runs that belong to the same run of a gang.
pub(super) fn members_of(runs: Vec<(VmName, RunKey)>, key: &RunKey) -> Vec<(VmName, RunKey)> {
    let mut members = runs;
    members.retain(|(_, other)| {
        other.run == key.run
            && other.task.step == key.task.step
            && other.task.occurrence == key.task.occurrence
    });
    members
}

/// Latest reading of the worker's clock at which a start that is sent now is still
/// valid; 0 without a clock reading.
fn latest_start_millis(
    clock_reading: &Option<(ClockReading, Time)>,
    now: Time,
    within: std::time::Duration,
) -> u64 {
    let Some((clock_reading, at)) = clock_reading else {
        return 0;
    };
    let valid = now.since(*at) + within;
    clock_reading
        .millis
        .saturating_add(u64::try_from(valid.as_millis()).unwrap_or(u64::MAX))
}
