//! What has to be durable, and what workers may forget once it is.

use kernel::JobName;

use super::Owner;
use crate::Progress;

/// The record of one job that is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// The job.
    pub job: JobName,
    /// Its record.
    pub progress: Progress,
    /// The revision at which the record before was written, if there is one.
    pub replaces: Option<i64>,
    /// Whether the job has ended, so that its other keys go.
    pub is_end: bool,
}

impl Owner {
    pub(super) fn mark_dirty(&mut self, job: &JobName) {
        self.changes += 1;
        self.dirty.insert(job.clone());
    }

    /// The number of the last change; once all changes taken after this call
    /// are durable, [`Owner::confirm_durable`] is told that number.
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.changes
    }

    /// Whether anything has to be written.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Whether a client waits for what has to be written: the end of a job.
    #[must_use]
    pub fn has_urgent_changes(&self) -> bool {
        let mut dirty = self.dirty.iter().filter_map(|job| self.jobs.get(job));
        dirty.any(|entry| entry.outcome.is_some())
    }

    /// Takes out all changes that have to be written now.
    pub fn take_changes(&mut self) -> Vec<RecordWrite> {
        let mut changes = Vec::new();
        for job in std::mem::take(&mut self.dirty) {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            changes.push(RecordWrite {
                is_end: entry.outcome.is_some(),
                progress: entry.progress(),
                replaces: entry.record,
                job,
            });
        }
        changes
    }

    /// The record of a job was written at this revision.
    pub fn record_written(&mut self, job: &JobName, revision: i64) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record = Some(revision);
        }
    }

    /// The record of a job could not be written and has to be written again, in
    /// place of the one of this revision.
    pub fn record_not_written(&mut self, job: &JobName, found: Option<i64>) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record = found;
            self.dirty.insert(job.clone());
        }
    }

    /// All changes up to this number are durable.
    pub fn confirm_durable(&mut self, change: u64) {
        self.durable = self.durable.max(change);
        self.release_recorded();
    }

    /// Lets workers forget ends that need no record, or whose record is durable.
    pub(super) fn release_recorded(&mut self) {
        for vm in self.vms.values_mut() {
            while let Some(&(end, needs)) = vm.to_record.front() {
                if needs > self.durable {
                    break;
                }
                vm.recorded = end;
                vm.to_record.pop_front();
            }
        }
    }
}
