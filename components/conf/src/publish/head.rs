//! The head: the key that selects the configuration in force.

use std::collections::BTreeSet;

use kernel::{Revision, Time};
use serde::{Deserialize, Serialize};
use store::{Compare, KeyRange, KeyValue, Store, StoreRevision, keys};

use super::{ApplyInfo, Chunk, LoadError};

/// Number of publications that the head records, to resolve publications whose
/// answer was lost.
const RECENT_APPLIED: usize = 64;

/// Identity of one publication, chosen by the client that requests it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApplyId(pub String);

/// The chunks of a set, by the hashes of their content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Manifest(pub BTreeSet<String>);

impl Manifest {
    /// Creates the manifest of `chunks`.
    #[must_use]
    pub fn of(chunks: &[Chunk]) -> Self {
        Self(chunks.iter().map(|chunk| chunk.hash.clone()).collect())
    }
}

/// A publication that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Identity of the publication.
    pub id: ApplyId,
    /// Revision that the publication created.
    pub revision: Revision,
}

/// Value of the head key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision in force.
    pub revision: Revision,
    /// Chunks of the set in force.
    pub manifest: Manifest,
    /// Operator who published the revision.
    pub who: String,
    /// Time at which the publication was requested.
    #[serde(rename = "at")]
    pub requested_at: Time,
    /// Most recent publications, newest first; the first one created this head.
    pub recent: Vec<Applied>,
}

/// The head as read at one store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadSnapshot {
    /// Value of the head, `None` if no set was ever published.
    pub head: Option<Head>,
    /// Store revision of the last change of the head, 0 if there is no head.
    pub modified: StoreRevision,
}

impl HeadSnapshot {
    /// Decodes the result of a range read of the head key.
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

    /// Returns the revision in force, 0 if no set was ever published.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let head = self.head.as_ref();
        head.map(|head| head.revision).unwrap_or_default()
    }

    /// Returns the operator who published the revision in force, empty if no set was
    /// ever published.
    #[must_use]
    pub fn publisher(&self) -> String {
        let head = self.head.as_ref();
        head.map(|head| head.who.clone()).unwrap_or_default()
    }

    /// Returns the revision that the publication `id` created, or `None` if the head
    /// does not record it.
    #[must_use]
    pub fn applied_revision(&self, id: &ApplyId) -> Option<Revision> {
        let recent = &self.head.as_ref()?.recent;
        let found = recent.iter().find(|applied| applied.id == *id)?;
        Some(found.revision)
    }

    /// Returns the hashes of the chunks that the head refers to.
    #[must_use]
    pub fn chunk_hashes(&self) -> BTreeSet<String> {
        let head = self.head.as_ref();
        head.map(|head| head.manifest.0.clone()).unwrap_or_default()
    }

    /// Creates the head of the next revision.
    pub(super) fn next_head(&self, manifest: Manifest, apply: &ApplyInfo) -> Head {
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

    /// Returns the comparison that holds while the head has not changed since it was
    /// read.
    pub(super) fn compare_unchanged(&self) -> Compare {
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
