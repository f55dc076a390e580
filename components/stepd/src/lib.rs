//! The daemons that run jobs of steps.
//!
//! They do the input, output and timing for the decision code in [`steps`]. An entry
//! accepts the calls of clients and may own all jobs; an agent runs on the VM of
//! each worker. All durable state is in the store, so both can be replaced at any time.
//! The traits in [`edge`] are the interface to the platform, so that another platform
//! needs only another adapter. See `docs/STEPS.md`.

pub mod agent;
pub mod edge;
pub mod entry;
pub mod http1;
pub mod keys;
mod metrics;
pub mod passes;
mod secret;
mod time;

pub use time::SteadyClock;
