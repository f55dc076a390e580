//! Distribution of service replicas over availability zones and racks.

use std::collections::BTreeMap;

use kernel::{AvailabilityZoneName, JobName, RackName};

use crate::worker::Worker;

/// The replicas of one service, which are the tasks of one job.
#[derive(Clone, Debug, Default)]
struct Replicas {
    total: u32,
    zones: BTreeMap<AvailabilityZoneName, u32>,
    racks: BTreeMap<RackName, u32>,
}

/// The replicas of all services by availability zone and rack.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spread(BTreeMap<JobName, Replicas>);

impl Spread {
    pub(crate) fn add(&mut self, job: &JobName, worker: &Worker) {
        let replicas = self.0.entry(job.clone()).or_default();
        replicas.total += 1;
        *replicas.zones.entry(worker.zone.clone()).or_default() += 1;
        *replicas.racks.entry(worker.rack.clone()).or_default() += 1;
    }

    pub(crate) fn remove(&mut self, job: &JobName, worker: &Worker) {
        let Some(replicas) = self.0.get_mut(job) else {
            return;
        };
        replicas.total = replicas.total.saturating_sub(1);
        if let Some(count) = replicas.zones.get_mut(&worker.zone) {
            *count = count.saturating_sub(1);
        }
        if let Some(count) = replicas.racks.get_mut(&worker.rack) {
            *count = count.saturating_sub(1);
        }
        if replicas.total == 0 {
            self.0.remove(job);
        }
    }

    /// Returns the fractions of the job's replicas in the worker's availability
    /// zone and rack.
    pub(crate) fn fractions(&self, job: &JobName, worker: &Worker) -> ReplicaFractions {
        let Some(replicas) = self.0.get(job) else {
            return ReplicaFractions::default();
        };
        let fraction = |count: Option<&u32>| {
            let count = count.copied().unwrap_or_default();
            f64::from(count) / f64::from(replicas.total.max(1))
        };
        ReplicaFractions {
            zone_fraction: fraction(replicas.zones.get(&worker.zone)),
            rack_fraction: fraction(replicas.racks.get(&worker.rack)),
        }
    }
}

/// Fractions of a service's replicas near a worker, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplicaFractions {
    pub(crate) zone_fraction: f64,
    pub(crate) rack_fraction: f64,
}
