//! Jobs that agents report and that the owner does not know.
//!
//! A job is stored before any of its tasks starts, but an owner may learn of a run before it
//! learns of the job. Until the store has told whether the job exists, nothing that was
//! reported about it may be released, and no task of it may start beside the reported runs.

use std::collections::VecDeque;

use kernel::{JobName, Time, VmName};

use super::Owner;
use crate::{
    message::{EndedRun, RunKey},
    progress::TaskCrash,
};

/// What must happen before the reporter of an end or a crash may forget it.
#[derive(Clone, Debug)]
pub(super) enum Release {
    /// The changes up to this one must be durable.
    AfterChange(u64),
    /// The owner must know whether these jobs exist.
    AfterJobs(Vec<JobName>),
}

/// What agents have reported about an unknown job, besides its active runs.
#[derive(Clone, Debug, Default)]
pub(super) struct UnknownJob {
    ends: Vec<(VmName, EndedRun)>,
    suspects: Vec<(VmName, UnknownSuspect)>,
}

/// A run because of which its worker may have crashed.
#[derive(Clone, Debug)]
struct UnknownSuspect {
    run: RunKey,
    /// Whether no other run can have caused the crash.
    is_sole_suspect: bool,
}

/// Removes the entries at the front for which the changes up to this one suffice. Returns
/// the number of the last one.
pub(super) fn release(entries: &mut VecDeque<(u64, Release)>, durable_change: u64) -> Option<u64> {
    let mut released = None;
    while let Some((number, Release::AfterChange(change))) = entries.front()
        && *change <= durable_change
    {
        released = Some(*number);
        entries.pop_front();
    }
    released
}

impl Owner {
    /// Returns and clears the jobs that agents have reported and that this owner does not
    /// know. The caller reads each of them and passes on the job, its end, or that the store
    /// holds neither.
    pub fn take_unknown_jobs(&mut self) -> Vec<JobName> {
        std::mem::take(&mut self.unread_jobs)
    }

    /// Returns what is reported about a job if the owner knows neither the job nor its end.
    /// Such a job has to be read.
    fn unknown_job(&mut self, job: &JobName) -> Option<&mut UnknownJob> {
        let is_known = self.jobs.contains_key(job)
            || self.ended_jobs.contains_key(job)
            || self.absent_jobs.contains_key(job);
        if is_known {
            return None;
        }
        if !self.unknown_jobs.contains_key(job) {
            tracing::warn!(%job, epoch = self.epoch, "an agent reports an unknown job; reading it");
            self.unread_jobs.push(job.clone());
        }
        Some(self.unknown_jobs.entry(job.clone()).or_default())
    }

    /// Notes that a run of a job is reported; returns whether the job is unknown.
    pub(super) fn note_unknown_job(&mut self, job: &JobName) -> bool {
        self.unknown_job(job).is_some()
    }

    /// Keeps an end if its job is unknown; returns whether it is.
    pub(super) fn keep_unknown_end(&mut self, vm: &VmName, end: &EndedRun) -> bool {
        let job = self.unknown_job(&end.key.task.job);
        job.is_some_and(|job| {
            job.ends.push((vm.clone(), end.clone()));
            true
        })
    }

    /// Keeps a suspect run if its job is unknown; returns whether it is.
    pub(super) fn keep_unknown_suspect(
        &mut self,
        vm: &VmName,
        run: &RunKey,
        is_sole_suspect: bool,
    ) -> bool {
        let job = self.unknown_job(&run.task.job);
        job.is_some_and(|job| {
            let run = run.clone();
            let suspect = UnknownSuspect {
                run,
                is_sole_suspect,
            };
            job.suspects.push((vm.clone(), suspect));
            true
        })
    }

    /// Handles that the store holds neither a reported job nor its end, which it deletes some
    /// time after the job has ended.
    pub(super) fn on_not_stored(&mut self, now: Time, name: &JobName) {
        if !self.unknown_jobs.contains_key(name) {
            return;
        }
        self.absent_jobs.insert(name.clone(), now);
        self.apply_earlier_reports(now, name);
    }

    /// Applies what agents have reported about a job before the owner knew it or its end.
    pub(super) fn apply_earlier_reports(&mut self, now: Time, name: &JobName) {
        let Some(reported) = self.unknown_jobs.remove(name) else {
            return;
        };
        tracing::info!(
            job = %name,
            is_open = self.jobs.contains_key(name),
            has_ended = self.ended_jobs.contains_key(name),
            ends = reported.ends.len(),
            suspects = reported.suspects.len(),
            "reported job known; applying the reports"
        );
        for (vm, end) in &reported.ends {
            self.apply_end(now, vm, end, None);
        }
        let vms: Vec<VmName> = self.vms.keys().cloned().collect();
        for vm in &vms {
            self.apply_earlier_runs(now, vm, name);
        }
        for (vm, suspect) in &reported.suspects {
            let crash = TaskCrash {
                run: suspect.run.run,
                vm: vm.clone(),
                is_sole_suspect: suspect.is_sole_suspect,
                is_mass_loss: false,
            };
            self.record_task_crash(now, &suspect.run, crash);
        }
        let last_change = self.last_change;
        for (vm_name, vm) in &mut self.vms {
            let ends = vm.unrecorded_ends.iter_mut();
            for (_, release) in ends.chain(&mut vm.unrecorded_crashes) {
                let Release::AfterJobs(jobs) = release else {
                    continue;
                };
                jobs.retain(|job| job != name);
                if jobs.is_empty() {
                    *release = Release::AfterChange(last_change);
                }
            }
            self.unrecorded_vms.insert(vm_name.clone());
        }
        self.advance_recorded_ends();
        self.schedule_due = true;
    }

    fn apply_earlier_runs(&mut self, now: Time, name: &VmName, job: &JobName) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let running = vm
            .unknown_runs
            .extract_if(.., |key, _| key.task.job == *job);
        let running: Vec<RunKey> = running.map(|(key, _)| key).collect();
        let unsettled = vm.unsettled.iter().filter(|key| key.task.job == *job);
        let unsettled: Vec<RunKey> = unsettled.cloned().collect();
        for key in running {
            self.adopt(now, name, &key);
        }
        for key in unsettled {
            self.stop_unsettled(now, name, &key);
        }
        self.review_unaccounted_runs(name);
    }
}
