//! Writing the records of jobs.

use std::sync::Arc;

use futures_lite::FutureExt;
use kernel::Verdict;
use steps::owner::Change;
use store::{Compare, KeyRange, KeyValue, Op, Txn, TxnReply, backoff::Backoff};

use super::term::Term;
use crate::keys;

/// How many records one transaction takes. The store accepts 32 entries; each
/// record is a condition and a change, and the epoch is one more condition.
const RECORDS_PER_TXN: usize = 15;

/// Writes records for as long as the term lasts.
pub(super) async fn run(term: Arc<Term>) {
    loop {
        let changed = term.changed.listen();
        if !term.owner().has_changes() {
            changed.await;
        }
        flush(&term).await;
        term.dispatch();
    }
}

/// Writes all records that are due now.
pub(super) async fn flush(term: &Term) {
    let (last, changes) = {
        let mut owner = term.owner();
        (owner.last_change(), owner.take_changes())
    };
    if changes.is_empty() {
        return;
    }
    let mut is_whole = true;
    for chunk in changes.chunks(RECORDS_PER_TXN) {
        is_whole &= write(term, chunk).await;
    }
    if is_whole {
        term.owner().durable(last);
    }
}

/// Writes some records; whether all of them are durable as they are.
///
/// Each record is compared with the revision that it replaces, so a write that
/// the network held back can't undo a later one.
async fn write(term: &Term, changes: &[Change]) -> bool {
    let mut values = Vec::new();
    for change in changes {
        match serde_json::to_vec(&change.progress) {
            Ok(value) => values.push(value),
            Err(error) => {
                tracing::error!(job = %change.job, %error, "a record can't be written");
                return false;
            }
        }
    }
    let txn = transaction(term, changes, &values);
    let mut backoff = Backoff::random();
    loop {
        if term.is_over() {
            return false;
        }
        let sent = term.now();
        match term.store.txn(txn.clone()).await {
            Ok(reply) if reply.succeeded => {
                if backoff.failures() > 0 {
                    tracing::info!("store regained: records are written again");
                }
                term.prove(sent);
                let mut owner = term.owner();
                for change in changes {
                    owner.written(&change.job, reply.revision);
                }
                return true;
            }
            Ok(reply) => return settle(term, changes, &values, &reply),
            Err(error) => {
                if backoff.failures() == 0 {
                    tracing::warn!(
                        %error,
                        may_have_run = error.verdict != Verdict::NotRun,
                        records = changes.len(),
                        "store lost: records wait"
                    );
                }
                let pause = async {
                    smol::Timer::after(backoff.failed().min(LONGEST_PAUSE)).await;
                };
                pause.or(term.ended()).await;
            }
        }
    }
}

/// Workers wait for records, so a store that returns is found soon.
const LONGEST_PAUSE: std::time::Duration = std::time::Duration::from_millis(400);

fn transaction(term: &Term, changes: &[Change], values: &[Vec<u8>]) -> Txn {
    let epoch = keys::EPOCH.to_owned();
    let mut txn = Txn {
        compares: vec![Compare::ModifiedAt(epoch, term.claim.epoch_revision)],
        ops: Vec::new(),
        otherwise: vec![KeyRange::one(keys::EPOCH)],
    };
    for (change, value) in changes.iter().zip(values) {
        let key = keys::progress(&change.job);
        txn.compares.push(match change.replaces {
            Some(revision) => Compare::ModifiedAt(key.clone(), revision),
            None => Compare::Absent(key.clone()),
        });
        txn.otherwise.push(KeyRange::one(key.as_str()));
        txn.ops.push(Op::put(key, value.as_slice()));
    }
    txn
}

/// Finds out from a refusal which records lie in the store already, because an
/// earlier answer was lost; whether all of them do.
fn settle(term: &Term, changes: &[Change], values: &[Vec<u8>], reply: &TxnReply) -> bool {
    let found = |key: &str| -> Option<&KeyValue> {
        reply.otherwise.iter().flatten().find(|kv| kv.key == key)
    };
    let epoch = found(keys::EPOCH).map(|kv| kv.modified);
    if epoch != Some(term.claim.epoch_revision) {
        tracing::warn!(?epoch, "a later owner has begun");
        term.end();
        return false;
    }
    let mut is_whole = true;
    let mut owner = term.owner();
    for (change, value) in changes.iter().zip(values) {
        let kv = found(&keys::progress(&change.job));
        if let Some(kv) = kv {
            owner.written(&change.job, kv.modified);
        }
        if kv.is_none_or(|kv| kv.value != *value) {
            owner.not_written(&change.job);
            is_whole = false;
        }
    }
    is_whole
}
