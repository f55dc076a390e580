//! What agents report: lives of workers, what runs and what has ended.

use std::collections::BTreeSet;

use kernel::{Time, VmName};

use super::{
    Owner,
    health::Health,
    vm::{Held, Phase},
};
use crate::message::{ActiveRun, AgentReport, Role, RunKey};

/// How long a run of a job that is not known here may be seen before it is
/// stopped; its job may have been accepted a moment ago.
const STRANGER_GRACE: std::time::Duration = std::time::Duration::from_millis(1500);

/// Why nothing that ran on a VM runs there any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lost {
    /// The worker is silent and all of its leases have ended.
    Lapsed,
    /// The worker began a new life, which refuses orders for the one before.
    NewLife,
    /// The agent has been silent for longer than any lease or order lasts.
    AgentSilent,
}

impl Lost {
    const fn why(self) -> &'static str {
        match self {
            Self::Lapsed => "leases ended",
            Self::NewLife => "worker began a new life",
            Self::AgentSilent => "agent silent",
        }
    }
}

impl Owner {
    pub(super) fn on_report(&mut self, now: Time, name: &VmName, report: AgentReport) {
        if report.epoch > self.epoch {
            self.deposed = Some(report.epoch);
            return;
        }
        if !self.vms.contains_key(name) {
            return;
        }
        self.follow_keeper(name, &report);
        self.follow_life(now, name, &report);
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        vm.last_answer = now;
        vm.seen = report.version;
        if vm.unreachable {
            tracing::info!(vm = %name, "agent reached again");
            vm.unreachable = false;
            self.schedule_due = true;
        }
        if let Some(clock_reading) = report.clock_reading {
            vm.clock_reading = Some((clock_reading, now));
        }
        let was_attached = vm.attached;
        vm.attached = report.worker.is_some() && report.confirmed_epoch == self.epoch;
        vm.worker_responsive = report.worker_responsive;
        vm.written_off = report.leases_expired;
        if report.worker.is_some() {
            vm.info = report.worker;
        }
        let is_attached = vm.attached;
        if was_attached != is_attached {
            tracing::info!(vm = %name, attached = is_attached, "worker under this term");
        }
        if report.leases_expired {
            self.lose_all(now, name, Lost::Lapsed);
        }
        if !is_attached {
            self.schedule_due = true;
            return;
        }
        for end in &report.ended {
            self.take_end(now, name, end);
        }
        self.take_running(now, name, &report.running, report.poll);
        self.learn(now, name, &report.running);
        if !was_attached {
            self.schedule_due = true;
        }
    }

    /// A keeper that has started again counts its looks from the beginning.
    fn follow_keeper(&mut self, name: &VmName, report: &AgentReport) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if vm.keeper == report.agent_incarnation {
            return;
        }
        vm.keeper = report.agent_incarnation;
        vm.attached = false;
        vm.weights_told = 0;
        let mut roles = Vec::new();
        for (key, held) in &mut vm.held {
            held.phase = match held.phase {
                Phase::Ordered => Phase::Ordered,
                Phase::Present { .. } => Phase::Present { after: 0 },
                Phase::Stopping { .. } => Phase::Stopping { after: None },
            };
            if held.role != Role::Plain {
                roles.push((key.clone(), held.role.clone()));
            }
        }
        vm.roles = roles;
    }

    /// A new life of the worker holds nothing of the one before.
    fn follow_life(&mut self, now: Time, name: &VmName, report: &AgentReport) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let Some(info) = &report.worker else {
            if report.leases_expired && vm.info.take().is_some() {
                tracing::info!(vm = %name, "no worker there");
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
            "worker"
        );
        vm.info = Some(info.clone());
        vm.processed = 0;
        vm.recorded = 0;
        vm.told = 0;
        vm.to_record.clear();
        vm.strangers.clear();
        vm.health = Health::default();
        vm.clock_reading = None;
        self.lose_all(now, name, Lost::NewLife);
        self.schedule_due = true;
    }

    pub(super) fn on_unreachable(&mut self, name: &VmName) {
        if let Some(vm) = self.vms.get_mut(name)
            && !vm.unreachable
        {
            tracing::warn!(vm = %name, "agent lost");
            vm.unreachable = true;
            vm.seen = 0;
            vm.told = 0;
        }
    }

    /// Gives up what ran beside agents that have been silent for longer than
    /// any lease there can last.
    pub(super) fn check_silent(&mut self, now: Time) {
        let mut silent = Vec::new();
        for (name, vm) in &self.vms {
            let is_over = self.silent_until(name, vm).passed(now);
            if vm.unreachable && !vm.written_off && is_over {
                silent.push(name.clone());
            }
        }
        for name in silent {
            tracing::warn!(vm = %name, "agent silent for longer than any lease there");
            self.lose_all(now, &name, Lost::AgentSilent);
            if let Some(vm) = self.vms.get_mut(&name) {
                vm.written_off = true;
                vm.attached = false;
            }
            self.schedule_due = true;
        }
    }

    /// Takes out VMs that are gone: nothing runs there and their agents do not
    /// answer. A later owner need not wait for them.
    pub fn take_departed(&mut self) -> Vec<VmName> {
        let mut departed = Vec::new();
        for (name, vm) in &self.vms {
            if vm.unreachable && vm.written_off && vm.held.is_empty() {
                tracing::info!(vm = %name, "VM is gone");
                departed.push(name.clone());
            }
        }
        for name in &departed {
            self.vms.remove(name);
        }
        departed
    }

    fn lose_all(&mut self, now: Time, name: &VmName, lost: Lost) {
        let Some(vm) = self.vms.get(name) else {
            return;
        };
        let mut keys = Vec::new();
        for (key, held) in &vm.held {
            // An order on its way may still be carried out once a silent worker
            // answers; its own answer settles it.
            let is_under_way = held.phase == Phase::Ordered;
            if lost != Lost::Lapsed || !is_under_way {
                keys.push(key.clone());
            }
        }
        for key in keys {
            self.lose(now, name, &key, lost.why());
        }
    }

    /// A run is gone without an end.
    pub(super) fn lose(&mut self, now: Time, vm: &VmName, key: &RunKey, why: &'static str) {
        let held = self.vms.get(vm).and_then(|vm| vm.held.get(key));
        let age_ms = held.map_or(0, |held| now.since(held.since).as_millis() as u64);
        tracing::info!(task = %key.task, run = key.run, %vm, why, age_ms, "run lost");
        self.drop_run(vm, key);
    }

    fn take_running(&mut self, now: Time, name: &VmName, running: &[ActiveRun], look: u64) {
        let mut present = BTreeSet::new();
        for row in running {
            present.insert(row.key.clone());
            self.take_row(now, name, row);
        }
        let Some(vm) = self.vms.get(name) else {
            return;
        };
        let mut gone = Vec::new();
        for (key, held) in &vm.held {
            let after = match held.phase {
                Phase::Present { after } | Phase::Stopping { after: Some(after) } => after,
                Phase::Ordered | Phase::Stopping { after: None } => continue,
            };
            if look > after && !present.contains(key) {
                gone.push(key.clone());
            }
        }
        for key in gone {
            self.lose(now, name, &key, "not there any more");
        }
    }

    fn take_row(&mut self, now: Time, name: &VmName, row: &ActiveRun) {
        if let Some(task) = self
            .jobs
            .get_mut(&row.key.task.job)
            .and_then(|entry| entry.task_mut(&row.key.task))
            && row.checkpoint.is_some()
        {
            task.checkpoint.clone_from(&row.checkpoint);
        }
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if let Some(held) = vm.held.get_mut(&row.key) {
            let stands_still = row.measurement == 0 && held.role == Role::Plain;
            held.idle_since = match stands_still {
                true => held.idle_since.or(Some(now)),
                false => None,
            };
            self.note_begun(&row.key.task.job);
            return;
        }
        self.adopt(now, name, &row.key);
    }

    /// Takes over a run that an earlier owner started, or stops it if nobody
    /// wants it.
    fn adopt(&mut self, now: Time, name: &VmName, key: &RunKey) {
        let Some(entry) = self.jobs.get_mut(&key.task.job) else {
            let is_over = self.over.contains_key(&key.task.job);
            self.take_stranger(now, name, key, is_over);
            return;
        };
        let is_over = entry.outcome.is_some();
        let Some(step) = entry.job.steps.get(usize::from(key.task.step)).cloned() else {
            self.take_stranger(now, name, key, false);
            return;
        };
        let Some(task) = entry.task_mut(&key.task) else {
            self.take_stranger(now, name, key, false);
            return;
        };
        let is_wanted = !is_over && !task.done && (task.runs.is_empty() || step.copies);
        task.runs.push((name.clone(), key.run));
        entry.started = true;
        tracing::info!(task = %key.task, run = key.run, vm = %name, is_wanted, "run adopted");
        let role = super::schedule::role_of(&step);
        if let Some(vm) = self.vms.get_mut(name) {
            vm.hold(
                key.clone(),
                Held {
                    phase: Phase::Present { after: 0 },
                    since: now,
                    reserved: step.reserved(),
                    role: role.clone(),
                    is_doubtful: false,
                    stop_sent: None,
                    undisturbed: None,
                    idle_since: None,
                },
            );
            if role != Role::Plain {
                vm.roles.push((key.clone(), role));
            }
        }
        if !is_wanted {
            self.stop_run(now, name, key, "not wanted");
        }
    }

    fn take_stranger(&mut self, now: Time, name: &VmName, key: &RunKey, is_over: bool) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let since = *vm.strangers.entry(key.clone()).or_insert(now);
        if (is_over || (since + STRANGER_GRACE).passed(now)) && vm.stops.insert(key.clone()) {
            tracing::warn!(task = %key.task, run = key.run, vm = %name, "run of an unknown job stopped");
        }
    }
}
