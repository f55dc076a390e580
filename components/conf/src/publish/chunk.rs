//! A set in pieces that fit into the store.

use std::collections::BTreeMap;

use kernel::{
    ObjectSet,
    plugin::{Plugin, find, registered},
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::LoadError;
use crate::objects::{ExportedObjects, ObjectId, ObjectKind};

/// The largest chunk, in bytes: below the largest value that the store takes.
pub const MAX_CHUNK_BYTES: usize = 1_000_000;
/// The most chunks of a set, since one transaction names them all.
pub const MAX_CHUNKS: usize = 100;
/// The size aimed at, in bytes: a small change should rewrite little.
const TARGET_CHUNK_BYTES: usize = 200_000;
/// The most parts of one kind.
const MAX_PARTS: usize = 64;

/// Why a set can't be taken apart.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// One object alone is too large.
    #[error("{0} is larger than {MAX_CHUNK_BYTES} bytes; shorten its fields")]
    ObjectTooLarge(ObjectId),
    /// There are too many chunks.
    #[error("the set needs {0} chunks of at most {MAX_CHUNKS}; remove objects")]
    TooManyChunks(usize),
}

/// Some objects of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The hash of `bytes`, as hexadecimal digits.
    pub hash: String,
    /// What is written to the store.
    pub bytes: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Content {
    kind: String,
    objects: ExportedObjects,
}

impl Chunk {
    fn of(kind: &str, objects: ExportedObjects) -> Self {
        let content = Content {
            kind: kind.to_owned(),
            objects,
        };
        let bytes = serde_json::to_vec(&content)
            .unwrap_or_else(|error| unreachable!("a chunk has only plain fields: {error}"));
        let hash = hash(&bytes);
        Self { hash, bytes }
    }

    /// Takes bytes read under `hash`.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Corrupt`] if they are not what was written.
    pub(super) fn read(hash: &str, bytes: Vec<u8>) -> Result<Self, LoadError> {
        if self::hash(&bytes) != hash {
            let message = format!("the chunk {hash} has another content");
            return Err(LoadError::Corrupt(message));
        }
        Ok(Self {
            hash: hash.to_owned(),
            bytes,
        })
    }

    /// Adds its objects to `set`.
    pub(super) fn add_to(&self, set: &mut ObjectSet) -> Result<(), LoadError> {
        let corrupt = |message: String| LoadError::Corrupt(format!("{}: {message}", self.hash));
        let content: Content =
            serde_json::from_slice(&self.bytes).map_err(|e| corrupt(e.to_string()))?;
        let kind = find::<ObjectKind>(&content.kind)
            .ok_or_else(|| corrupt(format!("there is no kind {}", content.kind)))?;
        (kind.import)(set, content.objects).map_err(|e| corrupt(e.to_string()))
    }
}

fn hash(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Takes a set apart; equal sets give equal chunks.
pub(super) fn split(set: &ObjectSet) -> Result<Vec<Chunk>, SplitError> {
    let mut chunks = Vec::new();
    for kind in registered::<ObjectKind>() {
        let objects = (kind.export)(set);
        if !objects.is_empty() {
            chunks.extend(split_kind(kind.name(), objects)?);
        }
    }
    if chunks.len() > MAX_CHUNKS {
        return Err(SplitError::TooManyChunks(chunks.len()));
    }
    Ok(chunks)
}

/// Spreads the objects of a kind by the hashes of their names, so that a change
/// of one object changes one chunk.
fn split_kind(kind: &str, objects: ExportedObjects) -> Result<Vec<Chunk>, SplitError> {
    for (name, object) in &objects {
        if object.to_string().len() + name.len() > MAX_CHUNK_BYTES / 2 {
            return Err(SplitError::ObjectTooLarge(ObjectId::new(kind, name)));
        }
    }
    let whole = Chunk::of(kind, objects.clone());
    let mut parts = whole
        .bytes
        .len()
        .div_ceil(TARGET_CHUNK_BYTES)
        .next_power_of_two();
    if parts == 1 {
        return Ok(vec![whole]);
    }
    loop {
        let chunks = spread(kind, &objects, parts);
        let fits = chunks
            .iter()
            .all(|chunk| chunk.bytes.len() <= MAX_CHUNK_BYTES);
        if fits {
            return Ok(chunks);
        }
        if parts >= MAX_PARTS {
            return Err(SplitError::TooManyChunks(parts * 2));
        }
        parts *= 2;
    }
}

fn spread(kind: &str, objects: &ExportedObjects, parts: usize) -> Vec<Chunk> {
    let mut buckets: BTreeMap<usize, ExportedObjects> = BTreeMap::new();
    for (name, object) in objects {
        let digest = Sha256::digest(name.as_bytes());
        let bucket = usize::from(u16::from_be_bytes([digest[0], digest[1]])) % parts;
        let objects = buckets.entry(bucket).or_default();
        objects.insert(name.clone(), object.clone());
    }
    let chunks = buckets.into_values();
    chunks.map(|objects| Chunk::of(kind, objects)).collect()
}
