//! Expected harm of batch tasks to the services beside them.

use std::collections::BTreeMap;

use kernel::{JobName, Resources, ServiceName};

use crate::{family::family, worker::Worker};

/// The logarithm of the slowdown that a task on all cores of a worker is
/// expected to cause before anything was measured.
pub const PRIOR_SLOWDOWN: f64 = 0.3;

/// The estimated slowdown of each service by each family of jobs, as the
/// logarithm of the factor on the tail latency if it used the whole worker.
#[derive(Clone, Debug, Default)]
pub struct InterferenceTable {
    slowdowns: BTreeMap<ServiceName, BTreeMap<JobName, f64>>,
}

impl InterferenceTable {
    /// Takes in a new estimate for the family of `job`.
    pub fn set(&mut self, service: &ServiceName, job: &JobName, slowdown: f64) {
        let of_service = self.slowdowns.entry(service.clone()).or_default();
        of_service.insert(family(job), slowdown);
    }

    /// The estimate for the family of `job`, or the prior.
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

    /// The estimates for one job, looked up once for a whole placement.
    pub(crate) fn for_job<'a>(&'a self, job: &'a JobName) -> JobHarms<'a> {
        JobHarms {
            harms: self,
            job,
            known: Vec::new(),
        }
    }
}

/// The estimates for one job by service.
pub(crate) struct JobHarms<'a> {
    harms: &'a InterferenceTable,
    job: &'a JobName,
    known: Vec<(&'a ServiceName, f64)>,
}

impl<'a> JobHarms<'a> {
    fn get(&mut self, service: &'a ServiceName) -> f64 {
        let known = self.known.iter().find(|(known, _)| *known == service);
        if let Some((_, slowdown)) = known {
            return *slowdown;
        }
        let slowdown = self.harms.get(service, self.job);
        self.known.push((service, slowdown));
        slowdown
    }

    /// The relative growth of the tail latencies, summed over the services
    /// beside a worker, if the job's task came there.
    pub(crate) fn added(
        &mut self,
        worker: &'a Worker,
        pressure: &Pressure,
        need: Resources,
    ) -> f64 {
        let share = cpu_share(need, worker.capacity);
        let mut sum = 0.0;
        for (number, service) in worker.services.iter().enumerate() {
            let before = pressure.0.get(number).copied().unwrap_or_default();
            let after = before + self.get(service) * share;
            sum += after.exp() - before.exp();
        }
        sum
    }
}

/// The logarithm of the expected slowdown of each service beside a worker, in
/// the order of the worker's services.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pressure(Vec<f64>);

impl Pressure {
    pub(crate) fn of<'a>(
        worker: &Worker,
        batch: impl Iterator<Item = (&'a JobName, Resources)>,
        harms: &InterferenceTable,
    ) -> Self {
        let mut pressure = Self::default();
        for (job, reserved) in batch {
            pressure.add(worker, job, reserved, harms);
        }
        pressure
    }

    pub(crate) fn add(
        &mut self,
        worker: &Worker,
        job: &JobName,
        used: Resources,
        harms: &InterferenceTable,
    ) {
        self.0.resize(worker.services.len(), 0.0);
        let share = cpu_share(used, worker.capacity);
        for (number, service) in worker.services.iter().enumerate() {
            self.0[number] += harms.get(service, job) * share;
        }
    }
}

/// The part of a worker's processors that `used` takes.
#[must_use]
pub fn cpu_share(used: Resources, capacity: Resources) -> f64 {
    used.cpu_milli as f64 / capacity.cpu_milli.max(1) as f64
}
