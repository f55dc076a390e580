//! Telling workers that fail everything from tasks that fail everywhere.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{Cause, JobName, TaskRun, Time, VmName};

use super::Owner;
use crate::{Record, RunEnd};

/// How many failures that no task can be blamed for put a worker aside.
const QUARANTINE_FAILURES: u32 = 3;

/// At most one worker in this many is put aside at a time, since the cause lies
/// elsewhere if more of them fail everything.
const QUARANTINE_ONE_IN: usize = 4;

/// What tasks did lately, by worker and by job.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Failures on each worker since a task last ended well there.
    failures: BTreeMap<VmName, BTreeMap<JobName, u32>>,
    jobs: BTreeMap<JobName, JobHealth>,
}

#[derive(Debug, Default)]
struct JobHealth {
    finished_on: BTreeSet<VmName>,
    failed_on: BTreeSet<VmName>,
}

impl Health {
    fn note(&mut self, job: &JobName, vm: &VmName, end: RunEnd) {
        let known = self.jobs.entry(job.clone()).or_default();
        match end {
            RunEnd::Finished => {
                known.finished_on.insert(vm.clone());
                self.failures.remove(vm);
            }
            RunEnd::Failed => {
                known.failed_on.insert(vm.clone());
                let failures = self.failures.entry(vm.clone()).or_default();
                *failures.entry(job.clone()).or_default() += 1;
            }
            RunEnd::Stopped | RunEnd::Lost => {}
        }
    }

    /// Whether the failures on `vm` can't be explained by the tasks.
    fn is_broken(&self, vm: &VmName) -> bool {
        let Some(failures) = self.failures.get(vm) else {
            return false;
        };
        let mut unexplained = 0;
        let mut jobs = 0;
        let mut proved = false;
        for (job, count) in failures {
            let Some(known) = self.jobs.get(job) else {
                continue;
            };
            let works = known.finished_on.iter().any(|other| other != vm);
            let fails_elsewhere = known.failed_on.iter().any(|other| other != vm);
            if fails_elsewhere && !works {
                continue;
            }
            unexplained += count;
            jobs += 1;
            proved |= works;
        }
        unexplained >= QUARANTINE_FAILURES && (proved || jobs > 1)
    }

    /// Forgets a job that was dropped.
    pub(super) fn forget_job(&mut self, job: &JobName) {
        self.jobs.remove(job);
        for failures in self.failures.values_mut() {
            failures.remove(job);
        }
        self.failures.retain(|_, failures| !failures.is_empty());
    }
}

impl Owner {
    /// Notes how an attempt ended and puts its worker aside if that is broken.
    pub(super) fn judge_health(&mut self, now: Time, run: &TaskRun, vm: &VmName, end: RunEnd) {
        self.health.note(&run.task.job, vm, end);
        if end != RunEnd::Failed || !self.health.is_broken(vm) || self.enough_put_aside(now) {
            return;
        }
        self.health.failures.remove(vm);
        let until = now + self.timing.quarantine_period;
        self.record(Record::Quarantined {
            vm: vm.clone(),
            until,
        });
        self.evict_all(now, vm, Cause::Quarantine);
        self.review(now, vm);
    }

    fn enough_put_aside(&self, now: Time) -> bool {
        let until = self.state.quarantined.values();
        let aside = until.filter(|until| !until.passed(now)).count();
        aside >= (self.workers.len() / QUARANTINE_ONE_IN).max(1)
    }
}
