//! A bound on the calls that one process makes.
//!
//! The service's rates grow more slowly than the fleet, so a process that goes
//! wrong must not use up what the others need.

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
    KeyRange, LeaseId, RangeReply, Store, StoreError, StoreRevision, Txn, TxnReply, Watch,
    WatchItem,
};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket: plain state that is told the time.
///
/// It holds one second's worth of calls.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    interval_micros: u64,
    /// When the bucket would be full again if no further call came.
    full_at: Time,
}

impl TokenBucket {
    /// A full bucket of `per_second` calls, at least one.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            interval_micros: MICROS_PER_SECOND / u64::from(per_second.max(1)),
            full_at: Time::ZERO,
        }
    }

    /// Takes a call's token; the answer is when the call may be made.
    pub fn take(&mut self, now: Time) -> Time {
        let interval = Duration::from_micros(self.interval_micros);
        self.full_at = self.full_at.max(now) + interval;
        let earliest = self.full_at - Duration::from_secs(1);
        earliest.max(now)
    }
}

/// The kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read of a range.
    Range,
    /// A transaction.
    Txn,
    /// A lease asked for.
    Grant,
    /// A renewal of a lease.
    KeepAlive,
    /// A lease given back.
    Revoke,
    /// A watch opened.
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

    /// Its name in metrics.
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

    /// A lease that is renewed late is lost, and what it kept with it; the few
    /// renewals are paid for by the calls after them.
    const fn may_wait(self) -> bool {
        !matches!(self, Self::KeepAlive)
    }
}

#[derive(Debug, Default)]
struct Counters {
    calls: [AtomicU64; CallKind::ALL.len()],
    waited: AtomicU64,
}

/// A store whose calls wait until the budget allows them.
pub struct BudgetedStore {
    store: Arc<dyn Store>,
    clock: Clock,
    budget: Mutex<TokenBucket>,
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
    /// Bounds the calls to `store` to `per_second`.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, clock: Clock, per_second: u32) -> Self {
        Self {
            store,
            clock,
            budget: Mutex::new(TokenBucket::new(per_second)),
            counters: Counters::default(),
            watches: Mutex::default(),
        }
    }

    /// How many calls of a kind were made.
    #[must_use]
    pub fn call_count(&self, call: CallKind) -> u64 {
        self.counters.calls[call as usize].load(Ordering::Relaxed)
    }

    /// How many calls had to wait for their turn.
    #[must_use]
    pub fn delayed_calls(&self) -> u64 {
        self.counters.waited.load(Ordering::Relaxed)
    }

    /// How many watches wait now.
    #[must_use]
    pub fn open_watches(&self) -> usize {
        let mut watches = lock(&self.watches);
        watches.retain(waits);
        watches.len()
    }

    async fn turn(&self, call: CallKind) {
        self.counters.calls[call as usize].fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        let turn = lock(&self.budget).take(now);
        if turn.passed(now) || !call.may_wait() {
            return;
        }
        self.counters.waited.fetch_add(1, Ordering::Relaxed);
        smol::Timer::at(self.clock.instant(turn)).await;
    }
}

fn waits(watch: &WeakReceiver<Result<WatchItem, StoreError>>) -> bool {
    watch.upgrade().is_some_and(|watch| !watch.is_closed())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[async_trait]
impl Store for BudgetedStore {
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError> {
        self.turn(CallKind::Range).await;
        self.store.range(range, limit).await
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        self.turn(CallKind::Txn).await;
        self.store.txn(txn).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.turn(CallKind::Grant).await;
        self.store.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.turn(CallKind::KeepAlive).await;
        self.store.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.turn(CallKind::Revoke).await;
        self.store.revoke(lease).await
    }

    async fn watch(&self, range: KeyRange, from: StoreRevision) -> Result<Watch, StoreError> {
        self.turn(CallKind::Watch).await;
        let watch = self.store.watch(range, from).await?;
        let mut watches = lock(&self.watches);
        watches.retain(waits);
        watches.push(watch.downgrade());
        drop(watches);
        Ok(watch)
    }
}
