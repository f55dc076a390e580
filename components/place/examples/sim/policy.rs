//! The decisions of a cell's owner, without leases and journal.

use std::{collections::BTreeMap, time::Duration};

use kernel::{ObjectSet, TaskId, TaskRun, Time, VmName};
use place::{
    Decision, Fleet, Learner, PlacementRequest, Queue, Reservation, Worker,
    interference::ThrottleAction,
    learner::{LatencyReport, Settings, UsageReport},
};
use rand::Rng;

/// An action for a waiting task.
pub(crate) enum Action {
    /// Bind the task; its capacity is already reserved.
    Bind(PlacementRequest, VmName),
    /// Evict batch tasks; the freed capacity is kept for the waiting task.
    Evict(Vec<TaskRun>),
    /// Reject a task that can never run.
    Reject(PlacementRequest),
}

/// Fleet, queue and learner, combined as a cell's owner combines them.
pub(crate) struct Policy {
    fleet: Fleet,
    queue: Queue,
    learner: Learner,
    objects: ObjectSet,
    waiting: BTreeMap<TaskId, Time>,
}

impl Policy {
    pub(crate) fn new(settings: Settings, fleet: Fleet) -> Self {
        Self {
            fleet,
            queue: Queue::new(),
            learner: Learner::new(settings),
            objects: ObjectSet::default(),
            waiting: BTreeMap::new(),
        }
    }

    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub(crate) fn on_worker(&mut self, worker: Worker) {
        self.learner.on_worker(&worker.vm, worker.capacity);
        self.fleet.upsert(worker);
    }

    /// Adds a waiting task with its declared need.
    pub(crate) fn submit(&mut self, mut request: PlacementRequest, since: Time) {
        request.need = self
            .learner
            .reservation(&request.run.task.job, request.need, &self.fleet);
        self.waiting.insert(request.run.task.clone(), since);
        self.queue.push(request, since);
    }

    /// Returns the next action for waiting tasks; call it until it returns
    /// `None`.
    pub(crate) fn next_action(&mut self, now: Time, rng: &mut impl Rng) -> Option<Action> {
        while let Some(request) = self.queue.next(now, &self.objects, &self.fleet) {
            let since = self.waiting.get(&request.run.task).copied().unwrap_or(now);
            match self.fleet.place(now, &request, rng) {
                Decision::Bind(vm) => {
                    if self
                        .fleet
                        .reserve(&request.run, &vm, reservation(&request, now))
                        .is_ok()
                    {
                        self.waiting.remove(&request.run.task);
                        return Some(Action::Bind(request, vm));
                    }
                    self.queue.push(request, since);
                }
                Decision::Evict { victims, .. } => {
                    self.queue.push(request, since);
                    return Some(Action::Evict(victims));
                }
                Decision::Wait(_) => self.queue.push(request, since),
                Decision::Reject(_) => return Some(Action::Reject(request)),
            }
        }
        None
    }

    pub(crate) fn on_usage(
        &mut self,
        now: Time,
        vm: &VmName,
        report: UsageReport,
    ) -> Vec<ThrottleAction> {
        let learner = &mut self.learner;
        learner.on_heartbeat(now, &mut self.fleet, vm, &[report], &[])
    }

    pub(crate) fn on_latency(
        &mut self,
        now: Time,
        vm: &VmName,
        report: LatencyReport,
    ) -> Vec<ThrottleAction> {
        let learner = &mut self.learner;
        learner.on_heartbeat(now, &mut self.fleet, vm, &[], &[report])
    }

    pub(crate) fn on_finished(&mut self, now: Time, run: &TaskRun, run_time: Duration) {
        self.learner.on_finished(now, run, run_time);
        self.fleet.release(run);
    }

    pub(crate) fn on_stopped(&mut self, run: &TaskRun) {
        self.learner.on_stopped(run);
        self.fleet.release(run);
    }
}

fn reservation(request: &PlacementRequest, started: Time) -> Reservation {
    Reservation {
        team: request.team.clone(),
        class: request.class,
        urgency: request.urgency,
        reserved: request.need,
        started,
    }
}
