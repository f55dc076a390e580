//! Compacts old accounts in the store into one record for each day.
//!
//! Every entry tries this once an hour. One transaction compares the parts, puts
//! the record of the day and deletes the parts. If two entries compact the same
//! parts at once, one transaction changes nothing, so no request is counted twice.

use std::{sync::Arc, time::Duration};

use kernel::{AccountPart, EntryName, Incarnation, Span, Sum, Time};
use report::{Ledger, LedgerBounds};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use store::{Compare, KeyRange, KeyValue, Op, Store, StoreError, Txn, keys};

use super::Accounts;

/// Parts younger than this are not compacted: the burn report needs their sums
/// by the minute.
pub const PART_RETENTION: Duration = Duration::from_secs(3 * 24 * 3600);
/// Day records older than this are deleted.
pub const DAY_RETENTION: Duration = Duration::from_secs(400 * 24 * 3600);
/// The time between two compactions by an entry.
pub const COMPACT_INTERVAL: Duration = Duration::from_secs(3600);
/// How many parts one transaction compacts. The store allows 128 operations in a
/// transaction.
const PARTS_PER_TXN: i64 = 60;
/// The maximum number of sums in a day record, which keeps it below 1 MB.
const MAX_DAY_SUMS: usize = 3000;
/// The maximum number of transactions in one compaction.
const MAX_STEPS: usize = 100;
/// The maximum number of entry incarnations listed in a day record.
const MAX_DAY_INCARNATIONS: usize = 500;

/// The compacted accounts of all entries for one day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DayRecord {
    /// The start of the day.
    pub day: Time,
    /// Sums by the hour, or by the day if there are too many.
    pub sums: Vec<Sum>,
    /// The incarnations of entries with parts on that day; reports find gaps
    /// between them.
    #[serde(rename = "lives")]
    pub incarnations: Vec<IncarnationRecord>,
    /// The number of parts whose incarnation did not fit into `incarnations`.
    #[serde(rename = "unlisted_lives")]
    pub unlisted_incarnations: u64,
}

/// The time that the accounts of one incarnation of an entry cover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// The name of the entry.
    pub entry: EntryName,
    /// The incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// The start of its first part.
    pub from: Time,
    /// The end of its newest part.
    pub until: Time,
    /// Whether the incarnation wrote its last part before it ended.
    #[serde(rename = "last")]
    pub ended_cleanly: bool,
}

impl From<&AccountPart> for IncarnationRecord {
    fn from(part: &AccountPart) -> Self {
        Self {
            entry: part.entry.clone(),
            incarnation: part.incarnation,
            from: part.from,
            until: part.until,
            ended_cleanly: part.last,
        }
    }
}

impl IncarnationRecord {
    /// Returns whether both describe the same incarnation.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.entry == other.entry && self.incarnation == other.incarnation
    }

    /// Extends this record by another one of the same incarnation.
    pub fn merge(&mut self, other: &Self) {
        self.from = self.from.min(other.from);
        self.until = self.until.max(other.until);
        self.ended_cleanly |= other.ended_cleanly;
    }
}

pub(super) fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, StoreError> {
    rmp_serde::from_slice(value)
        .map_err(|error| StoreError::not_run(format!("accounts can't be decoded: {error}")))
}

/// Compacts old accounts every [`COMPACT_INTERVAL`], forever.
pub async fn run(accounts: Accounts, store: Arc<dyn Store>) {
    loop {
        smol::Timer::after(COMPACT_INTERVAL).await;
        if let Err(error) = compact(&*store, accounts.now()).await {
            tracing::warn!(%error, "failed to compact old accounts; retrying in an hour");
        }
    }
}

/// Compacts whole days older than [`PART_RETENTION`] and deletes day records
/// older than [`DAY_RETENTION`].
///
/// # Errors
///
/// Returns the store's error. Parts compacted before the error stay compacted.
pub async fn compact(store: &dyn Store, now: Time) -> Result<(), StoreError> {
    let bound = Span::Day.start_of(now - PART_RETENTION);
    for _ in 0..MAX_STEPS {
        let range = KeyRange {
            from: keys::ACCOUNT_PARTS.to_owned(),
            until: keys::account_hour(bound.as_secs()),
        };
        let reply = store.range(range, PARTS_PER_TXN).await?;
        if reply.kvs.is_empty() {
            break;
        }
        compact_step(store, reply.kvs).await?;
    }
    let oldest = Span::Day.start_of(now - DAY_RETENTION);
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

/// Compacts the parts of the first day among `kvs`.
async fn compact_step(store: &dyn Store, kvs: Vec<KeyValue>) -> Result<(), StoreError> {
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
        None => (Compare::Absent(key.clone()), DayRecord::default()),
    };
    let compacted = compact_parts(before, day, parts.iter().map(|(_, part)| part));
    let value = rmp_serde::to_vec_named(&compacted)
        .map_err(|error| StoreError::not_run(format!("can't encode a day record: {error}")))?;
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

/// Adds parts to a day record. `parts` has to be in the order of their keys.
#[must_use]
pub fn compact_parts<'a>(
    mut day: DayRecord,
    start: Time,
    parts: impl Iterator<Item = &'a AccountPart>,
) -> DayRecord {
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
        record_incarnation(&mut day, part);
    }
    let end = Time(start.0 + 2 * Span::Day.micros());
    ledger.compact(end);
    day.day = start;
    day.sums = ledger.sums().collect();
    day
}

fn record_incarnation(day: &mut DayRecord, part: &AccountPart) {
    let incarnation = IncarnationRecord::from(part);
    if let Some(known) = day
        .incarnations
        .iter_mut()
        .find(|known| known.is_same(&incarnation))
    {
        known.merge(&incarnation);
    } else if day.incarnations.len() < MAX_DAY_INCARNATIONS {
        day.incarnations.push(incarnation);
    } else {
        day.unlisted_incarnations += 1;
    }
}
