//! Workers, reservations on them, and what the fleet keeps of both.

use std::collections::BTreeMap;

use kernel::{
    AvailabilityZoneName, JobName, RackName, Resources, ServiceName, TaskClass, TaskRun, TeamName,
    Time, Urgency, VmName,
};
use serde::{Deserialize, Serialize};

use crate::interference_table::{InterferenceTable, Pressure};

/// The facts of a worker that placement needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: AvailabilityZoneName,
    /// Its rack.
    pub rack: RackName,
    /// What it holds for tasks.
    pub capacity: Resources,
    /// The services with an endpoint beside it.
    pub services: Vec<ServiceName>,
    /// Whether it takes new work.
    pub open: bool,
}

/// What is known of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The team that pays.
    pub team: TeamName,
    /// Whether callers wait on it.
    pub class: TaskClass,
    /// How soon it had to start.
    pub urgency: Urgency,
    /// What is reserved.
    pub reserved: Resources,
    /// When it started.
    pub started: Time,
}

impl Reservation {
    /// Whether the attempt may be evicted for others.
    #[must_use]
    pub fn is_evictable(&self) -> bool {
        self.class == TaskClass::Batch && self.urgency == Urgency::Normal
    }

    /// The processor time that would be lost if the attempt had to start over,
    /// in thousandths of a core times seconds.
    #[must_use]
    pub fn work_at(&self, now: Time) -> u64 {
        let ran = now.since(self.started).as_secs();
        ran.saturating_add(1)
            .saturating_mul(self.reserved.cpu_milli.max(1))
    }
}

/// A reservation that does not fit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReserveError {
    /// The worker is not known.
    #[error("the worker on {0} is not known")]
    UnknownWorker(VmName),
    /// The room left is too small.
    #[error("{run} needs {need}, but {vm} has only {free} left")]
    InsufficientCapacity {
        /// The attempt.
        run: TaskRun,
        /// The worker's VM.
        vm: VmName,
        /// What it needs.
        need: Resources,
        /// What is left.
        free: Resources,
    },
}

/// A worker with its reservations.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) worker: Worker,
    pub(crate) free: Resources,
    /// Room kept for tasks whose victims are stopping.
    pub(crate) claimed: Resources,
    pub(crate) held: BTreeMap<TaskRun, Reservation>,
    pub(crate) pressure: Pressure,
}

impl Slot {
    pub(crate) fn new(worker: Worker) -> Self {
        Self {
            free: worker.capacity,
            claimed: Resources::default(),
            held: BTreeMap::new(),
            pressure: Pressure::default(),
            worker,
        }
    }

    /// What a task without a claim may take.
    pub(crate) fn room(&self) -> Resources {
        self.free.minus(self.claimed)
    }

    /// Whether a claim of `need` can be fulfilled now, beside all other claims.
    pub(crate) fn has_claimed_room(&self, need: Resources) -> bool {
        need.fits(self.free.minus(self.claimed.minus(need)))
    }

    /// Recomputes what is free from what is held, so that a worker that shrank
    /// below its reservations counts right again as they end.
    pub(crate) fn recount(&mut self) {
        let used = self
            .held
            .values()
            .fold(Resources::default(), |sum, held| sum.plus(held.reserved));
        self.free = self.worker.capacity.minus(used);
    }

    /// Recomputes the expected slowdown of the services from what is held.
    pub(crate) fn repress(&mut self, harms: &InterferenceTable) {
        let batch = self
            .held
            .iter()
            .filter(|(_, holding)| holding.class == TaskClass::Batch)
            .map(|(run, holding)| (&run.task.job, holding.reserved));
        self.pressure = Pressure::of(&self.worker, batch, harms);
    }

    pub(crate) fn press(&mut self, job: &JobName, reserved: Resources, harms: &InterferenceTable) {
        self.pressure.add(&self.worker, job, reserved, harms);
    }
}
