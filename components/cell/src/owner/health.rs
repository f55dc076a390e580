//! Detection of faulty workers, as opposed to tasks that fail on every worker.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{Cause, JobName, TaskRun, Time, VmName};

use super::Owner;
use crate::{Record, RunEnd};

/// Number of failures not explained by the tasks after which a worker is
/// quarantined.
const QUARANTINE_FAILURES: u32 = 3;

/// At most one worker in this many is quarantined at a time. If more workers fail
/// all tasks, the cause is not the workers.
const QUARANTINE_ONE_IN: usize = 4;

/// Recent ends of attempts, by worker and by job.
#[derive(Debug, Default)]
pub(super) struct WorkerHealth {
    /// Failures on each worker, by job, since an attempt last finished there.
    failures: BTreeMap<VmName, BTreeMap<JobName, u32>>,
    jobs: BTreeMap<JobName, JobHealth>,
}

#[derive(Debug, Default)]
struct JobHealth {
    finished_on: BTreeSet<VmName>,
    failed_on: BTreeSet<VmName>,
}

impl WorkerHealth {
    fn record_end(&mut self, job: &JobName, vm: &VmName, end: RunEnd) {
        let job_health = self.jobs.entry(job.clone()).or_default();
        match end {
            RunEnd::Finished => {
                job_health.finished_on.insert(vm.clone());
                self.failures.remove(vm);
            }
            RunEnd::Failed => {
                job_health.failed_on.insert(vm.clone());
                let failures = self.failures.entry(vm.clone()).or_default();
                *failures.entry(job.clone()).or_default() += 1;
            }
            RunEnd::Stopped | RunEnd::Lost => {}
        }
    }

    /// Returns whether the failures on `vm` are caused by the worker.
    ///
    /// A job that failed on other workers too and finished on none explains its
    /// own failures. The remaining failures count against the worker if one of
    /// the jobs finished on another worker or they come from several jobs.
    fn is_faulty(&self, vm: &VmName) -> bool {
        let Some(failures) = self.failures.get(vm) else {
            return false;
        };
        let mut unexplained = 0;
        let mut jobs = 0;
        let mut is_confirmed = false;
        for (job, count) in failures {
            let Some(job_health) = self.jobs.get(job) else {
                continue;
            };
            let finishes_elsewhere = job_health.finished_on.iter().any(|other| other != vm);
            let fails_elsewhere = job_health.failed_on.iter().any(|other| other != vm);
            if fails_elsewhere && !finishes_elsewhere {
                continue;
            }
            unexplained += count;
            jobs += 1;
            is_confirmed |= finishes_elsewhere;
        }
        unexplained >= QUARANTINE_FAILURES && (is_confirmed || jobs > 1)
    }

    /// Removes a job that was dropped from the state.
    pub(super) fn forget_job(&mut self, job: &JobName) {
        self.jobs.remove(job);
        for failures in self.failures.values_mut() {
            failures.remove(job);
        }
        self.failures.retain(|_, failures| !failures.is_empty());
    }
}

impl Owner {
    /// Records how an attempt ended and quarantines its worker if that is faulty.
    pub(super) fn record_run_end(&mut self, now: Time, run: &TaskRun, vm: &VmName, end: RunEnd) {
        self.health.record_end(&run.task.job, vm, end);
        if end != RunEnd::Failed || !self.health.is_faulty(vm) || self.is_quarantine_full(now) {
            return;
        }
        self.health.failures.remove(vm);
        let until = now + self.timing.quarantine_period;
        self.record(Record::Quarantined {
            vm: vm.clone(),
            until,
        });
        self.evict_all(now, vm, Cause::Quarantine);
        self.update_availability(now, vm);
    }

    fn is_quarantine_full(&self, now: Time) -> bool {
        let until = self.state.quarantined_until.values();
        let quarantined = until.filter(|until| !until.passed(now)).count();
        quarantined >= (self.workers.len() / QUARANTINE_ONE_IN).max(1)
    }
}
