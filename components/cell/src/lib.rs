//! Ownership of cells and the task state machine.
//!
//! A cell is a set of workers with one owner. Everything here is plain decision
//! code: [`Owner`] takes events with the current time and answers with actions,
//! [`State`] is what the journal of a cell amounts to, and [`prefer`] says which
//! entry should own a cell. The process at an entry moves the bytes. See
//! `docs/CELLS.md`.

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
