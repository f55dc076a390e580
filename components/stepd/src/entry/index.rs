//! The index of all jobs that an entry builds from the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use kernel::{AvailabilityZoneName, EntryName, JobName, VmName};
use steps::{Job, JobState, Outcome, Progress, candidacy::Announcement};
use store::{Change, KeyValue, StoreRevision};

use crate::keys::{AgentRecord, EndRecord, EntryRecord, Key, OwnerRecord};

/// A job as recorded in the store.
#[derive(Clone, Debug, Default)]
pub(super) struct IndexedJob {
    /// The queue of the job; `None` if this entry has not read the accepted job.
    pub(super) queue: Option<Arc<str>>,
    pub(super) outcome: Option<Outcome>,
    pub(super) cancelled: bool,
}

impl IndexedJob {
    /// Returns whether the job was accepted; a cancellation alone does not show that.
    pub(super) const fn is_accepted(&self) -> bool {
        self.queue.is_some() || self.outcome.is_some()
    }

    pub(super) fn state(&self) -> JobState {
        match (self.outcome, self.cancelled) {
            (Some(outcome), _) => JobState::Ended(outcome),
            (None, true) => JobState::Ended(Outcome::Cancelled),
            (None, false) => JobState::Queued,
        }
    }
}

/// A decoded change in the store.
#[derive(Clone, Debug)]
pub(super) enum KeyUpdate {
    /// A job was accepted.
    Job(Arc<Job>),
    /// The progress record of a job was written, at this revision.
    Progress(JobName, Progress, StoreRevision),
    /// A job has ended.
    Ended(JobName, Outcome),
    /// A job was cancelled.
    Cancelled(JobName),
    /// The key of an agent: its VM, its address and the revision of the key.
    Agent(VmName, SocketAddr, StoreRevision),
    /// The key of the owner was written, or deleted (`None`).
    Owner(Option<OwnerRecord>),
    /// An entry announced itself with a key of this revision.
    Announced(EntryName, EntryRecord, StoreRevision),
    /// The announcement of an entry was deleted.
    Withdrawn(EntryName),
    /// The record of an ended job was deleted after its retention time.
    Forgotten(JobName),
}

/// Decodes a change; returns `None` if it is irrelevant or can't be decoded.
pub(super) fn parse_change(change: &Change) -> Option<KeyUpdate> {
    match change {
        Change::Put(kv) => parse_item(kv),
        Change::Deleted(key, _) => match Key::parse(key) {
            Key::Owner => Some(KeyUpdate::Owner(None)),
            Key::Ended(name) => Some(KeyUpdate::Forgotten(name)),
            Key::Entry(name) => Some(KeyUpdate::Withdrawn(name)),
            Key::Job(_) | Key::Progress(_) | Key::Cancelled(_) | Key::Agent(_) | Key::Other => None,
        },
    }
}

/// Decodes an item; returns `None` if it is irrelevant or can't be decoded.
pub(super) fn parse_item(kv: &KeyValue) -> Option<KeyUpdate> {
    match Key::parse(&kv.key) {
        Key::Job(name) => {
            let accepted: Job = parse_value(kv)?;
            if let Err(error) = accepted.validate() {
                tracing::error!(key = kv.key, %error, "a job in the store is none that an entry accepts; ignored");
                return None;
            }
            (accepted.name == name).then(|| KeyUpdate::Job(Arc::new(accepted)))
        }
        Key::Progress(name) => Some(KeyUpdate::Progress(name, parse_value(kv)?, kv.modified)),
        Key::Ended(name) => {
            let record: EndRecord = parse_value(kv)?;
            Some(KeyUpdate::Ended(name, record.outcome))
        }
        Key::Cancelled(name) => Some(KeyUpdate::Cancelled(name)),
        Key::Owner => Some(KeyUpdate::Owner(Some(parse_value(kv)?))),
        Key::Agent(vm) => {
            let record: AgentRecord = parse_value(kv)?;
            Some(KeyUpdate::Agent(vm, record.address, kv.modified))
        }
        Key::Entry(name) => Some(KeyUpdate::Announced(name, parse_value(kv)?, kv.modified)),
        Key::Other => None,
    }
}

fn parse_value<T: serde::de::DeserializeOwned>(kv: &KeyValue) -> Option<T> {
    match serde_json::from_slice(&kv.value) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::error!(key = kv.key, %error, "can't decode an item in the store; ignored");
            None
        }
    }
}

/// All jobs, the owner, the entries, and the zones that accept no new work.
#[derive(Debug, Default)]
pub(super) struct Index {
    jobs: BTreeMap<JobName, IndexedJob>,
    owner: Option<OwnerRecord>,
    /// The announced entries and the revisions of their keys.
    entries: BTreeMap<EntryName, (EntryRecord, StoreRevision)>,
    /// The availability zones that accept no new work.
    pub(super) zones_out: BTreeSet<AvailabilityZoneName>,
    /// Whether the store has been loaded at least once.
    pub(super) is_loaded: bool,
}

impl Index {
    pub(super) fn job(&self, name: &JobName) -> Option<&IndexedJob> {
        self.jobs.get(name).filter(|job| job.is_accepted())
    }

    pub(super) const fn owner(&self) -> Option<&OwnerRecord> {
        self.owner.as_ref()
    }

    /// Returns the record of an announced entry.
    pub(super) fn entry(&self, name: &EntryName) -> Option<EntryRecord> {
        self.entries.get(name).map(|(record, _)| *record)
    }

    /// Returns whether an entry other than this one is announced.
    pub(super) fn has_other_entry(&self, own: &EntryName) -> bool {
        self.entries.keys().any(|name| name != own)
    }

    /// Returns the announcements of all entries.
    pub(super) fn announcements(&self) -> BTreeMap<EntryName, Announcement> {
        let announcement = |(record, revision): &(EntryRecord, StoreRevision)| Announcement {
            cpu_milli: record.cpu_milli,
            revision: *revision,
        };
        let announced = self.entries.iter();
        announced
            .map(|(name, known)| (name.clone(), announcement(known)))
            .collect()
    }

    /// Returns how many jobs of a queue have neither ended nor been cancelled.
    pub(super) fn pending_jobs(&self, queue: &str) -> usize {
        let is_pending = |job: &&IndexedJob| {
            job.queue.as_deref() == Some(queue) && job.state() == JobState::Queued
        };
        self.jobs.values().filter(is_pending).count()
    }

    pub(super) fn clear(&mut self) {
        self.jobs.clear();
        self.owner = None;
        self.entries.clear();
    }

    pub(super) fn apply(&mut self, update: &KeyUpdate) {
        match update {
            KeyUpdate::Job(accepted) => {
                let job = self.jobs.entry(accepted.name.clone()).or_default();
                job.queue = Some(Arc::clone(&accepted.queue));
            }
            KeyUpdate::Ended(name, outcome) => {
                let job = self.jobs.entry(name.clone()).or_default();
                job.outcome = Some(*outcome);
            }
            KeyUpdate::Cancelled(name) => {
                let job = self.jobs.entry(name.clone()).or_default();
                job.cancelled = true;
            }
            KeyUpdate::Progress(..) | KeyUpdate::Agent(..) => {}
            KeyUpdate::Owner(owner) => self.owner.clone_from(owner),
            KeyUpdate::Announced(name, record, revision) => {
                self.entries.insert(name.clone(), (*record, *revision));
            }
            KeyUpdate::Withdrawn(name) => {
                self.entries.remove(name);
            }
            KeyUpdate::Forgotten(name) => {
                self.jobs.remove(name);
            }
        }
    }
}

/// Decodes items and puts accepted jobs before the updates that refer to them.
pub(super) fn jobs_first(kvs: &[KeyValue]) -> Vec<KeyUpdate> {
    let mut jobs = Vec::new();
    let mut others = Vec::new();
    for kv in kvs {
        match parse_item(kv) {
            Some(update @ KeyUpdate::Job(_)) => jobs.push(update),
            Some(update) => others.push(update),
            None => {}
        }
    }
    jobs.extend(others);
    jobs
}
