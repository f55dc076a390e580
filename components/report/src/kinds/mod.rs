//! The kinds of report; each module registers its own.

use kernel::{
    Account, Amount,
    plugin::{self, Plugin, inventory},
};

use crate::{LedgerRecord, Report, ReportInput, Section, model::TableCell};

mod allocations;
mod burn;
mod expense;
mod wait;
mod zones;

/// A kind of report.
#[derive(Debug)]
pub struct ReportKind {
    /// Its name, as operators give it.
    pub name: &'static str,
    /// One sentence that says what it answers.
    pub about: &'static str,
    /// Makes its tables.
    pub make: fn(&ReportInput<'_>) -> Vec<Section>,
}

inventory::collect!(ReportKind);

impl Plugin for ReportKind {
    fn name(&self) -> &'static str {
        self.name
    }
}

/// Why a report can't be made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// There is no such kind.
    #[error("there is no report {name:?}; the reports are {known}")]
    UnknownKind {
        /// The name that was asked for.
        name: String,
        /// The names that exist.
        known: String,
    },
}

/// Finds out whether there is a report called `name`, before anything is read.
///
/// # Errors
///
/// Returns a [`ReportError`] that lists the kinds if there is none called so.
pub fn check_kind(name: &str) -> Result<(), ReportError> {
    find(name).map(|_| ())
}

fn find(name: &str) -> Result<&'static ReportKind, ReportError> {
    if let Some(kind) = plugin::find::<ReportKind>(name) {
        return Ok(kind);
    }
    let kinds = plugin::registered::<ReportKind>();
    let known: Vec<&str> = kinds.iter().map(|kind| kind.name).collect();
    Err(ReportError::UnknownKind {
        name: name.to_owned(),
        known: known.join(", "),
    })
}

/// Makes the report called `name`.
///
/// # Errors
///
/// Returns a [`ReportError`] that lists the kinds if there is none called so.
pub fn build(name: &str, input: &ReportInput<'_>) -> Result<Report, ReportError> {
    let kind = find(name)?;
    Ok(Report {
        kind: kind.name.to_owned(),
        about: kind.about.to_owned(),
        period: input.accounts.period,
        missing: input.missing(),
        sections: (kind.make)(input),
    })
}

/// The number of micro-units in a unit, for sums in thousandths times milliseconds.
const MICRO: f64 = 1e6;
const MILLI: f64 = 1e3;
const MIB_PER_GIB: f64 = 1024.0;

fn cpu_seconds(amount: &Amount) -> f64 {
    amount.cpu_milli_millis as f64 / MICRO
}

fn memory_gib_seconds(amount: &Amount) -> f64 {
    amount.memory_mib_millis as f64 / MILLI / MIB_PER_GIB
}

fn accelerator_seconds(amount: &Amount) -> f64 {
    amount.accelerator_millis as f64 / MILLI
}

fn seconds(amount: &Amount) -> f64 {
    amount.millis as f64 / MILLI
}

fn team_cell(account: &Account) -> TableCell {
    account
        .team
        .as_ref()
        .map_or(TableCell::Empty, TableCell::text)
}

fn service_cell(account: &Account) -> TableCell {
    account
        .service
        .as_ref()
        .map_or(TableCell::Empty, TableCell::text)
}

/// The name of a value whose serde form is one word.
fn word(value: impl serde::Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(word)) => word,
        _ => String::new(),
    }
}

/// The name of an account on a plot.
fn account_name(account: &Account) -> String {
    match (&account.team, &account.service) {
        (_, Some(service)) => service.to_string(),
        (Some(team), None) => team.to_string(),
        (None, None) => "unknown".to_owned(),
    }
}

/// Cuts a span into at most `most` equal bins of whole minutes.
fn bin_micros(records: &[LedgerRecord], most: u64) -> u64 {
    const MINUTE: u64 = 60_000_000;
    let first = records
        .iter()
        .map(|record| record.from.0)
        .min()
        .unwrap_or(0);
    let last = records
        .iter()
        .map(|record| record.until.0)
        .max()
        .unwrap_or(0);
    let minutes = (last.saturating_sub(first) / MINUTE).div_ceil(most).max(1);
    minutes * MINUTE
}
