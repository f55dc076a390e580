//! The keys under which the daemons keep what lasts.

use kernel::{EntryName, JobName, VmName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use steps::Outcome;
use store::KeyRange;

/// Everything of ours that all entries follow.
pub const ROOT: &str = "hemlockmoor/";
/// Who owns the jobs, on that process's lease.
pub const OWNER: &str = "hemlockmoor/owner";
/// The number of the current term.
pub const EPOCH: &str = "hemlockmoor/epoch";
/// What the last owner that stopped in order left to the next one.
pub const HANDOVER: &str = "hemlockmoor/handover";
/// The secret that our processes share, made once.
pub const SECRET: &str = "hemlockmoor/secret";
const JOBS: &str = "hemlockmoor/jobs/";
const ENDED: &str = "hemlockmoor/ended/";
/// What only an owner reads, at the start of its term.
const PROGRESS: &str = "hemlockmoor-progress/";
const CANCELLED: &str = "hemlockmoor/cancelled/";
const AGENTS: &str = "hemlockmoor/agents/";

/// What the owner's key says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The owner.
    pub entry: EntryName,
    /// Where it answers calls of our processes.
    pub address: SocketAddr,
    /// Its term.
    pub epoch: u64,
}

/// What the key of a job that has ended says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// How it ended.
    pub outcome: Outcome,
}

/// What an agent's key says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// Where it answers calls of our processes.
    pub address: SocketAddr,
}

/// One of our keys, by what it is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// A job as accepted.
    Job(JobName),
    /// The record of a job's progress.
    Progress(JobName),
    /// How a job ended.
    Ended(JobName),
    /// The mark of a cancelled job.
    Cancelled(JobName),
    /// The owner of the jobs.
    Owner,
    /// An agent.
    Agent(VmName),
    /// The term, the note of a handover, the secret, or nothing of ours.
    Other,
}

impl Key {
    /// Reads a key.
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
        } else {
            None
        };
        parsed.unwrap_or(Self::Other)
    }
}

/// The key of a job as accepted.
#[must_use]
pub fn job(name: &JobName) -> String {
    format!("{JOBS}{name}")
}

/// The key of a job's progress.
#[must_use]
pub fn progress(name: &JobName) -> String {
    format!("{PROGRESS}{name}")
}

/// The key that says how a job ended.
#[must_use]
pub fn ended(name: &JobName) -> String {
    format!("{ENDED}{name}")
}

/// The key that marks a job as cancelled.
#[must_use]
pub fn cancelled(name: &JobName) -> String {
    format!("{CANCELLED}{name}")
}

/// The key of an agent.
#[must_use]
pub fn agent(vm: &VmName) -> String {
    format!("{AGENTS}{vm}")
}

/// The keys that all entries follow.
#[must_use]
pub fn followed() -> KeyRange {
    KeyRange::prefix(ROOT)
}

/// The records of jobs that have not ended.
#[must_use]
pub fn all_progress() -> KeyRange {
    KeyRange::prefix(PROGRESS)
}
