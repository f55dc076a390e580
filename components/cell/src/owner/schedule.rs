//! Queueing and placement of waiting tasks.

use std::collections::BTreeSet;

use kernel::{Cause, JobName, TaskId, TaskRun, TaskState, Time};
use place::{Decision, PlacementRequest, UnplacedReason};

use super::{Owner, learn::Beneficiary};
use crate::{BoundRecord, Record};

/// Limit on the tasks of one job in the placement queue. The others are queued as
/// these are bound, so that queueing and cancelling large jobs stays cheap.
const QUEUED_PER_JOB: usize = 64;

/// Limit on the tasks tried in one placement pass.
const MAX_TRIES: usize = 1_000;

/// Placement pauses while this many records wait to be written to the journal.
const MAX_PENDING_RECORDS: usize = 5_000;

/// The waiting tasks of a job, queued and not yet queued.
#[derive(Debug, Default)]
pub(super) struct JobBacklog {
    /// All implicit tasks with lower indexes have been queued.
    next_implicit: u32,
    /// Tasks in the placement queue.
    queued: BTreeSet<u32>,
    /// Tasks to queue that wait again after an attempt or came from another cell.
    requeued: BTreeSet<u32>,
    /// Whether the waiting tasks in [`crate::Job::tasks`] were added to `requeued`.
    is_initialized: bool,
}

impl JobBacklog {
    /// Returns whether tasks of the job are in the placement queue.
    pub(super) fn has_queued_tasks(&self) -> bool {
        !self.queued.is_empty()
    }
}

impl Owner {
    /// Moves waiting tasks of a job to the placement queue, up to the limit.
    pub(super) fn fill_queue(&mut self, name: &JobName) {
        let Some(job) = self.state.jobs.get(name) else {
            return;
        };
        let Some(backlog) = self.backlogs.get_mut(name) else {
            return;
        };
        if !job.may_bind_tasks() {
            return;
        }
        if !backlog.is_initialized {
            backlog.is_initialized = true;
            let waiting = job
                .tasks
                .iter()
                .filter(|(_, task)| task.state == TaskState::Waiting);
            backlog.requeued.extend(waiting.map(|(index, _)| *index));
        }
        let mut added = Vec::new();
        while backlog.queued.len() < QUEUED_PER_JOB {
            let index = match backlog.requeued.pop_first() {
                Some(index) => index,
                None if backlog.next_implicit.max(job.assigned.from) < job.assigned.until => {
                    let index = backlog.next_implicit.max(job.assigned.from);
                    backlog.next_implicit = index + 1;
                    if !job.is_implicit(index) {
                        continue;
                    }
                    index
                }
                None => break,
            };
            if backlog.queued.insert(index) {
                added.push(index);
            }
        }
        for index in added {
            self.enqueue(name, index);
        }
    }

    /// Adds a task that waits again to the job's backlog.
    pub(super) fn requeue_task(&mut self, name: &JobName, index: u32) {
        let backlog = self.backlogs.entry(name.clone()).or_default();
        backlog.requeued.insert(index);
        self.fill_queue(name);
    }

    /// Calls [`Owner::requeue_task`] if the task of an ended attempt waits again.
    pub(super) fn requeue_if_waiting(&mut self, run: &TaskRun) {
        let task = self.state.task(&run.task);
        if task.is_some_and(|task| task.state == TaskState::Waiting) {
            self.requeue_task(&run.task.job, run.task.index);
        }
    }

    /// Removes all tasks of a job from the placement queue.
    pub(super) fn dequeue_job(&mut self, name: &JobName) {
        let Some(backlog) = self.backlogs.remove(name) else {
            return;
        };
        for index in backlog.queued {
            let id = TaskId {
                job: name.clone(),
                index,
            };
            self.queue.remove(&id);
            self.fleet.drop_claim(&id);
        }
    }

    /// Removes one task from the placement queue and the backlog.
    pub(super) fn dequeue_task(&mut self, id: &TaskId) {
        self.queue.remove(id);
        self.fleet.drop_claim(id);
        if let Some(backlog) = self.backlogs.get_mut(&id.job) {
            backlog.queued.remove(&id.index);
            backlog.requeued.remove(&id.index);
        }
    }

    fn enqueue(&mut self, name: &JobName, index: u32) {
        let Some(request) = self.placement_request(name, index) else {
            return;
        };
        let since = self.state.jobs.get(name).map(|job| job.accepted_at);
        self.queue.push(request, since.unwrap_or_default());
        self.placement_due = true;
    }

    fn placement_request(&self, name: &JobName, index: u32) -> Option<PlacementRequest> {
        let job = self.state.jobs.get(name)?;
        let task = job.task(index)?;
        if task.state != TaskState::Waiting {
            return None;
        }
        let spec = &job.spec;
        let id = TaskId {
            job: name.clone(),
            index,
        };
        Some(PlacementRequest {
            run: TaskRun {
                task: id,
                attempt: task.attempt.next(),
            },
            team: spec.team.clone(),
            class: spec.class,
            urgency: spec.urgency,
            need: self.learner.reservation(name, spec.need, &self.fleet),
            service: spec.service.clone(),
            avoid: task.failed_on,
            finish_by: spec.finish_by,
            payers: Vec::new(),
        })
    }

    /// Binds waiting tasks that fit on workers now, up to the limits of one pass.
    pub(super) fn schedule(&mut self, now: Time) {
        if !self.placement_due || !self.may_start(now) {
            return;
        }
        self.placement_due = false;
        let mut waiting: Vec<PlacementRequest> = Vec::new();
        let mut tries = 0;
        while tries < MAX_TRIES && self.journal.pending_len() < MAX_PENDING_RECORDS {
            let Some(request) = self.queue.next(now, &self.allowances.teams, &self.fleet) else {
                break;
            };
            tries += 1;
            if waiting.iter().any(|other| is_equivalent(other, &request)) {
                waiting.push(request);
                continue;
            }
            if !self.try_place(now, &request) {
                waiting.push(request);
            }
        }
        self.placement_due |= tries == MAX_TRIES;
        for request in waiting {
            self.requeue_request(request);
        }
    }

    fn requeue_request(&mut self, request: PlacementRequest) {
        let Some(job) = self.state.jobs.get(&request.run.task.job) else {
            return;
        };
        if job.may_bind_tasks() {
            let since = job.accepted_at;
            self.queue.push(request, since);
        }
    }

    /// Tries to place a task. Returns whether the task needs no further tries.
    fn try_place(&mut self, now: Time, request: &PlacementRequest) -> bool {
        match self.fleet.place(now, request, &mut self.rng) {
            Decision::Bind(vm) => self.bind_to(now, request, vm),
            Decision::Evict { victims, .. } => {
                let cause = if request.payers.is_empty() {
                    Cause::Urgent
                } else {
                    Cause::Quota
                };
                for run in victims {
                    self.evict(now, &run, cause, Beneficiary::Task(request.run.clone()));
                }
                false
            }
            Decision::Wait(UnplacedReason::Avoided) if self.has_failed_everywhere(request) => {
                let anywhere = PlacementRequest {
                    avoid: Vec::new(),
                    ..request.clone()
                };
                self.try_place(now, &anywhere)
            }
            Decision::Wait(_) => false,
            Decision::Reject(reason) => self.fail_unplaceable_job(now, request, reason.as_str()),
        }
    }

    /// Returns whether the task has failed on every worker that is not quarantined.
    fn has_failed_everywhere(&self, request: &PlacementRequest) -> bool {
        let avoided =
            |vm| request.avoid.contains(vm) || self.state.quarantined_until.contains_key(vm);
        self.workers.keys().all(avoided)
    }

    fn bind_to(&mut self, now: Time, request: &PlacementRequest, vm: kernel::VmName) -> bool {
        let Some(worker) = self.workers.get(&vm) else {
            return false;
        };
        let bound = BoundRecord {
            run: request.run.clone(),
            incarnation: worker.incarnation,
            zone: worker.info.zone.clone(),
            reserved: request.need,
            at: now,
            vm,
        };
        if !self.bind(now, bound) {
            return false;
        }
        let task = &request.run.task;
        if let Some(backlog) = self.backlogs.get_mut(&task.job) {
            backlog.queued.remove(&task.index);
        }
        self.fill_queue(&task.job);
        true
    }

    /// Fails the waiting tasks of a job that no worker of any cell can hold. Returns
    /// false, without a change, if a worker of some cell can.
    fn fail_unplaceable_job(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        reason: &str,
    ) -> bool {
        let fits_cell =
            |capacity: &proto::messages::CellCapacity| request.need.fits(capacity.largest);
        if self.cell_capacities.values().any(fits_cell) {
            return false;
        }
        let job = request.run.task.job.clone();
        self.record(Record::Unplaceable {
            job: job.clone(),
            reason: reason.to_owned(),
            at: now,
        });
        self.dequeue_job(&job);
        true
    }
}

/// Returns whether placement decides alike for two tasks, so that one result holds
/// for both.
fn is_equivalent(one: &PlacementRequest, other: &PlacementRequest) -> bool {
    one.need == other.need
        && one.payers.is_empty()
        && other.payers.is_empty()
        && one.class == other.class
        && one.urgency == other.urgency
        && one.service == other.service
        && one.avoid == other.avoid
        && one.urgency == kernel::Urgency::Normal
}
