//! Health of a worker, judged by how its runs end and how long they take rather than
//! by its own heartbeats.

use std::{collections::VecDeque, time::Duration};

use kernel::{JobName, Time};

/// Number of recent ends that are kept.
const MAX_ENDS: usize = 8;
/// Age beyond which ends and durations no longer count.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(8);
/// Number of different jobs that must fail in a row on a worker to make it suspect. A
/// single job that can never succeed fails on several workers; two such jobs at a time
/// are rare.
const SUSPECT_AFTER_JOBS: usize = 2;
/// Time for which a suspect worker gets no tasks. After it, the worker gets a single
/// task as a trial.
const QUARANTINE: Duration = Duration::from_secs(4);
/// Time without a failure after which a trial has succeeded, since a long-running task
/// does not end.
const TRIAL: Duration = Duration::from_secs(4);
/// Weight of the newest duration in the moving average of the slowdown.
const NEWEST_FACTOR: f64 = 0.3;

/// Evidence about the health of a worker.
#[derive(Clone, Debug)]
pub(super) struct Health {
    /// Recent ends, oldest first: time, job, and whether the run failed.
    ends: VecDeque<(Time, JobName, bool)>,
    /// Until when a suspect worker gets no tasks; `None` if it is not suspect, also
    /// once a run has succeeded there.
    suspect_until: Option<Time>,
    /// Until when a suspect worker has a single new task on trial; `None` while it has
    /// none. A failure makes the worker suspect again at once.
    trial_until: Option<Time>,
    /// Moving average of task durations on this worker, as a multiple of the median of
    /// their steps.
    slowdown: f64,
    /// Time of the last update of the slowdown.
    measured_at: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            ends: VecDeque::new(),
            suspect_until: None,
            trial_until: None,
            slowdown: 1.0,
            measured_at: Time::ZERO,
        }
    }
}

impl Health {
    /// Records the end of a run. Returns whether the worker has just become suspect.
    pub(super) fn record_end(&mut self, now: Time, job: &JobName, failed: bool) -> bool {
        self.ends.push_back((now, job.clone(), failed));
        while self.ends.len() > MAX_ENDS {
            self.ends.pop_front();
        }
        if !failed {
            self.clear();
            return false;
        }
        if self.trial_until.is_some() || self.failing_jobs_in_a_row(now) >= SUSPECT_AFTER_JOBS {
            let is_new = self.suspect_until.is_none();
            self.quarantine(now);
            return is_new;
        }
        false
    }

    /// Gives the worker no tasks for a while, after failures or because a task was
    /// stuck there.
    pub(super) fn quarantine(&mut self, now: Time) {
        self.suspect_until = Some(now + QUARANTINE);
        self.trial_until = None;
    }

    fn clear(&mut self) {
        self.suspect_until = None;
        self.trial_until = None;
    }

    fn failing_jobs_in_a_row(&self, now: Time) -> usize {
        let mut jobs: Vec<&JobName> = Vec::new();
        for (at, job, failed) in self.ends.iter().rev() {
            if !failed || (*at + EVIDENCE_WINDOW).passed(now) {
                break;
            }
            if !jobs.contains(&job) {
                jobs.push(job);
            }
        }
        jobs.len()
    }

    /// Whether the worker may get a task now. A suspect worker gets a single one, beside
    /// those that it has, and further ones once it has run without a failure for a while.
    pub(super) fn may_take_task(&mut self, now: Time) -> bool {
        let Some(until) = self.suspect_until else {
            return true;
        };
        match self.trial_until {
            None => until.passed(now),
            Some(trial_until) if trial_until.passed(now) => {
                self.clear();
                true
            }
            Some(_) => false,
        }
    }

    /// Whether the worker is suspect, and gets no tasks or a single one.
    pub(super) const fn is_suspect(&self) -> bool {
        self.suspect_until.is_some()
    }

    /// Records that the worker gets a task, which is its trial if it is suspect.
    pub(super) fn record_start(&mut self, now: Time) {
        if self.suspect_until.is_some() {
            self.trial_until = Some(now + TRIAL);
        }
    }

    /// Records the duration of a task on this worker, as a multiple of the median of
    /// its step.
    pub(super) fn record_duration(&mut self, now: Time, multiple: f64) {
        let newest = multiple.clamp(0.2, 20.0);
        self.slowdown = self.slowdown * (1.0 - NEWEST_FACTOR) + newest * NEWEST_FACTOR;
        self.measured_at = now;
    }

    /// Factor by which tasks run longer on this worker than on others, at least 1. Old
    /// measurements do not count.
    pub(super) fn slowdown(&self, now: Time) -> f64 {
        if (self.measured_at + EVIDENCE_WINDOW).passed(now) {
            return 1.0;
        }
        self.slowdown.max(1.0)
    }
}
