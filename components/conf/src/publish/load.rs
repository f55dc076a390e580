//! Reads the published object set.

use std::collections::BTreeMap;

use kernel::{ObjectSet, Verdict};
use store::{KeyRange, Store, StoreError, keys};

use super::{Chunk, HeadSnapshot, PublishError, read_head};

/// Maximum number of attempts to read a set while newer sets replace it.
const MAX_LOAD_ATTEMPTS: u32 = 16;

/// Error of reading the published set.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    /// The store failed.
    #[error("the configuration in the store can't be read: {0}")]
    Store(StoreError),
    /// The store holds a value that does not have the expected content.
    #[error("the configuration in the store is damaged: {0}")]
    Corrupt(String),
    /// Newer sets were published faster than a set could be read.
    #[error("the configuration changed too often while it was read; try again")]
    TooManyChanges,
}

impl LoadError {
    /// Always `NotRun`, since reading has no effects.
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

/// A published set and the head that refers to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Head that refers to the set; holds no head if no set was ever published.
    pub head: HeadSnapshot,
    /// The set, empty if no set was ever published.
    pub objects: ObjectSet,
}

/// Reads published sets and caches the chunks of the newest one, so that after a
/// change only the changed chunks are read.
#[derive(Clone, Debug, Default)]
pub struct Loader {
    chunks: BTreeMap<String, Chunk>,
}

impl Loader {
    /// Reads the newest set.
    ///
    /// # Errors
    ///
    /// Returns a [`LoadError`] if the store fails or its content is invalid, or if
    /// the set changes too often.
    pub async fn load(&mut self, store: &dyn Store) -> Result<Loaded, LoadError> {
        for _ in 0..MAX_LOAD_ATTEMPTS {
            let head = read_head(store).await?;
            if let Some(objects) = self.read_set(store, &head).await? {
                return Ok(Loaded { head, objects });
            }
        }
        Err(LoadError::TooManyChanges)
    }

    /// Reads the set that a head refers to. Returns `None` if a chunk was deleted
    /// because a newer head replaced this one.
    async fn read_set(
        &mut self,
        store: &dyn Store,
        snapshot: &HeadSnapshot,
    ) -> Result<Option<ObjectSet>, LoadError> {
        let hashes = snapshot.chunk_hashes();
        let mut objects = ObjectSet::default();
        for hash in &hashes {
            if !self.chunks.contains_key(hash) {
                let range = KeyRange::one(keys::config_chunk(hash));
                let reply = store.range(range, 1).await.map_err(LoadError::Store)?;
                let Some(kv) = reply.kvs.into_iter().next() else {
                    return Ok(None);
                };
                self.chunks
                    .insert(hash.clone(), Chunk::from_stored(hash, kv.value)?);
            }
            self.chunks[hash].add_to(&mut objects)?;
        }
        self.chunks.retain(|hash, _| hashes.contains(hash));
        Ok(Some(objects))
    }
}
