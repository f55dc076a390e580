//! Lists of jobs and free capacity for operators, and removal of old ended jobs.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{JobName, Resources, TaskId, TaskRun, TaskState, Time};
use proto::messages::{CellCapacity, JobPart, JobQuery, StateCount, TaskSummary};
use store::keys;

use super::Owner;
use crate::{InboxItem, Job, Record, State, Task};

/// Limit on the tasks listed for one job.
const MAX_LISTED_TASKS: usize = 10_000;

impl Owner {
    /// Returns the parts of jobs in the cell, including items that still wait in
    /// its inbox, so that tasks moving from another cell are listed.
    ///
    /// The caller must read the inbox before this call, so that an item missing
    /// from `inbox` is already in the state.
    #[must_use]
    pub fn jobs(&self, query: &JobQuery, inbox: &[InboxItem]) -> Vec<JobPart> {
        let inbox_state = self.preview_inbox(inbox);
        let names: BTreeSet<&JobName> = self
            .state
            .jobs
            .keys()
            .chain(inbox_state.jobs.keys())
            .collect();
        let mut parts = Vec::new();
        for name in names {
            if query.job.as_ref().is_some_and(|wanted| wanted != name) {
                continue;
            }
            let job = inbox_state.jobs.get(name).or(self.state.jobs.get(name));
            parts.extend(job.map(|job| self.job_part(job, query.tasks)));
        }
        parts
    }

    /// Returns the jobs that inbox items refer to, as if the items had been handled.
    fn preview_inbox(&self, inbox: &[InboxItem]) -> State {
        let mut state = State::default();
        for item in inbox {
            let (name, record) = match item.clone() {
                InboxItem::Job { spec, part, at } => {
                    (spec.name.clone(), Record::Accepted { spec, part, at })
                }
                InboxItem::Moved { spec, at, tasks } => {
                    let name = spec.name.clone();
                    let accepted = at;
                    let record = Record::Received {
                        spec,
                        accepted,
                        tasks,
                        at,
                    };
                    (name, record)
                }
                InboxItem::Cancel { .. } => continue,
            };
            if let (Some(job), false) = (self.state.jobs.get(&name), state.jobs.contains_key(&name))
            {
                state.jobs.insert(name, job.clone());
            }
            state.apply(self.revision, &record);
        }
        state
    }

    /// Returns the free capacity of workers that take new tasks, the capacity of the
    /// largest one, and the number of queued tasks.
    #[must_use]
    pub fn cell_capacity(&self) -> CellCapacity {
        let mut capacity = CellCapacity {
            waiting: self.queue.len() as u64,
            ..CellCapacity::default()
        };
        for (vm, worker) in &self.workers {
            if !worker.is_open() {
                continue;
            }
            let free = self.fleet.free_on(vm).unwrap_or_default();
            capacity.free = capacity.free.plus(free);
            capacity.largest = larger_capacity(capacity.largest, worker.info.capacity);
        }
        capacity
    }

    fn job_part(&self, job: &Job, with_tasks: bool) -> JobPart {
        let mut counts: BTreeMap<u8, StateCount> = BTreeMap::new();
        let mut tasks = Vec::new();
        for (index, task) in job.all_tasks() {
            let count = counts.entry(task.state as u8).or_insert(StateCount {
                state: task.state,
                count: 0,
            });
            count.count += 1;
            if with_tasks && tasks.len() < MAX_LISTED_TASKS {
                tasks.push(task_summary(job, index, &task));
            }
        }
        JobPart {
            cell: self.cell.clone(),
            spec: job.spec.as_ref().clone(),
            accepted_at: job.accepted_at,
            counts: counts.into_values().collect(),
            tasks,
        }
    }

    /// Drops jobs whose retention has passed. The cell that was assigned the first
    /// task also deletes the job's key, which frees the name.
    pub(super) fn sweep_jobs(&mut self, now: Time) {
        let old: Vec<_> = self
            .state
            .jobs
            .iter()
            .filter(|(_, job)| job.open_tasks == 0)
            .filter(|(_, job)| {
                job.ended_at
                    .is_some_and(|at| (at + self.timing.job_retention).passed(now))
            })
            .map(|(name, job)| (name.clone(), job.assigned.contains(0)))
            .collect();
        for (name, has_first) in old {
            let deletes = match has_first {
                true => vec![keys::job(&name)],
                false => Vec::new(),
            };
            self.record_with(Record::Forgotten { job: name.clone() }, deletes, Vec::new());
            self.dequeue_job(&name);
            self.health.forget_job(&name);
        }
    }
}

fn task_summary(job: &Job, index: u32, task: &Task) -> TaskSummary {
    let binding = task.bound.as_ref();
    let id = TaskId {
        job: job.spec.name.clone(),
        index,
    };
    TaskSummary {
        run: TaskRun {
            task: id,
            attempt: task.attempt,
        },
        state: task.state,
        vm: binding.map(|binding| binding.vm.clone()),
        zone: binding.map(|binding| binding.zone.clone()),
        note: status_note(task),
    }
}

fn status_note(task: &Task) -> String {
    if task.state == TaskState::Waiting && !task.failed_on.is_empty() {
        return format!("waits; {}", task.failures());
    }
    task.failure_reason.clone()
}

fn larger_capacity(one: Resources, other: Resources) -> Resources {
    if one.fits(other) { other } else { one }
}
