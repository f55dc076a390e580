//! Timeouts that owners and agents must agree on.

use std::time::Duration;

/// Durations of leases and timeouts, and how placement weighs time. A deployment's settings
/// publish their bounds; the other values are derived here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Duration of a task lease: time for which a worker runs a task without a
    /// renewal.
    pub lease: Duration,
    /// Longest lease that a worker grants, whatever a call asks for.
    pub max_lease: Duration,
    /// Time for which an agent continues to renew leases without a call from an owner.
    pub contact_grace: Duration,
    /// Time after the end of a lease during which a task may still be running.
    pub kill_slack: Duration,
    /// Time to live of the owner's key in the store without a renewal.
    pub owner_key: Duration,
    /// Time for which an owner continues without a proof that there is no other owner.
    pub ownership: Duration,
    /// Time after such a proof during which an owner lets agents renew leases.
    pub renewal: Duration,
    /// Time after the last proof that the configuration and the zones out are the newest ones
    /// during which an owner starts tasks.
    pub operator_items: Duration,
    /// Validity of a start order from the time at which the owner sends it.
    pub start_within: Duration,
    /// Time for which the members of a gang wait for each other.
    pub gang_wait: Duration,
    /// Factor by which a step takes longer on a rack away from its data.
    pub far_factor: f64,
    /// Whether tasks may wait for a place near their data, or near each other, while a far one
    /// is free.
    pub wait_for_near: bool,
    /// Time that a worker takes to stop a task.
    pub stop: Duration,
    /// Time for which an ended job is remembered.
    pub ended_job_retention: Duration,
}

/// Task lease: long enough for an agent to restart (about 2 s), short enough to
/// restart the tasks of a lost worker soon.
const LEASE: Duration = Duration::from_secs(4);
/// The longest of the published limits.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Longer than one report poll (1 s) and its timeout, so that a single lost reply does
/// not end any task.
const CONTACT_GRACE: Duration = Duration::from_secs(3);
/// The published slack after a pause of a worker is 300 ms; this is a tenth more.
const KILL_SLACK: Duration = Duration::from_millis(330);
/// Allows two pairs of attempts to renew, each with a timeout of 0.9 s.
const OWNER_KEY: Duration = Duration::from_secs(3);
/// Longer than the usual store outage of about 5 s, during which no other process can
/// become the owner either.
const OWNERSHIP: Duration = Duration::from_secs(6);
/// Twice the usual interval between two proofs (0.75 s), so that one lost or slow
/// proof has no effect. Together with the 7 s of leases this covers an outage of 8 s.
const RENEWAL: Duration = Duration::from_millis(1500);
/// Below the bounds for draining (2 s) and cancelling (3 s).
const START_WITHIN: Duration = Duration::from_millis(1200);
/// Time after which no task may start in a zone that operators have taken out.
const EVACUATION: Duration = Duration::from_secs(5);
/// Lowest rate of a worker's clock: at most 2% slow.
const SLOWEST_CLOCK: f64 = 0.98;

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: LEASE,
            max_lease: MAX_LEASE,
            contact_grace: CONTACT_GRACE,
            kill_slack: KILL_SLACK,
            owner_key: OWNER_KEY,
            ownership: OWNERSHIP,
            renewal: RENEWAL,
            operator_items: Self::operator_items(EVACUATION),
            start_within: START_WITHIN,
            gang_wait: Duration::from_secs(3),
            far_factor: 1.5,
            wait_for_near: true,
            stop: Duration::from_secs(1),
            ended_job_retention: Duration::from_secs(150),
        }
    }
}

impl Timing {
    /// Returns [`Self::operator_items`] if no task may start in a zone for longer than
    /// `evacuation` after operators have taken it out.
    #[must_use]
    pub const fn operator_items(evacuation: Duration) -> Duration {
        evacuation.saturating_sub(START_WITHIN)
    }

    /// Time after the last reply of an agent to an owner during which a task on
    /// the VM of that agent may still run.
    #[must_use]
    pub fn unreachable_agent_timeout(&self) -> Duration {
        (self.contact_grace + self.lease).div_f64(SLOWEST_CLOCK) + self.kill_slack
    }

    /// Minimum time that passes on a worker's clock during `span`.
    #[must_use]
    pub fn min_elapsed_on_worker(span: Duration) -> Duration {
        span.mul_f64(SLOWEST_CLOCK)
    }
}
