//! Workers and the reservations on them.

use std::collections::BTreeMap;

use kernel::{
    AvailabilityZoneName, JobName, RackName, Resources, ServiceName, TaskClass, TaskRun, TeamName,
    Time, Urgency, VmName,
};
use serde::{Deserialize, Serialize};

use crate::interference_table::{InterferenceTable, WorkerInterference};

/// The attributes of a worker that placement uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The VM of the worker.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: AvailabilityZoneName,
    /// The rack of the VM.
    pub rack: RackName,
    /// The resources available to tasks.
    pub capacity: Resources,
    /// The services with an endpoint on the VM.
    pub services: Vec<ServiceName>,
    /// Whether the worker accepts new tasks.
    pub open: bool,
}

/// Resources reserved for a task attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The team whose quota and share are charged.
    pub team: TeamName,
    /// Whether callers wait for the task.
    pub class: TaskClass,
    /// How soon the task had to start.
    pub urgency: Urgency,
    /// The reserved resources.
    pub reserved: Resources,
    /// When the attempt started.
    pub started: Time,
}

impl Reservation {
    /// Whether the attempt may be evicted for other tasks.
    #[must_use]
    pub fn is_evictable(&self) -> bool {
        self.class == TaskClass::Batch && self.urgency == Urgency::Normal
    }

    /// Returns the CPU time that would be lost if the attempt had to start
    /// over, in thousandths of a core times seconds.
    #[must_use]
    pub fn lost_work_at(&self, now: Time) -> u64 {
        let run_seconds = now.since(self.started).as_secs();
        run_seconds
            .saturating_add(1)
            .saturating_mul(self.reserved.cpu_milli.max(1))
    }
}

/// The reason why capacity could not be reserved.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReserveError {
    /// The fleet has no worker on this VM.
    #[error("the fleet has no worker on VM {0}")]
    UnknownWorker(VmName),
    /// The free capacity of the worker is too small.
    #[error("{run} needs {need}, but {vm} has only {free} free")]
    InsufficientCapacity {
        /// The attempt to reserve for.
        run: TaskRun,
        /// The worker's VM.
        vm: VmName,
        /// The resources that the attempt needs.
        need: Resources,
        /// The free capacity of the worker.
        free: Resources,
    },
}

/// A worker with its reservations.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) worker: Worker,
    /// Capacity without a reservation; part of it may be claimed.
    pub(crate) free: Resources,
    /// Capacity kept for tasks whose victims are stopping.
    pub(crate) claimed: Resources,
    pub(crate) reservations: BTreeMap<TaskRun, Reservation>,
    pub(crate) interference: WorkerInterference,
}

impl Slot {
    pub(crate) fn new(worker: Worker) -> Self {
        Self {
            free: worker.capacity,
            claimed: Resources::default(),
            reservations: BTreeMap::new(),
            interference: WorkerInterference::default(),
            worker,
        }
    }

    /// Returns the capacity that is free for tasks without a claim.
    pub(crate) fn available(&self) -> Resources {
        self.free.minus(self.claimed)
    }

    /// Whether a claim of `need` can be fulfilled now without the capacity of
    /// other claims.
    pub(crate) fn can_fulfil_claim(&self, need: Resources) -> bool {
        need.fits(self.free.minus(self.claimed.minus(need)))
    }

    /// Recomputes the free capacity from the reservations. Adding up released
    /// amounts would be wrong for a worker whose capacity shrank below its
    /// reservations.
    pub(crate) fn recount(&mut self) {
        let used = self
            .reservations
            .values()
            .fold(Resources::default(), |sum, reservation| {
                sum.plus(reservation.reserved)
            });
        let is_over_capacity = !used.fits(self.worker.capacity);
        self.free = match is_over_capacity {
            true => Resources::NONE,
            false => self.worker.capacity.minus(used),
        };
    }

    /// Recomputes the expected slowdown of the services from the reservations.
    pub(crate) fn recompute_interference(&mut self, table: &InterferenceTable) {
        let batch = self
            .reservations
            .iter()
            .filter(|(_, reservation)| reservation.class == TaskClass::Batch)
            .map(|(run, reservation)| (&run.task.job, reservation.reserved));
        self.interference = WorkerInterference::of(&self.worker, batch, table);
    }

    pub(crate) fn add_interference(
        &mut self,
        job: &JobName,
        reserved: Resources,
        table: &InterferenceTable,
    ) {
        self.interference.add(&self.worker, job, reserved, table);
    }
}
