//! Publishing a checked set, so that it comes into force everywhere and never
//! reverts.
//!
//! The set is written as content-addressed chunks; then one compare-and-swap of
//! the head makes it the next revision. `docs/CONFIGURATION.md` says why this
//! stands up to lost answers, racing operators and racing clean-ups.

mod chunk;
mod cleanup;
mod commit;
mod edit;
mod head;
mod load;

use kernel::{ObjectSet, Revision, Time, Verdict};
use serde::{Deserialize, Serialize};
use store::{Store, StoreError};

pub use chunk::{Chunk, MAX_CHUNK_BYTES, MAX_CHUNKS, SplitError};
pub use cleanup::clean_up;
pub use edit::{EditError, drain_vm, edit, set_zone_state, undrain_vm};
pub use head::{Applied, ApplyId, Head, HeadSnapshot, Manifest, read_head};
pub use load::{LoadError, Loaded, Loader};

use crate::{Diff, diff};
use commit::Outcome;

/// How often chunks that were cleaned up by others are written again.
const MAX_ROUNDS: u32 = 8;

/// Who publishes, and under which identity it can be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyInfo {
    /// Repeating a publication under the same identity changes nothing more.
    pub id: ApplyId,
    /// The operator.
    pub who: String,
    /// When it was asked for.
    #[serde(rename = "at")]
    pub requested_at: Time,
}

/// A set that is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Its revision.
    pub revision: Revision,
    /// Whether there was anything to change.
    pub changed: bool,
}

/// Why a set was not published, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// Another operator published meanwhile.
    #[error("{who} published revision {head} meanwhile, which would be overwritten:\n{difference}")]
    Conflict {
        /// The revision in force now.
        head: Revision,
        /// Who published it.
        who: String,
        /// What the refused set would change in it.
        difference: Diff,
    },
    /// The set is too large.
    #[error(transparent)]
    Split(#[from] SplitError),
    /// The set in force can't be read.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The store failed before the head was touched.
    #[error("the store failed: {0}")]
    Store(StoreError),
    /// The store gave no answer to the change of the head.
    #[error("it is not known whether it was published: {0}; repeat it under the same apply id")]
    Unknown(StoreError),
}

impl PublishError {
    /// Whether the set may be in force.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unknown(_) => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Publishes a checked set over the newest revision, or over `base` only.
///
/// # Errors
///
/// Returns a [`PublishError`] whose verdict says whether the set may be in
/// force.
pub async fn publish(
    store: &dyn Store,
    objects: &ObjectSet,
    apply: &ApplyInfo,
    base: Option<Revision>,
) -> Result<Published, PublishError> {
    let snapshot = read_head(store).await?;
    if let Some(revision) = snapshot.applied_revision(&apply.id) {
        return Ok(Published {
            revision,
            changed: true,
        });
    }
    if base.is_some_and(|base| base != snapshot.revision()) {
        return Err(conflict(store, objects).await?);
    }
    match publish_over(store, &snapshot, objects, apply).await? {
        Some(published) => Ok(published),
        None => Err(conflict(store, objects).await?),
    }
}

/// Publishes over exactly the head that was seen; nothing if another one
/// replaced it.
async fn publish_over(
    store: &dyn Store,
    snapshot: &HeadSnapshot,
    objects: &ObjectSet,
    apply: &ApplyInfo,
) -> Result<Option<Published>, PublishError> {
    let chunks = chunk::split(objects)?;
    let manifest = Manifest::of(&chunks);
    if snapshot
        .head
        .as_ref()
        .is_some_and(|head| head.manifest == manifest)
    {
        return Ok(Some(Published {
            revision: snapshot.revision(),
            changed: false,
        }));
    }
    let next = snapshot.next(manifest, apply);
    let mut present = snapshot.chunk_hashes();
    for _ in 0..MAX_ROUNDS {
        commit::write_chunks(store, &chunks, &present).await?;
        match commit::swap_head(store, snapshot, &next).await? {
            Outcome::Won(now) => {
                cleanup::after_publish(store, snapshot, &now).await;
                return Ok(Some(Published {
                    revision: now.applied_revision(&apply.id).unwrap_or(next.revision),
                    changed: true,
                }));
            }
            // Only a chunk can have been missing: write all of them again.
            Outcome::Lost(now) if now.modified == snapshot.modified => present.clear(),
            Outcome::Lost(_) => return Ok(None),
        }
    }
    let message = "the chunks were cleaned up again and again";
    Err(PublishError::Store(StoreError::not_run(message)))
}

/// The difference of a refused set to the one in force now.
async fn conflict(store: &dyn Store, objects: &ObjectSet) -> Result<PublishError, LoadError> {
    let in_force = Loader::default().load(store).await?;
    Ok(PublishError::Conflict {
        head: in_force.head.revision(),
        who: in_force.head.publisher(),
        difference: diff(&in_force.objects, objects),
    })
}
