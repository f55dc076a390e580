//! The decisions of a cell's owner without its leases and journal.

use std::{collections::BTreeMap, time::Duration};

use kernel::{ObjectSet, TaskId, TaskRun, Time, VmName};
use place::{
    Decision, Fleet, Learner, PlacementRequest, Queue, Reservation, Worker,
    interference::ThrottleAction,
    learner::{LatencyReport, Settings, UsageReport},
};
use rand::Rng;

/// What to do about a waiting task.
pub(crate) enum Step {
    /// Bind it; the room is reserved already.
    Bind(PlacementRequest, VmName),
    /// Stop batch tasks; the room is kept for the one that waits.
    Evict(Vec<TaskRun>),
    /// It can never run.
    Refuse(PlacementRequest),
}

/// The parts of the crate as an owner puts them together.
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

    /// Takes in a task that waits, with its declared need.
    pub(crate) fn submit(&mut self, mut want: PlacementRequest, since: Time) {
        want.need = self
            .learner
            .reservation(&want.run.task.job, want.need, &self.fleet);
        self.waiting.insert(want.run.task.clone(), since);
        self.queue.push(want, since);
    }

    /// What to do next about waiting tasks; call it until it gives nothing.
    pub(crate) fn next_step(&mut self, now: Time, rng: &mut impl Rng) -> Option<Step> {
        while let Some(want) = self.queue.next(now, &self.objects, &self.fleet) {
            let since = self.waiting.get(&want.run.task).copied().unwrap_or(now);
            match self.fleet.place(now, &want, rng) {
                Decision::Bind(vm) => {
                    if self
                        .fleet
                        .reserve(&want.run, &vm, holding(&want, now))
                        .is_ok()
                    {
                        self.waiting.remove(&want.run.task);
                        return Some(Step::Bind(want, vm));
                    }
                    self.queue.push(want, since);
                }
                Decision::Evict { victims, .. } => {
                    self.queue.push(want, since);
                    return Some(Step::Evict(victims));
                }
                Decision::Wait(_) => self.queue.push(want, since),
                Decision::Reject(_) => return Some(Step::Refuse(want)),
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

    pub(crate) fn on_finished(&mut self, now: Time, run: &TaskRun, ran: Duration) {
        self.learner.on_finished(now, run, ran);
        self.fleet.release(run);
    }

    pub(crate) fn on_stopped(&mut self, run: &TaskRun) {
        self.learner.on_stopped(run);
        self.fleet.release(run);
    }
}

fn holding(want: &PlacementRequest, started: Time) -> Reservation {
    Reservation {
        team: want.team.clone(),
        class: want.class,
        urgency: want.urgency,
        reserved: want.need,
        started,
    }
}
