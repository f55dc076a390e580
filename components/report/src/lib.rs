//! Accounts and reports: resource use by team, service and zone, and its cost to others.
//!
//! [`ledger`] stores the accounts at a bounded size, [`input`] defines the data that
//! a report reads, and each module of [`kinds`] registers one report. A finished
//! [`Report`] is plain data that is rendered by [`text`], JSON or [`html`]. See
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
