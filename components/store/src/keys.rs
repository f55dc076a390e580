//! The keys that the system uses in the store.
//!
//! Every key starts with [`ROOT`], so that several installations can share one service.

use kernel::{CellName, EntryName, JobName};

/// The prefix of every key.
pub const ROOT: &str = "hemlockmoor/";

/// The key of the head of the published configuration.
pub const CONFIG_HEAD: &str = "hemlockmoor/config/head";

/// The prefix of the keys of all entries.
pub const ENTRIES: &str = "hemlockmoor/entry/";

/// The prefix of the keys of all cells.
pub const CELLS: &str = "hemlockmoor/cell/";

/// Returns the key of a configuration chunk, which is named by the hash of its content.
#[must_use]
pub fn config_chunk(hash: &str) -> String {
    format!("{ROOT}config/chunk/{hash}")
}

/// Returns the key that an entry holds under its lease.
#[must_use]
pub fn entry(name: &EntryName) -> String {
    format!("{ENTRIES}{name}")
}

/// Returns the prefix of the keys of one cell.
#[must_use]
pub fn cell(name: &CellName) -> String {
    format!("{CELLS}{name}/")
}

/// Returns the key that records which cell accepted a job.
///
/// This key alone decides whether the job was accepted.
#[must_use]
pub fn job(name: &JobName) -> String {
    format!("{ROOT}job/{name}")
}

/// The prefix of the account parts, which are ordered by the hour of their start.
pub const ACCOUNT_PARTS: &str = "hemlockmoor/accounts/part/";

/// The prefix of the compacted accounts, one key for each day.
pub const ACCOUNT_DAYS: &str = "hemlockmoor/accounts/day/";

/// Returns the prefix of the account parts that start within one hour.
///
/// `hour` is the start of the hour in seconds since the Unix epoch.
#[must_use]
pub fn account_hour(hour: u64) -> String {
    format!("{ACCOUNT_PARTS}{hour:012}/")
}

/// Returns the key of one part of the accounts of one incarnation of an entry.
#[must_use]
pub fn account_part(hour: u64, entry: &EntryName, incarnation: u64, number: u64) -> String {
    format!(
        "{}{entry}/{incarnation:020}/{number:010}",
        account_hour(hour)
    )
}

/// Returns the key of the compacted accounts of one day.
///
/// `day` is the start of the day in seconds since the Unix epoch.
#[must_use]
pub fn account_day(day: u64) -> String {
    format!("{ACCOUNT_DAYS}{day:012}")
}
