//! Counts of the work of an owner, which show what its processor time is spent on.

use std::time::Duration;

use kernel::Time;

use super::Owner;

/// Pause after a scheduling pass, in durations of the pass.
const PASS_PAUSE: u32 = 3;
/// The longest pause after a scheduling pass: a pass that took long because its process
/// was paused must not hold up starts for long.
const MAX_PASS_PAUSE: Duration = Duration::from_millis(300);

/// Work of an owner since the start of its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// Events handled.
    pub events: u64,
    /// Time spent on events, without the scheduling passes.
    pub event_time: Duration,
    /// Passes over all unfinished jobs that look for tasks to start.
    pub passes: u64,
    /// Time spent on events that included a scheduling pass.
    pub pass_time: Duration,
    /// Jobs visited by passes, each of which may have tasks to start.
    pub jobs_visited: u64,
    /// Workers examined to place tasks.
    pub workers_examined: u64,
    /// Examined workers that had no room for the task or may not run it.
    pub workers_without_room: u64,
    /// Examined workers on which the best-effort task would have been too slow.
    pub workers_too_slow: u64,
    /// Differences between latency samples that were added to the interference model.
    pub samples_compared: u64,
    /// Updates of the weights of the interference model.
    pub weights_solved: u64,
    /// Tasks that waited for a near place while a far one was free.
    pub near_waits: u64,
    /// Those of them that found a near place.
    pub near_found: u64,
    /// Those of them that gave up.
    pub near_given_up: u64,
    /// Times at which the waiting work and the free capacity were summed up.
    pub load_samples: u64,
    /// Start orders given.
    pub starts_ordered: u64,
    /// Those of them that were taken back at once, since other tasks of the step found no worker.
    pub starts_undone: u64,
    /// Start orders that reached an agent after their deadline.
    pub starts_late: u64,
    /// Runs whose lease expired on a worker that this owner could still reach.
    pub runs_lapsed: u64,
}

impl WorkCounts {
    /// Start orders that were not taken back at once.
    #[must_use]
    pub const fn starts_kept(&self) -> u64 {
        self.starts_ordered.saturating_sub(self.starts_undone)
    }
}

/// State that grows with the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Start orders without a reply.
    pub unanswered_starts: usize,
    /// Limit of the start orders without a reply.
    pub start_window: usize,
    /// VMs whose agents do not answer.
    pub unreachable_vms: usize,
    /// Workers that are treated as cold.
    pub cold_workers: usize,
    /// Workers that are treated as flapping.
    pub flapping_workers: usize,
}

impl Owner {
    /// Work done so far.
    #[must_use]
    pub const fn work(&self) -> WorkCounts {
        self.work
    }

    /// Records how long a call of [`Owner::handle`] at `now` took. The next scheduling
    /// pass waits, so that passes leave time for events.
    pub fn record_elapsed(&mut self, now: Time, took: Duration) {
        if !std::mem::take(&mut self.ran_pass) {
            self.work.event_time += took;
            return;
        }
        self.work.pass_time += took;
        let pause = took.saturating_mul(PASS_PAUSE).min(MAX_PASS_PAUSE);
        self.next_pass = now + took + pause;
    }

    /// Number of start orders without a reply.
    pub(super) fn unanswered_starts(&self) -> usize {
        let vms = self.vms.values();
        vms.map(super::vm::Vm::unanswered_starts).sum()
    }

    /// Current backlog.
    #[must_use]
    pub fn backlog(&self) -> Backlog {
        let open_jobs = self.jobs.values().filter(|entry| entry.outcome.is_none());
        Backlog {
            open_jobs: open_jobs.count(),
            unanswered_starts: self.unanswered_starts(),
            start_window: self.window.limit(),
            unreachable_vms: self.vms.values().filter(|vm| vm.unreachable).count(),
            cold_workers: self.count_uneven(|unevenness| unevenness.is_cold),
            flapping_workers: self.count_uneven(|unevenness| unevenness.is_flapping),
        }
    }
}
