//! Reading the published set.

use std::collections::BTreeMap;

use kernel::{ObjectSet, Verdict};
use store::{KeyRange, Store, StoreError, keys};

use super::{Chunk, HeadSnapshot, PublishError, read_head};

/// How often reading starts again because a newer set replaced the one read.
const MAX_ROUNDS: u32 = 16;

/// Why the published set can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    /// The store failed.
    #[error("the store failed: {0}")]
    Store(StoreError),
    /// What the store holds was not written by this system.
    #[error("the configuration in the store is damaged: {0}")]
    Corrupt(String),
    /// Newer sets were published faster than one could be read.
    #[error("the configuration changed too often while it was read; try again")]
    TooManyChanges,
}

impl LoadError {
    /// Reading changes nothing.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}

impl From<StoreError> for PublishError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// A set as it was published.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Its head; nothing was ever published if there is none.
    pub head: HeadSnapshot,
    /// The set, empty if nothing was ever published.
    pub objects: ObjectSet,
}

/// Reads published sets and keeps the chunks of the newest, so that a change
/// costs only the reads of changed chunks.
#[derive(Clone, Debug, Default)]
pub struct Loader {
    chunks: BTreeMap<String, Chunk>,
}

impl Loader {
    /// Reads the newest set.
    ///
    /// # Errors
    ///
    /// Returns a [`LoadError`] if the store fails or holds something else.
    pub async fn load(&mut self, store: &dyn Store) -> Result<Loaded, LoadError> {
        for _ in 0..MAX_ROUNDS {
            let snapshot = read_head(store).await?;
            if let Some(objects) = self.read_set(store, &snapshot).await? {
                return Ok(Loaded {
                    head: snapshot,
                    objects,
                });
            }
        }
        Err(LoadError::TooManyChanges)
    }

    /// The set of a head; nothing if a chunk is gone because a newer head
    /// replaced this one.
    async fn read_set(
        &mut self,
        store: &dyn Store,
        snapshot: &HeadSnapshot,
    ) -> Result<Option<ObjectSet>, LoadError> {
        let wanted = snapshot.chunk_hashes();
        let mut objects = ObjectSet::default();
        for hash in &wanted {
            if !self.chunks.contains_key(hash) {
                let range = KeyRange::one(keys::config_chunk(hash));
                let reply = store.range(range, 1).await.map_err(LoadError::Store)?;
                let Some(kv) = reply.kvs.into_iter().next() else {
                    return Ok(None);
                };
                self.chunks
                    .insert(hash.clone(), Chunk::read(hash, kv.value)?);
            }
            self.chunks[hash].add_to(&mut objects)?;
        }
        self.chunks.retain(|hash, _| wanted.contains(hash));
        Ok(Some(objects))
    }
}
