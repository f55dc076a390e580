//! Logs, metrics and health of a daemon.
//!
//! Every daemon logs JSON lines to its standard output and serves `/metrics`,
//! `/healthz` and `/readyz`. See `docs/OPERATIONS.md`.

pub mod health;
pub mod latency;
pub mod listen;
pub mod logs;

pub use health::{Health, routes};
pub use latency::latency_histogram;
pub use listen::{ListenError, listen};
