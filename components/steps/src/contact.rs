//! Contact of an entry with the store, and which calls it refuses for want of it.
//!
//! It answers an entry that is cut off from the store while others reach it. A write that it
//! sends gets no answer, and after most of the client's deadline the outcome is unknown, so
//! the client comes back late and elsewhere. An entry that has heard nothing from the store
//! for longer than any reply takes therefore refuses at once, before it sends anything: the
//! call has certainly not run, and the client can try another entry in time. See
//! `docs/STEPS.md`.

use std::time::Duration;

use kernel::Time;

/// Followers of the store get a reply at least each second, and the slowest store answers
/// within 0.4 s.
const SILENT_AFTER: Duration = Duration::from_millis(1_600);
/// The load balancer is told later than clients, since it acts only on two checks in a row
/// and returns clients as slowly.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(2_500);

/// When the store has last replied.
#[derive(Clone, Copy, Debug)]
pub struct StoreContact {
    last_reply: Time,
}

impl Default for StoreContact {
    fn default() -> Self {
        Self {
            last_reply: Time::ZERO,
        }
    }
}

impl StoreContact {
    /// Records a reply of the store.
    pub fn record_reply(&mut self, now: Time) {
        self.last_reply = self.last_reply.max(now);
    }

    /// How long the store has been silent, if a write would probably get no answer;
    /// `None` if it may be tried.
    #[must_use]
    pub fn silence(&self, now: Time) -> Option<Duration> {
        let is_silent = (self.last_reply + SILENT_AFTER).passed(now);
        is_silent.then(|| now.since(self.last_reply))
    }

    /// Whether the load balancer should send clients to this entry.
    #[must_use]
    pub fn is_reachable(&self, now: Time) -> bool {
        !(self.last_reply + UNREACHABLE_AFTER).passed(now)
    }
}
