//! Who is to blame for a failed attempt: the task or the worker.
//!
//! A worker that fails everything is kept from new work and what failed there
//! is not held against the tasks; a task that fails on several workers that do
//! well otherwise is stopped. See "Failures" in `docs/PLACEMENT.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kernel::{JobName, TaskId, TaskRun, Time, VmName};
use serde::{Deserialize, Serialize};

use crate::family::family;

/// On how many workers a task must fail until it is stopped.
pub const MAX_FAILED_WORKERS: usize = 3;

/// Failures of this many families in a row, without a success, put a worker
/// into quarantine.
const FAMILIES_TO_QUARANTINE: usize = 3;

/// So many tasks that failed on a worker and ended well elsewhere put it into
/// quarantine, if nothing succeeded there meanwhile.
const PROOFS_TO_QUARANTINE: usize = 2;

/// After so many failures in a row a worker pauses, whoever is to blame, so that
/// one that fails fast does not draw all work to itself.
const FAILURES_TO_PAUSE: u32 = 3;

/// How long such a pause lasts.
const PAUSE: Duration = Duration::from_secs(30);

/// How long the first quarantine lasts; each further one twice as long.
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);

/// The longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(6 * 3600);

/// At most one worker in this many is in quarantine at a time: if more fail
/// everything, the cause lies elsewhere.
const QUARANTINE_ONE_IN: usize = 4;

/// What follows from a failure for its task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AfterFailure {
    /// Try it again, but not on these VMs.
    Retry {
        /// Where it failed.
        avoid: Vec<VmName>,
    },
    /// It failed on too many workers; an operator has to look at it.
    Stop {
        /// Where it failed.
        failed_on: Vec<VmName>,
    },
}

#[derive(Clone, Debug, Default)]
struct Health {
    /// What failed since the last success.
    tasks: BTreeSet<TaskId>,
    families: BTreeSet<JobName>,
    /// Tasks that failed here and ended well elsewhere.
    proofs: BTreeSet<TaskId>,
    failures: u32,
    closed_until: Time,
    quarantines: u32,
    quarantined: bool,
}

/// The record of failures by worker and by task.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    workers: BTreeMap<VmName, Health>,
    failed_on: BTreeMap<TaskId, BTreeSet<VmName>>,
    fleet_size: usize,
}

impl Quarantine {
    /// No failure seen.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in how many workers there are.
    pub fn on_fleet_size(&mut self, workers: usize) {
        self.fleet_size = workers;
    }

    /// Takes in a failed attempt and says what follows for its task.
    pub fn on_failure(&mut self, now: Time, run: &TaskRun, vm: &VmName) -> AfterFailure {
        let failed_on = self.failed_on.entry(run.task.clone()).or_default();
        failed_on.insert(vm.clone());
        let health = self.workers.entry(vm.clone()).or_default();
        health.failures += 1;
        health.tasks.insert(run.task.clone());
        health.families.insert(family(&run.task.job));
        if health.failures.is_multiple_of(FAILURES_TO_PAUSE) {
            health.closed_until = health.closed_until.max(now + PAUSE);
        }
        self.judge(now, vm);
        self.after_failure(&run.task)
    }

    /// Takes in an attempt that ended well: its worker is sound, and a worker
    /// where the task failed before is suspect.
    pub fn on_success(&mut self, now: Time, run: &TaskRun, vm: &VmName) {
        if let Some(health) = self.workers.get_mut(vm) {
            health.tasks.clear();
            health.families.clear();
            health.proofs.clear();
            health.failures = 0;
            health.quarantined = false;
        }
        let Some(failed_on) = self.failed_on.remove(&run.task) else {
            return;
        };
        for other in failed_on {
            if other == *vm {
                continue;
            }
            if let Some(health) = self.workers.get_mut(&other) {
                health.proofs.insert(run.task.clone());
            }
            self.judge(now, &other);
        }
    }

    /// Forgets a task that ended for good otherwise.
    pub fn forget_task(&mut self, task: &TaskId) {
        self.failed_on.remove(task);
    }

    /// Forgets a worker that was replaced.
    pub fn forget_worker(&mut self, vm: &VmName) {
        self.workers.remove(vm);
    }

    /// Whether a worker may take new work.
    #[must_use]
    pub fn allows(&self, now: Time, vm: &VmName) -> bool {
        let health = self.workers.get(vm);
        health.is_none_or(|health| health.closed_until.passed(now))
    }

    /// The workers in quarantine, with the end of it.
    pub fn quarantined(&self, now: Time) -> impl Iterator<Item = (&VmName, Time)> {
        let closed = self
            .workers
            .iter()
            .filter(move |(_, health)| health.quarantined && !health.closed_until.passed(now));
        closed.map(|(vm, health)| (vm, health.closed_until))
    }

    /// Where a task failed, so that it is not placed there again.
    #[must_use]
    pub fn avoid(&self, task: &TaskId) -> Vec<VmName> {
        let failed_on = self.failed_on.get(task);
        failed_on.map_or_else(Vec::new, |vms| vms.iter().cloned().collect())
    }

    fn judge(&mut self, now: Time, vm: &VmName) {
        let most = (self.fleet_size / QUARANTINE_ONE_IN).max(1);
        if self.quarantined(now).count() >= most {
            return;
        }
        let Some(health) = self.workers.get_mut(vm) else {
            return;
        };
        let in_quarantine = health.quarantined && !health.closed_until.passed(now);
        let guilty = health.families.len() >= FAMILIES_TO_QUARANTINE
            || health.proofs.len() >= PROOFS_TO_QUARANTINE;
        if in_quarantine || !guilty {
            return;
        }
        let span = FIRST_QUARANTINE * 2u32.saturating_pow(health.quarantines.min(16));
        health.quarantines += 1;
        health.quarantined = true;
        health.closed_until = now + span.min(LONGEST_QUARANTINE);
        health.families.clear();
        health.proofs.clear();
    }

    /// Failures on a worker in quarantine count for nothing.
    fn after_failure(&self, task: &TaskId) -> AfterFailure {
        let failed_on = self.avoid(task);
        let sound = |vm: &&VmName| {
            let health = self.workers.get(*vm);
            health.is_none_or(|health| !health.quarantined)
        };
        if failed_on.iter().filter(sound).count() < MAX_FAILED_WORKERS {
            return AfterFailure::Retry { avoid: failed_on };
        }
        AfterFailure::Stop { failed_on }
    }
}
