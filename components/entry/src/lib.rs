//! The process on each entry VM.
//!
//! An entry serves callers' and operators' requests, owns cells of workers and
//! keeps their journals in the platform's store. See `docs/ARCHITECTURE.md`.

pub mod accounts;
pub mod caller;
mod caller_accounts;
pub mod caller_http;
mod caller_run;
mod caller_service;
pub mod cells;
pub mod config;
pub mod daemon;
mod exchange;
pub mod members;
pub mod metrics;
pub mod operator;
pub mod peers;
mod system;

pub use caller::{CallerFrontend, FrontendSetup, InForce};
pub use members::Members;
