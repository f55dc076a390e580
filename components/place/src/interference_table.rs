//! Expected slowdown of services by batch tasks on the same VM.

use std::collections::BTreeMap;

use kernel::{JobName, Resources, ServiceName};

use crate::{family::family, worker::Worker};

/// The logarithm of the slowdown expected of a task on all cores of a worker
/// before any measurement.
pub const PRIOR_SLOWDOWN: f64 = 0.3;

/// The estimated slowdown of each service by each family of jobs: the logarithm
/// of the factor on the tail latency if the family used the whole worker.
#[derive(Clone, Debug, Default)]
pub struct InterferenceTable {
    slowdowns: BTreeMap<ServiceName, BTreeMap<JobName, f64>>,
}

impl InterferenceTable {
    /// Sets the estimate for the family of `job`.
    pub fn set(&mut self, service: &ServiceName, job: &JobName, slowdown: f64) {
        let of_service = self.slowdowns.entry(service.clone()).or_default();
        of_service.insert(family(job), slowdown);
    }

    /// Returns the estimate for the family of `job`, or the prior.
    #[must_use]
    pub fn get(&self, service: &ServiceName, job: &JobName) -> f64 {
        let Some(of_service) = self.slowdowns.get(service) else {
            return PRIOR_SLOWDOWN;
        };
        let exact = of_service.get(job);
        exact
            .or_else(|| of_service.get(&family(job)))
            .copied()
            .unwrap_or(PRIOR_SLOWDOWN)
    }

    /// Returns the estimates for one job, each looked up once for a whole
    /// placement.
    pub(crate) fn for_job<'a>(&'a self, job: &'a JobName) -> JobInterference<'a> {
        JobInterference {
            table: self,
            job,
            cached: Vec::new(),
        }
    }
}

/// The estimates for one job by service, cached on first use.
pub(crate) struct JobInterference<'a> {
    table: &'a InterferenceTable,
    job: &'a JobName,
    cached: Vec<(&'a ServiceName, f64)>,
}

impl<'a> JobInterference<'a> {
    fn get(&mut self, service: &'a ServiceName) -> f64 {
        let cached = self.cached.iter().find(|(cached, _)| *cached == service);
        if let Some((_, slowdown)) = cached {
            return *slowdown;
        }
        let slowdown = self.table.get(service, self.job);
        self.cached.push((service, slowdown));
        slowdown
    }

    /// Returns the relative increase of the tail latencies, summed over the
    /// services on a worker's VM, if a task of the job were placed there.
    pub(crate) fn increase(
        &mut self,
        worker: &'a Worker,
        interference: &WorkerInterference,
        need: Resources,
    ) -> f64 {
        let share = cpu_share(need, worker.capacity);
        let mut sum = 0.0;
        for (index, service) in worker.services.iter().enumerate() {
            let before = interference.0.get(index).copied().unwrap_or_default();
            let after = before + self.get(service) * share;
            sum += after.exp() - before.exp();
        }
        sum
    }
}

/// The logarithm of the expected slowdown of each service on a worker's VM, in
/// the order of the worker's services.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerInterference(Vec<f64>);

impl WorkerInterference {
    pub(crate) fn of<'a>(
        worker: &Worker,
        batch: impl Iterator<Item = (&'a JobName, Resources)>,
        table: &InterferenceTable,
    ) -> Self {
        let mut interference = Self::default();
        for (job, reserved) in batch {
            interference.add(worker, job, reserved, table);
        }
        interference
    }

    pub(crate) fn add(
        &mut self,
        worker: &Worker,
        job: &JobName,
        used: Resources,
        table: &InterferenceTable,
    ) {
        self.0.resize(worker.services.len(), 0.0);
        let share = cpu_share(used, worker.capacity);
        for (index, service) in worker.services.iter().enumerate() {
            self.0[index] += table.get(service, job) * share;
        }
    }
}

/// Returns the fraction of a worker's CPU that `used` takes.
#[must_use]
pub fn cpu_share(used: Resources, capacity: Resources) -> f64 {
    used.cpu_milli as f64 / capacity.cpu_milli.max(1) as f64
}
