//! What an entry knows of all jobs from the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use kernel::{AvailabilityZoneName, JobName, VmName};
use steps::{Job, JobState, Outcome, Progress};
use store::{Change, KeyValue, StoreRevision};

use crate::keys::{AgentRecord, EndRecord, Key, OwnerRecord};

/// A job as far as the store tells.
#[derive(Clone, Debug, Default)]
pub(super) struct Known {
    /// Its queue, unless it ended before this entry knew it.
    pub(super) queue: Option<Arc<str>>,
    pub(super) outcome: Option<Outcome>,
    pub(super) cancelled: bool,
}

impl Known {
    /// Whether there is more than a cancelling.
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

/// What a change in the store means.
#[derive(Clone, Debug)]
pub(super) enum Fact {
    /// A job was accepted.
    Job(Arc<Job>),
    /// A job's record was written.
    Progress(JobName, Progress, StoreRevision),
    /// A job has ended.
    Ended(JobName, Outcome),
    /// A job was cancelled.
    Cancelled(JobName),
    /// An agent runs there, by the key of that revision.
    Agent(VmName, SocketAddr, StoreRevision),
    /// The owner changed.
    Owner(Option<OwnerRecord>),
    /// A job that had ended was forgotten.
    Forgotten(JobName),
}

/// Reads a change; nothing for what is of no interest or can't be read.
pub(super) fn read(change: &Change) -> Option<Fact> {
    match change {
        Change::Put(kv) => read_put(kv),
        Change::Deleted(key, _) => match Key::parse(key) {
            Key::Owner => Some(Fact::Owner(None)),
            Key::Ended(name) => Some(Fact::Forgotten(name)),
            Key::Job(_) | Key::Progress(_) | Key::Cancelled(_) | Key::Agent(_) | Key::Other => None,
        },
    }
}

/// Reads an item.
pub(super) fn read_put(kv: &KeyValue) -> Option<Fact> {
    match Key::parse(&kv.key) {
        Key::Job(name) => {
            let job: Job = parse(kv)?;
            (job.name == name).then(|| Fact::Job(Arc::new(job)))
        }
        Key::Progress(name) => Some(Fact::Progress(name, parse(kv)?, kv.modified)),
        Key::Ended(name) => {
            let record: EndRecord = parse(kv)?;
            Some(Fact::Ended(name, record.outcome))
        }
        Key::Cancelled(name) => Some(Fact::Cancelled(name)),
        Key::Owner => Some(Fact::Owner(Some(parse(kv)?))),
        Key::Agent(vm) => {
            let record: AgentRecord = parse(kv)?;
            Some(Fact::Agent(vm, record.address, kv.modified))
        }
        Key::Other => None,
    }
}

fn parse<T: serde::de::DeserializeOwned>(kv: &KeyValue) -> Option<T> {
    match serde_json::from_slice(&kv.value) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::error!(key = kv.key, %error, "an item in the store can't be read");
            None
        }
    }
}

/// All jobs, agents and the owner.
#[derive(Debug, Default)]
pub(super) struct Index {
    jobs: BTreeMap<JobName, Known>,
    owner: Option<OwnerRecord>,
    /// The availability zones that take no new work.
    pub(super) zones_out: BTreeSet<AvailabilityZoneName>,
    /// Whether the store has been read at least once.
    pub(super) is_read: bool,
}

impl Index {
    pub(super) fn job(&self, name: &JobName) -> Option<&Known> {
        self.jobs.get(name).filter(|known| known.is_accepted())
    }

    pub(super) const fn owner(&self) -> Option<&OwnerRecord> {
        self.owner.as_ref()
    }

    /// How many jobs of a queue show no sign of having started.
    pub(super) fn pending(&self, queue: &str) -> usize {
        let waits = |known: &&Known| {
            known.queue.as_deref() == Some(queue) && known.state() == JobState::Queued
        };
        self.jobs.values().filter(waits).count()
    }

    pub(super) fn clear(&mut self) {
        self.jobs.clear();
        self.owner = None;
    }

    pub(super) fn apply(&mut self, fact: &Fact) {
        match fact {
            Fact::Job(job) => {
                let known = self.jobs.entry(job.name.clone()).or_default();
                known.queue = Some(Arc::clone(&job.queue));
            }
            Fact::Ended(name, outcome) => {
                let known = self.jobs.entry(name.clone()).or_default();
                known.outcome = Some(*outcome);
            }
            Fact::Cancelled(name) => {
                let known = self.jobs.entry(name.clone()).or_default();
                known.cancelled = true;
            }
            Fact::Progress(..) | Fact::Agent(..) => {}
            Fact::Owner(owner) => self.owner.clone_from(owner),
            Fact::Forgotten(name) => {
                self.jobs.remove(name);
            }
        }
    }
}

/// Puts jobs before what is said of them.
pub(super) fn in_order(kvs: &[KeyValue]) -> Vec<Fact> {
    let mut jobs = Vec::new();
    let mut others = Vec::new();
    for kv in kvs {
        match read_put(kv) {
            Some(fact @ Fact::Job(_)) => jobs.push(fact),
            Some(fact) => others.push(fact),
            None => {}
        }
    }
    jobs.extend(others);
    jobs
}
