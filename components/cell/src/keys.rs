//! Store keys of a cell.
//!
//! All entries read the keys under [`OWNERS`] often. These keys have a prefix
//! separate from the journals, so that one short read returns every cell with its
//! owner.

use kernel::{CellName, Epoch, JobName};
use store::{KeyRange, keys};

/// Prefix of the keys that record the owner of each cell.
pub const OWNERS: &str = "hemlockmoor/cells/";

/// Returns the key of the current epoch; absent if the cell was never owned.
#[must_use]
pub fn epoch(cell: &CellName) -> String {
    format!("{OWNERS}{cell}/epoch")
}

/// Returns the key of the current owner, attached to the owner's store lease.
#[must_use]
pub fn owner(cell: &CellName) -> String {
    format!("{OWNERS}{cell}/owner")
}

/// Returns the key of the last epoch whose owner handed the cell over.
#[must_use]
pub fn handover(cell: &CellName) -> String {
    format!("{OWNERS}{cell}/handover")
}

/// Returns the key of one group of the journal; the keys sort in group order.
#[must_use]
pub fn group(cell: &CellName, epoch: Epoch, seq: u64) -> String {
    format!("{}{:012}-{seq:012}", journal_prefix(cell), epoch.0)
}

/// Returns the range of all groups of the journal.
#[must_use]
pub fn journal(cell: &CellName) -> KeyRange {
    KeyRange::prefix(journal_prefix(cell))
}

/// Returns the range of groups up to and including the given one.
#[must_use]
pub fn journal_through(cell: &CellName, epoch: Epoch, seq: u64) -> KeyRange {
    KeyRange {
        from: journal_prefix(cell),
        until: format!("{}\0", group(cell, epoch, seq)),
    }
}

/// Returns the key of the head that names the valid snapshot.
#[must_use]
pub fn snapshot_head(cell: &CellName) -> String {
    format!("{}snapshot", keys::cell(cell))
}

/// Returns the key of one chunk of a snapshot.
#[must_use]
pub fn snapshot_chunk(cell: &CellName, epoch: Epoch, seq: u64, chunk: usize) -> String {
    format!("{}{:012}-{seq:012}-{chunk:06}", chunk_prefix(cell), epoch.0)
}

/// Returns the range of the chunks of the snapshot that ends with the given group.
#[must_use]
pub fn snapshot_chunks(cell: &CellName, epoch: Epoch, seq: u64) -> KeyRange {
    KeyRange::prefix(format!("{}{:012}-{seq:012}-", chunk_prefix(cell), epoch.0))
}

/// Returns the range of all chunks of snapshots older than the one that ends with
/// the given group.
#[must_use]
pub fn older_chunks(cell: &CellName, epoch: Epoch, seq: u64) -> KeyRange {
    KeyRange {
        from: chunk_prefix(cell),
        until: snapshot_chunk(cell, epoch, seq, 0),
    }
}

/// Returns the range of all inbox items.
#[must_use]
pub fn inbox(cell: &CellName) -> KeyRange {
    KeyRange::prefix(inbox_prefix(cell))
}

/// Returns the key of the inbox item of a submitted job.
#[must_use]
pub fn inbox_job(cell: &CellName, job: &JobName) -> String {
    format!("{}job/{job}", inbox_prefix(cell))
}

/// Returns the key of the inbox item of a cancellation.
///
/// The key sorts after all jobs, so an owner that reads a part of the inbox finds
/// a job before its cancellation.
#[must_use]
pub fn inbox_cancel(cell: &CellName, job: &JobName) -> String {
    format!("{}stop/{job}", inbox_prefix(cell))
}

/// Returns the key of the inbox item of tasks moved from another cell; `at` is the
/// epoch and the position of the record that moved them.
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
