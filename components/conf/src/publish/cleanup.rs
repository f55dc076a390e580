//! Deletes chunks that the head no longer refers to.
//!
//! A transaction deletes a chunk only if the head has not changed since it was
//! read without a reference to the chunk. A transaction changes the head only if
//! all chunks of the new head exist. The store serializes the transactions, so
//! neither a slow clean-up nor a slow publication can break the other.

use store::{KeyRange, Op, Store, StoreError, Txn, keys};

use super::{HeadSnapshot, LoadError, read_head};

/// Number of revisions between clean-ups that check all chunks.
const FULL_CLEANUP_INTERVAL: u64 = 64;
/// Number of chunks that one store call reads or deletes.
const BATCH_SIZE: usize = 16;

/// Deletes the chunks of the previous head that the current head does not refer to.
///
/// After a failure the chunks remain in the store until a later clean-up.
pub(super) async fn delete_replaced(
    store: &dyn Store,
    previous: &HeadSnapshot,
    current: &HeadSnapshot,
) {
    let referenced = current.chunk_hashes();
    let replaced = previous.chunk_hashes();
    let unreferenced: Vec<String> = replaced.difference(&referenced).cloned().collect();
    let result = match delete_chunks(store, current, &unreferenced).await {
        Ok(()) if current.revision().0.is_multiple_of(FULL_CLEANUP_INTERVAL) => {
            clean_up(store).await.map(|_| ())
        }
        Ok(()) => Ok(()),
        Err(error) => Err(LoadError::Store(error)),
    };
    if let Err(error) = result {
        tracing::warn!(%error, "unreferenced configuration chunks not deleted; a later clean-up retries");
    }
}

/// Deletes every chunk that the head does not refer to and returns the number of
/// such chunks.
///
/// # Errors
///
/// Returns a [`LoadError`] if the store fails.
pub async fn clean_up(store: &dyn Store) -> Result<usize, LoadError> {
    let current = read_head(store).await?;
    let referenced = current.chunk_hashes();
    let prefix = keys::config_chunk("");
    let mut remaining = KeyRange::prefix(prefix.clone());
    let mut found = 0;
    loop {
        let reply = store.range(remaining.clone(), BATCH_SIZE as i64).await;
        let reply = reply.map_err(LoadError::Store)?;
        let Some(last) = reply.kvs.last() else {
            return Ok(found);
        };
        remaining.from = format!("{}\0", last.key);
        let hashes = reply
            .kvs
            .iter()
            .filter_map(|kv| kv.key.strip_prefix(&prefix));
        let unreferenced: Vec<String> = hashes
            .filter(|hash| !referenced.contains(*hash))
            .map(str::to_owned)
            .collect();
        found += unreferenced.len();
        delete_chunks(store, &current, &unreferenced)
            .await
            .map_err(LoadError::Store)?;
        if !reply.more {
            return Ok(found);
        }
    }
}

async fn delete_chunks(
    store: &dyn Store,
    current: &HeadSnapshot,
    hashes: &[String],
) -> Result<(), StoreError> {
    for batch in hashes.chunks(BATCH_SIZE) {
        let keys = batch.iter().map(|hash| keys::config_chunk(hash));
        let txn = Txn {
            compares: vec![current.compare_unchanged()],
            ops: keys.map(|key| Op::Delete(KeyRange::one(key))).collect(),
            otherwise: Vec::new(),
        };
        store.txn(txn).await?;
    }
    Ok(())
}
