//! Handling of jobs, moved tasks and cancellations from the inbox.

use kernel::{CellName, JobName, JobSpec, Time};

use super::Owner;
use crate::{InboxItem, Record, TaskRange, keys, state::Job};

impl Owner {
    /// Handles inbox items; jobs come first, so that a cancellation finds its job.
    pub(super) fn handle_inbox(&mut self, now: Time, items: Vec<(String, InboxItem)>) {
        let (cancels, jobs): (Vec<_>, Vec<_>) = items
            .into_iter()
            .partition(|(_, item)| matches!(item, InboxItem::Cancel { .. }));
        for (key, item) in jobs.into_iter().chain(cancels) {
            if !self.journal.admit(&key) {
                continue;
            }
            match item {
                InboxItem::Job { spec, part, at } => self.accept(key, spec, part, at),
                InboxItem::Moved { spec, at, tasks } => {
                    let name = spec.name.clone();
                    let record = Record::Received {
                        spec,
                        accepted: at,
                        tasks: tasks.clone(),
                        at: now,
                    };
                    self.record_with(record, vec![key], Vec::new());
                    for task in tasks {
                        self.requeue_task(&name, task.index);
                    }
                }
                InboxItem::Cancel { job, at } => self.cancel(key, &job, at),
            }
        }
        self.placement_due = true;
    }

    fn accept(&mut self, key: String, spec: JobSpec, part: TaskRange, at: Time) {
        let name = spec.name.clone();
        let record = Record::Accepted { spec, part, at };
        if self
            .record_with(record, vec![key.clone()], Vec::new())
            .is_none()
        {
            self.delete_key(key);
            return;
        }
        self.backlogs.entry(name.clone()).or_default();
        self.fill_queue(&name);
    }

    fn cancel(&mut self, key: String, name: &JobName, at: Time) {
        let puts = self.cancels_for_other_cells(name, at);
        let record = Record::Cancelled {
            job: name.clone(),
            at,
        };
        if self.record_with(record, vec![key.clone()], puts).is_none() {
            self.delete_key(key);
            return;
        }
        self.dequeue_job(name);
        self.stop_unstarted(at, name);
    }

    /// Returns a cancellation, as inbox key and value, for each cell that received
    /// tasks of the job.
    fn cancels_for_other_cells(&self, name: &JobName, at: Time) -> Vec<(String, Vec<u8>)> {
        let Some(job) = self.state.jobs.get(name) else {
            return Vec::new();
        };
        let item = InboxItem::Cancel {
            job: name.clone(),
            at,
        };
        let value = serde_json::to_vec(&item).unwrap_or_default();
        let mut puts = Vec::new();
        for cell in cells_with_moved_tasks(job) {
            puts.push((keys::inbox_cancel(&cell, name), value.clone()));
        }
        puts
    }

    /// Ends attempts of a cancelled job for which no start order was sent.
    fn stop_unstarted(&mut self, at: Time, name: &JobName) {
        let unstarted: Vec<_> = self
            .bound_runs
            .iter()
            .filter(|(run, bound_run)| run.task.job == *name && !bound_run.may_have_started)
            .map(|(run, _)| run.clone())
            .collect();
        for run in unstarted {
            self.end(at, &run, crate::RunEnd::Stopped, None);
        }
    }
}

fn cells_with_moved_tasks(job: &Job) -> std::collections::BTreeSet<CellName> {
    job.moved.values().cloned().collect()
}
