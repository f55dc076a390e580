//! The keys of the daemons' durable state in the store.

use kernel::{EntryName, JobName, VmName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use steps::Outcome;
use store::{KeyRange, KeyValue};

/// The prefix of the keys that all entries follow.
pub const ROOT: &str = "hemlockmoor/";
/// The key of the owner of the jobs, bound to the lease of that entry.
pub const OWNER: &str = "hemlockmoor/owner";
/// The key of the epoch, which counts the terms of owners.
pub const EPOCH: &str = "hemlockmoor/epoch";
/// The key of the handover that an owner writes for the next one when it stops gracefully.
pub const HANDOVER: &str = "hemlockmoor/handover";
/// The key of the interference weights that the owner has learnt. Outside [`ROOT`], since only an
/// owner reads this key, at the start of its term.
pub const INTERFERENCE: &str = "hemlockmoor-interference";
/// The key of the secret that entries and agents share; written once.
pub const SECRET: &str = "hemlockmoor/secret";
const JOBS: &str = "hemlockmoor/jobs/";
const ENDED: &str = "hemlockmoor/ended/";
/// Outside [`ROOT`], since only an owner reads these keys, at the start of its term.
const PROGRESS: &str = "hemlockmoor-progress/";
const CANCELLED: &str = "hemlockmoor/cancelled/";
/// Outside [`ROOT`], since these keys only exclude the creation of jobs.
const WITHDRAWN: &str = "hemlockmoor-withdrawn/";
const AGENTS: &str = "hemlockmoor/agents/";
const ENTRIES: &str = "hemlockmoor/entries/";

/// The value of the key of the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The entry that owns the jobs.
    pub entry: EntryName,
    /// The address at which the owner listens for calls of other entries.
    pub address: SocketAddr,
    /// The epoch of the term.
    pub epoch: u64,
}

/// The value of the key of an ended job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// How the job ended.
    pub outcome: Outcome,
}

/// The value of the key of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// The address at which the agent listens for calls of the owner.
    pub address: SocketAddr,
}

/// The value of the key by which an entry announces itself, bound to a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// The address at which the entry listens for calls of other entries.
    pub address: SocketAddr,
    /// The processor capacity in thousandths of a core; `None` if it is unknown.
    pub cpu_milli: Option<u64>,
}

/// A parsed key of the daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// An accepted job.
    Job(JobName),
    /// The progress record of a job.
    Progress(JobName),
    /// How a job ended.
    Ended(JobName),
    /// The mark that a job is cancelled.
    Cancelled(JobName),
    /// The owner of the jobs.
    Owner,
    /// The address of the agent on a VM.
    Agent(VmName),
    /// The announcement of an entry.
    Entry(EntryName),
    /// The epoch, the handover, the secret, or an unknown key.
    Other,
}

impl Key {
    /// Parses a key.
    #[must_use]
    pub fn parse(key: &str) -> Self {
        if key == OWNER {
            return Self::Owner;
        }
        let job = |name: &str| JobName::new(name).ok();
        let parsed = if let Some(name) = key.strip_prefix(JOBS) {
            job(name).map(Self::Job)
        } else if let Some(name) = key.strip_prefix(PROGRESS) {
            job(name).map(Self::Progress)
        } else if let Some(name) = key.strip_prefix(ENDED) {
            job(name).map(Self::Ended)
        } else if let Some(name) = key.strip_prefix(CANCELLED) {
            job(name).map(Self::Cancelled)
        } else if let Some(name) = key.strip_prefix(AGENTS) {
            VmName::new(name).ok().map(Self::Agent)
        } else if let Some(name) = key.strip_prefix(ENTRIES) {
            EntryName::new(name).ok().map(Self::Entry)
        } else {
            None
        };
        parsed.unwrap_or(Self::Other)
    }
}

/// Returns the key of an accepted job.
#[must_use]
pub fn job(name: &JobName) -> String {
    format!("{JOBS}{name}")
}

/// Returns the key of the progress record of a job.
#[must_use]
pub fn progress(name: &JobName) -> String {
    format!("{PROGRESS}{name}")
}

/// Returns the key that records how a job ended.
#[must_use]
pub fn ended(name: &JobName) -> String {
    format!("{ENDED}{name}")
}

/// Returns the key that marks a job as cancelled.
#[must_use]
pub fn cancelled(name: &JobName) -> String {
    format!("{CANCELLED}{name}")
}

/// Returns the key that marks a job as cancelled before it was stored.
#[must_use]
pub fn withdrawn(name: &JobName) -> String {
    format!("{WITHDRAWN}{name}")
}

/// Returns the key of the agent on a VM.
#[must_use]
pub fn agent(vm: &VmName) -> String {
    format!("{AGENTS}{vm}")
}

/// Returns the key by which an entry announces itself.
#[must_use]
pub fn entry(name: &EntryName) -> String {
    format!("{ENTRIES}{name}")
}

/// Returns the range of the keys that all entries follow.
#[must_use]
pub fn followed() -> KeyRange {
    KeyRange::prefix(ROOT)
}

/// Returns the range of the keys of all agents.
#[must_use]
pub fn all_agents() -> KeyRange {
    KeyRange::prefix(AGENTS)
}

/// Returns the range of the progress records of all jobs that have not ended.
#[must_use]
pub fn all_progress() -> KeyRange {
    KeyRange::prefix(PROGRESS)
}

/// An epoch that no series of terms reaches, so another writer has written it. The numbers of
/// runs, which start with the epoch, stay below 2^53, which JSON carries without loss.
const EPOCH_LIMIT: u64 = 1 << 29;

/// Returns the epoch of the newest owner from the value of its key.
pub(crate) fn parse_epoch(kv: &KeyValue) -> u64 {
    let text = String::from_utf8_lossy(&kv.value);
    match text.parse() {
        Ok(epoch) if epoch < EPOCH_LIMIT => epoch,
        parsed => {
            tracing::error!(
                ?parsed,
                revision = kv.modified,
                "can't parse the epoch; using the revision of its key"
            );
            u64::try_from(kv.modified).unwrap_or_default()
        }
    }
}
