//! Timing parameters of the owner of a cell.

use std::time::Duration;

use kernel::Time;

/// Durations of leases, proofs and intervals. All entries must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a task may run after its agent sent the heartbeat that renewed the
    /// lease.
    pub lease: Duration,
    /// Margin that the owner adds to a lease, since clocks run at different speeds.
    pub drift_margin: Duration,
    /// How long an owner grants leases after the last proof of its ownership.
    pub owner_grace: Duration,
    /// Maximum age of the proof of the configuration when a task starts.
    pub proof_max_age: Duration,
    /// Time without a heartbeat after which a worker gets no new tasks.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which a worker without tasks is removed.
    pub forget_after: Duration,
    /// Minimum interval between groups of the journal.
    pub group_interval: Duration,
    /// Time that an evicted task has for its checkpoint before the owner orders its
    /// stop and no longer renews its lease.
    pub checkpoint_timeout: Duration,
    /// How long a faulty worker gets no new tasks.
    pub quarantine_period: Duration,
    /// Waiting time after which a task may move to a cell with free capacity.
    pub transfer_after: Duration,
    /// How long an ended job stays in lists.
    pub job_retention: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            drift_margin: Duration::from_millis(500),
            owner_grace: Duration::from_secs(900),
            proof_max_age: Duration::from_millis(2_500),
            suspect_after: Duration::from_secs(3),
            forget_after: Duration::from_secs(60),
            group_interval: Duration::from_millis(200),
            checkpoint_timeout: Duration::from_secs(30),
            quarantine_period: Duration::from_secs(600),
            transfer_after: Duration::from_secs(1),
            job_retention: Duration::from_secs(3_600),
        }
    }
}

impl Timing {
    /// Returns when a lease granted at `now` has expired by every clock within the
    /// drift margin.
    #[must_use]
    pub fn lease_end(&self, now: Time) -> Time {
        now + self.lease + self.drift_margin
    }

    /// Returns when every lease of earlier owners has expired, for an owner that
    /// acquires the cell at `now`.
    ///
    /// An owner grants no leases after it has handed the cell over. Any other owner
    /// may have granted leases until the end of its grace, measured by its own
    /// clock, so the margin for drift grows with that time.
    #[must_use]
    pub fn earlier_leases_end(&self, now: Time, handed_over: bool) -> Time {
        if handed_over {
            return self.lease_end(now);
        }
        let drift = self.drift_margin.as_secs_f64() / self.lease.as_secs_f64();
        let span = self.owner_grace + self.lease;
        now + span.mul_f64(1.0 + drift)
    }
}
