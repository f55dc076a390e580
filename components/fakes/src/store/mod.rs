//! A stand-in for the platform's key-value service.
//!
//! [`MemStore`] keeps everything in memory and implements [`store::Store`] in
//! the same process; [`serve`] speaks the service's own protocol for it over a
//! socket. [`Faults`] injects what the real service does on bad days. See
//! `docs/STORE.md`.

mod faults;
mod serve;
mod state;
mod wire;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use async_trait::async_trait;
use kernel::{Clock, Time};
use store::{
    KeyRange, KeyValue, LeaseId, RangeReply, Store, StoreError, StoreRevision, Txn, TxnReply, Watch,
};

pub use faults::{CallCounts, Faults};
pub use serve::serve;
pub use state::State;

use faults::Fate;

/// How often leases that have run out are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// The largest value taken, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    faults: Faults,
    clock: Option<Clock>,
    manual: Mutex<Time>,
}

/// The stand-in; clones share one content.
#[derive(Clone, Debug)]
pub struct MemStore {
    inner: Arc<Inner>,
}

impl MemStore {
    /// An empty store whose leases run out by the clock.
    #[must_use]
    pub fn new() -> Self {
        let store = Self::with_clock(Some(Clock::start()));
        smol::spawn(expire_leases(Arc::downgrade(&store.inner))).detach();
        store
    }

    /// An empty store whose time stands still but for [`Self::set_time`].
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
                manual: Mutex::default(),
            }),
        }
    }

    /// Moves the time of a manual store and lets leases run out.
    pub fn set_time(&self, now: Time) {
        *lock(&self.inner.manual) = now;
        drop(self.state());
    }

    /// The handle that injects faults and counts calls.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.inner.faults.clone()
    }

    /// How many calls were made, and how many watches wait now.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        let mut counts = self.inner.faults.counts();
        counts.open_watches = self.state().open_watches();
        counts
    }

    /// Ends every waiting watch, as a lost connection does.
    pub fn disconnect_watches(&self) {
        self.state().disconnect_watches();
    }

    /// Forgets all changes up to now; older watches can't be resumed.
    pub fn compact(&self) {
        self.state().compact();
    }

    /// Ends a lease before its time.
    pub fn expire_lease(&self, lease: LeaseId) {
        self.state().revoke(lease);
    }

    /// The keys of a range, read past all faults and counts.
    #[must_use]
    pub fn peek(&self, range: &KeyRange) -> Vec<KeyValue> {
        self.state().range(range, 0).kvs
    }

    /// Turns the outage on or off; one that begins cuts all watches.
    pub fn set_outage(&self, on: bool) {
        self.inner.faults.set_outage(on);
        if on {
            self.disconnect_watches();
        }
    }

    fn now(&self) -> Time {
        match self.inner.clock {
            Some(clock) => clock.now(),
            None => *lock(&self.inner.manual),
        }
    }

    /// The state with all leases that have run out removed.
    fn state(&self) -> MutexGuard<'_, State> {
        let now = self.now();
        let mut state = lock(&self.inner.state);
        state.expire(now);
        state
    }

    /// Makes a change with the fate that the faults give it.
    async fn change<T>(
        &self,
        call: faults::Call,
        keys: &[&str],
        change: impl FnOnce(&mut State, Time) -> Result<T, StoreError> + Send,
    ) -> Result<T, StoreError> {
        let fate = self.inner.faults.arrive(call, keys).await?;
        if fate == Fate::LoseRequest {
            return Err(StoreError::may_have_run("the connection was lost"));
        }
        let now = self.now();
        let result = change(&mut self.state(), now);
        if fate == Fate::LoseAnswer {
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

#[async_trait]
impl Store for MemStore {
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError> {
        self.inner.faults.arrive(faults::Call::Range, &[]).await?;
        Ok(self.state().range(&range, limit))
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        let keys: Vec<&str> = txn.ops.iter().map(state::key_of).collect();
        self.change(faults::Call::Txn, &keys, |state, _| state.txn(&txn))
            .await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.change(faults::Call::Grant, &[], |state, now| {
            Ok(state.grant(now, ttl))
        })
        .await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.change(faults::Call::KeepAlive, &[], |state, now| {
            Ok(state.keep_alive(now, lease))
        })
        .await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.change(faults::Call::Revoke, &[], |state, _| {
            state.revoke(lease);
            Ok(())
        })
        .await
    }

    async fn watch(&self, range: KeyRange, from: StoreRevision) -> Result<Watch, StoreError> {
        self.inner.faults.arrive(faults::Call::Watch, &[]).await?;
        Ok(self.state().watch(range, from))
    }
}
