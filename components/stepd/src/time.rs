//! A monotonic clock that includes the time while the machine is suspended.

use kernel::{BootInstant, Time};
use rustix::time::{ClockId, clock_gettime};

/// Starts at the wall-clock time and never jumps. Unlike [`kernel::Clock`] it advances while
/// the machine is suspended, so that a proof of ownership also expires during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    anchor: BootInstant,
    started_at: Time,
}

impl SteadyClock {
    /// Starts the clock at the current wall-clock time.
    #[must_use]
    pub fn start() -> Self {
        Self {
            anchor: BootInstant::now(),
            started_at: wall_time(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.time_of(BootInstant::now())
    }

    /// Returns the time of an instant that is not before the start of the clock.
    #[must_use]
    pub(crate) fn time_of(&self, instant: BootInstant) -> Time {
        self.started_at + instant.since(self.anchor)
    }
}

/// Returns the wall-clock time, by which jobs are scheduled; it may jump.
#[must_use]
pub(crate) fn wall_time() -> Time {
    let now = clock_gettime(ClockId::Realtime);
    let secs = u64::try_from(now.tv_sec);
    let nanos = u64::try_from(now.tv_nsec);
    match (secs, nanos) {
        (Ok(secs), Ok(nanos)) => Time(secs * 1_000_000 + nanos / 1_000),
        _ => Time::ZERO,
    }
}
