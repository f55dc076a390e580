//! Injected faults of the stand-in store, and the counts of calls to it.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use store::StoreError;

/// The number of calls of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallCounts {
    /// Reads of a range.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Grants of leases.
    pub grant: u64,
    /// Renewals of leases.
    pub keep_alive: u64,
    /// Revocations of leases.
    pub revoke: u64,
    /// Watches opened.
    pub watch: u64,
    /// Watches open now.
    #[serde(rename = "waiting")]
    pub open_watches: u64,
}

impl CallCounts {
    /// Returns the number of all calls; opening a watch counts as one.
    #[must_use]
    pub const fn total_calls(&self) -> u64 {
        self.range + self.txn + self.grant + self.keep_alive + self.revoke + self.watch
    }
}

/// A kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Range,
    Txn,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
}

/// Outcome of a call that may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// The call runs and is answered.
    Run,
    /// The call does not run; its caller gets an unknown outcome.
    LoseRequest,
    /// The call runs; its caller gets an unknown outcome.
    LoseAnswer,
}

#[derive(Debug)]
struct Loss {
    prefix: String,
    kind: CallOutcome,
    left: u32,
}

#[derive(Debug, Default)]
struct FaultPlan {
    outage: bool,
    delay: Duration,
    losses: Vec<Loss>,
    /// Prefix of the keys that can't be read.
    unreadable: Option<String>,
    /// Whether they can't be watched either.
    fails_watches: bool,
    counts: CallCounts,
}

/// The faults injected into calls to the stand-in; clones share one plan.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    plan: Arc<Mutex<FaultPlan>>,
}

impl Faults {
    /// Sets an outage, during which every call fails without effect.
    ///
    /// Use `MemStore::set_outage` to disconnect open watches as well.
    pub fn set_outage(&self, on: bool) {
        self.with(|plan| plan.outage = on);
    }

    /// Delays every call by `delay` before it runs.
    pub fn set_delay(&self, delay: Duration) {
        self.with(|plan| plan.delay = delay);
    }

    /// Loses the answers of the next `calls` transactions, grants and revocations; the
    /// calls run.
    pub fn lose_answers(&self, calls: u32) {
        self.lose("", CallOutcome::LoseAnswer, calls);
    }

    /// As [`Self::lose_answers`], but only for transactions that change a key with
    /// `prefix`.
    pub fn lose_answers_under(&self, prefix: impl Into<String>, calls: u32) {
        self.lose(prefix, CallOutcome::LoseAnswer, calls);
    }

    /// Loses the next `calls` transactions, grants and revocations before they run. Their
    /// callers can't distinguish this from a lost answer.
    pub fn lose_requests(&self, calls: u32) {
        self.lose("", CallOutcome::LoseRequest, calls);
    }

    /// As [`Self::lose_requests`], but only for transactions that change a key with
    /// `prefix`.
    pub fn lose_requests_under(&self, prefix: impl Into<String>, calls: u32) {
        self.lose(prefix, CallOutcome::LoseRequest, calls);
    }

    /// Lets reads of ranges that start with `prefix` fail.
    pub fn fail_reads_under(&self, prefix: impl Into<String>) {
        self.with(|plan| plan.unreadable = Some(prefix.into()));
    }

    /// Lets watches of ranges that start with `prefix` fail, as well as their reads. Open
    /// watches go on; see `MemStore::disconnect_watches`.
    pub fn fail_reads_and_watches_under(&self, prefix: impl Into<String>) {
        self.with(|plan| {
            plan.unreadable = Some(prefix.into());
            plan.fails_watches = true;
        });
    }

    /// Removes all planned losses, the delay, the outage and the failing reads.
    pub fn clear(&self) {
        self.with(|plan| {
            plan.outage = false;
            plan.delay = Duration::ZERO;
            plan.losses.clear();
            plan.unreadable = None;
            plan.fails_watches = false;
        });
    }

    fn lose(&self, prefix: impl Into<String>, kind: CallOutcome, left: u32) {
        let prefix = prefix.into();
        self.with(|plan| plan.losses.push(Loss { prefix, kind, left }));
    }

    pub(super) fn counts(&self) -> CallCounts {
        self.with(|plan| plan.counts)
    }

    /// Counts a call, delays it and returns its outcome, or an error during an outage.
    pub(super) async fn on_call(
        &self,
        call: CallKind,
        keys: &[&str],
    ) -> Result<CallOutcome, StoreError> {
        let delay = self.with(|plan| {
            plan.count(call);
            plan.delay
        });
        if !delay.is_zero() {
            smol::Timer::after(delay).await;
        }
        self.with(|plan| {
            if plan.outage {
                return Err(StoreError::not_run("the store is down"));
            }
            let is_read = match call {
                CallKind::Range => true,
                CallKind::Watch => plan.fails_watches,
                _ => false,
            };
            if is_read && plan.is_unreadable(keys) {
                return Err(StoreError::not_run("the read fails"));
            }
            Ok(plan.outcome(call, keys))
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut FaultPlan) -> T) -> T {
        f(&mut self.plan.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl FaultPlan {
    fn count(&mut self, call: CallKind) {
        let counter = match call {
            CallKind::Range => &mut self.counts.range,
            CallKind::Txn => &mut self.counts.txn,
            CallKind::Grant => &mut self.counts.grant,
            CallKind::KeepAlive => &mut self.counts.keep_alive,
            CallKind::Revoke => &mut self.counts.revoke,
            CallKind::Watch => &mut self.counts.watch,
        };
        *counter += 1;
    }

    fn is_unreadable(&self, keys: &[&str]) -> bool {
        let unreadable = self.unreadable.as_deref();
        unreadable.is_some_and(|prefix| keys.iter().any(|key| key.starts_with(prefix)))
    }

    fn outcome(&mut self, call: CallKind, keys: &[&str]) -> CallOutcome {
        if !matches!(call, CallKind::Txn | CallKind::Grant | CallKind::Revoke) {
            return CallOutcome::Run;
        }
        let applies_to = |loss: &Loss| {
            loss.prefix.is_empty() || keys.iter().any(|key| key.starts_with(&loss.prefix))
        };
        let Some(loss) = self
            .losses
            .iter_mut()
            .find(|loss| loss.left > 0 && applies_to(loss))
        else {
            return CallOutcome::Run;
        };
        loss.left -= 1;
        loss.kind
    }
}
