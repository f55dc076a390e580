//! Records on their way to the journal.

use std::collections::{BTreeMap, VecDeque};

use kernel::{Revision, TaskRun, Time};

use super::{Action, Owner};
use crate::{Group, Record, Recovered};

/// The size of a group at which it is closed, in bytes; the store takes 1 MB.
const GROUP_BYTES: usize = 500_000;

/// After how many groups the journal is folded into a snapshot.
const GROUPS_PER_SNAPSHOT: u64 = 128;

/// Counts the records of a term; a record is durable once the group that
/// holds it is.
pub(super) type Ordinal = u64;

#[derive(Debug)]
struct Pending {
    record: Option<Record>,
    revision: Revision,
    bytes: usize,
    deletes: Vec<String>,
    puts: Vec<(String, Vec<u8>)>,
}

#[derive(Debug)]
pub(super) struct Journal {
    pending: VecDeque<Pending>,
    pushed: Ordinal,
    in_flight: Option<Ordinal>,
    pub(super) durable: Ordinal,
    next_seq: u64,
    groups_since_snapshot: u64,
    last_group: Time,
    /// Ends that are not durable yet; their workers must not forget them.
    unsettled: BTreeMap<TaskRun, Ordinal>,
    /// Keys of the inbox that are taken in but not deleted yet.
    admitted: BTreeMap<String, Ordinal>,
}

impl Journal {
    pub(super) fn new(recovered: &Recovered) -> Self {
        Self {
            pending: VecDeque::new(),
            pushed: 0,
            in_flight: None,
            durable: 0,
            next_seq: recovered.next_seq.max(1),
            groups_since_snapshot: recovered.groups_since_snapshot,
            last_group: Time::ZERO,
            unsettled: BTreeMap::new(),
            admitted: BTreeMap::new(),
        }
    }

    pub(super) fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    pub(super) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// The number that the next record gets.
    pub(super) const fn next_ordinal(&self) -> Ordinal {
        self.pushed + 1
    }

    /// Whether a key of the inbox is news; it is deleted with the next record.
    pub(super) fn admit(&mut self, key: &str) -> bool {
        let next = self.next_ordinal();
        self.admitted.insert(key.to_owned(), next).is_none()
    }

    /// Remembers that the end of `run` is durable only with `ordinal`.
    pub(super) fn await_end(&mut self, run: TaskRun, ordinal: Ordinal) {
        self.unsettled.insert(run, ordinal);
    }

    /// Whether an end of `run` is on its way to the journal.
    pub(super) fn awaits_end(&self, run: &TaskRun) -> bool {
        self.unsettled.contains_key(run)
    }

    fn push(&mut self, pending: Pending) -> Ordinal {
        self.pending.push_back(pending);
        self.pushed += 1;
        self.pushed
    }
}

impl Owner {
    /// Makes a change and queues it for the journal; nothing if it does not fit.
    pub(super) fn record(&mut self, record: Record) -> Option<Ordinal> {
        self.record_with(record, Vec::new(), Vec::new())
    }

    /// As [`Owner::record`], with keys that the same transaction changes.
    pub(super) fn record_with(
        &mut self,
        record: Record,
        deletes: Vec<String>,
        puts: Vec<(String, Vec<u8>)>,
    ) -> Option<Ordinal> {
        if !self.state.apply(self.revision, &record) {
            return None;
        }
        let bytes = serde_json::to_vec(&record).map_or(0, |json| json.len())
            + puts.iter().map(|(_, value)| value.len()).sum::<usize>();
        Some(self.journal.push(Pending {
            record: Some(record),
            revision: self.revision,
            bytes,
            deletes,
            puts,
        }))
    }

    /// Deletes a key together with the next group, without a record.
    pub(super) fn delete_key(&mut self, key: String) {
        self.journal.push(Pending {
            record: None,
            revision: self.revision,
            bytes: 0,
            deletes: vec![key],
            puts: Vec::new(),
        });
    }

    pub(super) fn is_durable(&self, ordinal: Ordinal) -> bool {
        ordinal <= self.journal.durable
    }

    pub(super) fn take_committed(&mut self, sent: Time) {
        self.ownership_proved = self.ownership_proved.max(sent);
        let Some(through) = self.journal.in_flight.take() else {
            return;
        };
        self.journal.durable = through;
        self.journal.unsettled.retain(|_, end| *end > through);
        self.journal.admitted.retain(|_, taken| *taken > through);
    }

    /// Closes a group if one is due and none is in flight.
    pub(super) fn flush(&mut self, now: Time) -> Option<Action> {
        if self.stopping && self.journal.is_settled() {
            self.ended = true;
            return Some(Action::HandOver);
        }
        let journal = &mut self.journal;
        let due = self.stopping || (journal.last_group + self.timing.group_interval).passed(now);
        if journal.in_flight.is_some() || journal.pending.is_empty() || !due {
            return None;
        }
        let group = self.close_group();
        self.journal.last_group = now;
        let snapshot = self.fold();
        Some(Action::Commit { group, snapshot })
    }

    fn close_group(&mut self) -> Group {
        let journal = &mut self.journal;
        let mut group = Group {
            epoch: self.epoch,
            seq: journal.next_seq,
            revision: journal
                .pending
                .front()
                .map_or(self.revision, |first| first.revision),
            records: Vec::new(),
            deletes: Vec::new(),
            puts: Vec::new(),
        };
        let mut bytes = 0;
        while let Some(pending) = journal.pending.front() {
            let too_large = bytes + pending.bytes > GROUP_BYTES;
            let too_many = group.deletes.len() + group.puts.len() >= MAX_KEYS_PER_GROUP;
            let other = pending.revision != group.revision;
            if bytes > 0 && (too_large || too_many || other) {
                break;
            }
            bytes += pending.bytes.max(1);
            let Some(pending) = journal.pending.pop_front() else {
                break;
            };
            group.records.extend(pending.record);
            group.deletes.extend(pending.deletes);
            group.puts.extend(pending.puts);
        }
        let left = journal.pending.len() as u64;
        journal.in_flight = Some(journal.pushed - left);
        journal.next_seq += 1;
        journal.groups_since_snapshot += 1;
        group
    }

    fn fold(&mut self) -> Option<Vec<Vec<u8>>> {
        let journal = &mut self.journal;
        if journal.groups_since_snapshot < GROUPS_PER_SNAPSHOT || !journal.pending.is_empty() {
            return None;
        }
        journal.groups_since_snapshot = 0;
        Some(self.state.to_chunks())
    }
}

/// The most keys that one transaction changes beside its own; the store
/// commonly takes 128 changes.
const MAX_KEYS_PER_GROUP: usize = 100;
