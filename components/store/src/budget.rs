//! A bound on the calls that one process makes.
//!
//! The service's rates grow more slowly than the fleet, so a process that goes
//! wrong must not use up what the others need.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use kernel::{Clock, Time};

use crate::{
    KeyRange, LeaseId, RangeReply, Store, StoreError, StoreRevision, Txn, TxnReply, Watch,
};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket: plain state that is told the time.
///
/// It holds one second's worth of calls.
#[derive(Clone, Debug)]
pub struct Budget {
    interval_micros: u64,
    /// When the bucket would be full again if no further call came.
    full_at: Time,
}

impl Budget {
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

/// What a budget has counted.
#[derive(Clone, Debug, Default)]
pub struct BudgetCounts {
    /// Calls made, opened watches among them.
    pub calls: Arc<AtomicU64>,
    /// Calls that had to wait for their turn.
    pub waited: Arc<AtomicU64>,
}

/// A store whose calls wait until the budget allows them.
pub struct Budgeted {
    store: Arc<dyn Store>,
    clock: Clock,
    budget: Mutex<Budget>,
    counts: BudgetCounts,
}

impl Budgeted {
    /// Bounds the calls to `store` to `per_second`.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, clock: Clock, per_second: u32) -> Self {
        Self {
            store,
            clock,
            budget: Mutex::new(Budget::new(per_second)),
            counts: BudgetCounts::default(),
        }
    }

    /// The counters, shared with this store.
    #[must_use]
    pub fn counts(&self) -> BudgetCounts {
        self.counts.clone()
    }

    async fn turn(&self) {
        self.counts.calls.fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        let turn = self
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(now);
        if turn.passed(now) {
            return;
        }
        self.counts.waited.fetch_add(1, Ordering::Relaxed);
        smol::Timer::at(self.clock.instant(turn)).await;
    }
}

#[async_trait]
impl Store for Budgeted {
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError> {
        self.turn().await;
        self.store.range(range, limit).await
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        self.turn().await;
        self.store.txn(txn).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.turn().await;
        self.store.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.turn().await;
        self.store.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.turn().await;
        self.store.revoke(lease).await
    }

    async fn watch(&self, range: KeyRange, from: StoreRevision) -> Result<Watch, StoreError> {
        self.turn().await;
        self.store.watch(range, from).await
    }
}
