//! A rate limit on the store calls of one process.
//!
//! The call rate that the service allows grows more slowly than the fleet, so a
//! faulty process must not use up the share of the others.

use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::WeakReceiver;
use async_trait::async_trait;
use kernel::{Clock, Time};

use crate::{
    Delivery, KeyRange, LeaseId, RangeReply, Store, StoreError, StoreRevision, Txn, TxnReply,
    Watch, WatchItem,
};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket that holds the calls of one second.
///
/// The caller passes the time, so the bucket has no clock.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    interval_micros: u64,
    /// The time at which the bucket is full again if no further token is taken.
    full_at: Time,
}

impl TokenBucket {
    /// Returns a full bucket of `per_second` tokens, or of one token if that is 0.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            interval_micros: MICROS_PER_SECOND / u64::from(per_second.max(1)),
            full_at: Time::ZERO,
        }
    }

    /// Takes the token of one call and returns the earliest time for that call.
    pub fn take(&mut self, now: Time) -> Time {
        let interval = Duration::from_micros(self.interval_micros);
        self.full_at = self.full_at.max(now) + interval;
        let allowed_at = self.full_at - Duration::from_secs(1);
        allowed_at.max(now)
    }
}

/// The kind of a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read of a range.
    Range,
    /// A transaction.
    Txn,
    /// The grant of a lease.
    Grant,
    /// The renewal of a lease.
    KeepAlive,
    /// The revocation of a lease.
    Revoke,
    /// The opening of a watch.
    Watch,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Range,
        Self::Txn,
        Self::Grant,
        Self::KeepAlive,
        Self::Revoke,
        Self::Watch,
    ];

    /// Returns the value of the `call` label in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Txn => "txn",
            Self::Grant => "grant",
            Self::KeepAlive => "keep-alive",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
        }
    }

    /// Returns whether a call of this kind waits until a token is available.
    ///
    /// Renewals never wait, because a late renewal loses the lease and its keys.
    /// They are few and still take tokens, which delays later calls instead.
    const fn may_wait(self) -> bool {
        !matches!(self, Self::KeepAlive)
    }
}

#[derive(Debug, Default)]
struct Counters {
    calls: [AtomicU64; CallKind::ALL.len()],
    delayed: AtomicU64,
}

/// A [`Store`] that delays calls until its token bucket allows them.
pub struct BudgetedStore {
    store: Arc<dyn Store>,
    clock: Clock,
    bucket: Mutex<TokenBucket>,
    counters: Counters,
    watches: Mutex<Vec<WeakReceiver<Result<WatchItem, StoreError>>>>,
}

impl fmt::Debug for BudgetedStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BudgetedStore")
            .field("counters", &self.counters)
            .finish_non_exhaustive()
    }
}

impl BudgetedStore {
    /// Returns a store that limits the calls to `store` to a mean rate of `per_second`.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, clock: Clock, per_second: u32) -> Self {
        Self {
            store,
            clock,
            bucket: Mutex::new(TokenBucket::new(per_second)),
            counters: Counters::default(),
            watches: Mutex::default(),
        }
    }

    /// Returns the number of calls of a kind, including those that still wait.
    #[must_use]
    pub fn call_count(&self, call: CallKind) -> u64 {
        self.counters.calls[call as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of calls that were delayed.
    #[must_use]
    pub fn delayed_calls(&self) -> u64 {
        self.counters.delayed.load(Ordering::Relaxed)
    }

    /// Returns the number of open watches.
    #[must_use]
    pub fn open_watches(&self) -> usize {
        let mut watches = lock(&self.watches);
        watches.retain(is_open);
        watches.len()
    }

    async fn wait_for_token(&self, call: CallKind) {
        self.counters.calls[call as usize].fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        let allowed_at = lock(&self.bucket).take(now);
        if allowed_at.passed(now) || !call.may_wait() {
            return;
        }
        self.counters.delayed.fetch_add(1, Ordering::Relaxed);
        smol::Timer::at(self.clock.instant(allowed_at)).await;
    }
}

fn is_open(watch: &WeakReceiver<Result<WatchItem, StoreError>>) -> bool {
    watch.upgrade().is_some_and(|watch| !watch.is_closed())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[async_trait]
impl Store for BudgetedStore {
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError> {
        self.wait_for_token(CallKind::Range).await;
        self.store.range(range, limit).await
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        self.wait_for_token(CallKind::Txn).await;
        self.store.txn(txn).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.wait_for_token(CallKind::Grant).await;
        self.store.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.wait_for_token(CallKind::KeepAlive).await;
        self.store.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.wait_for_token(CallKind::Revoke).await;
        self.store.revoke(lease).await
    }

    async fn watch(
        &self,
        range: KeyRange,
        from: StoreRevision,
        delivery: Delivery,
    ) -> Result<Watch, StoreError> {
        self.wait_for_token(CallKind::Watch).await;
        let watch = self.store.watch(range, from, delivery).await?;
        let mut watches = lock(&self.watches);
        watches.retain(is_open);
        watches.push(watch.downgrade());
        drop(watches);
        Ok(watch)
    }
}
