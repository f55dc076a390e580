//! Routing of requests, membership and limits as plain state machines.
//!
//! Nothing here does I/O or reads a clock: an entry or agent passes the time
//! and what it heard, and carries out what it is told. `docs/ROUTING.md` gives
//! the decisions and `docs/AT-MOST-ONCE.md` the handling of repeated requests.

pub mod admission;
pub mod budget;
pub mod candidates;
pub mod choice;
pub mod home;
pub mod limit;
pub mod members;
pub mod outlier;
mod pending;
pub mod record;
pub mod request;
pub mod router;
pub mod tail;

pub use candidates::CandidateTracker;
pub use members::{Members, VmHeartbeat};
pub use request::{
    Action, AttemptNumber, AttemptOutcome, Candidate, Event, Request, RequestKey, RequestOutcome,
    Tally, TallyKind,
};
pub use router::{Policy, Router};
