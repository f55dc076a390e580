//! Points in time.
//!
//! Deadlines are stored as [`Time`], never as durations, so that a value that
//! waits in a queue or a map can't be restarted by accident. Messages between
//! processes carry the remaining time, which the receiver turns into a
//! deadline, since the clocks of two machines may differ.

use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The Unix epoch.
    pub const ZERO: Self = Self(0);
    /// Later than every deadline.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time `millis` milliseconds after the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the time `secs` seconds after the Unix epoch.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns whole milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns whole seconds since the Unix epoch.
    #[must_use]
    pub const fn as_secs(self) -> u64 {
        self.0 / 1_000_000
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is
    /// later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from `now` until this deadline, or zero once it has
    /// passed.
    #[must_use]
    pub const fn remaining(self, now: Self) -> Duration {
        self.since(now)
    }

    /// Whether this deadline has passed at `now`.
    #[must_use]
    pub const fn passed(self, now: Self) -> bool {
        now.0 >= self.0
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// A clock that is set to the wall clock when it starts and never jumps
/// afterwards.
///
/// A daemon creates one when it starts and passes `now()` to the decision code.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    started: Time,
}

impl Clock {
    /// Creates a clock and reads the wall clock once.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            anchor: Instant::now(),
            started: Time::ZERO + since_epoch,
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.started + self.anchor.elapsed()
    }

    /// Returns the `Instant` at which `deadline` passes, for timers.
    #[must_use]
    pub fn instant(&self, deadline: Time) -> Instant {
        self.anchor + deadline.since(self.started)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}

/// An instant on the clock of this machine that also advances while the machine is
/// suspended, unlike [`Instant`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant {
    micros: u64,
}

impl BootInstant {
    /// Returns the current instant.
    #[must_use]
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let micros = now.tv_sec.unsigned_abs() * 1_000_000 + now.tv_nsec.unsigned_abs() / 1_000;
        Self { micros }
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(micros),
        }
    }
}
