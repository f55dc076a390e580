//! Placement, admission, fairness and eviction decisions.
//!
//! The crate does no I/O. The owner of a cell registers workers, reservations
//! and waiting tasks and requests the placement of the next task. Callers pass
//! in the time and the random source, so a run can be replayed exactly. See
//! `docs/PLACEMENT.md`.

mod choose;
pub mod claims;
pub mod decision;
mod evict;
pub mod family;
pub mod family_stats;
pub mod fleet;
pub mod interference;
pub mod interference_table;
pub mod learner;
mod ordered_index;
pub mod plugin;
pub mod queue;
pub mod quota;
mod share;
mod spread;
mod team_queue;
pub mod worker;

pub use choose::MAX_SCORED_WORKERS;
pub use decision::{Decision, PlacementRequest, UnplacedReason};
pub use fleet::Fleet;
pub use interference_table::InterferenceTable;
pub use learner::Learner;
pub use ordered_index::OrderedIndex;
pub use queue::Queue;
pub use worker::{Reservation, ReserveError, Worker};
