//! A stand-in for the platform's key-value service.
//!
//! [`MemStore`] keeps its data in memory and implements [`store::Store`] in the same
//! process; [`serve`] serves it over a socket in the service's own protocol. [`Faults`]
//! injects outages, delays and lost messages. See `docs/STORE.md`.

mod faults;
mod serve;
mod state;
mod wire;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use async_trait::async_trait;
use kernel::{BootInstant, Clock, Time};
use store::{
    Delivery, KeyRange, KeyValue, LeaseId, RangeReply, Store, StoreError, StoreRevision, Txn,
    TxnReply, Watch,
};

pub use faults::{CallCounts, Faults};
pub use serve::serve;
pub use state::State;

use faults::CallOutcome;

/// Interval at which expired leases are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which open watches are told that there are no further changes.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    faults: Faults,
    clock: Option<Clock>,
    manual_time: Mutex<Time>,
}

/// The stand-in store; clones share the data.
#[derive(Clone, Debug)]
pub struct MemStore {
    inner: Arc<Inner>,
}

impl MemStore {
    /// Creates an empty store whose leases expire by the clock.
    #[must_use]
    pub fn new() -> Self {
        let store = Self::with_clock(Some(Clock::start()));
        smol::spawn(expire_leases(Arc::downgrade(&store.inner))).detach();
        smol::spawn(report_progress(Arc::downgrade(&store.inner))).detach();
        store
    }

    /// Creates an empty store whose time changes only by [`Self::set_time`].
    #[must_use]
    pub fn with_manual_time() -> Self {
        Self::with_clock(None)
    }

    fn with_clock(clock: Option<Clock>) -> Self {
        Self {
            inner: Arc::new(Inner {
                state: Mutex::default(),
                faults: Faults::default(),
                clock,
                manual_time: Mutex::default(),
            }),
        }
    }

    /// Sets the time of a store made by [`Self::with_manual_time`]; leases may expire.
    pub fn set_time(&self, now: Time) {
        *lock(&self.inner.manual_time) = now;
        drop(self.state());
    }

    /// Returns the handle that injects faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.inner.faults.clone()
    }

    /// Returns the numbers of calls so far and of watches open now.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        let mut counts = self.inner.faults.counts();
        counts.open_watches = self.state().open_watches();
        counts
    }

    /// Ends every open watch with an error, as a lost connection does.
    pub fn disconnect_watches(&self) {
        self.state().disconnect_watches();
    }

    /// Compacts the history up to now; a watch from an older revision then fails.
    pub fn compact(&self) {
        self.state().compact();
    }

    /// Expires a lease before its TTL has passed.
    pub fn expire_lease(&self, lease: LeaseId) {
        self.state().revoke(lease);
    }

    /// Reads a range without faults and without counting a call.
    #[must_use]
    pub fn peek(&self, range: &KeyRange) -> Vec<KeyValue> {
        self.state().range(range, 0).kvs
    }

    /// Starts or ends an outage; its start disconnects all watches.
    pub fn set_outage(&self, on: bool) {
        self.inner.faults.set_outage(on);
        if on {
            self.disconnect_watches();
        }
    }

    fn now(&self) -> Time {
        match self.inner.clock {
            Some(clock) => clock.now(),
            None => *lock(&self.inner.manual_time),
        }
    }

    /// Locks the state after removing the expired leases.
    fn state(&self) -> MutexGuard<'_, State> {
        let now = self.now();
        let mut state = lock(&self.inner.state);
        state.expire(now);
        state
    }

    /// Runs a change, subject to the injected faults.
    async fn change<T>(
        &self,
        call: faults::CallKind,
        keys: &[&str],
        change: impl FnOnce(&mut State, Time) -> Result<T, StoreError> + Send,
    ) -> Result<T, StoreError> {
        let outcome = self.inner.faults.on_call(call, keys).await?;
        if outcome == CallOutcome::LoseRequest {
            return Err(StoreError::may_have_run("the connection was lost"));
        }
        let now = self.now();
        let result = change(&mut self.state(), now);
        if outcome == CallOutcome::LoseAnswer {
            return Err(StoreError::may_have_run("the answer was lost"));
        }
        result
    }
}

impl Default for MemStore {
    fn default() -> Self {
        Self::new()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn expire_leases(inner: Weak<Inner>) {
    loop {
        smol::Timer::after(EXPIRY_INTERVAL).await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        let store = MemStore { inner };
        drop(store.state());
    }
}

async fn report_progress(inner: Weak<Inner>) {
    loop {
        smol::Timer::after(PROGRESS_INTERVAL).await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        let store = MemStore { inner };
        store.state().report_progress(BootInstant::now());
    }
}

#[async_trait]
impl Store for MemStore {
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError> {
        self.inner
            .faults
            .on_call(faults::CallKind::Range, &[&range.from])
            .await?;
        Ok(self.state().range(&range, limit))
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        let keys: Vec<&str> = txn.ops.iter().map(state::key_of).collect();
        self.change(faults::CallKind::Txn, &keys, |state, _| state.txn(&txn))
            .await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.change(faults::CallKind::Grant, &[], |state, now| {
            Ok(state.grant(now, ttl))
        })
        .await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.change(faults::CallKind::KeepAlive, &[], |state, now| {
            Ok(state.keep_alive(now, lease))
        })
        .await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.change(faults::CallKind::Revoke, &[], |state, _| {
            state.revoke(lease);
            Ok(())
        })
        .await
    }

    async fn watch(
        &self,
        range: KeyRange,
        from: StoreRevision,
        _: Delivery,
    ) -> Result<Watch, StoreError> {
        self.inner
            .faults
            .on_call(faults::CallKind::Watch, &[&range.from])
            .await?;
        Ok(self.state().watch(range, from))
    }
}
