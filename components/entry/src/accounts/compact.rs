//! Folding old accounts in the store into one record for each day.
//!
//! Every entry tries now and then. The record of a day and the deletion of the
//! parts in it are one transaction that compares every part, so of two entries
//! that try at once one changes nothing, and no request is counted twice.

use std::{sync::Arc, time::Duration};

use kernel::{AccountPart, EntryName, Incarnation, Span, Sum, Time};
use report::{Ledger, LedgerBounds};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use store::{Compare, KeyRange, KeyValue, Op, Store, StoreError, Txn, keys};

use super::Accounts;

/// Parts younger than this stay, since the burn report reads minutes from them.
pub const KEEP_PARTS: Duration = Duration::from_secs(3 * 24 * 3600);
/// Days older than this are deleted.
pub const KEEP_DAYS: Duration = Duration::from_secs(400 * 24 * 3600);
/// The time between two tries.
pub const COMPACT_INTERVAL: Duration = Duration::from_secs(3600);
/// How many parts one transaction folds; the service allows 128 operations.
const PARTS_PER_STEP: i64 = 60;
/// The most sums in the record of a day, so that it stays below 1 MB.
const MAX_DAY_SUMS: usize = 3000;
/// The most steps of one try.
const MAX_STEPS: usize = 100;
/// The most lives of entries listed in one day.
const MAX_DAY_LIVES: usize = 500;

/// The folded accounts of one day, of all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Day {
    /// The start of the day.
    pub day: Time,
    /// Sums of an hour, or of the day if there are too many.
    pub sums: Vec<Sum>,
    /// The lives of entries seen that day, to tell what was lost between them.
    pub lives: Vec<Life>,
    /// How many lives more there were than are listed.
    pub unlisted_lives: u64,
}

/// What is known of one life of an entry within a stretch of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// The entry.
    pub entry: EntryName,
    /// Which life.
    pub incarnation: Incarnation,
    /// The start of its first part.
    pub from: Time,
    /// The end of its newest part.
    pub until: Time,
    /// Whether it ended in order.
    pub last: bool,
}

impl From<&AccountPart> for Life {
    fn from(part: &AccountPart) -> Self {
        Self {
            entry: part.entry.clone(),
            incarnation: part.incarnation,
            from: part.from,
            until: part.until,
            last: part.last,
        }
    }
}

impl Life {
    /// Whether both are about the same life.
    #[must_use]
    pub fn same(&self, other: &Self) -> bool {
        self.entry == other.entry && self.incarnation == other.incarnation
    }

    /// Takes in what another stretch of the same life tells.
    pub fn join(&mut self, other: &Self) {
        self.from = self.from.min(other.from);
        self.until = self.until.max(other.until);
        self.last |= other.last;
    }
}

pub(super) fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, StoreError> {
    rmp_serde::from_slice(value)
        .map_err(|error| StoreError::not_run(format!("accounts can't be decoded: {error}")))
}

/// Folds old accounts now and then, for as long as the process runs.
pub async fn run(accounts: Accounts, store: Arc<dyn Store>) {
    loop {
        smol::Timer::after(COMPACT_INTERVAL).await;
        if let Err(error) = compact(&*store, accounts.now()).await {
            tracing::warn!(%error, "old accounts could not be folded; the next try is in an hour");
        }
    }
}

/// Folds whole days that ended before [`KEEP_PARTS`] and deletes very old ones.
///
/// # Errors
///
/// Returns the store's error; what was folded until then stays folded.
pub async fn compact(store: &dyn Store, now: Time) -> Result<(), StoreError> {
    let bound = Span::Day.start_of(now - KEEP_PARTS);
    for _ in 0..MAX_STEPS {
        let range = KeyRange {
            from: keys::ACCOUNT_PARTS.to_owned(),
            until: keys::account_hour(bound.as_secs()),
        };
        let reply = store.range(range, PARTS_PER_STEP).await?;
        if reply.kvs.is_empty() {
            break;
        }
        fold_step(store, reply.kvs).await?;
    }
    let oldest = Span::Day.start_of(now - KEEP_DAYS);
    delete_days(store, oldest).await
}

async fn delete_days(store: &dyn Store, oldest: Time) -> Result<(), StoreError> {
    let range = KeyRange {
        from: keys::ACCOUNT_DAYS.to_owned(),
        until: keys::account_day(oldest.as_secs()),
    };
    if store.range(range.clone(), 1).await?.kvs.is_empty() {
        return Ok(());
    }
    let txn = Txn {
        ops: vec![Op::Delete(range)],
        ..Txn::default()
    };
    store.txn(txn).await.map(|_| ())
}

/// Folds the parts of the first day among `kvs`.
async fn fold_step(store: &dyn Store, kvs: Vec<KeyValue>) -> Result<(), StoreError> {
    let mut parts = Vec::new();
    for kv in kvs {
        let part: AccountPart = decode(&kv.value)?;
        parts.push((kv, part));
    }
    let Some(day) = parts.first().map(|(_, part)| Span::Day.start_of(part.from)) else {
        return Ok(());
    };
    parts.retain(|(_, part)| Span::Day.start_of(part.from) == day);
    let key = keys::account_day(day.as_secs());
    let found = store.range(KeyRange::one(&key), 1).await?.kvs.pop();
    let (compare, before) = match found {
        Some(kv) => (
            Compare::ModifiedAt(key.clone(), kv.modified),
            decode(&kv.value)?,
        ),
        None => (Compare::Absent(key.clone()), Day::default()),
    };
    let folded = fold_parts(before, day, parts.iter().map(|(_, part)| part));
    let value = rmp_serde::to_vec_named(&folded)
        .map_err(|error| StoreError::not_run(format!("can't encode a day: {error}")))?;
    let mut txn = Txn {
        compares: vec![compare],
        ops: vec![Op::put(key, value)],
        ..Txn::default()
    };
    for (kv, _) in parts {
        txn.compares
            .push(Compare::ModifiedAt(kv.key.clone(), kv.modified));
        txn.ops.push(Op::Delete(KeyRange::one(kv.key)));
    }
    store.txn(txn).await.map(|_| ())
}

/// Adds parts to the record of a day, in the order of their keys.
#[must_use]
pub fn fold_parts<'a>(
    mut day: Day,
    start: Time,
    parts: impl Iterator<Item = &'a AccountPart>,
) -> Day {
    let mut ledger = Ledger::new(LedgerBounds {
        event_retention: Duration::ZERO,
        minute_retention: Duration::ZERO,
        max_sums: MAX_DAY_SUMS,
        ..LedgerBounds::default()
    });
    for sum in std::mem::take(&mut day.sums) {
        ledger.add_sum(sum);
    }
    for part in parts {
        for sum in &part.sums {
            ledger.add_sum(sum.clone());
        }
        for event in &part.events {
            ledger.add(event.clone());
        }
        note_life(&mut day, part);
    }
    let end = Time(start.0 + 2 * Span::Day.micros());
    ledger.compact(end);
    day.day = start;
    day.sums = ledger.sums().collect();
    day
}

fn note_life(day: &mut Day, part: &AccountPart) {
    let life = Life::from(part);
    if let Some(known) = day.lives.iter_mut().find(|known| known.same(&life)) {
        known.join(&life);
    } else if day.lives.len() < MAX_DAY_LIVES {
        day.lives.push(life);
    } else {
        day.unlisted_lives += 1;
    }
}
