//! Keeps the interference weights that the owner has learnt in the store.

use std::{sync::Arc, time::Duration};

use kernel::Time;
use steps::{Event, owner::InterferenceRecord};
use store::{KeyRange, Op, StoreError, Txn};

use super::term::Term;
use crate::{keys, metrics::EntryMetrics, time};

/// The maximum length of the record; one of this length takes 52 ms on a link of 10 Mbit/s.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;
/// How often the owner is asked whether the record must be written. It limits the writes itself.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the record of the previous owner, then writes the record of this one whenever the
/// weights have changed notably, until the task is cancelled.
pub(super) async fn run(term: Arc<Term>, metrics: EntryMetrics) {
    read(&term).await;
    let mut is_failing = false;
    while !term.is_over() {
        smol::Timer::after(CHECK_INTERVAL).await;
        let now = term.now();
        let record = term
            .owner()
            .take_interference_record(now, time::wall_time());
        let Some(record) = record else {
            continue;
        };
        match write(&term, now, &record).await {
            Ok(true) => {
                metrics.record_interference_write(true);
                is_failing = false;
            }
            Ok(false) => {
                metrics.record_interference_write(false);
                tracing::info!("interference weights not written; a later owner has taken over");
                return;
            }
            Err(error) => {
                metrics.record_interference_write(false);
                if !is_failing {
                    tracing::info!(%error, "can't write the interference weights; trying again after 5 s");
                }
                is_failing = true;
            }
        }
    }
}

/// Passes the record of the previous owner on. A failure is not repeated, since the weights are
/// soon learnt again.
async fn read(term: &Arc<Term>) {
    let found = term.store.range(KeyRange::one(keys::INTERFERENCE), 1).await;
    let kvs = match found {
        Ok(found) => found.kvs,
        Err(error) => {
            tracing::info!(%error, "can't read the interference weights of the previous owner; starting without");
            return;
        }
    };
    let Some(kv) = kvs.first() else {
        return;
    };
    match decode(&kv.value) {
        Ok(record) => term.handle(Event::InterferenceRecord(record)),
        Err(error) => {
            tracing::info!(%error, bytes = kv.value.len(), "can't decode the interference weights of the previous owner; starting without");
        }
    }
}

/// Makes one attempt to write the record; returns `false` if a later term has started.
async fn write(term: &Term, now: Time, record: &InterferenceRecord) -> Result<bool, StoreError> {
    let value = encode(record).map_err(|error| StoreError::not_run(error.to_string()))?;
    let bytes = value.len();
    let txn = Txn {
        compares: vec![term.is_latest_term()],
        ops: vec![Op::put(keys::INTERFERENCE, value)],
        otherwise: Vec::new(),
    };
    let reply = term.store.txn(txn).await?;
    if reply.succeeded {
        term.owner().interference_record_written(now, record);
        tracing::debug!(
            pairs = record.pairs.len(),
            bytes,
            "interference weights written"
        );
    }
    Ok(reply.succeeded)
}

/// Encodes a record, without its least known pairs if it would be too long.
///
/// # Errors
///
/// Fails if the record can't be encoded.
pub fn encode(record: &InterferenceRecord) -> Result<Vec<u8>, serde_json::Error> {
    let mut shortened = record.clone();
    loop {
        let value = serde_json::to_vec(&shortened)?;
        if value.len() <= MAX_RECORD_BYTES {
            return Ok(value);
        }
        // Names differ in length, so this may take a few rounds.
        let pairs = shortened.pairs.len();
        let fitting = pairs * MAX_RECORD_BYTES / value.len();
        shortened
            .pairs
            .truncate(fitting.min(pairs.saturating_sub(1)));
    }
}

/// Decodes a record.
///
/// # Errors
///
/// Fails if the value is not a record.
pub fn decode(value: &[u8]) -> Result<InterferenceRecord, serde_json::Error> {
    serde_json::from_slice(value)
}
