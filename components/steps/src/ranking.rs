//! Order in which jobs get what is free when not all of them can be in time.
//!
//! It answers a load above capacity, such as a burst of large jobs: in the order of
//! deadlines alone, workers are always busy with the jobs that are nearest to their
//! deadline and miss it, and then all of them do. A job that can't be in time any more
//! therefore yields, at the moment at which what is left of it no longer fits before its
//! deadline. It is still done with what the others leave. See `docs/STEPS.md`.

use std::time::Duration;

use kernel::Time;

/// A job whose result comes later than this many times its objective is of little use, so
/// it yields to jobs that are merely late.
const HOPELESS_AFTER_OBJECTIVES: u32 = 3;

/// What decides the place of a job in the order.
#[derive(Clone, Copy, Debug)]
pub struct WaitingJob {
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// When the owner learned of the job.
    pub since: Time,
    /// Time from then within which the job should be done.
    pub objective: Duration,
    /// Shortest time in which the job can still be done.
    pub remaining: Duration,
    /// Whether the job should be done within its objective; long-running and scheduled
    /// jobs need not.
    pub has_deadline: bool,
}

/// Whether a job can still meet its objective, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It can still be done within its objective.
    OnTime,
    /// It can be done late, but while it is still of use.
    Late,
    /// It will be too late to be of much use.
    Hopeless,
}

/// Place of a job in the order; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    timeliness: Timeliness,
    deadline: Time,
}

impl WaitingJob {
    /// Place of the job at this time.
    #[must_use]
    pub fn rank(&self, now: Time) -> Rank {
        let deadline = self.since + self.objective;
        let last = self.since + self.objective * HOPELESS_AFTER_OBJECTIVES;
        let done_at = now + self.remaining;
        let timeliness = match self.has_deadline {
            true if last.passed(done_at) => Timeliness::Hopeless,
            true if deadline.passed(done_at) => Timeliness::Late,
            _ => Timeliness::OnTime,
        };
        Rank {
            priority: self.priority,
            timeliness,
            deadline,
        }
    }
}
