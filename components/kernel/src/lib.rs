//! Plain types that all crates of hemlockmoor share.
//!
//! The types do no I/O and read no clock, except [`Clock`]. Decision code takes
//! the current [`Time`] as an argument, so a run can be replayed exactly. See
//! `docs/ARCHITECTURE.md` for how the crates fit together.

pub mod account;
pub mod event;
pub mod member;
pub mod name;
pub mod object;
pub mod plugin;
pub mod resources;
pub mod secret;
pub mod sums;
pub mod task;
pub mod time;
pub mod verdict;

pub use account::{Account, AccountPart, DurationClass, Span, Sum, SumKey};
pub use event::{Amount, Cause, Event, EventKind, Party};
pub use member::{EndpointInfo, EndpointLoad, Incarnation, VmInfo};
pub use name::{
    AvailabilityZoneName, CallerName, CellName, EntryName, JobName, LimitName, NameError, PoolName,
    RackName, RequestId, ServiceName, TeamName, VmName,
};
pub use object::{ObjectSet, Revision};
pub use resources::Resources;
pub use sums::{TeamSum, TeamSums};
pub use task::{
    Attempt, Checkpoint, Epoch, JobSpec, TaskClass, TaskId, TaskRun, TaskState, Urgency,
};
pub use time::{BootInstant, Clock, Time};
pub use verdict::Verdict;
