//! A monotonic clock that includes the time while the machine is suspended.

use kernel::Time;
use rustix::time::{ClockId, clock_gettime};

/// Starts at the wall-clock time and never jumps. Unlike [`kernel::Clock`] it advances while
/// the machine is suspended, so that a proof of ownership also expires during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    boot_micros_at_start: u64,
    started_at: Time,
}

impl SteadyClock {
    /// Starts the clock at the current wall-clock time.
    #[must_use]
    pub fn start() -> Self {
        Self {
            boot_micros_at_start: boot_micros(),
            started_at: wall_time(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(self.started_at.0 + boot_micros().saturating_sub(self.boot_micros_at_start))
    }
}

/// Returns the wall-clock time, by which jobs are scheduled; it may jump.
#[must_use]
pub(crate) fn wall_time() -> Time {
    let now = clock_gettime(ClockId::Realtime);
    micros(now.tv_sec, now.tv_nsec).map_or(Time::ZERO, Time)
}

fn boot_micros() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    micros(now.tv_sec, now.tv_nsec).unwrap_or_default()
}

fn micros(secs: i64, nanos: i64) -> Option<u64> {
    let secs = u64::try_from(secs).ok()?;
    let nanos = u64::try_from(nanos).ok()?;
    Some(secs * 1_000_000 + nanos / 1_000)
}
