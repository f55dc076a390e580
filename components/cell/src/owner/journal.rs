//! Queue of records that wait to be written to the journal.

use std::collections::{BTreeMap, VecDeque};

use kernel::{Revision, TaskRun, Time};

use super::{Action, Owner};
use crate::{Group, Record, Recovered};

/// Size in bytes at which a group is closed; the store accepts values up to 1 MB.
const GROUP_BYTES: usize = 500_000;

/// Number of groups after which the journal is compacted into a snapshot.
const GROUPS_PER_SNAPSHOT: u64 = 128;

/// Position of a record in the sequence of a term's records, starting at 1. A
/// record is durable once the group that contains it is.
pub(super) type Ordinal = u64;

#[derive(Debug)]
struct PendingRecord {
    record: Option<Record>,
    revision: Revision,
    bytes: usize,
    deletes: Vec<String>,
    puts: Vec<(String, Vec<u8>)>,
}

#[derive(Debug)]
pub(super) struct Journal {
    pending: VecDeque<PendingRecord>,
    last_ordinal: Ordinal,
    in_flight: Option<Ordinal>,
    pub(super) durable: Ordinal,
    next_seq: u64,
    groups_since_snapshot: u64,
    last_group: Time,
    /// Ends that are not durable yet. Their agents must keep reporting them, so the
    /// owner does not acknowledge them.
    pending_ends: BTreeMap<TaskRun, Ordinal>,
    /// Inbox keys that were handled but are not deleted yet, with the record whose
    /// group deletes them.
    admitted: BTreeMap<String, Ordinal>,
}

impl Journal {
    pub(super) fn new(recovered: &Recovered) -> Self {
        Self {
            pending: VecDeque::new(),
            last_ordinal: 0,
            in_flight: None,
            durable: 0,
            next_seq: recovered.next_seq.max(1),
            groups_since_snapshot: recovered.groups_since_snapshot,
            last_group: Time::ZERO,
            pending_ends: BTreeMap::new(),
            admitted: BTreeMap::new(),
        }
    }

    pub(super) fn is_flushed(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    pub(super) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the ordinal that the next record of this journal gets.
    pub(super) const fn next_ordinal(&self) -> Ordinal {
        self.last_ordinal + 1
    }

    /// Marks an inbox key as handled, to be deleted with the next record. Returns
    /// whether the key was not marked before.
    pub(super) fn admit(&mut self, key: &str) -> bool {
        let next = self.next_ordinal();
        self.admitted.insert(key.to_owned(), next).is_none()
    }

    /// Notes that the end of `run` becomes durable with the record at `ordinal`.
    pub(super) fn add_pending_end(&mut self, run: TaskRun, ordinal: Ordinal) {
        self.pending_ends.insert(run, ordinal);
    }

    /// Returns whether an end of `run` is recorded but not durable yet.
    pub(super) fn has_pending_end(&self, run: &TaskRun) -> bool {
        self.pending_ends.contains_key(run)
    }

    fn push(&mut self, pending: PendingRecord) -> Ordinal {
        self.pending.push_back(pending);
        self.last_ordinal += 1;
        self.last_ordinal
    }
}

impl Owner {
    /// Applies a record to the state and queues it for the journal. Returns its
    /// position, or `None` if the record does not apply to the state.
    pub(super) fn record(&mut self, record: Record) -> Option<Ordinal> {
        self.record_with(record, Vec::new(), Vec::new())
    }

    /// Like [`Owner::record`], with keys that the same transaction deletes and
    /// writes.
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
        Some(self.journal.push(PendingRecord {
            record: Some(record),
            revision: self.revision,
            bytes,
            deletes,
            puts,
        }))
    }

    /// Queues the deletion of a key without a record.
    pub(super) fn delete_key(&mut self, key: String) {
        self.journal.push(PendingRecord {
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

    pub(super) fn handle_committed(&mut self, sent: Time) {
        self.ownership_proved = self.ownership_proved.max(sent);
        let Some(through) = self.journal.in_flight.take() else {
            return;
        };
        self.journal.durable = through;
        self.journal.pending_ends.retain(|_, end| *end > through);
        self.journal
            .admitted
            .retain(|_, ordinal| *ordinal > through);
    }

    /// Returns the next group to commit if one is due and none is in flight, or the
    /// handover once a stopping owner has written everything.
    pub(super) fn flush(&mut self, now: Time) -> Option<Action> {
        if self.stopping && self.journal.is_flushed() {
            self.ended = true;
            return Some(match self.earlier_leases_end.passed(now) {
                true => Action::HandOver,
                false => Action::Release,
            });
        }
        let journal = &mut self.journal;
        let due = self.stopping || (journal.last_group + self.timing.group_interval).passed(now);
        if journal.in_flight.is_some() || journal.pending.is_empty() || !due {
            return None;
        }
        let group = self.close_group();
        self.journal.last_group = now;
        let snapshot = self.compact();
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
            let other_revision = pending.revision != group.revision;
            if bytes > 0 && (too_large || too_many || other_revision) {
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
        let waiting = journal.pending.len() as u64;
        journal.in_flight = Some(journal.last_ordinal - waiting);
        journal.next_seq += 1;
        journal.groups_since_snapshot += 1;
        group
    }

    fn compact(&mut self) -> Option<Vec<Vec<u8>>> {
        let journal = &mut self.journal;
        if journal.groups_since_snapshot < GROUPS_PER_SNAPSHOT || !journal.pending.is_empty() {
            return None;
        }
        journal.groups_since_snapshot = 0;
        Some(self.state.to_chunks())
    }
}

/// Limit on the keys that a group deletes and writes besides its own; stores
/// commonly accept 128 operations in a transaction.
const MAX_KEYS_PER_GROUP: usize = 100;
