//! Health of a worker, judged by how its runs end and how long they take rather than
//! by its own heartbeats.

use std::{collections::VecDeque, time::Duration};

use kernel::{JobName, Time, VmName};

use super::{
    Owner,
    place::{PlacementRequest, suits},
};

/// Number of recent ends that are kept.
const MAX_ENDS: usize = 8;
/// Age beyond which ends and durations no longer count.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(8);
/// Number of different jobs that must fail in a row on a worker to make it suspect. A
/// single job that can never succeed fails on several workers.
const SUSPECT_AFTER_JOBS: usize = 2;
/// Number of workers on which a step must fail in a row before its failures say nothing about
/// further workers.
const VMS_OF_A_FAILING_STEP: usize = 2;
/// Share of the workers that may be quarantined, as a divisor.
const QUARANTINED_DIVISOR: usize = 2;
/// Time for which a suspect worker gets no tasks. After it, the worker gets a single
/// task as a trial.
const QUARANTINE: Duration = Duration::from_secs(4);
/// Time without a failure after which a trial has succeeded, since a long-running task
/// does not end.
const TRIAL: Duration = Duration::from_secs(4);
/// Time in which a learnt slowdown halves once it is older than [`EVIDENCE_WINDOW`]. A slow worker
/// gets few tasks, so its measurements are few, and it got many at once as the slowdown ended
/// suddenly.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(8);
/// Age beyond which a learnt slowdown does not count; a sixteenth of it is left then.
const SLOWDOWN_KEPT: Duration = Duration::from_secs(40);
/// Weight of the newest duration in the moving average of the slowdown.
const NEWEST_FACTOR: f64 = 0.3;

/// Workers on which a step has failed since one of its runs was last done.
#[derive(Clone, Debug, Default)]
pub(super) struct FailingStep(VecDeque<(Time, VmName)>);

impl FailingStep {
    /// Records a failure; returns whether it says something about the worker rather than about
    /// the step.
    pub(super) fn record_failure(&mut self, now: Time, vm: &VmName) -> bool {
        self.0
            .retain(|(at, known)| known != vm && !(*at + EVIDENCE_WINDOW).passed(now));
        let is_evidence = self.0.len() < VMS_OF_A_FAILING_STEP;
        self.0.push_back((now, vm.clone()));
        if self.0.len() > VMS_OF_A_FAILING_STEP {
            self.0.pop_front();
        }
        is_evidence
    }

    pub(super) fn record_success(&mut self) {
        self.0.clear();
    }
}

/// Evidence about the health of a worker.
#[derive(Clone, Debug)]
pub(super) struct Health {
    /// Recent ends, oldest first: time, job, and whether the run failed.
    ends: VecDeque<(Time, JobName, bool)>,
    /// Until when a suspect worker gets no tasks; `None` if it is not suspect, also
    /// once a run has succeeded there.
    suspect_until: Option<Time>,
    /// Until when a suspect worker has a single new task on trial; `None` while it has
    /// none. A failure makes the worker suspect again at once.
    trial_until: Option<Time>,
    /// Moving average of task durations on this worker, as a multiple of the median of
    /// their steps.
    slowdown: f64,
    /// Time of the last update of the slowdown.
    measured_at: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            ends: VecDeque::new(),
            suspect_until: None,
            trial_until: None,
            slowdown: 1.0,
            measured_at: Time::ZERO,
        }
    }
}

impl Health {
    /// Records the end of a run. Returns whether the worker should be quarantined.
    pub(super) fn record_end(&mut self, now: Time, job: &JobName, failed: bool) -> bool {
        self.ends.push_back((now, job.clone(), failed));
        while self.ends.len() > MAX_ENDS {
            self.ends.pop_front();
        }
        if !failed {
            self.clear();
            return false;
        }
        self.trial_until.is_some() || self.failing_jobs_in_a_row(now) >= SUSPECT_AFTER_JOBS
    }

    /// Gives the worker no tasks for a while.
    fn quarantine(&mut self, now: Time) {
        self.suspect_until = Some(now + QUARANTINE);
        self.trial_until = None;
    }

    fn clear(&mut self) {
        self.suspect_until = None;
        self.trial_until = None;
    }

    fn failing_jobs_in_a_row(&self, now: Time) -> usize {
        let mut jobs: Vec<&JobName> = Vec::new();
        for (at, job, failed) in self.ends.iter().rev() {
            if !failed || (*at + EVIDENCE_WINDOW).passed(now) {
                break;
            }
            if !jobs.contains(&job) {
                jobs.push(job);
            }
        }
        jobs.len()
    }

    /// Whether the worker may get a task now. A suspect worker gets a single one, beside
    /// those that it has, and further ones once it has run without a failure for a while.
    pub(super) fn may_take_task(&mut self, now: Time) -> bool {
        let Some(until) = self.suspect_until else {
            return true;
        };
        match self.trial_until {
            None => until.passed(now),
            Some(trial_until) if trial_until.passed(now) => {
                self.clear();
                true
            }
            Some(_) => false,
        }
    }

    /// Whether the worker is suspect and its trial may begin early, as no other worker is left.
    pub(super) const fn may_begin_trial(&self) -> bool {
        self.suspect_until.is_some() && self.trial_until.is_none()
    }

    /// Whether the worker is suspect, and gets no tasks or a single one.
    pub(super) const fn is_suspect(&self) -> bool {
        self.suspect_until.is_some()
    }

    /// Records that the worker gets a task, which is its trial if it is suspect.
    pub(super) fn record_start(&mut self, now: Time) {
        if self.suspect_until.is_some() {
            self.trial_until = Some(now + TRIAL);
        }
    }

    /// Records the duration of a task on this worker, as a multiple of the median of
    /// its step.
    pub(super) fn record_duration(&mut self, now: Time, multiple: f64) {
        if self.slowdown > 1.0 || (self.measured_at + SLOWDOWN_KEPT).passed(now) {
            self.slowdown = self.slowdown(now);
        }
        let newest = multiple.clamp(0.2, 20.0);
        self.slowdown = self.slowdown * (1.0 - NEWEST_FACTOR) + newest * NEWEST_FACTOR;
        self.measured_at = now;
    }

    /// Factor by which tasks run longer on this worker than on others, at least 1. It decays
    /// towards 1 while there are no new measurements.
    pub(super) fn slowdown(&self, now: Time) -> f64 {
        if (self.measured_at + SLOWDOWN_KEPT).passed(now) {
            return 1.0;
        }
        let stale = now.since(self.measured_at + EVIDENCE_WINDOW);
        let halvings = stale.as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowdown.max(1.0) - 1.0) * 0.5_f64.powf(halvings)
    }
}

impl Owner {
    /// Gives a worker no tasks for a while, after failures or because a task was stuck there, but
    /// not if half of the workers get none already: the cause is then hardly the worker.
    pub(super) fn quarantine(&mut self, now: Time, name: &VmName, reason: &'static str) {
        let vms = &self.vms;
        self.quarantined
            .retain(|name| vms.get(name).is_some_and(|vm| vm.health.is_suspect()));
        let most = (self.vms.len() / QUARANTINED_DIVISOR).max(1);
        let is_new = !self.quarantined.contains(name);
        if is_new && self.quarantined.len() >= most {
            tracing::warn!(vm = %name, reason, quarantined = most, "worker not quarantined, since half of the workers are");
            return;
        }
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        vm.health.quarantine(now);
        self.quarantined.insert(name.clone());
        if is_new {
            tracing::warn!(vm = %name, reason, "worker quarantined");
        }
    }

    /// Whether a worker that is not quarantined could take the task now or later.
    pub(super) fn has_sound_worker(&self, request: &PlacementRequest<'_>) -> bool {
        let mut vms = self.vms.values();
        vms.any(|vm| !vm.health.is_suspect() && suits(vm, request, &self.zones_out))
    }
}
