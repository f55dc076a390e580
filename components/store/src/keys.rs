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
