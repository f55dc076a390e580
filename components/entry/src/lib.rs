//! The process on each entry VM.

pub mod accounts;
pub mod caller;
mod caller_accounts;
pub mod caller_http;
mod caller_run;
mod caller_service;
pub mod config;
pub mod members;
pub mod operator;
pub mod peers;

pub use caller::{Callers, InForce, Parts};
pub use members::Members;
pub mod cells;
