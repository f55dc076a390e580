//! Faults of the stand-in store, and the count of calls to it.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use store::StoreError;

/// How many calls of each kind were made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallCounts {
    /// Reads of a range.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Leases asked for.
    pub grant: u64,
    /// Renewals of leases.
    pub keep_alive: u64,
    /// Leases given back.
    pub revoke: u64,
    /// Watches opened.
    pub watch: u64,
    /// Watches that wait now.
    #[serde(rename = "waiting")]
    pub open_watches: u64,
}

impl CallCounts {
    /// All calls, each opened watch as one.
    #[must_use]
    pub const fn total_calls(&self) -> u64 {
        self.range + self.txn + self.grant + self.keep_alive + self.revoke + self.watch
    }
}

/// The kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    Range,
    Txn,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
}

/// What becomes of a call that changes something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It runs and is answered.
    Run,
    /// It does not run, and its caller can't know.
    LoseRequest,
    /// It runs, and its caller can't know.
    LoseAnswer,
}

#[derive(Debug)]
struct Loss {
    prefix: String,
    fate: Fate,
    left: u32,
}

#[derive(Debug, Default)]
struct Plan {
    outage: bool,
    delay: Duration,
    losses: Vec<Loss>,
    counts: CallCounts,
}

/// What goes wrong with calls to the stand-in; clones share one plan.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    plan: Arc<Mutex<Plan>>,
}

impl Faults {
    /// While on, every call fails without effect.
    ///
    /// Use `MemStore::set_outage` to cut waiting watches as well.
    pub fn set_outage(&self, on: bool) {
        self.with(|plan| plan.outage = on);
    }

    /// Every call waits so long before it runs.
    pub fn set_delay(&self, delay: Duration) {
        self.with(|plan| plan.delay = delay);
    }

    /// The next `calls` transactions, grants and revocations run, but their
    /// answers are lost.
    pub fn lose_answers(&self, calls: u32) {
        self.lose("", Fate::LoseAnswer, calls);
    }

    /// As [`Self::lose_answers`], only for transactions that touch a key that
    /// starts with `prefix`.
    pub fn lose_answers_under(&self, prefix: impl Into<String>, calls: u32) {
        self.lose(prefix, Fate::LoseAnswer, calls);
    }

    /// The next `calls` transactions, grants and revocations are lost before
    /// they run, which their callers can't tell from a lost answer.
    pub fn lose_requests(&self, calls: u32) {
        self.lose("", Fate::LoseRequest, calls);
    }

    /// As [`Self::lose_requests`], only for transactions that touch a key that
    /// starts with `prefix`.
    pub fn lose_requests_under(&self, prefix: impl Into<String>, calls: u32) {
        self.lose(prefix, Fate::LoseRequest, calls);
    }

    /// Forgets all planned losses, delays and the outage.
    pub fn clear(&self) {
        self.with(|plan| {
            plan.outage = false;
            plan.delay = Duration::ZERO;
            plan.losses.clear();
        });
    }

    fn lose(&self, prefix: impl Into<String>, fate: Fate, left: u32) {
        let prefix = prefix.into();
        self.with(|plan| plan.losses.push(Loss { prefix, fate, left }));
    }

    pub(super) fn counts(&self) -> CallCounts {
        self.with(|plan| plan.counts)
    }

    /// CallCounts a call, delays it and says what becomes of it.
    pub(super) async fn arrive(&self, call: Call, keys: &[&str]) -> Result<Fate, StoreError> {
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
            Ok(plan.fate(call, keys))
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut Plan) -> T) -> T {
        f(&mut self.plan.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Plan {
    fn count(&mut self, call: Call) {
        let counter = match call {
            Call::Range => &mut self.counts.range,
            Call::Txn => &mut self.counts.txn,
            Call::Grant => &mut self.counts.grant,
            Call::KeepAlive => &mut self.counts.keep_alive,
            Call::Revoke => &mut self.counts.revoke,
            Call::Watch => &mut self.counts.watch,
        };
        *counter += 1;
    }

    fn fate(&mut self, call: Call, keys: &[&str]) -> Fate {
        if !matches!(call, Call::Txn | Call::Grant | Call::Revoke) {
            return Fate::Run;
        }
        let concerns = |loss: &Loss| {
            loss.prefix.is_empty() || keys.iter().any(|key| key.starts_with(&loss.prefix))
        };
        let Some(loss) = self
            .losses
            .iter_mut()
            .find(|loss| loss.left > 0 && concerns(loss))
        else {
            return Fate::Run;
        };
        loss.left -= 1;
        loss.fate
    }
}
