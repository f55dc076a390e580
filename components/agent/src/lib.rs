//! The agent process that runs on each VM, next to the
//! endpoints on that VM.
//!
//! It announces its VM to the entries, admits and forwards requests to the
//! local endpoints, and runs tasks through the platform's worker under leases.
//! See `docs/ARCHITECTURE.md`.

pub mod config;
pub mod daemon;
pub mod endpoint;
pub mod heartbeat;
pub mod proxy;
pub mod proxy_http;
mod proxy_metrics;
mod proxy_slots;
pub mod runs;
pub mod targets;
pub mod tasks;
pub mod worker;

pub use proxy::{LocalEndpoint, Proxy};
