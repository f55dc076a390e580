//! Writes a publication to the store.

use std::collections::BTreeSet;

use kernel::Verdict;
use store::{Compare, KeyRange, Op, Store, StoreError, Txn, TxnReply, backoff::Backoff, keys};

use super::{Chunk, Head, HeadSnapshot, LoadError, PublishError, read_head};

/// Maximum number of attempts of a write that gets no answer.
const MAX_ATTEMPTS: u32 = 6;

/// Outcome of the change of the head.
#[derive(Debug)]
pub(super) enum SwapOutcome {
    /// The new head is in force, or was until a newer head replaced it.
    Applied(HeadSnapshot),
    /// The head had changed or a chunk was missing. No transaction that was sent can
    /// still put the new head in force.
    NotApplied(HeadSnapshot),
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
        // Whether or not the write took effect, the head is still unchanged.
        let written = retry_txn(store, &txn).await;
        written.map_err(|error| PublishError::Store(StoreError::not_run(error.message)))?;
    }
    Ok(())
}

/// Replaces the head of `snapshot` by `next`.
///
/// A retry resolves a lost answer: the retry can succeed only if no earlier attempt
/// did. Otherwise it reads the head, which records the publications that changed it.
pub(super) async fn swap_head(
    store: &dyn Store,
    snapshot: &HeadSnapshot,
    next: &Head,
) -> Result<SwapOutcome, PublishError> {
    let value = serde_json::to_vec(next)
        .unwrap_or_else(|error| unreachable!("a head has only plain fields: {error}"));
    let chunks = next.manifest.0.iter();
    let present = chunks.map(|hash| Compare::Present(keys::config_chunk(hash)));
    let txn = Txn {
        compares: std::iter::once(snapshot.compare_unchanged())
            .chain(present)
            .collect(),
        ops: vec![Op::put(keys::CONFIG_HEAD, value)],
        otherwise: vec![KeyRange::one(keys::CONFIG_HEAD)],
    };
    match retry_txn(store, &txn).await {
        Ok(reply) if reply.succeeded => Ok(SwapOutcome::Applied(HeadSnapshot {
            head: Some(next.clone()),
            modified: reply.revision,
        })),
        Ok(reply) => {
            let current = reply.otherwise.first().map_or(&[][..], Vec::as_slice);
            Ok(swap_outcome(
                HeadSnapshot::from_range(current).map_err(unreadable_head)?,
                next,
            ))
        }
        Err(error) if error.verdict == Verdict::MayHaveRun => {
            resolve_swap(store, snapshot, next, error).await
        }
        Err(error) => Err(PublishError::Store(error)),
    }
}

/// Derives the outcome of a swap from the head that was read after it.
fn swap_outcome(current: HeadSnapshot, next: &Head) -> SwapOutcome {
    let ours = next.recent.first();
    match ours.and_then(|applied| current.applied_revision(&applied.id)) {
        Some(_) => SwapOutcome::Applied(current),
        None => SwapOutcome::NotApplied(current),
    }
}

/// Resolves a swap without an answer by reading the head.
///
/// While the head is unchanged, the swap may still be in flight and its outcome is
/// unknown.
async fn resolve_swap(
    store: &dyn Store,
    snapshot: &HeadSnapshot,
    next: &Head,
    swap_error: StoreError,
) -> Result<SwapOutcome, PublishError> {
    match read_head(store).await {
        Ok(current) if current.modified != snapshot.modified => Ok(swap_outcome(current, next)),
        _ => Err(PublishError::Unknown(swap_error)),
    }
}

fn unreadable_head(error: LoadError) -> PublishError {
    PublishError::Unknown(StoreError::may_have_run(error.to_string()))
}

/// Retries a transaction until the store answers.
///
/// The verdict of the error states whether any attempt may have run.
async fn retry_txn(store: &dyn Store, txn: &Txn) -> Result<TxnReply, StoreError> {
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
