//! Ownership of cells and the task state machine.
//!
//! A cell is a set of workers with one owner. This crate does no I/O: [`Owner`]
//! handles events with the current time and returns actions, [`State`] is the
//! result of replaying a cell's journal, and [`prefer`] selects the entry that
//! should own a cell. The entry process exchanges messages with agents and the
//! store. See `docs/CELLS.md`.

pub mod inbox;
pub mod keys;
pub mod ledger;
pub mod owner;
pub mod prefer;
pub mod record;
pub mod snapshot;
pub mod spread;
pub mod state;
pub mod timing;

pub use inbox::{AcceptedJob, CellShare, InboxItem, MovedTask, TaskRange};
pub use owner::{Action, Answer, Event, Owner, Ownership};
pub use prefer::preferred_owner;
pub use record::{BoundRecord, Group, Record, RunEnd};
pub use snapshot::{Recovered, SnapshotHead, recover};
pub use spread::spread;
pub use state::{Binding, Job, State, Task};
pub use timing::Timing;
