//! What operators are shown of a cell, and dropping what has ended.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{JobName, Resources, TaskId, TaskRun, TaskState, Time};
use proto::messages::{CellCapacity, JobPart, JobQuery, StateCount, TaskSummary};
use store::keys;

use super::Owner;
use crate::{InboxItem, Job, Record, State, Task};

/// The most tasks listed of one job.
const MAX_LISTED_TASKS: usize = 10_000;

impl Owner {
    /// The parts of jobs that lie in the cell, with what still waits in its
    /// inbox, so that tasks on their way from another cell are in the list.
    ///
    /// The inbox has to be read before this is called: what it lacks by then
    /// is in the state.
    #[must_use]
    pub fn jobs(&self, query: &JobQuery, inbox: &[InboxItem]) -> Vec<JobPart> {
        let arriving = self.with_inbox(inbox);
        let names: BTreeSet<&JobName> =
            self.state.jobs.keys().chain(arriving.jobs.keys()).collect();
        let mut parts = Vec::new();
        for name in names {
            if query.job.as_ref().is_some_and(|wanted| wanted != name) {
                continue;
            }
            let job = arriving.jobs.get(name).or(self.state.jobs.get(name));
            parts.extend(job.map(|job| self.part(job, query.tasks)));
        }
        parts
    }

    /// The jobs that items of the inbox are about, as if these were taken in.
    fn with_inbox(&self, inbox: &[InboxItem]) -> State {
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

    /// The room on workers that take new work.
    #[must_use]
    pub fn cell_capacity(&self) -> CellCapacity {
        let mut room = CellCapacity {
            waiting: self.queue.len() as u64,
            ..CellCapacity::default()
        };
        for (vm, worker) in &self.workers {
            if !worker.is_open() {
                continue;
            }
            let free = self.fleet.free_on(vm).unwrap_or_default();
            room.free = room.free.plus(free);
            room.largest = larger(room.largest, worker.info.capacity);
        }
        room
    }

    fn part(&self, job: &Job, with_tasks: bool) -> JobPart {
        let mut counts: BTreeMap<u8, StateCount> = BTreeMap::new();
        let mut tasks = Vec::new();
        for (index, task) in job.all_tasks() {
            let count = counts.entry(task.state as u8).or_insert(StateCount {
                state: task.state,
                count: 0,
            });
            count.count += 1;
            if with_tasks && tasks.len() < MAX_LISTED_TASKS {
                tasks.push(line(job, index, &task));
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

    /// Drops jobs that ended long ago; the cell that took the first task also
    /// frees the name.
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
            self.unfeed(&name);
            self.health.forget_job(&name);
        }
    }
}

fn line(job: &Job, index: u32, task: &Task) -> TaskSummary {
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
        note: note(task),
    }
}

fn note(task: &Task) -> String {
    if task.state == TaskState::Waiting && !task.failed_on.is_empty() {
        return format!("waits; {}", task.failures());
    }
    task.failure_reason.clone()
}

fn larger(one: Resources, other: Resources) -> Resources {
    if one.fits(other) { other } else { one }
}
