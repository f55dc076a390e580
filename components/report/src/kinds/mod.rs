//! Kinds of report. Each module registers one kind.

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
    /// Name by which operators request the report.
    pub name: &'static str,
    /// One sentence that describes the question the report answers.
    pub about: &'static str,
    /// Builds the tables of the report.
    pub build_sections: fn(&ReportInput<'_>) -> Vec<Section>,
}

inventory::collect!(ReportKind);

impl Plugin for ReportKind {
    fn name(&self) -> &'static str {
        self.name
    }
}

/// Error of building a report.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// There is no report of this name.
    #[error("there is no report {name:?}; the reports are {known}")]
    UnknownKind {
        /// Requested name.
        name: String,
        /// Names of the existing reports, separated by commas.
        known: String,
    },
}

/// Checks that there is a report called `name`, before any accounts are read.
///
/// # Errors
///
/// Returns a [`ReportError`] that lists the existing reports if there is none of this name.
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

/// Builds the report called `name`.
///
/// # Errors
///
/// Returns a [`ReportError`] that lists the existing reports if there is none of this name.
pub fn build(name: &str, input: &ReportInput<'_>) -> Result<Report, ReportError> {
    let kind = find(name)?;
    Ok(Report {
        kind: kind.name.to_owned(),
        about: kind.about.to_owned(),
        period: input.accounts.period,
        missing: input.missing(),
        sections: (kind.build_sections)(input),
    })
}

/// Converts products of thousandths and milliseconds to units times seconds.
const MICROS_PER_UNIT: f64 = 1e6;
const MILLIS_PER_UNIT: f64 = 1e3;
const MIB_PER_GIB: f64 = 1024.0;

fn cpu_seconds(amount: &Amount) -> f64 {
    amount.cpu_milli_millis as f64 / MICROS_PER_UNIT
}

fn memory_gib_seconds(amount: &Amount) -> f64 {
    amount.memory_mib_millis as f64 / MILLIS_PER_UNIT / MIB_PER_GIB
}

fn accelerator_seconds(amount: &Amount) -> f64 {
    amount.accelerator_millis as f64 / MILLIS_PER_UNIT
}

fn seconds(amount: &Amount) -> f64 {
    amount.millis as f64 / MILLIS_PER_UNIT
}

fn team_cell(account: &Account) -> TableCell {
    account
        .team
        .as_ref()
        .map_or(TableCell::Nothing, TableCell::text)
}

fn service_cell(account: &Account) -> TableCell {
    account
        .service
        .as_ref()
        .map_or(TableCell::Nothing, TableCell::text)
}

/// Returns the serde name of a unit variant.
fn serde_name(value: impl serde::Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Returns the name of an account in the legend of a plot.
fn account_name(account: &Account) -> String {
    match (&account.team, &account.service) {
        (_, Some(service)) => service.to_string(),
        (Some(team), None) => team.to_string(),
        (None, None) => "unknown".to_owned(),
    }
}

/// Returns the width in microseconds of bins of whole minutes, so that about
/// `max_bins` or fewer of them cover the records.
fn bin_micros(records: &[LedgerRecord], max_bins: u64) -> u64 {
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
    let minutes = (last.saturating_sub(first) / MINUTE)
        .div_ceil(max_bins)
        .max(1);
    minutes * MINUTE
}
