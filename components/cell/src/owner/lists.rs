//! What operators are shown of a cell, and dropping what has ended.

use std::collections::BTreeMap;

use kernel::{Resources, TaskId, TaskRun, TaskState, Time};
use proto::messages::{CellRoom, JobPart, JobQuery, StateCount, TaskLine};
use store::keys;

use super::Owner;
use crate::{Job, Record, Task};

/// The most tasks listed of one job.
const MAX_LISTED_TASKS: usize = 10_000;

impl Owner {
    /// The parts of jobs that lie in the cell.
    #[must_use]
    pub fn jobs(&self, query: &JobQuery) -> Vec<JobPart> {
        let mut parts = Vec::new();
        for (name, job) in &self.state.jobs {
            if query.job.as_ref().is_some_and(|wanted| wanted != name) {
                continue;
            }
            parts.push(self.part(job, query.tasks));
        }
        parts
    }

    /// The room on workers that take new work.
    #[must_use]
    pub fn room(&self) -> CellRoom {
        let mut room = CellRoom {
            waiting: self.queue.len() as u64,
            ..CellRoom::default()
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
            accepted_at: job.accepted,
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
            .filter(|(_, job)| job.open == 0)
            .filter(|(_, job)| {
                job.ended
                    .is_some_and(|at| (at + self.timing.keep_jobs).passed(now))
            })
            .map(|(name, job)| (name.clone(), job.own.contains(0)))
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

fn line(job: &Job, index: u32, task: &Task) -> TaskLine {
    let binding = task.bound.as_ref();
    let id = TaskId {
        job: job.spec.name.clone(),
        index,
    };
    TaskLine {
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
    task.note.clone()
}

fn larger(one: Resources, other: Resources) -> Resources {
    if one.fits(other) { other } else { one }
}
