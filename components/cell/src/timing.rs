//! Spans that the owner of a cell works with.

use std::time::Duration;

use kernel::Time;

/// Spans of leases, proofs and intervals; all entries must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a task may run after the heartbeat that renewed its lease was
    /// sent.
    pub lease: Duration,
    /// What the owner adds to a lease for clocks that run at different speeds.
    pub drift_margin: Duration,
    /// How long an owner renews leases after it last proved its ownership.
    pub owner_grace: Duration,
    /// How old the proof of the configuration may be when a task starts.
    pub proof_max_age: Duration,
    /// How long a worker may be silent before it gets no new task.
    pub suspect_after: Duration,
    /// How long a worker without tasks may be silent before it is forgotten.
    pub forget_after: Duration,
    /// How long changes are gathered into one group of the journal.
    pub group_interval: Duration,
    /// How long an evicted task may take for its checkpoint before its lease is
    /// no longer renewed.
    pub checkpoint_timeout: Duration,
    /// How long a worker that fails everything gets no new task.
    pub quarantine_period: Duration,
    /// How long a task waits in a cell without room before another cell is tried.
    pub transfer_after: Duration,
    /// How long an ended job is kept for lists.
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
    /// When a lease granted at `now` has ended by any clock within the margin.
    #[must_use]
    pub fn lease_end(&self, now: Time) -> Time {
        now + self.lease + self.drift_margin
    }

    /// When every lease of earlier owners has ended, for one that takes the
    /// cell at `now`.
    ///
    /// An owner that handed the cell over granted nothing afterwards. Any other
    /// may have gone on until its grace ended, which its clock also measures,
    /// so the margin grows with the span.
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
