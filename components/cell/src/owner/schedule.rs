//! Binding waiting tasks.

use std::collections::BTreeSet;

use kernel::{Cause, JobName, TaskId, TaskRun, TaskState, Time};
use place::{Decision, PlacementRequest, UnplacedReason};

use super::{Owner, learn::Gains};
use crate::{BoundRecord, Record};

/// How many tasks of one job wait in the queue at a time; the others follow as
/// these are bound, so that queueing and cancelling large jobs stays cheap.
const QUEUED_PER_JOB: usize = 64;

/// The most tasks looked at in one pass.
const MAX_TRIES: usize = 1_000;

/// Placement pauses while this many records wait for the journal.
const MAX_PENDING_RECORDS: usize = 5_000;

/// The tasks of a job on their way to the queue.
#[derive(Debug, Default)]
pub(super) struct Feed {
    /// Untouched tasks below this number have been queued.
    next: u32,
    /// Tasks in the queue.
    queued: BTreeSet<u32>,
    /// Tasks that wait again after an attempt, or came from another cell.
    again: BTreeSet<u32>,
    started: bool,
}

impl Feed {
    /// Whether tasks wait in the queue.
    pub(super) fn waits(&self) -> bool {
        !self.queued.is_empty()
    }
}

impl Owner {
    /// Brings the queue up to date with the waiting tasks of a job.
    pub(super) fn refill(&mut self, name: &JobName) {
        let Some(job) = self.state.jobs.get(name) else {
            return;
        };
        let Some(feed) = self.feeds.get_mut(name) else {
            return;
        };
        if !job.may_bind_tasks() {
            return;
        }
        if !feed.started {
            feed.started = true;
            let waiting = job
                .tasks
                .iter()
                .filter(|(_, task)| task.state == TaskState::Waiting);
            feed.again.extend(waiting.map(|(index, _)| *index));
        }
        let mut fresh = Vec::new();
        while feed.queued.len() < QUEUED_PER_JOB {
            let index = match feed.again.pop_first() {
                Some(index) => index,
                None if feed.next.max(job.assigned.from) < job.assigned.until => {
                    let index = feed.next.max(job.assigned.from);
                    feed.next = index + 1;
                    if !job.is_implicit(index) {
                        continue;
                    }
                    index
                }
                None => break,
            };
            if feed.queued.insert(index) {
                fresh.push(index);
            }
        }
        for index in fresh {
            self.enqueue(name, index);
        }
    }

    /// Makes a task of a job that waits again known to the queue.
    pub(super) fn feed(&mut self, name: &JobName, index: u32) {
        let feed = self.feeds.entry(name.clone()).or_default();
        feed.again.insert(index);
        self.refill(name);
    }

    /// As [`Owner::feed`], if the task of an ended attempt waits again.
    pub(super) fn feed_again(&mut self, run: &TaskRun) {
        let task = self.state.task(&run.task);
        if task.is_some_and(|task| task.state == TaskState::Waiting) {
            self.feed(&run.task.job, run.task.index);
        }
    }

    /// Takes the tasks of a job out of the queue.
    pub(super) fn unfeed(&mut self, name: &JobName) {
        let Some(feed) = self.feeds.remove(name) else {
            return;
        };
        for index in feed.queued {
            let id = TaskId {
                job: name.clone(),
                index,
            };
            self.queue.remove(&id);
            self.fleet.drop_claim(&id);
        }
    }

    /// Takes one task out of the queue for good.
    pub(super) fn unfeed_one(&mut self, id: &TaskId) {
        self.queue.remove(id);
        self.fleet.drop_claim(id);
        if let Some(feed) = self.feeds.get_mut(&id.job) {
            feed.queued.remove(&id.index);
            feed.again.remove(&id.index);
        }
    }

    fn enqueue(&mut self, name: &JobName, index: u32) {
        let Some(want) = self.want(name, index) else {
            return;
        };
        let since = self.state.jobs.get(name).map(|job| job.accepted_at);
        self.queue.push(want, since.unwrap_or_default());
        self.placement_due = true;
    }

    fn want(&self, name: &JobName, index: u32) -> Option<PlacementRequest> {
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

    /// Binds as many waiting tasks as have a place now.
    pub(super) fn schedule(&mut self, now: Time) {
        if !self.placement_due || !self.may_start(now) {
            return;
        }
        self.placement_due = false;
        let mut waiting: Vec<PlacementRequest> = Vec::new();
        let mut tries = 0;
        while tries < MAX_TRIES && self.journal.pending_len() < MAX_PENDING_RECORDS {
            let Some(want) = self.queue.next(now, &self.allowances.teams, &self.fleet) else {
                break;
            };
            tries += 1;
            if waiting.iter().any(|other| is_alike(other, &want)) {
                waiting.push(want);
                continue;
            }
            if !self.try_place(now, &want) {
                waiting.push(want);
            }
        }
        self.placement_due |= tries == MAX_TRIES;
        for want in waiting {
            self.push_back(want);
        }
    }

    fn push_back(&mut self, want: PlacementRequest) {
        let Some(job) = self.state.jobs.get(&want.run.task.job) else {
            return;
        };
        if job.may_bind_tasks() {
            let since = job.accepted_at;
            self.queue.push(want, since);
        }
    }

    /// Whether the task needs no place any more.
    fn try_place(&mut self, now: Time, want: &PlacementRequest) -> bool {
        match self.fleet.place(now, want, &mut self.rng) {
            Decision::Bind(vm) => self.bind_to(now, want, vm),
            Decision::Evict { victims, .. } => {
                let cause = if want.payers.is_empty() {
                    Cause::Urgent
                } else {
                    Cause::Quota
                };
                for run in victims {
                    self.evict(now, &run, cause, Gains::Task(want.run.clone()));
                }
                false
            }
            Decision::Wait(UnplacedReason::Avoided) if self.failed_everywhere(want) => {
                let anywhere = PlacementRequest {
                    avoid: Vec::new(),
                    ..want.clone()
                };
                self.try_place(now, &anywhere)
            }
            Decision::Wait(_) => false,
            Decision::Reject(why) => self.give_up(now, want, why.as_str()),
        }
    }

    /// Whether no worker is left where the task has not failed yet.
    fn failed_everywhere(&self, want: &PlacementRequest) -> bool {
        let avoided = |vm| want.avoid.contains(vm) || self.state.quarantined.contains_key(vm);
        self.workers.keys().all(avoided)
    }

    fn bind_to(&mut self, now: Time, want: &PlacementRequest, vm: kernel::VmName) -> bool {
        let Some(worker) = self.workers.get(&vm) else {
            return false;
        };
        let bound = BoundRecord {
            run: want.run.clone(),
            incarnation: worker.incarnation,
            zone: worker.info.zone.clone(),
            reserved: want.need,
            at: now,
            vm,
        };
        if !self.bind(now, bound) {
            return false;
        }
        let task = &want.run.task;
        if let Some(feed) = self.feeds.get_mut(&task.job) {
            feed.queued.remove(&task.index);
        }
        self.refill(&task.job);
        true
    }

    /// Gives a job up that no worker of any cell can hold.
    fn give_up(&mut self, now: Time, want: &PlacementRequest, reason: &str) -> bool {
        let elsewhere = |room: &proto::messages::CellCapacity| want.need.fits(room.largest);
        if self.rooms.values().any(elsewhere) {
            return false;
        }
        let job = want.run.task.job.clone();
        self.record(Record::Unplaceable {
            job: job.clone(),
            reason: reason.to_owned(),
            at: now,
        });
        self.unfeed(&job);
        true
    }
}

/// Whether two tasks have the same chance to be placed.
fn is_alike(one: &PlacementRequest, other: &PlacementRequest) -> bool {
    one.need == other.need
        && one.payers.is_empty()
        && other.payers.is_empty()
        && one.class == other.class
        && one.urgency == other.urgency
        && one.service == other.service
        && one.avoid == other.avoid
        && one.urgency == kernel::Urgency::Normal
}
