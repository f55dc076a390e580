//! Removal of chunks that nothing refers to any more.
//!
//! A chunk is deleted only in a transaction that also finds the head unchanged
//! since it was seen not to refer to the chunk, and a head is changed only in a
//! transaction that also finds all its chunks. The store orders the two, so
//! neither a slow clean-up nor a slow publication can break the other.

use store::{KeyRange, Op, Store, StoreError, Txn, keys};

use super::{HeadSnapshot, LoadError, read_head};

/// Every so many revisions all chunks are looked through.
const FULL_EVERY: u64 = 64;
/// How many chunks are read or deleted in one call.
const BATCH: usize = 16;

/// Deletes what the head before referred to and the new one does not.
///
/// A failure leaves chunks behind that a later clean-up finds.
pub(super) async fn after_publish(store: &dyn Store, before: &HeadSnapshot, now: &HeadSnapshot) {
    let kept = now.chunk_hashes();
    let old = before.chunk_hashes();
    let gone: Vec<String> = old.difference(&kept).cloned().collect();
    let result = match delete(store, now, &gone).await {
        Ok(()) if now.revision().0.is_multiple_of(FULL_EVERY) => clean_up(store).await.map(|_| ()),
        Ok(()) => Ok(()),
        Err(error) => Err(LoadError::Store(error)),
    };
    if let Err(error) = result {
        tracing::warn!(%error, "old parts of the configuration were left behind");
    }
}

/// Deletes every chunk that the head does not refer to; the answer is how many
/// were found.
///
/// # Errors
///
/// Returns a [`LoadError`] if the store fails.
pub async fn clean_up(store: &dyn Store) -> Result<usize, LoadError> {
    let now = read_head(store).await?;
    let kept = now.chunk_hashes();
    let prefix = keys::config_chunk("");
    let mut rest = KeyRange::prefix(prefix.clone());
    let mut found = 0;
    loop {
        let reply = store.range(rest.clone(), BATCH as i64).await;
        let reply = reply.map_err(LoadError::Store)?;
        let Some(last) = reply.kvs.last() else {
            return Ok(found);
        };
        rest.from = format!("{}\0", last.key);
        let hashes = reply
            .kvs
            .iter()
            .filter_map(|kv| kv.key.strip_prefix(&prefix));
        let gone: Vec<String> = hashes
            .filter(|hash| !kept.contains(*hash))
            .map(str::to_owned)
            .collect();
        found += gone.len();
        delete(store, &now, &gone).await.map_err(LoadError::Store)?;
        if !reply.more {
            return Ok(found);
        }
    }
}

async fn delete(
    store: &dyn Store,
    now: &HeadSnapshot,
    hashes: &[String],
) -> Result<(), StoreError> {
    for batch in hashes.chunks(BATCH) {
        let keys = batch.iter().map(|hash| keys::config_chunk(hash));
        let txn = Txn {
            compares: vec![now.unchanged()],
            ops: keys.map(|key| Op::Delete(KeyRange::one(key))).collect(),
            otherwise: Vec::new(),
        };
        store.txn(txn).await?;
    }
    Ok(())
}
