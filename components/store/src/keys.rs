//! The keys that the system uses in the store.
//!
//! All start with [`ROOT`], so that several installations can share a service.

use kernel::{CellName, EntryName, JobName};

/// The start of every key.
pub const ROOT: &str = "hemlockmoor/";

/// The head of the published configuration.
pub const CONFIG_HEAD: &str = "hemlockmoor/config/head";

/// The start of the keys of entries.
pub const ENTRIES: &str = "hemlockmoor/entry/";

/// The start of the keys of all cells.
pub const CELLS: &str = "hemlockmoor/cell/";

/// A part of a configuration, named by the hash of its content.
#[must_use]
pub fn config_chunk(hash: &str) -> String {
    format!("{ROOT}config/chunk/{hash}")
}

/// The leased key of an entry.
#[must_use]
pub fn entry(name: &EntryName) -> String {
    format!("{ENTRIES}{name}")
}

/// The start of the keys of one cell.
#[must_use]
pub fn cell(name: &CellName) -> String {
    format!("{CELLS}{name}/")
}

/// Which cell took a job; the one place that decides whether it was accepted.
#[must_use]
pub fn job(name: &JobName) -> String {
    format!("{ROOT}job/{name}")
}

/// The start of the keys of accounts, one for each part, by the hour of its start.
pub const ACCOUNT_PARTS: &str = "hemlockmoor/accounts/part/";

/// The start of the keys of folded accounts, one for each day.
pub const ACCOUNT_DAYS: &str = "hemlockmoor/accounts/day/";

/// All parts of accounts that start within the hour that starts at `hour`, in
/// seconds since the Unix epoch.
#[must_use]
pub fn account_hour(hour: u64) -> String {
    format!("{ACCOUNT_PARTS}{hour:012}/")
}

/// A part of the accounts of one life of an entry.
#[must_use]
pub fn account_part(hour: u64, entry: &EntryName, incarnation: u64, number: u64) -> String {
    format!(
        "{}{entry}/{incarnation:020}/{number:010}",
        account_hour(hour)
    )
}

/// The folded accounts of the day that starts at `day`, in seconds since the
/// Unix epoch.
#[must_use]
pub fn account_day(day: u64) -> String {
    format!("{ACCOUNT_DAYS}{day:012}")
}
