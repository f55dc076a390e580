//! Placement, admission, fairness and eviction decisions.
//!
//! Plain decision code without I/O: the owner of a cell feeds it workers,
//! reservations and waiting tasks, and asks it where the next task goes. The
//! time and the random source are passed in, so that a session can be replayed
//! exactly. See `docs/PLACEMENT.md`.

mod choose;
pub mod claims;
pub mod decision;
mod evict;
pub mod family;
pub mod family_stats;
pub mod fleet;
pub mod interference;
pub mod interference_table;
mod lane;
pub mod learner;
pub mod plugin;
pub mod queue;
pub mod quota;
mod share;
mod spread;
pub mod worker;

pub use choose::MAX_SCORED_WORKERS;
pub use decision::{Decision, PlacementRequest, UnplacedReason};
pub use fleet::Fleet;
pub use interference_table::InterferenceTable;
pub use learner::Learner;
pub use queue::Queue;
pub use worker::{Reservation, ReserveError, Worker};
