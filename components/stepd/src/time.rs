//! A clock that also counts the time for which the machine was suspended.

use kernel::Time;
use rustix::time::{ClockId, clock_gettime};

/// Starts at the time of day and never jumps; unlike [`kernel::Clock`] it goes on
/// while the machine is suspended, so that a proof can't outlive a pause.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    anchor: u64,
    started: Time,
}

impl SteadyClock {
    /// Reads the time of day once.
    #[must_use]
    pub fn start() -> Self {
        Self {
            anchor: boot_micros(),
            started: wall(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(self.started.0 + boot_micros().saturating_sub(self.anchor))
    }
}

/// The time of day, by which jobs are due; it may jump.
#[must_use]
pub(crate) fn wall() -> Time {
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
