//! Accounts and reports.
