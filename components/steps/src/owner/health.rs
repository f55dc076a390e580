//! What a worker's ends say of it: what it does beats what it says.

use std::{collections::VecDeque, time::Duration};

use kernel::{JobName, Time};

/// How many of the last ends count.
const REMEMBERED: usize = 8;
/// Ends older than this no longer count.
const RELEVANT: Duration = Duration::from_secs(8);
/// How many failures in a row, of different jobs, make a worker suspect. One job
/// that can never be done fails on several workers, two at a time are rare.
const FAILURES_IN_A_ROW: usize = 2;
/// How long a suspect worker gets no work before one task tries it again.
const REST: Duration = Duration::from_secs(4);
/// How much the newest span counts in the mean slowness.
const NEWEST: f64 = 0.3;

/// The evidence for and against a worker.
#[derive(Clone, Debug)]
pub(super) struct Health {
    /// The last ends, oldest first: when, of which job, whether it failed.
    ends: VecDeque<(Time, JobName, bool)>,
    suspect_until: Option<Time>,
    on_trial: bool,
    /// How long tasks run here against others of their steps, as a multiple.
    slowness: f64,
    /// When the slowness was last measured.
    measured: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            ends: VecDeque::new(),
            suspect_until: None,
            on_trial: false,
            slowness: 1.0,
            measured: Time::ZERO,
        }
    }
}

impl Health {
    /// Takes in an end; whether the worker has just become suspect.
    pub(super) fn ended(&mut self, now: Time, job: &JobName, failed: bool) -> bool {
        self.ends.push_back((now, job.clone(), failed));
        while self.ends.len() > REMEMBERED {
            self.ends.pop_front();
        }
        if !failed {
            self.suspect_until = None;
            self.on_trial = false;
            return false;
        }
        if self.on_trial || self.failures_in_a_row(now) >= FAILURES_IN_A_ROW {
            let is_new = self.suspect_until.is_none();
            self.rest(now);
            return is_new;
        }
        false
    }

    /// Gives the worker no work for a while, since tasks stand still there.
    pub(super) fn rest(&mut self, now: Time) {
        self.suspect_until = Some(now + REST);
        self.on_trial = false;
    }

    fn failures_in_a_row(&self, now: Time) -> usize {
        let mut jobs: Vec<&JobName> = Vec::new();
        for (at, job, failed) in self.ends.iter().rev() {
            if !failed || (*at + RELEVANT).passed(now) {
                break;
            }
            if !jobs.contains(&job) {
                jobs.push(job);
            }
        }
        jobs.len()
    }

    /// Whether the worker may be given a task; `holds` says how many it has.
    pub(super) fn admits(&mut self, now: Time, holds: usize) -> bool {
        let Some(until) = self.suspect_until else {
            return true;
        };
        if !until.passed(now) {
            return false;
        }
        self.on_trial = true;
        holds == 0
    }

    /// Takes in how long a task took here, as a multiple of the median of its
    /// step elsewhere.
    pub(super) fn took(&mut self, now: Time, multiple: f64) {
        let newest = multiple.clamp(0.2, 20.0);
        self.slowness = self.slowness * (1.0 - NEWEST) + newest * NEWEST;
        self.measured = now;
    }

    /// How much longer than elsewhere tasks run here; old evidence fades.
    pub(super) fn slowness(&self, now: Time) -> f64 {
        if (self.measured + RELEVANT).passed(now) {
            return 1.0;
        }
        self.slowness.max(1.0)
    }
}
