//! The process beside each endpoint.

pub mod endpoint;
pub mod proxy;
pub mod proxy_http;
mod proxy_slots;

pub use proxy::{LocalEndpoint, Proxy};
