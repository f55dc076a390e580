//! Accounts and reports: who got what, when, and at whose expense.
//!
//! [`ledger`] keeps the accounts at a bounded size, [`input`] is what a report
//! reads, and each module of [`kinds`] registers one report. A finished
//! [`Report`] is plain data that [`text`], JSON and [`html`] show. See
//! `docs/ACCOUNTS.md` and `docs/operations/REPORTS.md`.

pub mod format;
pub mod html;
pub mod input;
pub mod kinds;
pub mod ledger;
pub mod model;
pub mod plot;
pub mod quantiles;
pub mod text;

pub use input::{Accounts, Filter, Input, Line, Period};
pub use kinds::{ReportError, ReportKind, build, check_kind};
pub use ledger::{Bounds, Ledger};
pub use model::{Cell, Column, Plot, Report, Section, Series};
