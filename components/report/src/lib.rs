//! Accounts and reports: who got what, when, and at whose expense.
//!
//! [`ledger`] keeps the accounts at a bounded size, [`input`] is what a report
//! reads, and each module of [`kinds`] registers one report. A finished
//! [`Report`] is plain data that [`text`], JSON and [`html`] show. See
//! `docs/ACCOUNTS.md` and `docs/operations/REPORTS.md`.

pub mod format;
pub mod histogram;
pub mod html;
pub mod input;
pub mod kinds;
pub mod ledger;
pub mod model;
pub mod plot;
pub mod text;

pub use input::{Accounts, Filter, LedgerRecord, Period, ReportInput};
pub use kinds::{ReportError, ReportKind, build, check_kind};
pub use ledger::{Ledger, LedgerBounds};
pub use model::{Column, Plot, Report, Section, Series, TableCell};
