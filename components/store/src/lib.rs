//! The edge to the platform's key-value service.
//!
//! Everything that must outlive a process goes through [`Store`]. The service
//! counts every call and every waiting watch, so the methods map one to one to
//! its calls. See `docs/STORE.md`.

use std::time::Duration;

use async_trait::async_trait;
use kernel::Verdict;

pub mod backoff;
pub mod budget;
pub mod etcd;
pub mod follow;
pub mod keys;

pub use budget::BudgetedStore;
pub use etcd::EtcdStore;
pub use follow::{RangeFollower, RangeUpdate};

/// The number of a change of the whole store.
pub type StoreRevision = i64;

/// A lease granted by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId(pub i64);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key, always text in our use.
    pub key: String,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
    /// The store's revision at the key's creation.
    pub created: StoreRevision,
    /// The store's revision at the key's last change.
    pub modified: StoreRevision,
    /// The lease that keeps the key, if any.
    pub lease: Option<LeaseId>,
}

/// Keys from `from` up to but without `until`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The first key.
    pub from: String,
    /// The end, left out of the range.
    pub until: String,
}

impl KeyRange {
    /// Exactly one key.
    #[must_use]
    pub fn one(key: impl Into<String>) -> Self {
        let from = key.into();
        let until = format!("{from}\0");
        Self { from, until }
    }

    /// All keys that start with `prefix`, which must end in an ASCII character.
    #[must_use]
    pub fn prefix(prefix: impl Into<String>) -> Self {
        let from = prefix.into();
        let mut until = from.clone();
        if let Some(last) = until.pop() {
            until.push(char::from(last as u8 + 1));
        }
        Self { from, until }
    }

    /// Whether `key` lies in the range.
    #[must_use]
    pub fn contains(&self, key: &str) -> bool {
        self.from.as_str() <= key && key < self.until.as_str()
    }
}

/// What a read of a range found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeReply {
    /// The keys in order.
    pub kvs: Vec<KeyValue>,
    /// The store's revision at the read.
    pub revision: StoreRevision,
    /// Whether the limit cut the answer off.
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
    /// The key was last changed at this revision.
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
        /// The lease that keeps it.
        lease: Option<LeaseId>,
    },
    /// Deletes a range of keys.
    Delete(KeyRange),
}

impl Op {
    /// Writes a key without a lease.
    #[must_use]
    pub fn put(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
            lease: None,
        }
    }
}

/// Changes that happen together if all conditions hold, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The changes.
    pub ops: Vec<Op>,
    /// Ranges to read in the same step if a condition does not hold.
    pub otherwise: Vec<KeyRange>,
}

/// The end of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether the conditions held and the changes were made.
    pub succeeded: bool,
    /// The store's revision after it.
    pub revision: StoreRevision,
    /// What the ranges of `otherwise` held, in their order.
    pub otherwise: Vec<Vec<KeyValue>>,
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(KeyValue),
    /// A key was deleted, at this revision.
    Deleted(String, StoreRevision),
}

/// What a watch delivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchItem {
    /// Changes up to and including this revision.
    Changes(StoreRevision, Vec<Change>),
    /// The revision to resume from is gone; read the range again, then watch
    /// from the revision of that read.
    Compacted,
}

/// A waiting watch; dropping it ends it.
///
/// An error or the end of the channel means that the connection was lost;
/// resume with a new watch from the last revision seen plus one.
pub type Watch = async_channel::Receiver<Result<WatchItem, StoreError>>;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct StoreError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// What went wrong.
    pub message: String,
}

impl StoreError {
    /// The call did not take effect.
    #[must_use]
    pub fn not_run(message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            message: message.into(),
        }
    }

    /// The call may have taken effect.
    #[must_use]
    pub fn may_have_run(message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            message: message.into(),
        }
    }
}

/// The platform's key-value service.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Reads up to `limit` keys of a range, all if `limit` is 0, with the
    /// newest committed values.
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError>;

    /// Makes all changes of a transaction or none.
    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError>;

    /// Grants a lease that lasts `ttl` without renewal.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; the answer is whether it still existed.
    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease and deletes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Watches a range from the given revision on.
    async fn watch(&self, range: KeyRange, from: StoreRevision) -> Result<Watch, StoreError>;
}
