//! The daemons that run jobs of steps.
//!
//! They move bytes and time for the decision code in [`steps`]. An entry takes
//! clients' calls and may own all jobs; an agent stands beside one worker. What
//! lasts lies in the store, so both can be replaced at any moment. The edges are
//! traits in [`edge`], so that another platform needs only another adapter. See
//! `docs/STEPS.md`.

pub mod agent;
pub mod edge;
pub mod entry;
pub mod http1;
pub mod keys;
mod secret;
mod time;

pub use time::SteadyClock;
