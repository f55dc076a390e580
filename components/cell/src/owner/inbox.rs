//! Taking jobs, moved tasks and cancellations from the inbox.

use kernel::{CellName, JobName, JobSpec, Time};

use super::Owner;
use crate::{InboxItem, Record, TaskRange, keys, state::Job};

impl Owner {
    /// Takes in what waits; jobs first, so that a cancellation finds its job.
    pub(super) fn take_inbox(&mut self, now: Time, items: Vec<(String, InboxItem)>) {
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
                        self.feed(&name, task.index);
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
        self.feeds.entry(name.clone()).or_default();
        self.refill(&name);
    }

    fn cancel(&mut self, key: String, name: &JobName, at: Time) {
        let puts = self.cancels_elsewhere(name, at);
        let record = Record::Cancelled {
            job: name.clone(),
            at,
        };
        if self.record_with(record, vec![key.clone()], puts).is_none() {
            self.delete_key(key);
            return;
        }
        self.unfeed(name);
        self.stop_untold(at, name);
    }

    /// Inbox items for the cells that hold moved tasks of a job.
    fn cancels_elsewhere(&self, name: &JobName, at: Time) -> Vec<(String, Vec<u8>)> {
        let Some(job) = self.state.jobs.get(name) else {
            return Vec::new();
        };
        let item = InboxItem::Cancel {
            job: name.clone(),
            at,
        };
        let value = serde_json::to_vec(&item).unwrap_or_default();
        let mut puts = Vec::new();
        for cell in cells_of(job) {
            puts.push((keys::inbox_cancel(&cell, name), value.clone()));
        }
        puts
    }

    /// Ends attempts of a cancelled job that no agent was told of.
    fn stop_untold(&mut self, at: Time, name: &JobName) {
        let untold: Vec<_> = self
            .live
            .iter()
            .filter(|(run, live)| run.task.job == *name && !live.told)
            .map(|(run, _)| run.clone())
            .collect();
        for run in untold {
            self.end(at, &run, crate::RunEnd::Stopped, None);
        }
    }
}

fn cells_of(job: &Job) -> std::collections::BTreeSet<CellName> {
    job.moved.values().cloned().collect()
}
