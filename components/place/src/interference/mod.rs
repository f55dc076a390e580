//! Estimates how much batch tasks slow down the services on the same VM, from
//! reports that arrive late.
//!
//! See "Interference" in `docs/PLACEMENT.md`.

mod history;
mod model;
mod throttle;

use std::{collections::BTreeMap, time::Duration};

use kernel::{JobName, Resources, ServiceName, TaskRun, Time, VmName};
use serde::{Deserialize, Serialize};

use crate::family::family;
use history::{History, LatencySample};

pub use model::SlowdownModel;
pub use throttle::{ThrottleAction, ThrottleSettings, Throttler};

/// The smallest change of an estimate that [`Estimator::changed`] returns.
const MIN_REPORTED_CHANGE: f64 = 0.02;

/// How long a latency report waits for the usage measured at its time.
pub const MATCH_TIMEOUT: Duration = Duration::from_secs(90);

/// A new estimate of how much a family of jobs slows down a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// The service that is slowed down.
    pub service: ServiceName,
    /// The family of jobs.
    pub job: JobName,
    /// The logarithm of the factor on the tail latency if tasks of the family
    /// used all cores of a VM.
    pub slowdown: f64,
}

/// A latency report, matched with the tasks that ran on the VM when it was
/// measured.
#[derive(Clone, Debug, PartialEq)]
pub struct MatchedReport {
    /// When the latency was measured.
    pub at: Time,
    /// The VM of the endpoint.
    pub vm: VmName,
    /// The service of the endpoint.
    pub service: ServiceName,
    /// The tail latency as a multiple of the undisturbed one.
    pub inflation: f64,
    /// The batch tasks that ran on the VM, the largest contribution first.
    pub contributors: Vec<Contributor>,
}

/// A batch task that ran on the VM of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Contributor {
    /// The attempt.
    pub run: TaskRun,
    /// Its part of the logarithm of the expected slowdown.
    pub contribution: f64,
}

/// Estimates interference from usage and latency reports that arrive late and
/// in any order.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    histories: BTreeMap<VmName, History>,
    models: BTreeMap<ServiceName, SlowdownModel<JobName>>,
    reported: BTreeMap<(ServiceName, JobName), f64>,
}

impl Estimator {
    /// Creates an estimator without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the capacity of a VM's worker; usage is counted as a fraction of
    /// it.
    pub fn on_worker(&mut self, vm: &VmName, capacity: Resources) {
        self.histories.entry(vm.clone()).or_default().capacity = capacity;
    }

    /// Removes a VM.
    pub fn remove(&mut self, vm: &VmName) {
        self.histories.remove(vm);
    }

    /// Records the resources that a batch attempt used at `at`, received at
    /// `now`. Returns the latency reports that waited for this usage.
    pub fn on_usage(
        &mut self,
        now: Time,
        at: Time,
        vm: &VmName,
        run: &TaskRun,
        used: Resources,
    ) -> Vec<MatchedReport> {
        let history = self.histories.entry(vm.clone()).or_default();
        history.add_usage(now, at, run, used);
        self.match_reports(now, vm)
    }

    /// Records the tail latency of an endpoint measured at `at`, received at
    /// `now`. Returns the latency reports whose usage is known.
    pub fn on_latency(
        &mut self,
        now: Time,
        at: Time,
        vm: &VmName,
        service: &ServiceName,
        p99_micros: u64,
    ) -> Vec<MatchedReport> {
        let history = self.histories.entry(vm.clone()).or_default();
        history.add_latency(LatencySample {
            at,
            service: service.clone(),
            p99_micros,
        });
        self.match_reports(now, vm)
    }

    /// Returns the estimate for the family of `job`, in the unit of
    /// [`Estimate::slowdown`].
    #[must_use]
    pub fn slowdown(&self, service: &ServiceName, job: &JobName) -> f64 {
        let family = family(job);
        let model = self.models.get(service);
        model
            .and_then(|model| model.slowdown(&family))
            .unwrap_or_else(|| self.prior(&family))
    }

    /// Returns the estimates that changed since the last call.
    pub fn changed(&mut self) -> Vec<Estimate> {
        let mut changed = Vec::new();
        for (service, model) in &self.models {
            for (job, slowdown) in model.slowdowns() {
                let key = (service.clone(), job.clone());
                let before = self.reported.get(&key).copied();
                if before.is_some_and(|before| (before - slowdown).abs() < MIN_REPORTED_CHANGE) {
                    continue;
                }
                self.reported.insert(key, slowdown);
                changed.push(Estimate {
                    service: service.clone(),
                    job: job.clone(),
                    slowdown,
                });
            }
        }
        changed
    }

    /// Returns the expected slowdown by a family of jobs for services where it
    /// was never measured: the mean over the other services, with the general
    /// prior as one more value.
    fn prior(&self, family: &JobName) -> f64 {
        let mut sum = crate::interference_table::PRIOR_SLOWDOWN;
        let mut count = 1.0;
        for model in self.models.values() {
            if let Some(slowdown) = model.slowdown(family) {
                sum += slowdown;
                count += 1.0;
            }
        }
        sum / count
    }

    fn match_reports(&mut self, now: Time, vm: &VmName) -> Vec<MatchedReport> {
        let Some(history) = self.histories.get_mut(vm) else {
            return Vec::new();
        };
        let ready = history.take_ready(now);
        let mut matched = Vec::new();
        for latency in ready {
            let cpu_shares = self
                .histories
                .get(vm)
                .map(|history| history.usage_at(latency.at));
            matched.push(self.learn(vm, &latency, cpu_shares.unwrap_or_default()));
        }
        matched
    }

    fn learn(
        &mut self,
        vm: &VmName,
        latency: &LatencySample,
        cpu_shares: Vec<(TaskRun, f64)>,
    ) -> MatchedReport {
        let mut family_shares: BTreeMap<JobName, f64> = BTreeMap::new();
        for (run, share) in &cpu_shares {
            *family_shares.entry(family(&run.task.job)).or_default() += share;
        }
        let shares_and_priors: Vec<(JobName, f64, f64)> = family_shares
            .into_iter()
            .map(|(job, share)| {
                let prior = self.prior(&job);
                (job, share, prior)
            })
            .collect();
        let model = self.models.entry(latency.service.clone()).or_default();
        let inflation = model.learn(latency.at, latency.p99_micros, &shares_and_priors);
        let mut contributors: Vec<Contributor> = cpu_shares
            .into_iter()
            .map(|(run, share)| Contributor {
                contribution: share * model.slowdown(&family(&run.task.job)).unwrap_or_default(),
                run,
            })
            .collect();
        contributors.sort_by(|left, right| {
            let by_contribution = right.contribution.total_cmp(&left.contribution);
            by_contribution.then_with(|| left.run.cmp(&right.run))
        });
        MatchedReport {
            at: latency.at,
            vm: vm.clone(),
            service: latency.service.clone(),
            inflation,
            contributors,
        }
    }
}
