//! Limits the start orders without a reply to what the owner can follow up in time.
//!
//! An owner that orders more starts than it has processor time for gets to its messages
//! late: orders pass their deadline, leases are not renewed, and the tasks have to be
//! ordered again. The window shrinks while the replies of many agents are all slow, which
//! a few slow workers do not cause. See `docs/STEPS.md`.

use std::{collections::BTreeSet, time::Duration};

use kernel::{Time, VmName};

/// Interval between two adjustments.
const INTERVAL: Duration = Duration::from_millis(200);
/// The window at the start of a term.
const INITIAL: usize = 256;
/// The smallest window.
const MIN: usize = 8;
/// The largest window.
const MAX: usize = 16_384;
/// Starts beyond the limit that are kept for long-running tasks which have been down for too
/// long.
const RESERVED: usize = 8;
/// The window shrinks on replies of at least this fraction of the agents.
const MIN_AGENTS_DIVISOR: usize = 4;

/// Number of starts that a scheduling pass may still order.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartRoom {
    /// Starts of any tasks.
    left: usize,
    /// Further starts of long-running tasks that have been down for too long.
    reserve: usize,
}

impl StartRoom {
    pub(super) const fn most(self) -> usize {
        self.left + self.reserve
    }

    /// Whether only the reserve is left.
    pub(super) const fn is_full(self) -> bool {
        self.left == 0
    }

    /// Whether a task may start; `is_overdue` if it may use the reserve.
    pub(super) const fn admits(self, is_overdue: bool) -> bool {
        self.left > 0 || (is_overdue && self.reserve > 0)
    }

    /// Takes the room of starts that were admitted.
    pub(super) const fn take(&mut self, count: usize) {
        match self.is_full() {
            true => self.reserve = self.reserve.saturating_sub(count),
            false => self.left = self.left.saturating_sub(count),
        }
    }
}

/// Limit of the start orders without a reply.
#[derive(Clone, Debug)]
pub(super) struct StartWindow {
    limit: usize,
    /// Age above which the fastest reply of an interval shrinks the window.
    target: Duration,
    /// Age of the fastest reply since the last adjustment.
    fastest: Option<Duration>,
    /// VMs whose agents have replied since the last adjustment.
    replied: BTreeSet<VmName>,
    /// Whether the limit has held back a start since the last adjustment.
    was_full: bool,
    next_adjustment: Time,
}

impl StartWindow {
    /// Returns the window at the start of a term; orders are valid for `start_within`.
    pub(super) fn new(start_within: Duration, now: Time) -> Self {
        Self {
            limit: INITIAL,
            target: start_within / 4,
            fastest: None,
            replied: BTreeSet::new(),
            was_full: false,
            next_adjustment: now + INTERVAL,
        }
    }

    pub(super) const fn limit(&self) -> usize {
        self.limit
    }

    /// Room for starts while `unanswered` ones have no reply, `reserved` of which used the
    /// reserve.
    pub(super) const fn room(&self, unanswered: usize, reserved: usize) -> StartRoom {
        StartRoom {
            left: self.limit.saturating_sub(unanswered),
            reserve: RESERVED.saturating_sub(reserved),
        }
    }

    /// Notes that the limit has held back a start.
    pub(super) const fn hold_back(&mut self) {
        self.was_full = true;
    }

    /// Whether the limit has held back a start since the last adjustment.
    pub(super) const fn was_full(&self) -> bool {
        self.was_full
    }

    /// Records the age of a start order at its reply.
    pub(super) fn record_reply(&mut self, vm: &VmName, age: Duration) {
        self.fastest = Some(self.fastest.map_or(age, |fastest| fastest.min(age)));
        if !self.replied.contains(vm) {
            self.replied.insert(vm.clone());
        }
    }

    /// Adjusts the limit if an interval is over.
    pub(super) fn adjust(&mut self, now: Time, agent_count: usize) {
        if !self.next_adjustment.passed(now) {
            return;
        }
        self.next_adjustment = now + INTERVAL;
        let Some(fastest) = self.fastest else {
            return;
        };
        if fastest > self.target {
            if self.replied.len() * MIN_AGENTS_DIVISOR < agent_count {
                return;
            }
            let factor = self.target.as_secs_f64() / fastest.as_secs_f64();
            self.limit = ((self.limit as f64 * factor) as usize).max(MIN);
        } else if self.was_full {
            self.limit = (self.limit * 3 / 2).min(MAX);
        }
        self.fastest = None;
        self.replied.clear();
        self.was_full = false;
    }
}
