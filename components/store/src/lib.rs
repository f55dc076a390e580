//! Client interface to the platform's key-value service.
//!
//! All state that must outlive a process is read and written through [`Store`].
//! The service meters every call and every open watch, so each method maps to
//! exactly one call. See `docs/STORE.md`.

use std::time::Duration;

use async_trait::async_trait;
use kernel::{BootInstant, Verdict};

pub mod backoff;
pub mod budget;
pub mod etcd;
pub mod follow;
pub mod keys;

pub use budget::BudgetedStore;
pub use etcd::EtcdStore;
pub use follow::{RangeFollower, RangeUpdate};

/// The maximum length of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The store-wide revision number, which grows with every change.
pub type StoreRevision = i64;

/// The identifier of a lease granted by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId(pub i64);

/// A stored key with its value and metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key; the system uses only UTF-8 keys.
    pub key: String,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
    /// The revision that created the key.
    pub created: StoreRevision,
    /// The revision of the key's last change.
    pub modified: StoreRevision,
    /// The lease whose end deletes the key; `None` if the key is not leased.
    pub lease: Option<LeaseId>,
}

/// The half-open range of keys from `from` to `until`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The inclusive start.
    pub from: String,
    /// The exclusive end.
    pub until: String,
}

impl KeyRange {
    /// Returns the range that contains only `key`.
    #[must_use]
    pub fn one(key: impl Into<String>) -> Self {
        let from = key.into();
        let until = format!("{from}\0");
        Self { from, until }
    }

    /// Returns the range of all keys that start with `prefix`, which must end in an
    /// ASCII character.
    #[must_use]
    pub fn prefix(prefix: impl Into<String>) -> Self {
        let from = prefix.into();
        let mut until = from.clone();
        if let Some(last) = until.pop() {
            until.push(char::from(last as u8 + 1));
        }
        Self { from, until }
    }

    /// Returns whether `key` lies in the range.
    #[must_use]
    pub fn contains(&self, key: &str) -> bool {
        self.from.as_str() <= key && key < self.until.as_str()
    }
}

/// The result of a range read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeReply {
    /// The keys that were found, in ascending order.
    pub kvs: Vec<KeyValue>,
    /// The store revision at which the range was read.
    pub revision: StoreRevision,
    /// Whether the range holds more keys than the limit allowed.
    pub more: bool,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key exists.
    Present(String),
    /// The key's value equals the given one.
    ValueIs(String, Vec<u8>),
    /// The key was last changed at the given revision.
    ModifiedAt(String, StoreRevision),
}

/// A change within a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// Its new value, at most 1 MB.
        value: Vec<u8>,
        /// The lease whose end deletes the key; `None` stores it without a lease.
        lease: Option<LeaseId>,
    },
    /// Deletes all keys of a range.
    Delete(KeyRange),
}

impl Op {
    /// Returns an operation that writes a key without a lease.
    #[must_use]
    pub fn put(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
            lease: None,
        }
    }
}

/// An atomic transaction: applies all changes if every condition holds, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions, all of which must hold.
    pub compares: Vec<Compare>,
    /// The changes to apply if the conditions hold.
    pub ops: Vec<Op>,
    /// Ranges to read atomically if a condition does not hold.
    pub otherwise: Vec<KeyRange>,
}

/// The result of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether the conditions held and the changes were applied.
    pub succeeded: bool,
    /// The store revision after the transaction.
    pub revision: StoreRevision,
    /// The contents of the ranges in [`Txn::otherwise`], in the same order.
    pub otherwise: Vec<Vec<KeyValue>>,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(KeyValue),
    /// A key was deleted at the given revision.
    Deleted(String, StoreRevision),
}

/// What the watcher of a range needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Every change, in order.
    EveryChange,
    /// The newest content, and soon the report that there are no further changes. Changes
    /// that take more bytes than the content may be reported as [`WatchItem::Compacted`].
    Newest {
        /// The length of the values that the watcher knows.
        content_bytes: usize,
    },
}

/// An item delivered by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchItem {
    /// The changes up to and including the given revision.
    Changes(StoreRevision, Vec<Change>),
    /// There are no further changes up to the given revision, which was the newest one at
    /// some time after the given instant. Only some services report this.
    Progress(StoreRevision, BootInstant),
    /// The requested start revision was compacted; the watcher must read the
    /// range again and watch from the revision of that read.
    Compacted,
}

/// An open watch; dropping the receiver closes it.
///
/// An error or the end of the channel means that the connection was lost. To
/// resume, open a new watch from the last received revision plus one.
pub type Watch = async_channel::Receiver<Result<WatchItem, StoreError>>;

/// The failure of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct StoreError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// The cause of the failure.
    pub message: String,
}

impl StoreError {
    /// Returns the error of a call that did not take effect.
    #[must_use]
    pub fn not_run(message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            message: message.into(),
        }
    }

    /// Returns the error of a call that may have taken effect.
    #[must_use]
    pub fn may_have_run(message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            message: message.into(),
        }
    }
}

/// A client of the platform's key-value service.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Reads the newest committed values of up to `limit` keys of a range, or of
    /// all its keys if `limit` is 0.
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError>;

    /// Runs a transaction atomically.
    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError>;

    /// Grants a lease that expires after `ttl` unless it is renewed.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; returns whether it still existed.
    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Revokes a lease and deletes the keys attached to it.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Watches a range for changes, starting with the revision `from`.
    async fn watch(
        &self,
        range: KeyRange,
        from: StoreRevision,
        delivery: Delivery,
    ) -> Result<Watch, StoreError>;
}
