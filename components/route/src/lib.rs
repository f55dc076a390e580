//! Request routing, membership and limits as plain state machines.
//!
//! The crate does no I/O and reads no clock: an entry or agent passes in the
//! time and its events, and carries out the returned actions. `docs/ROUTING.md`
//! explains the decisions and `docs/AT-MOST-ONCE.md` how repeated requests are
//! handled.

pub mod admission;
pub mod budget;
pub mod candidates;
pub mod choice;
pub mod home;
pub mod latency;
pub mod limit;
pub mod members;
pub mod outlier;
mod pending;
pub mod record;
pub mod request;
pub mod router;

pub use candidates::CandidateTracker;
pub use members::{Members, VmHeartbeat};
pub use request::{
    Action, AttemptNumber, AttemptOutcome, Candidate, Event, Request, RequestKey, RequestOutcome,
    Tally, TallyKind,
};
pub use router::{Policy, Router};
