//! The other entries: found through the store, remembered without it.
//!
//! Each entry keeps one leased key. An entry whose key is gone is no longer
//! preferred for cells, but stays known for a while as a place to exchange
//! news with, since its key also lapses while only the store is unreachable.

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

/// How long an entry without a key stays known.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// The least time between two tries to get a lease.
const RETRY: Duration = Duration::from_millis(300);
/// How many times the lease is renewed within its length.
const RENEWALS: u32 = 4;

/// What an entry says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Its name.
    pub name: EntryName,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Where it takes calls of the system's own processes.
    pub system: SocketAddr,
    /// Where it takes operators' requests.
    pub operators: SocketAddr,
}

#[derive(Clone, Debug)]
struct Known {
    record: EntryRecord,
    /// When to forget it, if its key is gone.
    forget_at: Option<Time>,
}

/// The entries that this one knows, itself included.
#[derive(Debug)]
pub struct Peers {
    own: EntryRecord,
    clock: Clock,
    known: Mutex<BTreeMap<EntryName, Known>>,
}

impl Peers {
    /// Knows only itself.
    #[must_use]
    pub fn new(own: EntryRecord, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            own,
            clock,
            known: Mutex::default(),
        })
    }

    /// What this entry says of itself.
    #[must_use]
    pub const fn own_record(&self) -> &EntryRecord {
        &self.own
    }

    fn with<T>(&self, f: impl FnOnce(&mut BTreeMap<EntryName, Known>) -> T) -> T {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        known.retain(|_, entry| entry.forget_at.is_none_or(|at| !at.passed(now)));
        f(&mut known)
    }

    /// The entries whose keys exist, this one included, in the order of names.
    ///
    /// While the store is unreachable these are the last ones it named.
    #[must_use]
    pub fn live_entries(&self) -> Vec<EntryRecord> {
        let mut live: Vec<EntryRecord> = self.with(|known| {
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

    /// The other entries to exchange news with.
    #[must_use]
    pub fn other_entries(&self) -> Vec<EntryRecord> {
        self.with(|known| {
            known
                .values()
                .filter(|entry| entry.record.name != self.own.name)
                .map(|entry| entry.record.clone())
                .collect()
        })
    }

    /// Where agents can send heartbeats.
    #[must_use]
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        self.live_entries()
            .iter()
            .map(|entry| entry.system)
            .collect()
    }

    /// Follows the keys of entries forever.
    pub async fn follow_keys(self: Arc<Self>, store: Arc<dyn Store>) {
        let mut follow = RangeFollower::new(store, KeyRange::prefix(keys::ENTRIES));
        loop {
            match follow.next().await {
                RangeUpdate::Snapshot(_, kvs) => self.replace(&kvs),
                RangeUpdate::Changes(_, changes) => self.change(changes),
            }
        }
    }

    fn replace(&self, kvs: &[KeyValue]) {
        let forget_at = self.clock.now() + FORGET_AFTER;
        self.with(|known| {
            for entry in known.values_mut() {
                entry.forget_at.get_or_insert(forget_at);
            }
            for kv in kvs {
                learn(known, kv);
            }
        });
    }

    fn change(&self, changes: Vec<Change>) {
        let forget_at = self.clock.now() + FORGET_AFTER;
        self.with(|known| {
            for change in changes {
                match change {
                    Change::Put(kv) => learn(known, &kv),
                    Change::Deleted(key, _) => miss(known, &key, forget_at),
                }
            }
        });
    }

    /// Keeps this entry's own key in the store forever.
    pub async fn register(self: Arc<Self>, store: Arc<dyn Store>, lease: Duration) {
        loop {
            if let Err(error) = self.keep_key(&store, lease).await {
                tracing::warn!(%error, "can't keep the entry's key in the store");
            }
            smol::Timer::after(RETRY).await;
        }
    }

    /// Puts the key and renews its lease until that fails.
    ///
    /// A put whose answer is lost is repeated under a new lease, which takes
    /// the key over from the old one.
    async fn keep_key(&self, store: &Arc<dyn Store>, ttl: Duration) -> Result<(), StoreError> {
        let lease = store.grant(ttl).await?;
        self.put_key(store, lease).await?;
        loop {
            smol::Timer::after(ttl / RENEWALS).await;
            match store.keep_alive(lease).await {
                Ok(true) => {}
                Ok(false) => return Ok(()),
                Err(error) => tracing::warn!(%error, "can't renew the entry's lease"),
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
    /// Returns the store's error; the lease then ends the key a little later.
    pub async fn unregister(&self, store: &dyn Store) -> Result<(), StoreError> {
        let txn = Txn {
            ops: vec![Op::Delete(KeyRange::one(keys::entry(&self.own.name)))],
            ..Txn::default()
        };
        store.txn(txn).await.map(drop)
    }
}

fn learn(known: &mut BTreeMap<EntryName, Known>, kv: &KeyValue) {
    let Ok(record) = serde_json::from_slice::<EntryRecord>(&kv.value) else {
        tracing::warn!(key = kv.key, "an entry's key can't be read");
        return;
    };
    let entry = Known {
        record: record.clone(),
        forget_at: None,
    };
    known.insert(record.name, entry);
}

fn miss(known: &mut BTreeMap<EntryName, Known>, key: &str, forget_at: Time) {
    let name = key.strip_prefix(keys::ENTRIES).unwrap_or_default();
    let Ok(name) = EntryName::new(name) else {
        return;
    };
    if let Some(entry) = known.get_mut(&name) {
        entry.forget_at.get_or_insert(forget_at);
    }
}
