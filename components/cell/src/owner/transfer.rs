//! Transfer of waiting tasks to cells with free capacity.

use kernel::{CellName, JobName, Resources, TaskId, TaskState, Time};

use proto::messages::CellCapacity;

use super::Owner;
use crate::{
    InboxItem, MovedTask, Record, keys,
    spread::{count_fitting, deduct_capacity},
};

/// Limit on the tasks moved in one sweep.
const MAX_MOVED: usize = 200;

impl Owner {
    /// Moves tasks that have waited too long to the cell with the most free
    /// capacity.
    ///
    /// A cell moves tasks only while they do not fit into its own free capacity, and
    /// only to a cell without waiting tasks, so that tasks do not move back and
    /// forth.
    pub(super) fn transfer_waiting(&mut self, now: Time) {
        if !self.may_start(now) {
            return;
        }
        let mut remaining = MAX_MOVED;
        for name in self.jobs_to_transfer(now) {
            if remaining == 0 {
                return;
            }
            remaining -= self.transfer_job(now, &name, remaining);
        }
    }

    fn jobs_to_transfer(&self, now: Time) -> Vec<JobName> {
        let waited = |at: Time| (at + self.timing.transfer_after).passed(now);
        self.state
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.may_bind_tasks() && job.open_tasks > 0 && waited(job.accepted_at)
            })
            .filter(|(name, _)| {
                self.backlogs
                    .get(*name)
                    .is_some_and(|backlog| backlog.has_queued_tasks())
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn transfer_job(&mut self, now: Time, name: &JobName, max_tasks: usize) -> usize {
        let Some(job) = self.state.jobs.get(name) else {
            return 0;
        };
        let spec = job.spec.clone();
        if spec.need.fits(self.cell_capacity().free) {
            return 0;
        }
        let Some((to, capacity)) = self.transfer_target(spec.need) else {
            return 0;
        };
        let max_tasks = max_tasks
            .min(usize::try_from(count_fitting(spec.need, capacity.free)).unwrap_or(max_tasks));
        let tasks = self.tasks_to_move(now, name, max_tasks);
        if tasks.is_empty() {
            return 0;
        }
        let indexes: Vec<u32> = tasks.iter().map(|task| task.index).collect();
        let count = indexes.len();
        let at = (self.epoch, self.journal.next_ordinal());
        let key = keys::inbox_moved(&to, name, &self.cell, at);
        let item = InboxItem::Moved {
            spec: spec.as_ref().clone(),
            at: job.accepted_at,
            tasks,
        };
        let value = serde_json::to_vec(&item).unwrap_or_default();
        let record = Record::Moved {
            job: name.clone(),
            tasks: indexes.clone(),
            to: to.clone(),
            at: now,
        };
        self.record_with(record, Vec::new(), vec![(key, value)]);
        for index in indexes {
            self.dequeue_task(&TaskId {
                job: name.clone(),
                index,
            });
        }
        self.fill_queue(name);
        if let Some(capacity) = self.cell_capacities.get_mut(&to) {
            deduct_capacity(capacity, spec.need, count as u64);
        }
        count
    }

    fn transfer_target(&self, need: Resources) -> Option<(CellName, CellCapacity)> {
        let mut best: Option<(&CellName, &CellCapacity)> = None;
        for (cell, capacity) in &self.cell_capacities {
            let is_suitable =
                need.fits(capacity.largest) && need.fits(capacity.free) && capacity.waiting == 0;
            if *cell == self.cell || !is_suitable {
                continue;
            }
            if best.is_none_or(|(_, other)| capacity.free.cpu_milli > other.free.cpu_milli) {
                best = Some((cell, capacity));
            }
        }
        best.map(|(cell, capacity)| (cell.clone(), *capacity))
    }

    fn tasks_to_move(&self, now: Time, name: &JobName, max_tasks: usize) -> Vec<MovedTask> {
        let Some(job) = self.state.jobs.get(name) else {
            return Vec::new();
        };
        let mut moved = Vec::new();
        for (index, task) in job.all_tasks() {
            if moved.len() == max_tasks {
                break;
            }
            let waited = (task.since + self.timing.transfer_after).passed(now);
            if task.state != TaskState::Waiting || !waited {
                continue;
            }
            moved.push(MovedTask {
                index,
                attempt: task.attempt,
                checkpoint: task.checkpoint,
                failed_on: task.failed_on,
            });
        }
        moved
    }
}
