//! The other entries: discovered through the store and remembered without it.
//!
//! Each entry keeps one leased key. An entry without a key is no longer preferred
//! as the owner of cells. It stays known for a while for exchanges of updates,
//! since its key also expires when only the store is unreachable.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use kernel::{Clock, EntryName, Incarnation, Time};
use serde::{Deserialize, Serialize};
use store::{
    Change, KeyRange, KeyValue, LeaseId, Op, Store, StoreError, Txn,
    follow::{RangeFollower, RangeUpdate},
    keys,
};

/// How long an entry stays known after its key is gone.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// The minimum time between two attempts to get a lease.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// How many times the lease is renewed within its TTL.
const RENEWALS_PER_LEASE: u32 = 4;

/// The value of an entry's key in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// The entry's name.
    pub name: EntryName,
    /// The incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// The address where the entry accepts RPCs from agents and other entries.
    pub system: SocketAddr,
    /// The address where the entry accepts operators' requests.
    pub operators: SocketAddr,
}

#[derive(Clone, Debug)]
struct KnownEntry {
    record: EntryRecord,
    /// When to forget the entry; `None` while its key exists.
    forget_at: Option<Time>,
}

/// The entries that this one knows.
#[derive(Debug)]
pub struct Peers {
    own: EntryRecord,
    clock: Clock,
    known: Mutex<BTreeMap<EntryName, KnownEntry>>,
}

impl Peers {
    /// Creates the peers of the entry `own`; no other entry is known yet.
    #[must_use]
    pub fn new(own: EntryRecord, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            own,
            clock,
            known: Mutex::default(),
        })
    }

    /// Returns the record of this entry.
    #[must_use]
    pub const fn own_record(&self) -> &EntryRecord {
        &self.own
    }

    fn with_known<T>(&self, f: impl FnOnce(&mut BTreeMap<EntryName, KnownEntry>) -> T) -> T {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        known.retain(|_, entry| entry.forget_at.is_none_or(|at| !at.passed(now)));
        f(&mut known)
    }

    /// Returns the entries whose keys exist and this one, in the order of names.
    ///
    /// While the store is unreachable, the keys are those of the last update.
    #[must_use]
    pub fn live_entries(&self) -> Vec<EntryRecord> {
        let mut live: Vec<EntryRecord> = self.with_known(|known| {
            known
                .values()
                .filter(|entry| entry.forget_at.is_none() && entry.record.name != self.own.name)
                .map(|entry| entry.record.clone())
                .collect()
        });
        live.push(self.own.clone());
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns the other entries, including those whose keys are gone.
    #[must_use]
    pub fn other_entries(&self) -> Vec<EntryRecord> {
        self.with_known(|known| {
            known
                .values()
                .filter(|entry| entry.record.name != self.own.name)
                .map(|entry| entry.record.clone())
                .collect()
        })
    }

    /// Returns the addresses to which agents can send heartbeats.
    #[must_use]
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        self.live_entries()
            .iter()
            .map(|entry| entry.system)
            .collect()
    }

    /// Follows the keys of entries forever.
    pub async fn follow_keys(self: Arc<Self>, store: Arc<dyn Store>) {
        let mut follower = RangeFollower::new(store, KeyRange::prefix(keys::ENTRIES));
        loop {
            match follower.next().await {
                RangeUpdate::Snapshot(_, kvs) => self.apply_snapshot(&kvs),
                RangeUpdate::Changes(_, changes) => self.apply_changes(changes),
            }
        }
    }

    fn apply_snapshot(&self, kvs: &[KeyValue]) {
        let forget_at = self.clock.now() + FORGET_AFTER;
        self.with_known(|known| {
            for entry in known.values_mut() {
                entry.forget_at.get_or_insert(forget_at);
            }
            for kv in kvs {
                record_entry(known, kv);
            }
        });
    }

    fn apply_changes(&self, changes: Vec<Change>) {
        let forget_at = self.clock.now() + FORGET_AFTER;
        self.with_known(|known| {
            for change in changes {
                match change {
                    Change::Put(kv) => record_entry(known, &kv),
                    Change::Deleted(key, _) => mark_key_missing(known, &key, forget_at),
                }
            }
        });
    }

    /// Keeps this entry's key in the store, forever.
    pub async fn register(self: Arc<Self>, store: Arc<dyn Store>, lease: Duration) {
        loop {
            if let Err(error) = self.maintain_key(&store, lease).await {
                tracing::warn!(%error, "failed to put this entry's key in the store; retrying");
            }
            smol::Timer::after(MIN_RETRY_INTERVAL).await;
        }
    }

    /// Puts the key and renews its lease until the lease has expired.
    ///
    /// A put whose reply is lost is repeated under a new lease, which replaces
    /// the old lease of the key.
    async fn maintain_key(&self, store: &Arc<dyn Store>, ttl: Duration) -> Result<(), StoreError> {
        let lease = store.grant(ttl).await?;
        self.put_key(store, lease).await?;
        loop {
            smol::Timer::after(ttl / RENEWALS_PER_LEASE).await;
            match store.keep_alive(lease).await {
                Ok(true) => {}
                Ok(false) => return Ok(()),
                Err(error) => tracing::warn!(%error, "failed to renew the entry's lease"),
            }
        }
    }

    async fn put_key(&self, store: &Arc<dyn Store>, lease: LeaseId) -> Result<(), StoreError> {
        let value = serde_json::to_vec(&self.own).unwrap_or_default();
        let txn = Txn {
            ops: vec![Op::Put {
                key: keys::entry(&self.own.name),
                value,
                lease: Some(lease),
            }],
            ..Txn::default()
        };
        store.txn(txn).await.map(drop)
    }

    /// Removes this entry's key, so that others take over at once.
    ///
    /// # Errors
    ///
    /// Returns the store's error; the key then stays until its lease expires.
    pub async fn unregister(&self, store: &dyn Store) -> Result<(), StoreError> {
        let txn = Txn {
            ops: vec![Op::Delete(KeyRange::one(keys::entry(&self.own.name)))],
            ..Txn::default()
        };
        store.txn(txn).await.map(drop)
    }
}

fn record_entry(known: &mut BTreeMap<EntryName, KnownEntry>, kv: &KeyValue) {
    let Ok(record) = serde_json::from_slice::<EntryRecord>(&kv.value) else {
        tracing::warn!(key = kv.key, "can't parse the value of an entry's key");
        return;
    };
    let entry = KnownEntry {
        record: record.clone(),
        forget_at: None,
    };
    known.insert(record.name, entry);
}

fn mark_key_missing(known: &mut BTreeMap<EntryName, KnownEntry>, key: &str, forget_at: Time) {
    let name = key.strip_prefix(keys::ENTRIES).unwrap_or_default();
    let Ok(name) = EntryName::new(name) else {
        return;
    };
    if let Some(entry) = known.get_mut(&name) {
        entry.forget_at.get_or_insert(forget_at);
    }
}
