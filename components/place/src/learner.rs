//! Estimates and actions derived from measurements of running tasks.
//!
//! [`Learner`] processes the measurements in heartbeats, passes interference
//! estimates to the placement, decides which tasks to throttle or evict, and
//! computes the resources to reserve for a task. See "Interference" in
//! `docs/PLACEMENT.md`.

use std::time::Duration;

use kernel::{JobName, Resources, ServiceName, TaskClass, TaskRun, Time, VmName};
use serde::{Deserialize, Serialize};

use crate::{
    family_stats::FamilyStats,
    fleet::Fleet,
    interference::{Estimator, MatchedReport, ThrottleAction, ThrottleSettings, Throttler},
    worker::Reservation,
};

/// How often new estimates are applied to running tasks.
const REFRESH_EVERY: Duration = Duration::from_secs(5);

/// Resource usage of one attempt, measured by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The measured attempt.
    pub run: TaskRun,
    /// When the usage was measured.
    pub at: Time,
    /// The resources used.
    pub used: Resources,
}

/// Latency of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// The service of the endpoint.
    pub service: ServiceName,
    /// When the latency was measured.
    pub at: Time,
    /// The latency, in microseconds. Only its ratio to the undisturbed latency
    /// is used, so any measure of the slower responses will do, as long as it
    /// is always the same.
    pub micros: u64,
}

/// Switches for the parts of the learner, so that the effect of each can be
/// measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether measured interference affects placement.
    pub interference: bool,
    /// Whether batch tasks are throttled and evicted to protect services.
    pub throttling: bool,
    /// Whether reservations grow to the measured usage.
    pub sizes: bool,
    /// When to throttle or evict tasks and when to end throttling.
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

/// Estimates of usage, run time and interference for the tasks and services of
/// one cell.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    settings: Settings,
    estimator: Estimator,
    throttler: Throttler,
    family_stats: FamilyStats,
    largest_capacity: Resources,
    refreshed_at: Time,
}

impl Learner {
    /// Creates a learner without measurements.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            throttler: Throttler::new(settings.throttle_settings),
            ..Self::default()
        }
    }

    /// Sets the capacity of a worker.
    pub fn on_worker(&mut self, vm: &VmName, capacity: Resources) {
        self.largest_capacity = self.largest_capacity.max(capacity);
        self.estimator.on_worker(vm, capacity);
    }

    /// Removes a worker.
    pub fn remove(&mut self, vm: &VmName) {
        self.estimator.remove(vm);
        self.throttler.remove(vm);
    }

    /// Processes the measurements in a heartbeat from a VM, however late they
    /// arrive, and returns the actions for the batch tasks on the VM.
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
            let newly_matched = self
                .estimator
                .on_latency(now, at, vm, &report.service, micros);
            matched.extend(newly_matched);
        }
        for report in usage {
            let UsageReport { run, at, used } = report;
            self.family_stats.on_usage(now, run, *used);
            let reservation = fleet.reservation(run);
            if reservation.is_some_and(|reservation| reservation.class == TaskClass::Batch) {
                matched.extend(self.estimator.on_usage(now, *at, vm, run, *used));
            }
        }
        self.refresh(now, fleet);
        matched
            .iter()
            .filter_map(|report| self.throttle_action(now, fleet, report))
            .collect()
    }

    /// Returns the resources to reserve for a task of `job` with the given
    /// declared need: the measured ones, unless no worker of the fleet could
    /// hold them.
    #[must_use]
    pub fn reservation(&self, job: &JobName, declared: Resources, fleet: &Fleet) -> Resources {
        if !self.settings.sizes {
            return declared;
        }
        let measured = self
            .family_stats
            .reservation(job, declared, self.largest_capacity);
        if fleet.can_ever_fit(measured) {
            measured
        } else {
            declared
        }
    }

    /// Records that an attempt finished. `run_time` counts from the first start
    /// of its task.
    pub fn on_finished(&mut self, now: Time, run: &TaskRun, run_time: Duration) {
        self.family_stats.on_finished(now, run, run_time);
    }

    /// Records that an attempt ended without finishing.
    pub fn on_stopped(&mut self, run: &TaskRun) {
        self.family_stats.on_stopped(run);
    }

    fn throttle_action(
        &mut self,
        now: Time,
        fleet: &Fleet,
        report: &MatchedReport,
    ) -> Option<ThrottleAction> {
        if !self.settings.throttling {
            return None;
        }
        let is_evictable = |run: &TaskRun| {
            fleet
                .reservation(run)
                .is_some_and(Reservation::is_evictable)
        };
        self.throttler.on_report(now, report, is_evictable)
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
