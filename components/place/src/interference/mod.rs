//! How much batch tasks slow the services beside them, learnt from late reports.
//!
//! See "Interference" in `docs/PLACEMENT.md`.

mod history;
mod model;
mod throttle;

use std::{collections::BTreeMap, time::Duration};

use kernel::{JobName, Resources, ServiceName, TaskRun, Time, VmName};
use serde::{Deserialize, Serialize};

use crate::family::family;
use history::{History, Latency};

pub use model::SlowdownModel;
pub use throttle::{ThrottleAction, ThrottleSettings, Throttler};

/// The least change of an estimate that is passed on.
const LEAST_CHANGE: f64 = 0.02;

/// How long a latency report waits for the usage measured at its time.
pub const MATCH_TIMEOUT: Duration = Duration::from_secs(90);

/// A new estimate of how much a family of jobs slows a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// The service that suffers.
    pub service: ServiceName,
    /// The family of jobs.
    pub job: JobName,
    /// The logarithm of the factor on the tail latency if such tasks used all
    /// cores of a VM.
    pub slowdown: f64,
}

/// A latency report, matched with what ran beside the endpoint as it was measured.
#[derive(Clone, Debug, PartialEq)]
pub struct MatchedReport {
    /// When it was measured.
    pub at: Time,
    /// Where.
    pub vm: VmName,
    /// Of which service.
    pub service: ServiceName,
    /// The tail latency as a multiple of the undisturbed one.
    pub inflation: f64,
    /// The batch tasks that ran, the likeliest cause first.
    pub contributors: Vec<Contributor>,
}

/// A batch task that ran beside an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Contributor {
    /// The attempt.
    pub run: TaskRun,
    /// Its part in the logarithm of the expected slowdown.
    pub contribution: f64,
}

/// Learns from usage and latency reports that arrive late and in any order.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    vms: BTreeMap<VmName, History>,
    services: BTreeMap<ServiceName, SlowdownModel<JobName>>,
    passed_on: BTreeMap<(ServiceName, JobName), f64>,
}

impl Estimator {
    /// An estimator that has measured nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the capacity of a VM's worker; usage counts as a part of it.
    pub fn on_worker(&mut self, vm: &VmName, capacity: Resources) {
        self.vms.entry(vm.clone()).or_default().capacity = capacity;
    }

    /// Forgets a VM.
    pub fn remove(&mut self, vm: &VmName) {
        self.vms.remove(vm);
    }

    /// Takes in what a batch attempt used at `at`, known now; gives the latency
    /// reports that were waiting for it.
    pub fn on_usage(
        &mut self,
        now: Time,
        at: Time,
        vm: &VmName,
        run: &TaskRun,
        used: Resources,
    ) -> Vec<MatchedReport> {
        let history = self.vms.entry(vm.clone()).or_default();
        history.add_usage(now, at, run, used);
        self.match_reports(now, vm)
    }

    /// Takes in the tail latency of an endpoint measured at `at`, known now;
    /// gives the reports whose usage is known.
    pub fn on_latency(
        &mut self,
        now: Time,
        at: Time,
        vm: &VmName,
        service: &ServiceName,
        p99_micros: u64,
    ) -> Vec<MatchedReport> {
        let history = self.vms.entry(vm.clone()).or_default();
        history.add_latency(Latency {
            at,
            service: service.clone(),
            p99_micros,
        });
        self.match_reports(now, vm)
    }

    /// The estimate for the family of `job`, as [`Estimate::slowdown`].
    #[must_use]
    pub fn slowdown(&self, service: &ServiceName, job: &JobName) -> f64 {
        let family = family(job);
        let model = self.services.get(service);
        model
            .and_then(|model| model.slowdown(&family))
            .unwrap_or_else(|| self.prior(&family))
    }

    /// The estimates that changed since the last call.
    pub fn changed(&mut self) -> Vec<Estimate> {
        let mut changed = Vec::new();
        for (service, model) in &self.services {
            for (job, slowdown) in model.slowdowns() {
                let key = (service.clone(), job.clone());
                let before = self.passed_on.get(&key).copied();
                if before.is_some_and(|before| (before - slowdown).abs() < LEAST_CHANGE) {
                    continue;
                }
                self.passed_on.insert(key, slowdown);
                changed.push(Estimate {
                    service: service.clone(),
                    job: job.clone(),
                    slowdown,
                });
            }
        }
        changed
    }

    /// What a family of jobs does to services where it was never measured: its
    /// mean elsewhere, drawn towards the general prior.
    fn prior(&self, family: &JobName) -> f64 {
        let mut sum = crate::interference_table::PRIOR_SLOWDOWN;
        let mut count = 1.0;
        for model in self.services.values() {
            if let Some(slowdown) = model.slowdown(family) {
                sum += slowdown;
                count += 1.0;
            }
        }
        sum / count
    }

    fn match_reports(&mut self, now: Time, vm: &VmName) -> Vec<MatchedReport> {
        let Some(history) = self.vms.get_mut(vm) else {
            return Vec::new();
        };
        let ready = history.take_ready(now);
        let mut matched = Vec::new();
        for latency in ready {
            let beside = self.vms.get(vm).map(|history| history.usage_at(latency.at));
            matched.push(self.learn(vm, &latency, beside.unwrap_or_default()));
        }
        matched
    }

    fn learn(
        &mut self,
        vm: &VmName,
        latency: &Latency,
        beside: Vec<(TaskRun, f64)>,
    ) -> MatchedReport {
        let mut parts: BTreeMap<JobName, f64> = BTreeMap::new();
        for (run, part) in &beside {
            *parts.entry(family(&run.task.job)).or_default() += part;
        }
        let priors: Vec<(JobName, f64, f64)> = parts
            .into_iter()
            .map(|(job, part)| {
                let prior = self.prior(&job);
                (job, part, prior)
            })
            .collect();
        let model = self.services.entry(latency.service.clone()).or_default();
        let inflation = model.learn(latency.at, latency.p99_micros, &priors);
        let mut contributors: Vec<Contributor> = beside
            .into_iter()
            .map(|(run, part)| Contributor {
                contribution: part * model.slowdown(&family(&run.task.job)).unwrap_or_default(),
                run,
            })
            .collect();
        contributors.sort_by(|one, other| {
            let by_blame = other.contribution.total_cmp(&one.contribution);
            by_blame.then_with(|| one.run.cmp(&other.run))
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
