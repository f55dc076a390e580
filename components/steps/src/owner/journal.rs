//! Changes that must become durable, and run ends that workers may forget afterwards.

use kernel::{JobName, Time};

use super::Owner;
use crate::{Outcome, Progress};

/// Record of one job that must be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// Name of the job.
    pub job: JobName,
    /// New content of the record.
    pub progress: Progress,
    /// Revision of the record that this one replaces; `None` if there is none.
    pub replaces: Option<i64>,
    /// Whether the job has ended, so that its other keys can be removed.
    pub is_end: bool,
}

impl Owner {
    pub(super) fn mark_dirty(&mut self, job: &JobName) {
        self.last_change += 1;
        self.mark_unwritten(job);
    }

    fn mark_unwritten(&mut self, job: &JobName) {
        let entry = self.jobs.get(job);
        self.has_urgent_changes |= entry.is_some_and(|entry| entry.outcome.is_some());
        self.dirty.insert(job.clone());
    }

    /// Number of the last change. Once all changes taken after this call are durable,
    /// the caller passes this number to [`Owner::confirm_durable`].
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Whether any record must be written.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Whether a record to be written ends a job, for which a client may be waiting.
    #[must_use]
    pub const fn has_urgent_changes(&self) -> bool {
        self.has_urgent_changes
    }

    /// Returns and clears the records that must be written now, those that end a job first.
    pub fn take_changes(&mut self) -> Vec<RecordWrite> {
        let mut changes = self.take_ends();
        for job in std::mem::take(&mut self.dirty) {
            changes.extend(self.record(job));
        }
        changes
    }

    /// Returns and clears those of the records to be written that end a job.
    pub fn take_ends(&mut self) -> Vec<RecordWrite> {
        if !std::mem::take(&mut self.has_urgent_changes) {
            return Vec::new();
        }
        let jobs = &self.jobs;
        let has_ended = |job: &JobName| jobs.get(job).is_some_and(|entry| entry.outcome.is_some());
        let ended: Vec<JobName> = self.dirty.extract_if(.., has_ended).collect();
        ended
            .into_iter()
            .filter_map(|job| self.record(job))
            .collect()
    }

    fn record(&self, job: JobName) -> Option<RecordWrite> {
        let entry = self.jobs.get(&job)?;
        Some(RecordWrite {
            is_end: entry.outcome.is_some(),
            progress: entry.progress(),
            replaces: entry.record_revision,
            job,
        })
    }

    /// Notes the revision at which a job's record was written.
    pub fn record_written(&mut self, job: &JobName, revision: i64) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record_revision = Some(revision);
        }
    }

    /// Marks a job's record to be written again after a failed write. `found` is the
    /// revision of the record in the store.
    pub fn record_not_written(&mut self, job: &JobName, found: Option<i64>) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record_revision = found;
            self.mark_unwritten(job);
        }
    }

    /// Ends a job whose record is longer than the store accepts, so that the records of other
    /// jobs do not wait for it. `bytes` is its length.
    pub fn record_too_long(&mut self, now: Time, job: &JobName, bytes: usize) {
        tracing::error!(%job, bytes, "record of the job is longer than the store accepts; the job fails");
        self.end_job(now, job, Outcome::Failed);
    }

    /// Marks all changes up to this number as durable.
    pub fn confirm_durable(&mut self, change: u64) {
        self.durable_change = self.durable_change.max(change);
        self.schedule_due |= !self.suspects.is_empty();
        self.advance_recorded_ends();
    }

    /// Releases run ends that need no record or whose record is durable, so that
    /// workers may forget them.
    pub(super) fn advance_recorded_ends(&mut self) {
        for name in std::mem::take(&mut self.unrecorded_vms) {
            let Some(vm) = self.vms.get_mut(&name) else {
                continue;
            };
            if vm.advance_recorded_end(self.durable_change) {
                self.order_vms.insert(name.clone());
            }
            vm.advance_recorded_crash(self.durable_change);
            if !vm.unrecorded_ends.is_empty() || !vm.unrecorded_crashes.is_empty() {
                self.unrecorded_vms.insert(name);
            }
        }
    }
}
