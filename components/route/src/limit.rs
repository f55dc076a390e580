//! An adaptive limit of requests in flight.

use std::time::Duration;

use kernel::Time;

/// The limit before anything is known.
const INITIAL_LIMIT: f64 = 64.0;
/// The limit never falls below this, so that recovery is noticed.
const MIN_LIMIT: f64 = 4.0;
/// What remains of the limit after a sign of overload.
const DECREASE_FACTOR: f64 = 0.9;
/// One decrease at most in this time, since one overload is seen many times.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Raises the limit by one per round of good answers while it is used, and
/// lowers it by a tenth when endpoints refuse or answer too late.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    most: f64,
    in_flight: u32,
    decrease_from: Time,
}

impl ConcurrencyLimit {
    /// A limit that never exceeds `most`.
    #[must_use]
    pub fn new(most: u32) -> Self {
        let most = f64::from(most);
        Self {
            limit: INITIAL_LIMIT.min(most),
            most,
            in_flight: 0,
            decrease_from: Time::ZERO,
        }
    }

    /// Changes the upper bound.
    pub fn set_most(&mut self, most: u32) {
        self.most = f64::from(most);
        self.limit = self.limit.min(self.most);
    }

    /// Requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The limit in force, in whole requests.
    #[must_use]
    pub const fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Whether more than four fifths of the limit are in use.
    #[must_use]
    pub fn is_strained(&self) -> bool {
        f64::from(self.in_flight) > self.limit * 0.8
    }

    /// Admits one request if the limit has room.
    pub fn acquire(&mut self) -> bool {
        if self.in_flight >= self.current() {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Ends one admitted request.
    pub const fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes a good answer; raises the limit if at least half of it is used.
    pub fn on_good(&mut self) {
        if f64::from(self.in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.most);
        }
    }

    /// Notes a sign of overload at `now`.
    pub fn on_overload(&mut self, now: Time) {
        if now < self.decrease_from {
            return;
        }
        self.decrease_from = now + DECREASE_INTERVAL;
        let floor = MIN_LIMIT.min(self.most);
        self.limit = (self.limit * DECREASE_FACTOR).max(floor);
    }
}
