//! The process beside each endpoint.
//!
//! It announces its VM to the entries, admits and forwards requests to the
//! local endpoint, and runs tasks through the platform's worker under leases.
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
