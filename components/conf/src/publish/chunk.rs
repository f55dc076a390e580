//! Splits an object set into chunks that fit into the store.

use std::collections::BTreeMap;

use kernel::{
    ObjectSet,
    plugin::{Plugin, find, registered},
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::LoadError;
use crate::objects::{ExportedObjects, ObjectId, ObjectKind};

/// Maximum size of a chunk. It is below the largest value that the store accepts.
pub const MAX_CHUNK_BYTES: usize = 1_000_000;
/// Maximum number of chunks of a set, since one transaction compares all of them.
pub const MAX_CHUNKS: usize = 100;
/// Target size of a chunk, small so that a small change rewrites little.
const TARGET_CHUNK_BYTES: usize = 200_000;
/// Maximum number of chunks of one kind.
const MAX_CHUNKS_PER_KIND: usize = 64;

/// Error of splitting a set into chunks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// One object exceeds half of [`MAX_CHUNK_BYTES`].
    #[error("{0} is larger than {MAX_CHUNK_BYTES} bytes; shorten its fields")]
    ObjectTooLarge(ObjectId),
    /// The set needs this number of chunks, more than [`MAX_CHUNKS`].
    #[error("the set needs {0} chunks of at most {MAX_CHUNKS}; remove objects")]
    TooManyChunks(usize),
}

/// Some objects of one kind, addressed by the hash of their content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// SHA-256 of `bytes` in hexadecimal.
    pub hash: String,
    /// Value that is written to the store, in JSON.
    pub bytes: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Content {
    kind: String,
    objects: ExportedObjects,
}

impl Chunk {
    fn new(kind: &str, objects: ExportedObjects) -> Self {
        let content = Content {
            kind: kind.to_owned(),
            objects,
        };
        let bytes = serde_json::to_vec(&content)
            .unwrap_or_else(|error| unreachable!("a chunk has only plain fields: {error}"));
        let hash = hash(&bytes);
        Self { hash, bytes }
    }

    /// Creates the chunk from `bytes`, which were read at the key of `hash`.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Corrupt`] if the bytes do not match the hash.
    pub(super) fn from_stored(hash: &str, bytes: Vec<u8>) -> Result<Self, LoadError> {
        if self::hash(&bytes) != hash {
            let message = format!("the content of chunk {hash} does not match its hash");
            return Err(LoadError::Corrupt(message));
        }
        Ok(Self {
            hash: hash.to_owned(),
            bytes,
        })
    }

    /// Adds the objects of the chunk to `set`.
    pub(super) fn add_to(&self, set: &mut ObjectSet) -> Result<(), LoadError> {
        let corrupt = |message: String| LoadError::Corrupt(format!("{}: {message}", self.hash));
        let content: Content =
            serde_json::from_slice(&self.bytes).map_err(|e| corrupt(e.to_string()))?;
        let kind = find::<ObjectKind>(&content.kind)
            .ok_or_else(|| corrupt(format!("unknown object kind {}", content.kind)))?;
        (kind.import)(set, content.objects).map_err(|e| corrupt(e.to_string()))
    }
}

fn hash(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Splits a set into chunks. Equal sets yield equal chunks.
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

/// Distributes the objects of a kind by the hashes of their names, so that a
/// change of one object changes one chunk.
fn split_kind(kind: &str, objects: ExportedObjects) -> Result<Vec<Chunk>, SplitError> {
    for (name, object) in &objects {
        if object.to_string().len() + name.len() > MAX_CHUNK_BYTES / 2 {
            return Err(SplitError::ObjectTooLarge(ObjectId::new(kind, name)));
        }
    }
    let whole = Chunk::new(kind, objects.clone());
    let mut chunk_count = whole
        .bytes
        .len()
        .div_ceil(TARGET_CHUNK_BYTES)
        .next_power_of_two();
    if chunk_count == 1 {
        return Ok(vec![whole]);
    }
    loop {
        let chunks = distribute(kind, &objects, chunk_count);
        let fits = chunks
            .iter()
            .all(|chunk| chunk.bytes.len() <= MAX_CHUNK_BYTES);
        if fits {
            return Ok(chunks);
        }
        if chunk_count >= MAX_CHUNKS_PER_KIND {
            return Err(SplitError::TooManyChunks(chunk_count * 2));
        }
        chunk_count *= 2;
    }
}

fn distribute(kind: &str, objects: &ExportedObjects, chunk_count: usize) -> Vec<Chunk> {
    let mut buckets: BTreeMap<usize, ExportedObjects> = BTreeMap::new();
    for (name, object) in objects {
        let digest = Sha256::digest(name.as_bytes());
        let bucket = usize::from(u16::from_be_bytes([digest[0], digest[1]])) % chunk_count;
        let objects = buckets.entry(bucket).or_default();
        objects.insert(name.clone(), object.clone());
    }
    let chunks = buckets.into_values();
    chunks.map(|objects| Chunk::new(kind, objects)).collect()
}
