//! Handling of agent reports: worker incarnations, active runs and ended runs.

use kernel::{Time, VmName};

use super::{
    Owner, PollFailure,
    health::Health,
    uneven::ColdStart,
    vm::{AssignedRun, Phase, Vm},
};
use crate::message::{ActiveRun, AgentReport, Role, RunKey};

/// Time for which a run of an unknown job may be reported before it is stopped, since
/// the job may have been accepted a moment ago.
const UNKNOWN_RUN_GRACE: std::time::Duration = std::time::Duration::from_millis(1500);

/// Why none of the runs on a VM exist any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossReason {
    /// The worker is unresponsive and all of its leases have expired.
    LeasesExpired,
    /// Another worker has replaced the one of the runs, and refuses orders for it.
    NewIncarnation,
    /// The worker restarted under its name, so it may carry out orders for the previous
    /// incarnation.
    Restarted,
    /// The worker has left. A later one refuses orders for it.
    WorkerLeft,
    /// The agent has been unreachable for longer than any lease or order lasts.
    AgentUnreachable,
}

impl LossReason {
    const fn text(self) -> &'static str {
        match self {
            Self::LeasesExpired => "leases expired",
            Self::NewIncarnation => "worker replaced",
            Self::Restarted => "worker restarted",
            Self::WorkerLeft => "worker left",
            Self::AgentUnreachable => "agent unreachable",
        }
    }
}

/// Whether a report names another worker than the known one, of which only a heartbeat tells. It
/// may be a late one or that of another writer, and a restarted agent knows no other.
fn is_unconfirmed_incarnation(vm: &Vm, report: &AgentReport, epoch: u64) -> bool {
    let (Some(known), Some(info)) = (vm.incarnation(), &report.worker) else {
        return false;
    };
    info.incarnation != *known && report.confirmed_epoch != epoch
}

impl Owner {
    pub(super) fn on_report(&mut self, now: Time, name: &VmName, mut report: AgentReport) {
        if report.epoch > self.epoch {
            self.deposed_by = Some(report.epoch);
            return;
        }
        let Some(vm) = self.vms.get(name) else {
            return;
        };
        if vm.earlier_agents.contains(&report.agent_incarnation) {
            tracing::info!(vm = %name, agent = report.agent_incarnation, "late report of an earlier agent process ignored");
            return;
        }
        if is_unconfirmed_incarnation(vm, &report, self.epoch) {
            tracing::info!(vm = %name, agent = report.agent_incarnation, "another incarnation of the worker ignored, since it has not answered");
            report.worker = None;
            report.clock_reading = None;
        }
        let had_answered = vm.has_answered();
        self.touch_vm(name);
        self.track_agent(name, report.agent_incarnation);
        self.track_worker(now, name, &report);
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let last_report_ms = now.since(vm.last_answer_at).as_millis() as u64;
        vm.earlier_answer_at = had_answered.then_some(vm.last_answer_at);
        vm.last_answer_at = now;
        vm.report_version = report.version;
        if vm.unreachable {
            tracing::info!(
                vm = %name,
                span_ms = now.since(vm.unreachable_at).as_millis() as u64,
                last_report_ms,
                "agent is reachable again"
            );
            vm.unreachable = false;
            self.schedule_due = true;
        }
        if let Some(clock_reading) = report.clock_reading.take() {
            vm.clock_reading = Some((clock_reading, now));
        }
        let was_attached = vm.attached;
        vm.attached = report.worker.is_some() && report.confirmed_epoch == self.epoch;
        vm.worker_responsive = report.worker_responsive;
        vm.leases_expired = report.leases_expired;
        let earlier_capacity = vm.info.as_ref().map(|info| info.capacity);
        if report.worker.is_some() {
            vm.info = report.worker.take();
            vm.worker_reported_by = vm.agent_incarnation;
        }
        self.note_unevenness(now, name);
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let capacity = vm.info.as_ref().map(|info| info.capacity);
        let is_attached = vm.attached;
        if was_attached != is_attached {
            tracing::info!(vm = %name, attached = is_attached, "worker attached to or detached from this term");
        }
        if capacity != earlier_capacity {
            tracing::info!(vm = %name, ?earlier_capacity, ?capacity, "capacity of the worker has changed");
            self.take_back_starts(now, name);
        }
        if report.leases_expired {
            // The present agent tells of the runs that it knew.
            self.record_unreported_crash(now, name);
            self.drop_lost_runs(now, name, LossReason::LeasesExpired);
        }
        if !self.is_loading {
            self.apply_crashes(now, name, &report.crashes);
        }
        if was_attached != is_attached {
            self.schedule_due = true;
        }
        if self.is_loading {
            self.early_reports.insert(name.clone(), report);
            return;
        }
        self.apply_lists(now, name, &report);
    }

    /// Applies the ended and active runs of a report.
    pub(super) fn apply_lists(&mut self, now: Time, name: &VmName, report: &AgentReport) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if !vm.attached {
            vm.listing.reset();
            self.schedule_due = true;
            // Whatever the worker may still run, these runs have ended.
            for end in &report.ended {
                self.on_run_ended(now, name, end);
            }
            return;
        }
        if !vm.listing.apply(report) {
            vm.report_version = 0;
            tracing::warn!(
                vm = %name,
                base = report.base,
                number = report.number,
                "report is based on one that was not applied; asking for the whole state"
            );
            return;
        }
        if !vm.has_listed_runs {
            vm.has_listed_runs = true;
            self.schedule_due = true;
        }
        if !report.has_more_ends && !vm.has_listed_ends {
            vm.has_listed_ends = true;
            self.schedule_due = true;
        }
        for end in &report.ended {
            self.on_run_ended(now, name, end);
        }
        self.apply_running(now, name, report);
        self.apply_doubts(name, report);
        self.learn_interference(now, name);
    }

    /// Resets state that depends on the agent process: a restarted agent counts its
    /// polls from zero.
    pub(super) fn track_agent(&mut self, name: &VmName, incarnation: u64) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if vm.agent_incarnation == incarnation {
            return;
        }
        if vm.has_answered() {
            vm.earlier_agents.insert(vm.agent_incarnation);
            vm.earlier_agent_answer_at = vm.last_answer_at;
        }
        vm.agent_incarnation = incarnation;
        vm.processed_crash = 0;
        vm.unrecorded_crashes.clear();
        vm.recorded_crash = 0;
        vm.attached = false;
        vm.sent_weights_version = 0;
        vm.reset_polls();
        vm.queue_roles();
    }

    /// Resets state that depends on the worker's incarnation: a new one has none of
    /// the earlier runs.
    fn track_worker(&mut self, now: Time, name: &VmName, report: &AgentReport) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let Some(info) = &report.worker else {
            if report.leases_expired && vm.info.is_some() {
                tracing::info!(vm = %name, "no worker on the VM");
                self.record_unreported_crash(now, name);
                if let Some(vm) = self.vms.get_mut(name) {
                    vm.info = None;
                }
                self.drop_lost_runs(now, name, LossReason::WorkerLeft);
            }
            return;
        };
        if vm.incarnation() == Some(&info.incarnation) {
            if vm.info.as_ref() != Some(info) {
                self.schedule_due = true;
            }
            return;
        }
        tracing::info!(
            vm = %name,
            worker = %info.incarnation.worker,
            born = info.incarnation.started_at,
            zone = %info.zone,
            "new worker incarnation"
        );
        self.record_unreported_crash(now, name);
        let known = self.vms.get(name).and_then(|vm| vm.info.as_ref());
        if known.is_some_and(|known| !known.draining) {
            self.record_worker_loss(now, name);
        }
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let worker = &info.incarnation.worker;
        let reason = match vm.incarnation() {
            Some(known) if known.worker == *worker => LossReason::Restarted,
            _ => LossReason::NewIncarnation,
        };
        vm.info = Some(info.clone());
        vm.processed_end = 0;
        vm.recorded_end = 0;
        vm.has_listed_runs = false;
        vm.first_echo_at = None;
        vm.has_listed_ends = false;
        vm.acknowledged_end = 0;
        vm.unrecorded_ends.clear();
        vm.health = Health::default();
        vm.cold_start = ColdStart::default();
        vm.clock_reading = None;
        vm.listing.reset();
        vm.has_unaccounted_runs = false;
        self.drop_lost_runs(now, name, reason);
        if reason == LossReason::Restarted {
            self.stop_remaining_runs(now, name);
        }
        self.schedule_due = true;
    }

    /// Stops the runs that a restarted worker may start on an order for its previous
    /// incarnation. A stop that the previous one confirmed does not hold for it.
    fn stop_remaining_runs(&mut self, now: Time, name: &VmName) {
        let runs = self.vms.get(name).map(|vm| vm.runs.keys().cloned());
        let keys: Vec<RunKey> = runs.into_iter().flatten().collect();
        for key in keys {
            self.stop_run(now, name, &key, "worker restarted before it listed the run");
            if let Some(vm) = self.vms.get_mut(name)
                && vm.runs.contains_key(&key)
            {
                vm.set_phase(&key, Phase::Stopping { after_poll: None });
                vm.stops.insert(key);
            }
        }
    }

    pub(super) fn on_unreachable(&mut self, now: Time, name: &VmName, failure: &PollFailure) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        // The weights and roles of the poll may not have arrived.
        vm.sent_weights_version = 0;
        vm.queue_roles();
        if !vm.unreachable {
            tracing::warn!(
                vm = %name,
                error = failure.error,
                waited_ms = failure.waited.as_millis() as u64,
                timer_late_ms = failure.timer_late_by.as_millis() as u64,
                last_report_ms = now.since(vm.last_answer_at).as_millis() as u64,
                has_answered = vm.has_answered(),
                "agent is unreachable"
            );
            vm.unreachable = true;
            self.index_vms.insert(name.clone());
            vm.unreachable_at = now;
            vm.report_version = 0;
            vm.listing.reset();
            vm.acknowledged_end = 0;
        }
    }

    /// Whether a proof of ownership at `now` would show that nothing runs on a silent VM.
    #[must_use]
    pub fn needs_proof(&self, now: Time) -> bool {
        self.vms.iter().any(|(name, vm)| {
            let expire_at = self.runs_expire_at(name, vm);
            let is_silent = vm.unreachable || !vm.has_answered();
            is_silent
                && !vm.leases_expired
                && expire_at.passed(now)
                && !self.is_proved_after(expire_at)
        })
    }

    /// Drops the runs on the VMs of agents that have not answered for longer than any lease
    /// of a run on their VM lasts. Without a later proof of ownership, another owner may have
    /// let them renew the leases.
    pub(super) fn expire_unreachable(&mut self, now: Time) {
        let mut expired = Vec::new();
        for (name, vm) in &self.vms {
            let has_ended = self.is_proved_after(self.runs_expire_at(name, vm));
            let is_silent = vm.unreachable || !vm.has_answered();
            if is_silent && !vm.leases_expired && has_ended {
                expired.push(name.clone());
            }
        }
        for name in expired {
            tracing::warn!(vm = %name, "agent unreachable for longer than any lease there");
            self.drop_lost_runs(now, &name, LossReason::AgentUnreachable);
            if let Some(vm) = self.vms.get_mut(&name) {
                vm.leases_expired = true;
                vm.attached = false;
            }
            self.touch_vm(&name);
            self.schedule_due = true;
        }
    }

    /// Removes and returns VMs that no longer exist: nothing runs there and their
    /// agents do not answer. A later owner need not wait for them.
    pub fn take_departed(&mut self) -> Vec<VmName> {
        let mut departed = Vec::new();
        for (name, vm) in &self.vms {
            if vm.unreachable && vm.leases_expired && vm.runs.is_empty() {
                tracing::info!(vm = %name, "VM is gone");
                departed.push(name.clone());
            }
        }
        for name in &departed {
            self.vms.remove(name);
            self.touch_vm(name);
        }
        departed
    }

    fn drop_lost_runs(&mut self, now: Time, name: &VmName, reason: LossReason) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        vm.unknown_runs.clear();
        vm.unsettled.clear();
        let mut keys = Vec::new();
        for (key, assigned) in &vm.runs {
            let is_lost = match reason {
                // A worker that answers again may still carry out a pending start order;
                // the reply to that order decides.
                LossReason::LeasesExpired => assigned.phase() != Phase::Ordered,
                LossReason::Restarted => assigned.is_listed,
                LossReason::NewIncarnation
                | LossReason::WorkerLeft
                | LossReason::AgentUnreachable => true,
            };
            if is_lost {
                keys.push(key.clone());
            }
        }
        for key in keys {
            self.drop_lost_run(now, name, &key, reason.text());
        }
    }

    /// Drops a run that disappeared without a reported end.
    pub(super) fn drop_lost_run(
        &mut self,
        now: Time,
        vm: &VmName,
        key: &RunKey,
        reason: &'static str,
    ) {
        let assigned = self.vms.get(vm).and_then(|vm| vm.runs.get(key));
        let age_ms = assigned.map_or(0, |assigned| now.since(assigned.since).as_millis() as u64);
        tracing::info!(task = %key.task, run = key.run, %vm, why = reason, age_ms, "run lost");
        // A start without an answer may never have been carried out.
        if assigned.is_some_and(|assigned| !assigned.start_unanswered)
            && let Some(entry) = self.jobs.get_mut(&key.task.job)
        {
            entry.note_interruption(now, &key.task);
        }
        self.remove_run(now, vm, key);
    }

    /// Applies the rows of a report that have changed, and compares the runs that the
    /// worker lists with those that the owner knows.
    fn apply_running(&mut self, now: Time, name: &VmName, report: &AgentReport) {
        for row in &report.running {
            self.apply_active_run(now, name, row);
        }
        let Some(vm) = self.vms.get(name) else {
            return;
        };
        let listed = vm.listing.running();
        let unknown = listed.keys().filter(|key| !vm.runs.contains_key(key));
        let unknown: Vec<RunKey> = unknown.cloned().collect();
        let mut gone = Vec::new();
        for (key, assigned) in &vm.runs {
            // A run that is not listed may have ended, and its end may not be listed yet.
            if report.has_more_ends {
                break;
            }
            let after_poll = match assigned.phase() {
                Phase::Present { after_poll }
                | Phase::Stopping {
                    after_poll: Some(after_poll),
                } => after_poll,
                Phase::Ordered | Phase::Stopping { after_poll: None } => continue,
            };
            if report.poll > after_poll && !listed.contains_key(key) {
                gone.push(key.clone());
            }
        }
        for key in unknown {
            self.adopt(now, name, &key);
        }
        // A start that was sent again may be listed as running, and is adopted then.
        for key in &report.unsettled {
            self.stop_unsettled(now, name, key);
        }
        for key in gone {
            self.drop_lost_run(now, name, &key, "not listed by the worker any more");
        }
        if let Some(vm) = self.vms.get_mut(name) {
            let listed = vm.listing.running();
            vm.unknown_runs.retain(|key, _| listed.contains_key(key));
            vm.unsettled.clone_from(&report.unsettled);
        }
        self.review_unaccounted_runs(name);
    }

    /// Checks whether the worker has or may get runs whose needs are unknown.
    pub(super) fn review_unaccounted_runs(&mut self, name: &VmName) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let mut keys = vm.listing.running().keys().chain(&vm.unsettled);
        let had_unaccounted_runs = vm.has_unaccounted_runs;
        vm.has_unaccounted_runs = keys.any(|key| !vm.runs.contains_key(key));
        self.schedule_due |= had_unaccounted_runs && !vm.has_unaccounted_runs;
    }

    fn apply_active_run(&mut self, now: Time, name: &VmName, row: &ActiveRun) {
        if let Some(entry) = self.jobs.get_mut(&row.key.task.job) {
            entry.record_checkpoint(&row.key, row.checkpoint.as_ref());
        }
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if let Some(assigned) = vm.runs.get_mut(&row.key) {
            let may_use_cpu = assigned.role == Role::Plain && assigned.reserved.cpu_milli > 0;
            let is_idle = row.measurement == 0 && may_use_cpu;
            assigned.idle_since = match is_idle {
                true => assigned.idle_since.or(Some(now)),
                false => None,
            };
            assigned.agent_incarnation = vm.agent_incarnation;
            assigned.is_listed = true;
            self.note_started(&row.key.task.job);
        }
    }

    /// Adopts a run that an earlier owner started, or stops it if it is no longer
    /// needed.
    pub(super) fn adopt(&mut self, now: Time, name: &VmName, key: &RunKey) {
        let is_unknown = self.note_unknown_job(&key.task.job);
        let Some(entry) = self.jobs.get_mut(&key.task.job) else {
            self.on_unknown_run(now, name, key, !is_unknown);
            return;
        };
        let has_ended = entry.outcome.is_some();
        let Some(step) = entry.job.steps.get(usize::from(key.task.step)).cloned() else {
            self.on_unknown_run(now, name, key, false);
            return;
        };
        let Some(task) = entry.task_mut(&key.task) else {
            self.on_unknown_run(now, name, key, false);
            return;
        };
        let is_wanted = !has_ended && !task.is_done() && (task.runs().is_empty() || step.copies);
        entry.add_run(key, name);
        entry.started = true;
        tracing::info!(task = %key.task, run = key.run, vm = %name, is_wanted, "run adopted");
        let role = super::schedule::role_of(&step);
        if let Some(vm) = self.vms.get_mut(name) {
            let phase = Phase::Present { after_poll: 0 };
            let mut assigned = AssignedRun::new(phase, now, step.reserved(), role.clone());
            assigned.is_listed = true;
            vm.add_run(key.clone(), assigned);
            if role != Role::Plain {
                vm.roles.push((key.clone(), role));
            }
        }
        if !is_wanted {
            self.stop_run(now, name, key, "not needed");
        }
    }

    /// Stops a run that the worker may still start on an order of an earlier owner.
    /// Until the stop is confirmed, the task counts as running there: a worker that
    /// checks no fencing tokens may get to the order at any time.
    pub(super) fn stop_unsettled(&mut self, now: Time, name: &VmName, key: &RunKey) {
        self.note_unknown_job(&key.task.job);
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if vm.runs.contains_key(key) {
            return;
        }
        let entry = self.jobs.get_mut(&key.task.job);
        let step = entry
            .as_ref()
            .and_then(|entry| entry.job.steps.get(usize::from(key.task.step)).cloned());
        let (Some(entry), Some(step)) = (entry, step) else {
            if vm.stops.insert(key.clone()) {
                tracing::warn!(task = %key.task, run = key.run, vm = %name, "stopping unsettled start of an unknown job");
            }
            return;
        };
        if !entry.add_run(key, name) {
            return;
        }
        tracing::info!(task = %key.task, run = key.run, vm = %name, "stopping unsettled start of an earlier owner");
        let phase = Phase::Stopping { after_poll: None };
        let role = super::schedule::role_of(&step);
        let assigned = AssignedRun::new(phase, now, step.reserved(), role);
        vm.add_run(key.clone(), assigned);
        vm.stops.insert(key.clone());
    }

    fn on_unknown_run(&mut self, now: Time, name: &VmName, key: &RunKey, has_ended: bool) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let since = *vm.unknown_runs.entry(key.clone()).or_insert_with(|| {
            tracing::info!(task = %key.task, run = key.run, vm = %name, has_ended, "run of an unknown job");
            now
        });
        if (has_ended || (since + UNKNOWN_RUN_GRACE).passed(now)) && vm.stops.insert(key.clone()) {
            tracing::warn!(task = %key.task, run = key.run, vm = %name, "stopping run of an unknown job");
        }
    }
}
