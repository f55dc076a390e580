//! Giving waiting tasks to cells that have room.

use kernel::{CellName, JobName, Resources, TaskId, TaskState, Time};

use proto::messages::CellCapacity;

use super::Owner;
use crate::{
    InboxItem, MovedTask, Record, keys,
    spread::{deduct_capacity, how_many},
};

/// The most tasks moved in one sweep.
const MAX_MOVED: usize = 200;

impl Owner {
    /// Moves tasks that waited for long to the cell with the most room.
    ///
    /// A cell gives work away only while it has no room itself, and only to a
    /// cell where nothing waits, so tasks do not travel back and forth.
    pub(super) fn transfer_waiting(&mut self, now: Time) {
        if !self.may_start(now) {
            return;
        }
        let mut left = MAX_MOVED;
        for name in self.waiting_jobs(now) {
            if left == 0 {
                return;
            }
            left -= self.transfer_job(now, &name, left);
        }
    }

    fn waiting_jobs(&self, now: Time) -> Vec<JobName> {
        let waited = |at: Time| (at + self.timing.transfer_after).passed(now);
        self.state
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.may_bind_tasks() && job.open_tasks > 0 && waited(job.accepted_at)
            })
            .filter(|(name, _)| self.feeds.get(*name).is_some_and(|feed| feed.waits()))
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn transfer_job(&mut self, now: Time, name: &JobName, most: usize) -> usize {
        let Some(job) = self.state.jobs.get(name) else {
            return 0;
        };
        let spec = job.spec.clone();
        if spec.need.fits(self.cell_capacity().free) {
            return 0;
        }
        let Some((to, room)) = self.best_cell(spec.need) else {
            return 0;
        };
        let most = most.min(usize::try_from(how_many(spec.need, room.free)).unwrap_or(most));
        let tasks = self.oldest_waiting(now, name, most);
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
            self.unfeed_one(&TaskId {
                job: name.clone(),
                index,
            });
        }
        self.refill(name);
        if let Some(room) = self.rooms.get_mut(&to) {
            deduct_capacity(room, spec.need, count as u64);
        }
        count
    }

    fn best_cell(&self, need: Resources) -> Option<(CellName, CellCapacity)> {
        let mut best: Option<(&CellName, &CellCapacity)> = None;
        for (cell, room) in &self.rooms {
            let takes = need.fits(room.largest) && need.fits(room.free) && room.waiting == 0;
            if *cell == self.cell || !takes {
                continue;
            }
            if best.is_none_or(|(_, other)| room.free.cpu_milli > other.free.cpu_milli) {
                best = Some((cell, room));
            }
        }
        best.map(|(cell, room)| (cell.clone(), *room))
    }

    fn oldest_waiting(&self, now: Time, name: &JobName, most: usize) -> Vec<MovedTask> {
        let Some(job) = self.state.jobs.get(name) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for (index, task) in job.all_tasks() {
            if found.len() == most {
                break;
            }
            let waited = (task.since + self.timing.transfer_after).passed(now);
            if task.state != TaskState::Waiting || !waited {
                continue;
            }
            found.push(MovedTask {
                index,
                attempt: task.attempt,
                checkpoint: task.checkpoint,
                failed_on: task.failed_on,
            });
        }
        found
    }
}
