//! Writes the records of jobs to the store.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures_lite::FutureExt;
use kernel::{JobName, Verdict};
use steps::owner::RecordWrite;
use store::{
    Compare, KeyRange, KeyValue, MAX_VALUE_BYTES, Op, StoreRevision, Txn, TxnReply,
    backoff::Backoff,
};

use super::term::Term;
use crate::keys::{self, EndRecord};

/// The maximum number of conditions and operations in a transaction; the store accepts 32.
const MAX_TXN_ROWS: usize = 32;
/// The end of a job takes two conditions and three operations.
const ROWS_PER_END: usize = 5;
/// Any other record takes one condition and one operation.
const ROWS_PER_RECORD: usize = 2;
/// How long records are batched that no client waits for. A longer delay saves writes,
/// which are billed; a shorter one saves reports, since a worker lists an ended run in each
/// poll until its end is recorded.
const BATCH_DELAY: Duration = Duration::from_millis(120);
/// The maximum delay between attempts. Workers wait for records, so the owner has to
/// notice soon that the store is available again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Writes records until the term finishes or the task is cancelled.
pub(super) async fn run(term: Arc<Term>) {
    loop {
        let records_changed = term.records_changed.listen();
        if !term.owner().has_changes() && !is_finishing(&term) {
            records_changed.await;
        }
        wait_for_batch(&term).await;
        let is_last = is_finishing(&term);
        flush(&term).await;
        term.dispatch();
        if is_last {
            return;
        }
    }
}

fn is_finishing(term: &Term) -> bool {
    term.is_finishing.load(Ordering::Relaxed)
}

/// Waits until the batch delay has passed or an urgent record is due.
async fn wait_for_batch(term: &Term) {
    let until = term.now() + BATCH_DELAY;
    loop {
        let records_changed = term.records_changed.listen();
        let now = term.now();
        if until.passed(now) || term.owner().has_urgent_changes() || is_finishing(term) {
            return;
        }
        let timer = async {
            smol::Timer::after(until.remaining(now)).await;
        };
        records_changed.or(timer).await;
    }
}

/// Writes all records that are due. The ends of jobs come first, also those that become due
/// meanwhile, since clients wait for them.
async fn flush(term: &Term) {
    let (last_change, mut rest) = {
        let mut owner = term.owner();
        (owner.last_change(), owner.take_changes())
    };
    let mut all_durable = true;
    while !rest.is_empty() {
        let others = rest.split_off(count_that_fits(&rest));
        all_durable &= write(term, &rest).await;
        rest = term.owner().take_ends();
        let ended: BTreeSet<JobName> = rest.iter().map(|end| end.job.clone()).collect();
        // The end of a job replaces its progress.
        let others = others.into_iter();
        rest.extend(others.filter(|change| !ended.contains(&change.job)));
    }
    let mut owner = term.owner();
    if all_durable {
        let is_all_written = !owner.has_changes();
        let durable = if is_all_written {
            owner.last_change()
        } else {
            last_change
        };
        owner.confirm_durable(durable);
    }
}

/// Returns how many of the changes fit into one transaction.
fn count_that_fits(changes: &[RecordWrite]) -> usize {
    let mut rows = 1;
    for (count, change) in changes.iter().enumerate() {
        rows += match change.is_end {
            true => ROWS_PER_END,
            false => ROWS_PER_RECORD,
        };
        if rows > MAX_TXN_ROWS {
            return count;
        }
    }
    changes.len()
}

/// The key and value of a record, and the revision of the key that it replaces.
struct Row {
    key: String,
    value: Vec<u8>,
    replaces: Option<StoreRevision>,
}

fn row(change: &RecordWrite) -> Result<Row, serde_json::Error> {
    if let Some(outcome) = change.progress.outcome {
        return Ok(Row {
            key: keys::ended(&change.job),
            value: serde_json::to_vec(&EndRecord { outcome })?,
            replaces: None,
        });
    }
    Ok(Row {
        key: keys::progress(&change.job),
        value: serde_json::to_vec(&change.progress)?,
        replaces: change.replaces,
    })
}

/// Writes records in one transaction; returns whether all of them are durable unchanged.
///
/// Each record is written only over the revision that it replaces, so a delayed write
/// can't undo a later one.
async fn write(term: &Term, changes: &[RecordWrite]) -> bool {
    let rows: Result<Vec<Row>, _> = changes.iter().map(row).collect();
    let rows = match rows {
        Ok(rows) => rows,
        Err(error) => {
            tracing::error!(%error, records = changes.len(), "can't encode records of jobs; none of these is written");
            return false;
        }
    };
    if end_unrecordable_jobs(term, changes, &rows) {
        return false;
    }
    let txn = transaction(term, changes, &rows);
    let mut backoff = Backoff::with_random_seed();
    loop {
        if term.is_over() {
            return false;
        }
        let sent_at = term.now();
        match term.store.txn(txn.clone()).await {
            Ok(reply) if reply.succeeded => {
                if backoff.failures() > 0 {
                    tracing::info!("store available again; records written");
                }
                term.record_proof(sent_at);
                let mut owner = term.owner();
                for change in changes {
                    owner.record_written(&change.job, reply.revision);
                    if change.is_end {
                        tracing::info!(
                            job = %change.job,
                            revision = reply.revision,
                            write_ms = term.now().since(sent_at).as_millis() as u64,
                            "end of the job recorded"
                        );
                    }
                }
                return true;
            }
            Ok(reply) => return resolve_refusal(term, changes, &rows, &reply),
            Err(error) => {
                if backoff.failures() == 0 {
                    tracing::warn!(
                        %error,
                        may_have_run = error.verdict != Verdict::NotRun,
                        records = changes.len(),
                        "store unavailable; records wait"
                    );
                }
                let pause = async {
                    smol::Timer::after(backoff.next_delay().min(MAX_RETRY_DELAY)).await;
                };
                pause.or(term.wait_until_over()).await;
            }
        }
    }
}

/// Ends the jobs whose records are too long; returns whether there are any. The store would
/// refuse the whole transaction, each time. The other records are written again.
fn end_unrecordable_jobs(term: &Term, changes: &[RecordWrite], rows: &[Row]) -> bool {
    let is_too_long = |row: &Row| row.value.len() > MAX_VALUE_BYTES;
    if !rows.iter().any(is_too_long) {
        return false;
    }
    let now = term.now();
    let mut owner = term.owner();
    for (change, row) in changes.iter().zip(rows) {
        match is_too_long(row) {
            true => owner.record_too_long(now, &change.job, row.value.len()),
            false => owner.record_not_written(&change.job, change.replaces),
        }
    }
    true
}

fn transaction(term: &Term, changes: &[RecordWrite], rows: &[Row]) -> Txn {
    let mut txn = Txn {
        compares: vec![term.is_latest_term()],
        ops: Vec::new(),
        otherwise: vec![KeyRange::one(keys::EPOCH)],
    };
    for (change, row) in changes.iter().zip(rows) {
        txn.compares.push(match row.replaces {
            Some(revision) => Compare::ModifiedAt(row.key.clone(), revision),
            None => Compare::Absent(row.key.clone()),
        });
        txn.otherwise.push(KeyRange::one(row.key.as_str()));
        txn.ops
            .push(Op::put(row.key.as_str(), row.value.as_slice()));
        if !change.is_end {
            continue;
        }
        // The record of the end replaces the job and its progress.
        txn.ops.push(delete_op(keys::job(&change.job)));
        if let Some(revision) = change.replaces {
            let key = keys::progress(&change.job);
            txn.compares
                .push(Compare::ModifiedAt(key.clone(), revision));
            txn.otherwise.push(KeyRange::one(key.as_str()));
            txn.ops.push(delete_op(key));
        }
    }
    txn
}

fn delete_op(key: String) -> Op {
    Op::Delete(KeyRange::one(key))
}

/// Compares a refused transaction with the store, which may hold some of the records because
/// an earlier answer was lost; returns whether it holds all of them.
fn resolve_refusal(term: &Term, changes: &[RecordWrite], rows: &[Row], reply: &TxnReply) -> bool {
    let find_item = |key: &str| -> Option<&KeyValue> {
        reply.otherwise.iter().flatten().find(|kv| kv.key == key)
    };
    let epoch = find_item(keys::EPOCH).map(|kv| kv.modified);
    if epoch != Some(term.claim.epoch_revision) {
        tracing::warn!(?epoch, "a later owner has taken over; the term ends");
        term.end();
        return false;
    }
    let mut all_durable = true;
    let mut owner = term.owner();
    for (change, row) in changes.iter().zip(rows) {
        // The first recorded end of a job is final, whichever owner wrote it.
        let is_stored =
            find_item(&row.key).is_some_and(|kv| change.is_end || kv.value == row.value);
        if is_stored {
            let revision = find_item(&row.key).map_or(0, |kv| kv.modified);
            owner.record_written(&change.job, revision);
            continue;
        }
        let progress = find_item(&keys::progress(&change.job)).map(|kv| kv.modified);
        tracing::info!(
            job = %change.job,
            revision = progress,
            "record not stored; writing it again"
        );
        owner.record_not_written(&change.job, progress);
        all_durable = false;
    }
    all_durable
}

/// Deletes the remaining keys of jobs whose retention time after their end is over.
pub(super) async fn remove_ended(term: &Term, jobs: &[JobName]) {
    for group in jobs.chunks((MAX_TXN_ROWS - 1) / 2) {
        let mut txn = Txn {
            compares: vec![term.is_latest_term()],
            ..Txn::default()
        };
        for job in group {
            txn.ops.push(delete_op(keys::ended(job)));
            txn.ops.push(delete_op(keys::cancelled(job)));
        }
        match term.store.txn(txn).await {
            Ok(reply) if reply.succeeded => {
                tracing::info!(jobs = group.len(), "keys of ended jobs deleted");
            }
            Ok(_) => {
                tracing::info!(
                    jobs = group.len(),
                    "keys of ended jobs stay; a later owner has taken over"
                );
                return;
            }
            Err(error) => tracing::info!(%error, jobs = group.len(), "keys of ended jobs may stay"),
        }
    }
}
