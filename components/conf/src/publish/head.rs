//! The one key that says which configuration is in force.

use std::collections::BTreeSet;

use kernel::{Revision, Time};
use serde::{Deserialize, Serialize};
use store::{Compare, KeyRange, KeyValue, Store, StoreRevision, keys};

use super::{ApplyInfo, Chunk, LoadError};

/// How many publications the head remembers, to settle lost answers.
const RECENT_APPLIED: usize = 64;

/// The identity of one publication, chosen by whoever asks for it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApplyId(pub String);

/// The chunks of a set, by the hashes of their content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Manifest(pub BTreeSet<String>);

impl Manifest {
    /// The manifest of these chunks.
    #[must_use]
    pub fn of(chunks: &[Chunk]) -> Self {
        Self(chunks.iter().map(|chunk| chunk.hash.clone()).collect())
    }
}

/// A publication that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Its identity.
    pub id: ApplyId,
    /// The revision that it made.
    pub revision: Revision,
}

/// The value of the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision in force.
    pub revision: Revision,
    /// Its chunks.
    pub manifest: Manifest,
    /// Who published it.
    pub who: String,
    /// When that was asked for.
    #[serde(rename = "at")]
    pub requested_at: Time,
    /// The newest publications, the one that made this head first.
    pub recent: Vec<Applied>,
}

/// The head as it was read at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadSnapshot {
    /// The head, if anything was ever published.
    pub head: Option<Head>,
    /// The store's revision at its last change, 0 if there is none.
    pub modified: StoreRevision,
}

impl HeadSnapshot {
    /// Reads what a range over the head found.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Corrupt`] if the value is not a head.
    pub fn from_range(kvs: &[KeyValue]) -> Result<Self, LoadError> {
        let Some(kv) = kvs.first() else {
            return Ok(Self::default());
        };
        let head = serde_json::from_slice(&kv.value)
            .map_err(|error| LoadError::Corrupt(format!("the head can't be read: {error}")))?;
        Ok(Self {
            head: Some(head),
            modified: kv.modified,
        })
    }

    /// The revision in force, 0 if nothing was ever published.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let head = self.head.as_ref();
        head.map(|head| head.revision).unwrap_or_default()
    }

    /// Who published it.
    #[must_use]
    pub fn publisher(&self) -> String {
        let head = self.head.as_ref();
        head.map(|head| head.who.clone()).unwrap_or_default()
    }

    /// The revision that the publication `id` made, if it is remembered.
    #[must_use]
    pub fn applied_revision(&self, id: &ApplyId) -> Option<Revision> {
        let recent = &self.head.as_ref()?.recent;
        let found = recent.iter().find(|applied| applied.id == *id)?;
        Some(found.revision)
    }

    /// The chunks that the head refers to.
    #[must_use]
    pub fn chunk_hashes(&self) -> BTreeSet<String> {
        let head = self.head.as_ref();
        head.map(|head| head.manifest.0.clone()).unwrap_or_default()
    }

    /// The head that follows this one.
    pub(super) fn next(&self, manifest: Manifest, apply: &ApplyInfo) -> Head {
        let revision = Revision(self.revision().0 + 1);
        let mut recent = vec![Applied {
            id: apply.id.clone(),
            revision,
        }];
        if let Some(head) = &self.head {
            recent.extend(head.recent.iter().cloned());
        }
        recent.truncate(RECENT_APPLIED);
        Head {
            revision,
            manifest,
            who: apply.who.clone(),
            requested_at: apply.requested_at,
            recent,
        }
    }

    /// Holds while the head has not changed since it was read.
    pub(super) fn unchanged(&self) -> Compare {
        Compare::ModifiedAt(keys::CONFIG_HEAD.to_owned(), self.modified)
    }
}

/// Reads the newest head.
///
/// # Errors
///
/// Returns a [`LoadError`] if the store fails or the value is not a head.
pub async fn read_head(store: &dyn Store) -> Result<HeadSnapshot, LoadError> {
    let range = KeyRange::one(keys::CONFIG_HEAD);
    let reply = store.range(range, 1).await.map_err(LoadError::Store)?;
    HeadSnapshot::from_range(&reply.kvs)
}
