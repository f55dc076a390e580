//! Publishes a checked set, so that it comes into force everywhere and never
//! reverts.
//!
//! The set is written as content-addressed chunks; then one compare-and-swap of
//! the head makes it the next revision. `docs/CONFIGURATION.md` explains why this
//! tolerates lost answers, concurrent operators and concurrent clean-ups.

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
use commit::SwapOutcome;

/// Maximum number of attempts to change the head while concurrent clean-ups delete
/// the new chunks.
const MAX_SWAP_ATTEMPTS: u32 = 8;

/// Identity and origin of a publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyInfo {
    /// Identity of the publication. A repeated publication with the same identity has
    /// no further effect.
    pub id: ApplyId,
    /// Operator who publishes.
    pub who: String,
    /// Time at which the publication was requested.
    #[serde(rename = "at")]
    pub requested_at: Time,
}

/// Result of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Revision of the published set.
    pub revision: Revision,
    /// Whether the set differs from the one in force before.
    pub changed: bool,
}

/// Error of a publication, which did not take effect or may not have.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// Another operator published concurrently.
    #[error("{who} published revision {head} meanwhile, which would be overwritten:\n{difference}")]
    Conflict {
        /// Revision in force.
        head: Revision,
        /// Operator who published that revision.
        who: String,
        /// Changes that the rejected set would make to that revision.
        difference: Diff,
    },
    /// The set is too large.
    #[error(transparent)]
    Split(#[from] SplitError),
    /// The set in force can't be read.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The store failed and the head was not changed.
    #[error("the store failed, so this request published nothing: {0}")]
    Store(StoreError),
    /// The store did not answer the change of the head.
    #[error(
        "it is not known whether the publication took effect: {0}; repeat it under the same apply id"
    )]
    Unknown(StoreError),
}

impl PublishError {
    /// Returns whether the set may be in force.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unknown(_) => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Publishes a checked set. If `base` is given, the set only replaces that revision.
///
/// # Errors
///
/// Returns a [`PublishError`] whose verdict states whether the set may be in
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
        return Err(conflict_error(store, objects).await?);
    }
    match try_publish(store, &snapshot, objects, apply).await? {
        Some(published) => Ok(published),
        None => Err(conflict_error(store, objects).await?),
    }
}

/// Publishes the set if the head still equals `snapshot`. Returns `None` if another
/// publication replaced the head.
async fn try_publish(
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
    let next = snapshot.next_head(manifest, apply);
    let mut present = snapshot.chunk_hashes();
    for _ in 0..MAX_SWAP_ATTEMPTS {
        commit::write_chunks(store, &chunks, &present).await?;
        match commit::swap_head(store, snapshot, &next).await? {
            SwapOutcome::Applied(head) => {
                cleanup::delete_replaced(store, snapshot, &head).await;
                return Ok(Some(Published {
                    revision: head.applied_revision(&apply.id).unwrap_or(next.revision),
                    changed: true,
                }));
            }
            // The head is unchanged, so a chunk was missing: write all chunks again.
            SwapOutcome::NotApplied(head) if head.modified == snapshot.modified => present.clear(),
            SwapOutcome::NotApplied(_) => return Ok(None),
        }
    }
    let message = "concurrent clean-ups kept deleting the chunks of the new revision; try again";
    Err(PublishError::Store(StoreError::not_run(message)))
}

/// Creates the error of a rejected set, with its difference to the set in force.
async fn conflict_error(store: &dyn Store, objects: &ObjectSet) -> Result<PublishError, LoadError> {
    let in_force = Loader::default().load(store).await?;
    Ok(PublishError::Conflict {
        head: in_force.head.revision(),
        who: in_force.head.publisher(),
        difference: diff(&in_force.objects, objects),
    })
}
