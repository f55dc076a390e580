//! Snapshots of a cell's state, and recovery from a snapshot and the journal.
//!
//! A snapshot is a list of JSON lines in chunks well below the store's largest
//! value. It is valid once the head key names it; the transaction that writes the
//! head also deletes the groups that the snapshot replaces.

use kernel::{Epoch, Event, JobName, Sum, Time, VmName};
use serde::{Deserialize, Serialize};

use crate::{Group, Job, State};

/// Size in bytes at which a chunk is closed; the store accepts values up to 1 MB.
pub const MAX_CHUNK_BYTES: usize = 400_000;

/// The value of the head key: it names the valid snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHead {
    /// The epoch of the last group that the snapshot contains.
    pub epoch: Epoch,
    /// The sequence number of the last group that the snapshot contains.
    pub seq: u64,
    /// The number of chunks.
    pub chunks: usize,
}

/// One JSON line of a snapshot.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum SnapshotLine {
    Job(JobName, Job),
    /// Tasks of a job whose line precedes; separate, since a job with all its tasks
    /// can be too large for one chunk.
    Tasks(JobName, Vec<(u32, crate::Task)>),
    Quarantined(VmName, Time),
    Sum(Sum),
    Event(Event),
    KnownFrom(Time),
}

/// Limit on the tasks in one line.
const TASKS_PER_LINE: usize = 500;

/// An error that prevents the recovery of a cell.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoverError {
    /// A value in the store has a format that this version can't read.
    #[error("{key} can't be read: {reason}; keep the key and start a version that can read it")]
    Unreadable {
        /// The key of the value.
        key: String,
        /// The parse error.
        reason: String,
    },
    /// A group is missing from the journal.
    #[error("group {missing} is missing from the journal, which has later groups")]
    Gap {
        /// The sequence number of the missing group.
        missing: u64,
    },
    /// Chunks of the snapshot are missing.
    #[error("the snapshot has {found} chunks instead of {expected}")]
    Chunks {
        /// The number of chunks that the head names.
        expected: usize,
        /// The number of chunks that were read.
        found: usize,
    },
}

/// The content of a cell, rebuilt from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The state after the last group in the store.
    pub state: State,
    /// The sequence number of the next group.
    pub next_seq: u64,
    /// The number of groups written since the last snapshot.
    pub groups_since_snapshot: u64,
}

impl State {
    /// Returns the state as chunks of a snapshot.
    #[must_use]
    pub fn to_chunks(&self) -> Vec<Vec<u8>> {
        let mut chunks = ChunkWriter::default();
        for (name, job) in &self.jobs {
            self.write_job(&mut chunks, name, job);
        }
        for (vm, until) in &self.quarantined_until {
            chunks.push(&SnapshotLine::Quarantined(vm.clone(), *until));
        }
        for sum in self.ledger.sums() {
            chunks.push(&SnapshotLine::Sum(sum));
        }
        for event in self.ledger.recent_events() {
            chunks.push(&SnapshotLine::Event(event.clone()));
        }
        chunks.push(&SnapshotLine::KnownFrom(self.ledger.known_from()));
        chunks.chunks
    }

    fn write_job(&self, chunks: &mut ChunkWriter, name: &JobName, job: &Job) {
        let head = Job {
            tasks: std::collections::BTreeMap::new(),
            ..job.clone()
        };
        chunks.push(&SnapshotLine::Job(name.clone(), head));
        let tasks: Vec<(u32, crate::Task)> = job
            .tasks
            .iter()
            .map(|(index, task)| (*index, task.clone()))
            .collect();
        for part in tasks.chunks(TASKS_PER_LINE) {
            chunks.push(&SnapshotLine::Tasks(name.clone(), part.to_vec()));
        }
    }

    fn apply_line(&mut self, line: SnapshotLine) {
        match line {
            SnapshotLine::Job(name, job) => {
                self.jobs.insert(name, job);
            }
            SnapshotLine::Tasks(name, tasks) => {
                if let Some(job) = self.jobs.get_mut(&name) {
                    job.tasks.extend(tasks);
                }
            }
            SnapshotLine::Quarantined(vm, until) => {
                self.quarantined_until.insert(vm, until);
            }
            SnapshotLine::Sum(sum) => self.ledger.push_sum(sum),
            SnapshotLine::Event(event) => self.ledger.push(event),
            SnapshotLine::KnownFrom(time) => self.ledger.set_known_from(time),
        }
    }
}

/// Rebuilds the state from a snapshot and the groups written after it.
///
/// `chunks` and `groups` are pairs of key and value, sorted by key.
///
/// # Errors
///
/// Returns a [`RecoverError`] if a value is unreadable or missing. The cell then
/// stays without an owner, since an owner with a wrong state could run tasks twice.
pub fn recover(
    head: Option<SnapshotHead>,
    chunks: &[(String, Vec<u8>)],
    groups: &[(String, Vec<u8>)],
) -> Result<Recovered, RecoverError> {
    let mut state = State::default();
    let expected = head.map_or(0, |head| head.chunks);
    if chunks.len() != expected {
        return Err(RecoverError::Chunks {
            expected,
            found: chunks.len(),
        });
    }
    for (key, value) in chunks {
        read_chunk(&mut state, key, value)?;
    }
    let mut recovered = Recovered {
        state,
        next_seq: head.map_or(1, |head| head.seq + 1),
        groups_since_snapshot: 0,
    };
    for (key, value) in groups {
        let group: Group = parse(key, value)?;
        if group.seq < recovered.next_seq {
            continue;
        }
        if group.seq > recovered.next_seq {
            return Err(RecoverError::Gap {
                missing: recovered.next_seq,
            });
        }
        recovered.state.apply_group(&group);
        recovered.next_seq += 1;
        recovered.groups_since_snapshot += 1;
    }
    Ok(recovered)
}

fn read_chunk(state: &mut State, key: &str, value: &[u8]) -> Result<(), RecoverError> {
    for line in value.split(|byte| *byte == b'\n') {
        if line.is_empty() {
            continue;
        }
        state.apply_line(parse(key, line)?);
    }
    Ok(())
}

fn parse<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, RecoverError> {
    serde_json::from_slice(value).map_err(|error| RecoverError::Unreadable {
        key: key.to_owned(),
        reason: error.to_string(),
    })
}

#[derive(Default)]
struct ChunkWriter {
    chunks: Vec<Vec<u8>>,
}

impl ChunkWriter {
    fn push(&mut self, line: &SnapshotLine) {
        // This can't fail: no map in these types has keys that JSON can't represent.
        let line = serde_json::to_vec(line).unwrap_or_default();
        let is_full = |chunk: &Vec<u8>| chunk.len() + line.len() > MAX_CHUNK_BYTES;
        if self.chunks.last().is_none_or(is_full) {
            self.chunks.push(Vec::new());
        }
        if let Some(chunk) = self.chunks.last_mut() {
            chunk.extend_from_slice(&line);
            chunk.push(b'\n');
        }
    }
}
