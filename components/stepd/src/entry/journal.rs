//! Writing the records of jobs.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use kernel::{JobName, Verdict};
use steps::owner::RecordWrite;
use store::{Compare, KeyRange, KeyValue, Op, StoreRevision, Txn, TxnReply, backoff::Backoff};

use super::term::Term;
use crate::keys::{self, EndRecord};

/// How many conditions and changes one transaction takes; the store accepts 32.
const MOST_ROWS: usize = 32;
/// What the end of a job takes: two conditions and three changes.
const ROWS_OF_AN_END: usize = 5;
/// What any other record takes: a condition and a change.
const ROWS_OF_A_RECORD: usize = 2;
/// How long records gather that no client waits for. Each write is priced, and a
/// worker lists its ends again until it is told that they are recorded.
const GATHER: Duration = Duration::from_millis(120);
/// Workers wait for records, so a store that returns is found soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Writes records for as long as the term lasts.
pub(super) async fn run(term: Arc<Term>) {
    loop {
        let changed = term.changed.listen();
        if !term.owner().has_changes() {
            changed.await;
        }
        gather(&term).await;
        flush(&term).await;
        term.dispatch();
    }
}

/// Waits until enough has gathered, or something must not wait.
async fn gather(term: &Term) {
    let until = term.now() + GATHER;
    loop {
        let changed = term.changed.listen();
        let now = term.now();
        if until.passed(now) || term.owner().has_urgent_changes() {
            return;
        }
        let timer = async {
            smol::Timer::after(until.remaining(now)).await;
        };
        changed.or(timer).await;
    }
}

/// Writes all records that are due now.
pub(super) async fn flush(term: &Term) {
    let (last, changes) = {
        let mut owner = term.owner();
        (owner.last_change(), owner.take_changes())
    };
    let mut is_whole = true;
    let mut rest = changes.as_slice();
    while !rest.is_empty() {
        let (group, others) = rest.split_at(fitting(rest));
        is_whole &= write(term, group).await;
        rest = others;
    }
    if is_whole {
        term.owner().confirm_durable(last);
    }
}

/// How many of the changes fit into one transaction.
fn fitting(changes: &[RecordWrite]) -> usize {
    let mut rows = 1;
    for (count, change) in changes.iter().enumerate() {
        rows += match change.is_end {
            true => ROWS_OF_AN_END,
            false => ROWS_OF_A_RECORD,
        };
        if rows > MOST_ROWS {
            return count;
        }
    }
    changes.len()
}

/// One key that a record lies under, with its value.
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

/// Writes some records; whether all of them are durable as they are.
///
/// Each record is compared with the revision that it replaces, so a write that
/// the network held back can't undo a later one.
async fn write(term: &Term, changes: &[RecordWrite]) -> bool {
    let rows: Result<Vec<Row>, _> = changes.iter().map(row).collect();
    let rows = match rows {
        Ok(rows) => rows,
        Err(error) => {
            tracing::error!(%error, records = changes.len(), "records can't be written");
            return false;
        }
    };
    let txn = transaction(term, changes, &rows);
    let mut backoff = Backoff::with_random_seed();
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
                    owner.record_written(&change.job, reply.revision);
                }
                return true;
            }
            Ok(reply) => return settle(term, changes, &rows, &reply),
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
                    smol::Timer::after(backoff.next_delay().min(LONGEST_PAUSE)).await;
                };
                pause.or(term.ended()).await;
            }
        }
    }
}

fn transaction(term: &Term, changes: &[RecordWrite], rows: &[Row]) -> Txn {
    let epoch = keys::EPOCH.to_owned();
    let mut txn = Txn {
        compares: vec![Compare::ModifiedAt(epoch, term.claim.epoch_revision)],
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
        // From here on the end alone tells of the job.
        txn.ops.push(remove(keys::job(&change.job)));
        if let Some(revision) = change.replaces {
            let key = keys::progress(&change.job);
            txn.compares
                .push(Compare::ModifiedAt(key.clone(), revision));
            txn.otherwise.push(KeyRange::one(key.as_str()));
            txn.ops.push(remove(key));
        }
    }
    txn
}

fn remove(key: String) -> Op {
    Op::Delete(KeyRange::one(key))
}

/// Finds out from a refusal which records lie in the store already, because an
/// earlier answer was lost; whether all of them do.
fn settle(term: &Term, changes: &[RecordWrite], rows: &[Row], reply: &TxnReply) -> bool {
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
    for (change, row) in changes.iter().zip(rows) {
        // An end that is there stays, whoever wrote it.
        let is_there = found(&row.key).is_some_and(|kv| change.is_end || kv.value == row.value);
        if is_there {
            let revision = found(&row.key).map_or(0, |kv| kv.modified);
            owner.record_written(&change.job, revision);
            continue;
        }
        let progress = found(&keys::progress(&change.job)).map(|kv| kv.modified);
        tracing::info!(job = %change.job, revision = progress, "a record is written again");
        owner.record_not_written(&change.job, progress);
        is_whole = false;
    }
    is_whole
}

/// Removes the last keys of jobs that ended long ago.
pub(super) async fn forget(term: &Term, jobs: &[JobName]) {
    for group in jobs.chunks(MOST_ROWS / 2) {
        let mut txn = Txn::default();
        for job in group {
            txn.ops.push(remove(keys::ended(job)));
            txn.ops.push(remove(keys::cancelled(job)));
        }
        match term.store.txn(txn).await {
            Ok(_) => tracing::info!(jobs = group.len(), "jobs that ended are forgotten"),
            Err(error) => tracing::info!(%error, jobs = group.len(), "keys of ended jobs stay"),
        }
    }
}
