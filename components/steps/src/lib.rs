//! Jobs made of steps: what they are, who decides over them and who runs them.
//!
//! Everything here is plain decision code. [`Owner`] decides which task runs on
//! which worker and what has to be durable; [`AgentState`] is its counterpart beside
//! each worker and holds the leases of what runs there. Both take the current
//! time and events and give back what is to be done. See `docs/STEPS.md`.

pub mod agent;
pub mod config;
pub mod interference;
pub mod job;
pub mod message;
pub mod owner;
pub mod pace;
pub mod progress;
pub mod registration;
pub mod timing;

pub use agent::AgentState;
pub use config::{Config, Queue};
pub use job::{Job, JobError, Schedule, Step, TaskKey};
pub use owner::{Event, Owner};
pub use progress::{JobState, Outcome, Progress};
pub use registration::Registration;
pub use timing::Timing;
