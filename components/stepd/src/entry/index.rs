//! What an entry knows of all jobs from the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use kernel::{AvailabilityZoneName, JobName, VmName};
use steps::{Job, JobState, Outcome, Progress};
use store::{Change, KeyValue, StoreRevision};

use crate::keys::{AgentRecord, Key, OwnerRecord};

/// A job as far as the store tells.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) queue: Arc<str>,
    pub(super) outcome: Option<Outcome>,
    pub(super) has_progress: bool,
    pub(super) cancelled: bool,
}

impl Known {
    pub(super) fn state(&self) -> JobState {
        match (self.outcome, self.cancelled, self.has_progress) {
            (Some(outcome), _, _) => JobState::Ended(outcome),
            (None, true, _) => JobState::Ended(Outcome::Cancelled),
            (None, false, true) => JobState::Running,
            (None, false, false) => JobState::Queued,
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
    /// A job was cancelled.
    Cancelled(JobName),
    /// An agent runs there.
    Agent(VmName, SocketAddr),
    /// An agent's key was removed.
    AgentGone(VmName),
    /// The owner changed.
    Owner(Option<OwnerRecord>),
    /// A job was forgotten.
    JobGone(JobName),
}

/// Reads a change; nothing for what is of no interest or can't be read.
pub(super) fn read(change: &Change) -> Option<Fact> {
    match change {
        Change::Put(kv) => read_put(kv),
        Change::Deleted(key, _) => match Key::parse(key) {
            Key::Owner => Some(Fact::Owner(None)),
            Key::Agent(vm) => Some(Fact::AgentGone(vm)),
            Key::Job(name) => Some(Fact::JobGone(name)),
            Key::Progress(_) | Key::Cancelled(_) | Key::Other => None,
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
        Key::Cancelled(name) => Some(Fact::Cancelled(name)),
        Key::Owner => Some(Fact::Owner(Some(parse(kv)?))),
        Key::Agent(vm) => {
            let record: AgentRecord = parse(kv)?;
            Some(Fact::Agent(vm, record.address))
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
    agents: BTreeMap<VmName, SocketAddr>,
    owner: Option<OwnerRecord>,
    /// The availability zones that take no new work.
    pub(super) zones_out: BTreeSet<AvailabilityZoneName>,
    /// Whether the store has been read at least once.
    pub(super) is_read: bool,
}

impl Index {
    pub(super) fn job(&self, name: &JobName) -> Option<&Known> {
        self.jobs.get(name)
    }

    pub(super) const fn owner(&self) -> Option<&OwnerRecord> {
        self.owner.as_ref()
    }

    /// How many jobs of a queue show no sign of having started.
    pub(super) fn pending(&self, queue: &str) -> usize {
        let waits =
            |known: &&Known| known.queue.as_ref() == queue && known.state() == JobState::Queued;
        self.jobs.values().filter(waits).count()
    }

    pub(super) fn clear(&mut self) {
        self.jobs.clear();
        self.agents.clear();
        self.owner = None;
    }

    pub(super) fn apply(&mut self, fact: &Fact) {
        match fact {
            Fact::Job(job) => {
                self.jobs.entry(job.name.clone()).or_insert_with(|| Known {
                    queue: Arc::clone(&job.queue),
                    outcome: None,
                    has_progress: false,
                    cancelled: false,
                });
            }
            Fact::Progress(name, progress, _) => {
                if let Some(known) = self.jobs.get_mut(name) {
                    known.outcome = progress.outcome;
                    known.has_progress = true;
                }
            }
            Fact::Cancelled(name) => {
                if let Some(known) = self.jobs.get_mut(name) {
                    known.cancelled = true;
                }
            }
            Fact::Agent(vm, address) => {
                self.agents.insert(vm.clone(), *address);
            }
            Fact::AgentGone(vm) => {
                self.agents.remove(vm);
            }
            Fact::Owner(owner) => self.owner.clone_from(owner),
            Fact::JobGone(name) => {
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
