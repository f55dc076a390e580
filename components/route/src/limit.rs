//! Adaptive limit on requests in flight.

use std::time::Duration;

use kernel::Time;

/// Limit before the first answer or refusal.
const INITIAL_LIMIT: f64 = 64.0;
/// Lower bound of the limit; lets enough requests through to detect recovery.
const MIN_LIMIT: f64 = 4.0;
/// Factor applied to the limit after a sign of overload.
const DECREASE_FACTOR: f64 = 0.9;
/// Minimum time between two decreases, since one overload shows in many requests.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Limit with additive increase and multiplicative decrease: rises by one per round of
/// good answers while it is used, and falls by a tenth when endpoints refuse or answer
/// too late.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    in_flight: u32,
    next_decrease_at: Time,
}

impl ConcurrencyLimit {
    /// Returns a limit that never exceeds `max`.
    #[must_use]
    pub fn new(max: u32) -> Self {
        let max = f64::from(max);
        Self {
            limit: INITIAL_LIMIT.min(max),
            max,
            in_flight: 0,
            next_decrease_at: Time::ZERO,
        }
    }

    /// Changes the upper bound.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max);
        self.limit = self.limit.min(self.max);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the current limit, rounded down.
    #[must_use]
    pub const fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Whether more than four fifths of the limit are in use.
    #[must_use]
    pub fn is_nearly_reached(&self) -> bool {
        f64::from(self.in_flight) > self.limit * 0.8
    }

    /// Admits one request if the limit allows it; returns whether it did.
    pub fn try_acquire(&mut self) -> bool {
        if self.in_flight >= self.current() {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Releases one admitted request.
    pub const fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a good answer; raises the limit if at least half of it is used.
    pub fn on_success(&mut self) {
        if f64::from(self.in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Records a sign of overload at `now`; lowers the limit unless it was lowered just before.
    pub fn on_overload(&mut self, now: Time) {
        if now < self.next_decrease_at {
            return;
        }
        self.next_decrease_at = now + DECREASE_INTERVAL;
        let floor = MIN_LIMIT.min(self.max);
        self.limit = (self.limit * DECREASE_FACTOR).max(floor);
    }
}
