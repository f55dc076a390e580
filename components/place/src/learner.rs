//! What is learnt while tasks run, and what follows from it at once.
//!
//! [`Learner`] takes in what heartbeats bring, passes estimates of harm on to
//! the placement, says what to throttle, and knows what to reserve. See
//! "Interference" in `docs/PLACEMENT.md`.

use std::time::Duration;

use kernel::{JobName, Resources, ServiceName, TaskClass, TaskRun, Time, VmName};
use serde::{Deserialize, Serialize};

use crate::{
    family_stats::FamilyStats,
    fleet::Fleet,
    interference::{Estimator, MatchedReport, ThrottleAction, ThrottleSettings, Throttler},
    worker::Reservation,
};

/// How often new estimates are applied to what already runs.
const REFRESH_EVERY: Duration = Duration::from_secs(5);

/// What a worker measured of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The attempt.
    pub run: TaskRun,
    /// When it was measured.
    pub at: Time,
    /// What it used.
    pub used: Resources,
}

/// What was measured of one endpoint's answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// The service.
    pub service: ServiceName,
    /// When it was measured.
    pub at: Time,
    /// The latency, in microseconds. Only its ratio to the undisturbed one is
    /// used, so any measure of the slower answers will do, but always the same.
    pub micros: u64,
}

/// Which parts are in use, so that each can be measured against its absence.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether measured interference steers the placement.
    pub interference: bool,
    /// Whether batch tasks are throttled and evicted for services.
    pub throttling: bool,
    /// Whether reservations grow to the sizes learnt.
    pub sizes: bool,
    /// When to act for a service and when to let go.
    #[serde(rename = "calm")]
    pub throttle_settings: ThrottleSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interference: true,
            throttling: true,
            sizes: true,
            throttle_settings: ThrottleSettings::default(),
        }
    }
}

/// What is learnt of the tasks and services of one cell.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    settings: Settings,
    estimator: Estimator,
    throttler: Throttler,
    sizes: FamilyStats,
    largest: Resources,
    refreshed_at: Time,
}

impl Learner {
    /// Nothing learnt yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            throttler: Throttler::new(settings.throttle_settings),
            ..Self::default()
        }
    }

    /// Takes in a worker's capacity.
    pub fn on_worker(&mut self, vm: &VmName, capacity: Resources) {
        self.largest = self.largest.max(capacity);
        self.estimator.on_worker(vm, capacity);
    }

    /// Forgets a worker.
    pub fn remove(&mut self, vm: &VmName) {
        self.estimator.remove(vm);
        self.throttler.remove(vm);
    }

    /// Takes in what a heartbeat brought from a VM, however late, and says what
    /// to do with the batch tasks there.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        fleet: &mut Fleet,
        vm: &VmName,
        usage: &[UsageReport],
        latency: &[LatencyReport],
    ) -> Vec<ThrottleAction> {
        let mut matched = Vec::new();
        for report in latency {
            let (at, micros) = (report.at, report.micros);
            let more = self
                .estimator
                .on_latency(now, at, vm, &report.service, micros);
            matched.extend(more);
        }
        for report in usage {
            let UsageReport { run, at, used } = report;
            self.sizes.on_usage(now, run, *used);
            let holding = fleet.reservation(run);
            if holding.is_some_and(|holding| holding.class == TaskClass::Batch) {
                matched.extend(self.estimator.on_usage(now, *at, vm, run, *used));
            }
        }
        self.refresh(now, fleet);
        matched
            .iter()
            .filter_map(|report| self.guard(now, fleet, report))
            .collect()
    }

    /// What to reserve for a task of `job` that declared its need: what was
    /// learnt, unless no worker of the fleet could hold that.
    #[must_use]
    pub fn reservation(&self, job: &JobName, declared: Resources, fleet: &Fleet) -> Resources {
        if !self.settings.sizes {
            return declared;
        }
        let learnt = self.sizes.reservation(job, declared, self.largest);
        if fleet.can_ever_fit(learnt) {
            learnt
        } else {
            declared
        }
    }

    /// Takes in that an attempt ended well after it had run for so long.
    pub fn on_finished(&mut self, now: Time, run: &TaskRun, ran: Duration) {
        self.sizes.on_finished(now, run, ran);
    }

    /// Takes in that an attempt ended otherwise.
    pub fn on_stopped(&mut self, run: &TaskRun) {
        self.sizes.on_stopped(run);
    }

    fn guard(
        &mut self,
        now: Time,
        fleet: &Fleet,
        report: &MatchedReport,
    ) -> Option<ThrottleAction> {
        if !self.settings.throttling {
            return None;
        }
        let evictable = |run: &TaskRun| {
            fleet
                .reservation(run)
                .is_some_and(Reservation::is_evictable)
        };
        self.throttler.on_report(now, report, evictable)
    }

    fn refresh(&mut self, now: Time, fleet: &mut Fleet) {
        if !self.settings.interference || now.since(self.refreshed_at) < REFRESH_EVERY {
            return;
        }
        self.refreshed_at = now;
        for estimate in self.estimator.changed() {
            fleet.set_interference(&estimate.service, &estimate.job, estimate.slowdown);
        }
        fleet.refresh_interference();
    }
}
