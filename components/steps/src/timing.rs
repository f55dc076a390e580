//! The times that owner and keeper agree on.

use std::time::Duration;

/// Spans of leases and of silence. The bounds of a deployment are published
/// with its settings; the rest is derived here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// How long a worker keeps its tasks without a renewal.
    pub lease: Duration,
    /// How long a keeper goes on renewing without word from an owner.
    pub contact_grace: Duration,
    /// How long after the end of a lease a task may still be seen to run.
    pub kill_slack: Duration,
    /// How long the store keeps the owner's key without a renewal.
    pub owner_key: Duration,
    /// How long an owner goes on without a proof that there is no other.
    pub ownership: Duration,
    /// How long after such a proof an owner still lets keepers renew leases.
    pub renewal: Duration,
    /// How long an order to start stays valid after the owner gave it.
    pub start_within: Duration,
    /// How long the members of a gang wait for one another.
    pub gang_wait: Duration,
    /// How long a step that is not near its data takes, as a multiple.
    pub far_factor: f64,
    /// How long a worker takes to stop a task.
    pub stop: Duration,
    /// How long a job that has ended is remembered.
    pub ended_job_retention: Duration,
}

/// The lease of tasks: long enough for an agent to be restarted (about 2 s),
/// short enough that work of a lost worker is soon started elsewhere.
const LEASE: Duration = Duration::from_secs(4);
/// Longer than one waiting report (1 s) and its timeout, so that one lost
/// answer ends no task.
const CONTACT_GRACE: Duration = Duration::from_secs(3);
/// The published slack after a pause of a worker is 300 ms; a tenth more.
const KILL_SLACK: Duration = Duration::from_millis(330);
/// Three tries of a renewal, each with its timeout of 0.9 s.
const OWNER_KEY: Duration = Duration::from_secs(3);
/// Longer than the store's usual outages of about 5 s, in which nobody else can
/// become the owner either.
const OWNERSHIP: Duration = Duration::from_secs(6);
/// Twice the usual time between two proofs, 0.75 s: one that is lost or slow ends
/// nothing. With the leases of 7 s an outage of 8 s is borne.
const RENEWAL: Duration = Duration::from_millis(1500);
/// Below the bounds on draining (2 s) and cancelling (3 s).
const START_WITHIN: Duration = Duration::from_millis(1200);
/// Worker clocks run at most 2% slow.
const SLOWEST_CLOCK: f64 = 0.98;

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: LEASE,
            contact_grace: CONTACT_GRACE,
            kill_slack: KILL_SLACK,
            owner_key: OWNER_KEY,
            ownership: OWNERSHIP,
            renewal: RENEWAL,
            start_within: START_WITHIN,
            gang_wait: Duration::from_secs(3),
            far_factor: 1.5,
            stop: Duration::from_secs(1),
            ended_job_retention: Duration::from_secs(150),
        }
    }
}

impl Timing {
    /// How long after the last answer of a keeper that reached an owner any
    /// task beside that keeper may still run.
    #[must_use]
    pub fn unreachable_agent_timeout(&self) -> Duration {
        (self.contact_grace + self.lease).div_f64(SLOWEST_CLOCK) + self.kill_slack
    }

    /// The time that has passed at least on a worker's clock after `span`.
    #[must_use]
    pub fn min_elapsed_on_worker(span: Duration) -> Duration {
        span.mul_f64(SLOWEST_CLOCK)
    }
}
