//! State machine of the stand-in store.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kernel::{BootInstant, Time};
use store::{
    Change, Compare, KeyRange, KeyValue, LeaseId, MAX_VALUE_BYTES, Op, RangeReply, StoreError,
    StoreRevision, Txn, TxnReply, Watch, WatchItem,
};

type WatchSender = async_channel::Sender<Result<WatchItem, StoreError>>;

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Time,
    keys: BTreeSet<String>,
}

#[derive(Debug)]
struct OpenWatch {
    range: KeyRange,
    tx: WatchSender,
}

/// Keys, leases, the history of changes and the open watches.
#[derive(Debug, Default)]
pub struct State {
    revision: StoreRevision,
    compacted_until: StoreRevision,
    keys: BTreeMap<String, KeyValue>,
    history: BTreeMap<StoreRevision, Vec<Change>>,
    leases: BTreeMap<LeaseId, Lease>,
    last_lease: i64,
    watches: Vec<OpenWatch>,
}

/// Returns the key of an operation, the first key if it deletes a range.
pub(super) fn key_of(op: &Op) -> &str {
    match op {
        Op::Put { key, .. } => key,
        Op::Delete(range) => &range.from,
    }
}

impl State {
    /// Reads up to `limit` keys of a range, all keys if `limit` is 0.
    #[must_use]
    pub fn range(&self, range: &KeyRange, limit: i64) -> RangeReply {
        let max_keys = match usize::try_from(limit) {
            Ok(limit) if limit > 0 => limit,
            _ => usize::MAX,
        };
        let mut kvs: Vec<KeyValue> = self
            .keys_in(range)
            .take(max_keys.saturating_add(1))
            .collect();
        let more = kvs.len() > max_keys;
        kvs.truncate(max_keys);
        RangeReply {
            kvs,
            revision: self.revision,
            more,
        }
    }

    fn keys_in(&self, range: &KeyRange) -> impl Iterator<Item = KeyValue> {
        let bounds = range.from.clone()..range.until.clone().max(range.from.clone());
        self.keys.range(bounds).map(|(_, kv)| kv.clone())
    }

    /// Applies all operations of `txn` if its conditions hold.
    ///
    /// # Errors
    ///
    /// Returns an error, without any change, if a value is too large or a lease does not
    /// exist.
    pub fn txn(&mut self, txn: &Txn) -> Result<TxnReply, StoreError> {
        self.check_ops(&txn.ops)?;
        if !txn.compares.iter().all(|compare| self.holds(compare)) {
            let otherwise = txn.otherwise.iter();
            return Ok(TxnReply {
                succeeded: false,
                revision: self.revision,
                otherwise: otherwise
                    .map(|range| self.keys_in(range).collect())
                    .collect(),
            });
        }
        self.apply(&txn.ops);
        Ok(TxnReply {
            succeeded: true,
            revision: self.revision,
            otherwise: Vec::new(),
        })
    }

    fn check_ops(&self, ops: &[Op]) -> Result<(), StoreError> {
        for op in ops {
            let Op::Put { key, value, lease } = op else {
                continue;
            };
            if value.len() > MAX_VALUE_BYTES {
                return Err(StoreError::not_run(format!(
                    "the value of {key} is too large"
                )));
            }
            if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                return Err(StoreError::not_run(format!(
                    "the lease of {key} does not exist"
                )));
            }
        }
        Ok(())
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Absent(key) => !self.keys.contains_key(key),
            Compare::Present(key) => self.keys.contains_key(key),
            Compare::ValueIs(key, value) => self.keys.get(key).is_some_and(|kv| &kv.value == value),
            Compare::ModifiedAt(key, revision) => {
                self.keys.get(key).map_or(0, |kv| kv.modified) == *revision
            }
        }
    }

    fn apply(&mut self, ops: &[Op]) {
        let at = self.revision + 1;
        let mut changes = Vec::new();
        for op in ops {
            match op {
                Op::Put { key, value, lease } => changes.push(self.put(at, key, value, *lease)),
                Op::Delete(range) => {
                    let keys: Vec<String> = self.keys_in(range).map(|kv| kv.key).collect();
                    changes.extend(keys.into_iter().filter_map(|key| self.delete(at, key)));
                }
            }
        }
        self.commit(changes);
    }

    fn put(
        &mut self,
        at: StoreRevision,
        key: &str,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Change {
        let previous = self.keys.get(key);
        let created = previous.map_or(at, |kv| kv.created);
        let old_lease = previous.and_then(|kv| kv.lease);
        if let Some(old) = old_lease.and_then(|lease| self.leases.get_mut(&lease)) {
            old.keys.remove(key);
        }
        if let Some(new) = lease.and_then(|lease| self.leases.get_mut(&lease)) {
            new.keys.insert(key.to_owned());
        }
        let kv = KeyValue {
            key: key.to_owned(),
            value: value.to_vec(),
            created,
            modified: at,
            lease,
        };
        self.keys.insert(key.to_owned(), kv.clone());
        Change::Put(kv)
    }

    fn delete(&mut self, at: StoreRevision, key: String) -> Option<Change> {
        let removed = self.keys.remove(&key)?;
        if let Some(lease) = removed.lease.and_then(|lease| self.leases.get_mut(&lease)) {
            lease.keys.remove(&key);
        }
        Some(Change::Deleted(key, at))
    }

    /// Records changes as one new revision and sends them to the watches.
    fn commit(&mut self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.revision += 1;
        self.watches.retain(|watch| {
            let matching = changes_in_range(&watch.range, &changes);
            if matching.is_empty() {
                return !watch.tx.is_closed();
            }
            let item = WatchItem::Changes(self.revision, matching);
            watch.tx.try_send(Ok(item)).is_ok()
        });
        self.history.insert(self.revision, changes);
    }

    /// Grants a lease that expires `ttl` after `now` or its last renewal.
    pub fn grant(&mut self, now: Time, ttl: Duration) -> LeaseId {
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        let lease = Lease {
            ttl,
            expires_at: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease. Returns whether it exists.
    pub fn keep_alive(&mut self, now: Time, id: LeaseId) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Ends a lease and deletes its keys.
    pub fn revoke(&mut self, id: LeaseId) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        let at = self.revision + 1;
        let keys = lease.keys.into_iter();
        let changes = keys.filter_map(|key| self.delete(at, key)).collect();
        self.commit(changes);
    }

    /// Ends all leases that have expired at `now`.
    pub fn expire(&mut self, now: Time) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at.passed(now))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke(id);
        }
    }

    /// Watches a range from revision `from` on; 0 stands for the next change.
    pub fn watch(&mut self, range: KeyRange, from: StoreRevision) -> Watch {
        let (tx, rx) = async_channel::unbounded();
        if from != 0 && from <= self.compacted_until {
            let _ = tx.try_send(Ok(WatchItem::Compacted));
            return rx;
        }
        let missed = self.history.range(from.max(1)..).filter(|_| from != 0);
        for (revision, changes) in missed {
            let matching = changes_in_range(&range, changes);
            if matching.is_empty() {
                continue;
            }
            let _ = tx.try_send(Ok(WatchItem::Changes(*revision, matching)));
        }
        self.watches.push(OpenWatch { range, tx });
        rx
    }

    /// Ends every open watch with an error.
    pub fn disconnect_watches(&mut self) {
        for watch in self.watches.drain(..) {
            let lost = StoreError::not_run("the connection was lost");
            let _ = watch.tx.try_send(Err(lost));
        }
    }

    /// Tells the open watches that there are no further changes at `now`.
    pub fn report_progress(&mut self, now: BootInstant) {
        let item = WatchItem::Progress(self.revision, now);
        self.watches
            .retain(|watch| watch.tx.try_send(Ok(item.clone())).is_ok());
    }

    /// Removes the history of changes up to now.
    pub fn compact(&mut self) {
        self.compacted_until = self.revision;
        self.history.clear();
    }

    /// Returns the number of open watches.
    pub fn open_watches(&mut self) -> u64 {
        self.watches.retain(|watch| !watch.tx.is_closed());
        self.watches.len() as u64
    }
}

fn changes_in_range(range: &KeyRange, changes: &[Change]) -> Vec<Change> {
    let concerns = |change: &&Change| match change {
        Change::Put(kv) => range.contains(&kv.key),
        Change::Deleted(key, _) => range.contains(key),
    };
    changes.iter().filter(concerns).cloned().collect()
}
