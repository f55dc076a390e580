//! Reports the load of the owner: what its processor time is spent on and how late it
//! is. See `docs/OPERATIONS.md`.

use std::time::{Duration, Instant};

use steps::{Owner, owner::WorkCounts};

use crate::metrics::EntryMetrics;

/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The load of an owner since the last report.
#[derive(Debug)]
pub(super) struct LoadMeter {
    reported_at: Instant,
    reported_work: WorkCounts,
    /// The maximum delay of the periodic tick.
    max_delay: Duration,
}

impl LoadMeter {
    pub(super) fn new() -> Self {
        Self {
            reported_at: Instant::now(),
            reported_work: WorkCounts::default(),
            max_delay: Duration::ZERO,
        }
    }

    /// Records by how much a timer was late, and logs the load once in a while.
    pub(super) fn tick(&mut self, late_by: Duration, owner: &Owner, metrics: &EntryMetrics) {
        self.max_delay = self.max_delay.max(late_by);
        let span = self.reported_at.elapsed();
        if span < REPORT_INTERVAL {
            return;
        }
        let (before, work, backlog) = (self.reported_work, owner.work(), owner.backlog());
        metrics.record_owner(work, &backlog);
        tracing::info!(
            epoch = owner.epoch(),
            span_ms = millis(span),
            events = work.events - before.events,
            events_ms = millis(work.event_time - before.event_time),
            passes = work.passes - before.passes,
            passes_ms = millis(work.pass_time - before.pass_time),
            jobs_visited = work.jobs_visited - before.jobs_visited,
            workers_examined = work.workers_examined - before.workers_examined,
            workers_without_room = work.workers_without_room - before.workers_without_room,
            workers_too_slow = work.workers_too_slow - before.workers_too_slow,
            samples_compared = work.samples_compared - before.samples_compared,
            weights_solved = work.weights_solved - before.weights_solved,
            starts_ordered = work.starts_ordered - before.starts_ordered,
            starts_late = work.starts_late - before.starts_late,
            runs_lapsed = work.runs_lapsed - before.runs_lapsed,
            max_delay_ms = millis(self.max_delay),
            open_jobs = backlog.open_jobs,
            unanswered_starts = backlog.unanswered_starts,
            start_window = backlog.start_window,
            unreachable_vms = backlog.unreachable_vms,
            "load of the owner"
        );
        *self = Self {
            reported_work: work,
            ..Self::new()
        };
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
