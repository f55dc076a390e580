//! Jobs made of steps: their model, their owner, and the agent on the VM of each
//! worker.
//!
//! This crate holds decision code without input and output. [`Owner`] decides which
//! task runs on which worker and which state must be durable; [`AgentState`] is its
//! counterpart on the VM of each worker and grants the leases of the worker's runs. Both
//! take events with the current time and return the actions to carry out. See
//! `docs/STEPS.md`.

pub mod admission;
pub mod agent;
pub mod candidacy;
pub mod config;
pub mod contact;
pub mod crash;
pub mod interference;
pub mod job;
pub mod lending;
pub mod listing;
pub mod locality;
pub mod message;
pub mod owner;
pub mod pace;
pub mod progress;
pub mod registration;
pub mod timing;

pub use agent::AgentState;
pub use candidacy::Candidacy;
pub use config::{Config, Queue};
pub use job::{Job, JobError, Schedule, Step, TaskKey};
pub use owner::{Event, Owner};
pub use progress::{JobState, Outcome, Progress};
pub use registration::Registration;
pub use timing::Timing;
