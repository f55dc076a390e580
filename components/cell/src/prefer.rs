//! Selection of the entry that should own a cell.

use kernel::{CellName, EntryName};

/// Returns the entry that should own `cell`, by rendezvous hashing over live
/// entries, or `None` without entries.
///
/// Every entry computes the same result without communication. When an entry joins
/// or leaves, only the cells that it gains or loses change their owner.
#[must_use]
pub fn preferred_owner<'a>(
    cell: &CellName,
    entries: impl IntoIterator<Item = &'a EntryName>,
) -> Option<&'a EntryName> {
    let weight = |entry: &EntryName| {
        let mut hash = hash(FNV_OFFSET, cell.as_str());
        hash = self::hash(hash, "\0");
        mix(self::hash(hash, entry.as_str()))
    };
    entries
        .into_iter()
        .max_by_key(|entry| (weight(entry), *entry))
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn hash(seed: u64, text: &str) -> u64 {
    let mut hash = seed;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}

/// Mixes the bits, so that similar names give unrelated weights (the finalizer of
/// MurmurHash3).
const fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
