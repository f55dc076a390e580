//! Placement, admission, fairness and eviction decisions.
//!
//! Plain decision code without I/O: the owner of a cell feeds it workers,
//! reservations and waiting tasks, and asks it where the next task goes. The
//! time and the random source are passed in, so that a session can be replayed
//! exactly. See `docs/PLACEMENT.md`.

pub mod decision;
pub mod fleet;
pub mod queue;

pub use decision::{Decision, Want, Why};
pub use fleet::{Fleet, Full, Holding, Worker};
pub use queue::Queue;
