//! Handover note that an owner leaves for the next one when it stops in an orderly
//! way.
//!
//! A new owner has no information about VMs that do not answer it, so it waits until
//! nothing can run there any more. The previous owner may have waited for part of that
//! time already, so the note holds the remaining wait for each such VM. The note gives
//! durations rather than times because the clocks of two machines differ; the next
//! owner counts them from the start of its own term, which is later.
//!
//! A task that was down when the previous owner stopped need not wait for VMs that do not
//! answer, since nobody has started it. The note therefore names the VMs on which
//! long-running tasks may run. A task of another kind may also have been done there.
//!
//! An agent renews leases for a limited time after a clock reading that an owner echoes. The
//! note passes the newest readings on, so the first call of the next owner echoes one, and an
//! owner that gets around all agents only once keeps their leases alive. A reading is older
//! than the last answer to the owner that received it, so it extends no lease beyond the wait
//! that the next owner counts for a VM that does not answer.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kernel::{Time, VmName};
use serde::{Deserialize, Serialize};

use super::{
    Owner,
    orders::REPORT_POLL_WAIT,
    vm::{Phase, Vm},
};
use crate::{TaskKey, message::ClockReading};

/// The most long-running tasks that a note names, which bounds its size.
const MAX_TASKS: usize = 1_000;
/// The most clock readings that a note holds, which bounds its size.
const MAX_READINGS: usize = 5_000;

/// A VM whose agent does not answer, with the time for which tasks may still run
/// there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Remaining wait in milliseconds.
    pub left_millis: u64,
}

/// The newest reading of a worker's clock that an owner has received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedReading {
    /// The reading.
    pub reading: ClockReading,
    /// Time in milliseconds since the reading arrived.
    pub age_millis: u64,
}

/// Long-running tasks that are not certainly down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LongRunningTasks {
    /// VMs on which each of them may run.
    pub placements: BTreeMap<TaskKey, BTreeSet<VmName>>,
    /// Tasks with a run that was ordered to start or stop without a confirmation yet.
    pub unsettled: BTreeSet<TaskKey>,
}

/// Handover note of an owner that has stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Epoch of the owner that wrote the note. Only the owner of the next epoch uses
    /// it.
    pub epoch: u64,
    /// Time in milliseconds for which an owner before this one may still let agents renew
    /// leases.
    #[serde(default)]
    pub renewal_left_millis: u64,
    /// VMs whose agents did not answer.
    #[serde(rename = "silent")]
    pub unreachable: Vec<UnreachableVm>,
    /// Readings that let agents renew leases once the next owner calls them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub readings: BTreeMap<VmName, PassedReading>,
    /// State of long-running tasks; `None` if the owner did not know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub long_running: Option<LongRunningTasks>,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Handover {
    /// Returns this note for the owner after the one of `epoch`, which has called no agent;
    /// `None` if the note was for an earlier owner.
    #[must_use]
    pub fn passed_on(self, epoch: u64) -> Option<Self> {
        let is_for_that_owner = self.epoch + 1 == epoch;
        is_for_that_owner.then_some(Self { epoch, ..self })
    }
}

impl Owner {
    /// Returns the note for the next owner. This owner must send no orders afterwards.
    #[must_use]
    pub fn handover(&self, now: Time) -> Handover {
        let mut unreachable = Vec::new();
        for (name, vm) in &self.vms {
            // This owner may not have noticed yet that an agent is unreachable.
            let has_just_answered = !(vm.last_answer_at + REPORT_POLL_WAIT).passed(now);
            if !vm.unreachable && vm.has_answered() && has_just_answered {
                continue;
            }
            let time_left = match vm.leases_expired {
                true => Duration::ZERO,
                false => self.runs_expire_at(name, vm).remaining(now),
            };
            unreachable.push(UnreachableVm {
                vm: name.clone(),
                left_millis: millis(time_left),
            });
        }
        // An owner that has not read the keys of all agents passes on what it was told.
        for listed in self.handover.iter().flat_map(|note| &note.unreachable) {
            let expire_at = self.noted_expiry(&listed.vm).unwrap_or(now);
            if !self.are_jobs_loaded && !self.vms.contains_key(&listed.vm) {
                unreachable.push(UnreachableVm {
                    vm: listed.vm.clone(),
                    left_millis: millis(expire_at.remaining(now)),
                });
            }
        }
        Handover {
            epoch: self.epoch,
            renewal_left_millis: millis(self.earlier_renewed_until().remaining(now)),
            unreachable,
            readings: self.passed_readings(now),
            long_running: self.long_running_tasks(),
        }
    }

    /// The newest clock readings, also those that this owner was told and has no newer ones
    /// for.
    fn passed_readings(&self, now: Time) -> BTreeMap<VmName, PassedReading> {
        let mut readings = Vec::new();
        for (name, vm) in &self.vms {
            if let Some((reading, read_at)) = &vm.clock_reading {
                let age_millis = millis(now.since(*read_at));
                readings.push((age_millis, name, reading));
            }
        }
        let in_term = millis(now.since(self.term_start));
        for (name, told) in self.handover.iter().flat_map(|note| &note.readings) {
            let vm = self.vms.get(name);
            if vm.is_none_or(|vm| !vm.has_answered()) {
                let age_millis = told.age_millis.saturating_add(in_term);
                readings.push((age_millis, name, &told.reading));
            }
        }
        // An older one extends no lease.
        let useful = millis(self.timing.contact_grace + self.timing.lease);
        readings.retain(|(age_millis, ..)| *age_millis <= useful);
        readings.sort_by_key(|(age_millis, ..)| *age_millis);
        if readings.len() > MAX_READINGS {
            tracing::warn!(
                epoch = self.epoch,
                readings = readings.len(),
                max = MAX_READINGS,
                "too many clock readings for the handover note; the oldest ones are left out"
            );
            readings.truncate(MAX_READINGS);
        }
        let passed = readings.into_iter().map(|(age_millis, name, reading)| {
            let reading = reading.clone();
            (
                name.clone(),
                PassedReading {
                    reading,
                    age_millis,
                },
            )
        });
        passed.collect()
    }

    /// Reading of the clock of a VM's worker that the previous owner passed on; `None` once
    /// the agent has answered this owner.
    pub(super) fn told_reading(&self, name: &VmName) -> Option<&ClockReading> {
        let vm = self.vms.get(name)?;
        let note = self.handover.as_ref().filter(|_| !vm.has_answered())?;
        note.readings.get(name).map(|told| &told.reading)
    }

    /// Long-running tasks that are not certainly down; `None` if this owner does not know.
    fn long_running_tasks(&self) -> Option<LongRunningTasks> {
        if !self.are_jobs_loaded {
            // Nothing has been started since the last note.
            return self.handover.as_ref()?.long_running.clone();
        }
        let mut tasks = LongRunningTasks::default();
        let unlisted = self.unlisted_vms();
        if !unlisted.is_empty() {
            let earlier = self.handover.as_ref()?.long_running.as_ref()?;
            tasks.unsettled.clone_from(&earlier.unsettled);
            for (task, vms) in &earlier.placements {
                let vms: BTreeSet<VmName> = vms.intersection(&unlisted).cloned().collect();
                if !vms.is_empty() {
                    tasks.placements.insert(task.clone(), vms);
                }
            }
        }
        for (name, vm) in &self.vms {
            for (key, run) in &vm.runs {
                if !self.may_be_long_running(&key.task) {
                    continue;
                }
                if !matches!(run.phase(), Phase::Present { .. }) {
                    tasks.unsettled.insert(key.task.clone());
                }
                let vms = tasks.placements.entry(key.task.clone()).or_default();
                vms.insert(name.clone());
            }
            for key in vm.unknown_runs.keys().chain(&vm.stops).chain(&vm.unsettled) {
                if self.may_be_long_running(&key.task) {
                    tasks.unsettled.insert(key.task.clone());
                }
            }
        }
        let count = tasks.placements.len() + tasks.unsettled.len();
        if count > MAX_TASKS {
            tracing::warn!(
                epoch = self.epoch,
                tasks = count,
                max = MAX_TASKS,
                "too many long-running tasks for the handover note; the next owner waits for all VMs"
            );
            return None;
        }
        Some(tasks)
    }

    fn may_be_long_running(&self, task: &TaskKey) -> bool {
        let entry = self.jobs.get(&task.job);
        let step = entry.and_then(|entry| entry.job.steps.get(usize::from(task.step)));
        step.is_none_or(|step| step.long_running)
    }

    /// Whether a long-running task may run on one of the VMs, on which runs may exist that
    /// no worker has reported.
    pub(super) fn may_run_on(&self, task: &TaskKey, unlisted: &BTreeSet<VmName>) -> bool {
        if unlisted.is_empty() {
            return false;
        }
        let note = self.handover.as_ref().filter(|_| self.are_jobs_loaded);
        let Some(tasks) = note.and_then(|note| note.long_running.as_ref()) else {
            return true;
        };
        let vms = tasks.placements.get(task);
        tasks.unsettled.contains(task) || vms.is_some_and(|vms| !vms.is_disjoint(unlisted))
    }

    pub(super) fn on_handover(&mut self, handover: Handover) {
        if handover.epoch + 1 != self.epoch {
            return;
        }
        tracing::info!(
            epoch = self.epoch,
            silent = handover.unreachable.len(),
            "handover note of the previous owner applied"
        );
        self.handover = Some(handover);
        self.schedule_due = true;
    }

    /// Time until which the previous owner may have let agents renew leases.
    pub(super) fn earlier_renewed_until(&self) -> Time {
        match &self.handover {
            Some(note) => self.term_start + Duration::from_millis(note.renewal_left_millis),
            None => self.term_start + self.timing.renewal,
        }
    }

    /// Whether this process was certainly the only owner until some time after `at`.
    pub(super) fn is_proved_after(&self, at: Time) -> bool {
        at.passed(self.proved_at())
    }

    /// Time after which nothing can run on a VM whose agent does not answer, unless a later
    /// owner lets it renew the leases.
    pub(super) fn runs_expire_at(&self, name: &VmName, vm: &Vm) -> Time {
        let timeout = self.timing.unreachable_agent_timeout();
        if vm.attached {
            return vm.last_answer_at + timeout;
        }
        match self.noted_expiry(name) {
            Some(expire_at) if !vm.has_answered() => expire_at,
            _ => vm.last_answer_at.max(self.earlier_renewed_until()) + timeout,
        }
    }

    /// Time after which, according to the note of the previous owner, nothing that it may
    /// have started can run on a VM; `None` if the note does not list the VM.
    pub(super) fn noted_expiry(&self, name: &VmName) -> Option<Time> {
        let handover = self.handover.as_ref()?;
        let listed = handover.unreachable.iter().find(|vm| vm.vm == *name)?;
        Some(self.term_start + Duration::from_millis(listed.left_millis))
    }
}
