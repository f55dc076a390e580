//! The keys of a cell in the store.
//!
//! The keys that all entries read often, those under [`OWNERS`], stand apart
//! from the journals, so that one short read shows every cell with its owner.

use kernel::{CellName, Epoch, JobName};
use store::{KeyRange, keys};

/// The start of the keys that say who owns which cell.
pub const OWNERS: &str = "hemlockmoor/cells/";

/// The number of the current owner's term; exists once the cell was ever owned.
#[must_use]
pub fn epoch(cell: &CellName) -> String {
    format!("{OWNERS}{cell}/epoch")
}

/// The leased key of the current owner.
#[must_use]
pub fn owner(cell: &CellName) -> String {
    format!("{OWNERS}{cell}/owner")
}

/// The last epoch whose owner ended its term in an orderly way.
#[must_use]
pub fn handover(cell: &CellName) -> String {
    format!("{OWNERS}{cell}/handover")
}

/// One group of the journal; the keys sort in the order of the groups.
#[must_use]
pub fn group(cell: &CellName, epoch: Epoch, seq: u64) -> String {
    format!("{}{:012}-{seq:012}", journal_prefix(cell), epoch.0)
}

/// All groups of the journal.
#[must_use]
pub fn journal(cell: &CellName) -> KeyRange {
    KeyRange::prefix(journal_prefix(cell))
}

/// The groups up to and including one.
#[must_use]
pub fn journal_through(cell: &CellName, epoch: Epoch, seq: u64) -> KeyRange {
    KeyRange {
        from: journal_prefix(cell),
        until: format!("{}\0", group(cell, epoch, seq)),
    }
}

/// The key that says which snapshot counts.
#[must_use]
pub fn snapshot_head(cell: &CellName) -> String {
    format!("{}snapshot", keys::cell(cell))
}

/// One chunk of a snapshot.
#[must_use]
pub fn snapshot_chunk(cell: &CellName, epoch: Epoch, seq: u64, chunk: usize) -> String {
    format!("{}{:012}-{seq:012}-{chunk:06}", chunk_prefix(cell), epoch.0)
}

/// All chunks of the snapshot that ends with one group.
#[must_use]
pub fn snapshot_chunks(cell: &CellName, epoch: Epoch, seq: u64) -> KeyRange {
    KeyRange::prefix(format!("{}{:012}-{seq:012}-", chunk_prefix(cell), epoch.0))
}

/// All chunks of snapshots older than the one that ends with the given group.
#[must_use]
pub fn older_chunks(cell: &CellName, epoch: Epoch, seq: u64) -> KeyRange {
    KeyRange {
        from: chunk_prefix(cell),
        until: snapshot_chunk(cell, epoch, seq, 0),
    }
}

/// All items that wait for the owner.
#[must_use]
pub fn inbox(cell: &CellName) -> KeyRange {
    KeyRange::prefix(inbox_prefix(cell))
}

/// A submitted job that waits for the owner.
#[must_use]
pub fn inbox_job(cell: &CellName, job: &JobName) -> String {
    format!("{}job/{job}", inbox_prefix(cell))
}

/// A cancellation that waits for the owner.
///
/// It sorts after all jobs, so an owner that reads a part of the inbox finds
/// a job before its cancellation.
#[must_use]
pub fn inbox_cancel(cell: &CellName, job: &JobName) -> String {
    format!("{}stop/{job}", inbox_prefix(cell))
}

/// Tasks moved from another cell, named by the group that moved them.
#[must_use]
pub fn inbox_moved(cell: &CellName, job: &JobName, from: &CellName, at: (Epoch, u64)) -> String {
    let (epoch, seq) = (at.0.0, at.1);
    format!("{}moved/{job}/{from}-{epoch}-{seq}", inbox_prefix(cell))
}

fn inbox_prefix(cell: &CellName) -> String {
    format!("{}inbox/", keys::cell(cell))
}

fn journal_prefix(cell: &CellName) -> String {
    format!("{}journal/", keys::cell(cell))
}

fn chunk_prefix(cell: &CellName) -> String {
    format!("{}chunk/", keys::cell(cell))
}
