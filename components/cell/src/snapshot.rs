//! Folding the journal of a cell into snapshots, and recovery from them.
//!
//! A snapshot is a list of facts in chunks well below the store's largest
//! value. It counts once the head key names it; the transaction that writes the
//! head also deletes the groups that it replaces.

use kernel::{Epoch, Event, JobName, Sum, Time, VmName};
use serde::{Deserialize, Serialize};

use crate::{Group, Job, State};

/// The size at which a chunk is closed, in bytes; the store takes 1 MB.
pub const MAX_CHUNK_BYTES: usize = 400_000;

/// Which snapshot counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHead {
    /// The term in which its last group was written.
    pub epoch: Epoch,
    /// Its last group.
    pub seq: u64,
    /// How many chunks it has.
    pub chunks: usize,
}

/// One line of a snapshot.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Line {
    Job(JobName, Job),
    /// More tasks of the job named before, for jobs too large for one chunk.
    Tasks(JobName, Vec<(u32, crate::Task)>),
    Quarantined(VmName, Time),
    Sum(Sum),
    Event(Event),
    KnownFrom(Time),
}

/// The most tasks written in one line.
const TASKS_PER_LINE: usize = 500;

/// Why a cell can't be recovered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoverError {
    /// A value in the store is not what this version writes.
    #[error("{key} can't be read: {reason}; keep it and start a version that can")]
    Unreadable {
        /// The key.
        key: String,
        /// What is wrong.
        reason: String,
    },
    /// A group is missing.
    #[error("the journal lacks group {missing}, but holds later ones")]
    Gap {
        /// The number of the group.
        missing: u64,
    },
    /// Chunks of the snapshot are missing.
    #[error("the snapshot has {found} chunks instead of {expected}")]
    Chunks {
        /// How many the head names.
        expected: usize,
        /// How many there are.
        found: usize,
    },
}

/// What the store holds of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The state after the last group.
    pub state: State,
    /// The number of the next group.
    pub next_seq: u64,
    /// How many groups were written since the last snapshot.
    pub groups_since_snapshot: u64,
}

impl State {
    /// The state as chunks of a snapshot.
    #[must_use]
    pub fn to_chunks(&self) -> Vec<Vec<u8>> {
        let mut chunks = Chunks::default();
        for (name, job) in &self.jobs {
            self.write_job(&mut chunks, name, job);
        }
        for (vm, until) in &self.quarantined {
            chunks.push(&Line::Quarantined(vm.clone(), *until));
        }
        for sum in self.ledger.sums() {
            chunks.push(&Line::Sum(sum));
        }
        for event in self.ledger.recent_events() {
            chunks.push(&Line::Event(event.clone()));
        }
        chunks.push(&Line::KnownFrom(self.ledger.known_from()));
        chunks.done
    }

    fn write_job(&self, chunks: &mut Chunks, name: &JobName, job: &Job) {
        let head = Job {
            tasks: std::collections::BTreeMap::new(),
            ..job.clone()
        };
        chunks.push(&Line::Job(name.clone(), head));
        let tasks: Vec<(u32, crate::Task)> = job
            .tasks
            .iter()
            .map(|(index, task)| (*index, task.clone()))
            .collect();
        for part in tasks.chunks(TASKS_PER_LINE) {
            chunks.push(&Line::Tasks(name.clone(), part.to_vec()));
        }
    }

    fn read_line(&mut self, line: Line) {
        match line {
            Line::Job(name, job) => {
                self.jobs.insert(name, job);
            }
            Line::Tasks(name, tasks) => {
                if let Some(job) = self.jobs.get_mut(&name) {
                    job.tasks.extend(tasks);
                }
            }
            Line::Quarantined(vm, until) => {
                self.quarantined.insert(vm, until);
            }
            Line::Sum(sum) => self.ledger.push_sum(sum),
            Line::Event(event) => self.ledger.push(event),
            Line::KnownFrom(time) => self.ledger.set_known_from(time),
        }
    }
}

/// Rebuilds the state from a snapshot and the groups written after it.
///
/// `chunks` and `groups` are keys with their values in the order of the keys.
///
/// # Errors
///
/// Returns a [`RecoverError`] if a value is unreadable or missing; the cell
/// then stays without an owner, since work could be doubled.
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
        state.read_line(parse(key, line)?);
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
struct Chunks {
    done: Vec<Vec<u8>>,
}

impl Chunks {
    fn push(&mut self, line: &Line) {
        // Our own types always serialise: no map has keys that JSON can't hold.
        let line = serde_json::to_vec(line).unwrap_or_default();
        let full = |chunk: &Vec<u8>| chunk.len() + line.len() > MAX_CHUNK_BYTES;
        if self.done.last().is_none_or(full) {
            self.done.push(Vec::new());
        }
        if let Some(chunk) = self.done.last_mut() {
            chunk.extend_from_slice(&line);
            chunk.push(b'\n');
        }
    }
}
