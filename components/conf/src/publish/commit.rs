//! The writes of a publication.

use std::collections::BTreeSet;

use kernel::Verdict;
use store::{Compare, KeyRange, Op, Store, StoreError, Txn, TxnReply, backoff::Backoff, keys};

use super::{Chunk, Head, HeadSnapshot, LoadError, PublishError, read_head};

/// How often a write without an answer is repeated.
const MAX_ATTEMPTS: u32 = 6;

/// How the change of the head ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The next head is in force, or was for a time.
    Won(HeadSnapshot),
    /// The head had changed or a chunk was missing; the next head never comes
    /// into force by what was sent.
    Lost(HeadSnapshot),
}

/// Writes the chunks that are not `present` in the store.
///
/// A chunk's key is the hash of its content, so repeating a write is harmless.
pub(super) async fn write_chunks(
    store: &dyn Store,
    chunks: &[Chunk],
    present: &BTreeSet<String>,
) -> Result<(), PublishError> {
    for chunk in chunks {
        if present.contains(&chunk.hash) {
            continue;
        }
        let key = keys::config_chunk(&chunk.hash);
        let txn = Txn {
            compares: vec![Compare::Absent(key.clone())],
            ops: vec![Op::put(key, chunk.bytes.clone())],
            otherwise: Vec::new(),
        };
        // Whatever became of it, the head has not been touched yet.
        let written = repeat(store, &txn).await;
        written.map_err(|error| PublishError::Store(StoreError::not_run(error.message)))?;
    }
    Ok(())
}

/// Puts `next` in the place of the head that was `seen`.
///
/// A repeated swap settles a lost answer: it can only succeed if the earlier
/// one did not, and otherwise reads the head, which remembers who changed it.
pub(super) async fn swap_head(
    store: &dyn Store,
    snapshot: &HeadSnapshot,
    next: &Head,
) -> Result<Outcome, PublishError> {
    let value = serde_json::to_vec(next)
        .unwrap_or_else(|error| unreachable!("a head has only plain fields: {error}"));
    let chunks = next.manifest.0.iter();
    let present = chunks.map(|hash| Compare::Present(keys::config_chunk(hash)));
    let txn = Txn {
        compares: std::iter::once(snapshot.unchanged())
            .chain(present)
            .collect(),
        ops: vec![Op::put(keys::CONFIG_HEAD, value)],
        otherwise: vec![KeyRange::one(keys::CONFIG_HEAD)],
    };
    match repeat(store, &txn).await {
        Ok(reply) if reply.succeeded => Ok(Outcome::Won(HeadSnapshot {
            head: Some(next.clone()),
            modified: reply.revision,
        })),
        Ok(reply) => {
            let now = reply.otherwise.first().map_or(&[][..], Vec::as_slice);
            Ok(outcome(
                HeadSnapshot::from_range(now).map_err(unreadable)?,
                next,
            ))
        }
        Err(error) if error.verdict == Verdict::MayHaveRun => {
            settle(store, snapshot, next, error).await
        }
        Err(error) => Err(PublishError::Store(error)),
    }
}

/// What the head that was read after a swap says of the swap.
fn outcome(now: HeadSnapshot, next: &Head) -> Outcome {
    let ours = next.recent.first();
    match ours.and_then(|applied| now.applied_revision(&applied.id)) {
        Some(_) => Outcome::Won(now),
        None => Outcome::Lost(now),
    }
}

/// Settles a swap without an answer by reading the head.
///
/// While the head is unchanged the swap may still be on its way.
async fn settle(
    store: &dyn Store,
    snapshot: &HeadSnapshot,
    next: &Head,
    lost: StoreError,
) -> Result<Outcome, PublishError> {
    match read_head(store).await {
        Ok(now) if now.modified != snapshot.modified => Ok(outcome(now, next)),
        _ => Err(PublishError::Unknown(lost)),
    }
}

fn unreadable(error: LoadError) -> PublishError {
    PublishError::Unknown(StoreError::may_have_run(error.to_string()))
}

/// Repeats a transaction until it is answered.
///
/// The verdict of the error says whether any of the attempts may have run.
async fn repeat(store: &dyn Store, txn: &Txn) -> Result<TxnReply, StoreError> {
    let mut backoff = Backoff::with_random_seed();
    let mut verdict = Verdict::NotRun;
    loop {
        let error = match store.txn(txn.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        if error.verdict != Verdict::NotRun {
            verdict = Verdict::MayHaveRun;
        }
        let wait = backoff.next_delay();
        if backoff.failures() >= MAX_ATTEMPTS {
            return Err(StoreError { verdict, ..error });
        }
        smol::Timer::after(wait).await;
    }
}
