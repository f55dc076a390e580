//! Runs that were on a worker as it crashed.
//!
//! A task may crash each worker that starts it. Only the agent beside the worker can tell
//! which runs the worker had and how long it had survived each of them, also after the
//! owner that ordered their starts is gone. See `docs/STEPS.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kernel::Time;
use serde::{Deserialize, Serialize};

use crate::message::{ActiveRun, RunKey, WorkerIncarnation};

/// Time for which a worker must survive a run before the run counts as harmless to it.
pub const PROBATION: Duration = Duration::from_millis(500);

/// A run because of which its worker may have crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRun {
    /// The run.
    pub key: RunKey,
    /// Whether the worker had confirmed the start.
    pub is_confirmed: bool,
}

/// The end of a worker's incarnation without notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// Number of the crash within the agent process, from 1.
    pub number: u64,
    /// Incarnation that crashed.
    pub incarnation: WorkerIncarnation,
    /// Runs that it had or may have had, and had not survived for long enough.
    pub suspects: Vec<SuspectRun>,
}

#[derive(Debug)]
struct TrackedRun {
    started_at: Time,
    is_confirmed: bool,
    is_listed: bool,
}

/// Runs of the worker's current incarnation, with the time for which it has survived them.
#[derive(Debug, Default)]
pub(crate) struct TrackedRuns {
    runs: BTreeMap<RunKey, TrackedRun>,
    /// When the worker last answered a poll.
    answered_at: Option<Time>,
}

impl TrackedRuns {
    /// Records that a start is sent to the worker.
    pub(crate) fn record_sent(&mut self, now: Time, key: &RunKey) {
        self.runs.entry(key.clone()).or_insert(TrackedRun {
            started_at: now,
            is_confirmed: false,
            is_listed: false,
        });
    }

    /// Records that the worker has confirmed a start.
    pub(crate) fn record_confirmed(&mut self, key: &RunKey) {
        if let Some(run) = self.runs.get_mut(key) {
            run.is_confirmed = true;
        }
    }

    /// Removes a run that the worker does not have unless it has listed it.
    pub(crate) fn remove_unlisted(&mut self, key: &RunKey) {
        if self.runs.get(key).is_some_and(|run| !run.is_listed) {
            self.runs.remove(key);
        }
    }

    /// Removes a run that has ended.
    pub(crate) fn remove(&mut self, key: &RunKey) {
        self.runs.remove(key);
    }

    /// Applies the active runs of the worker's newest reply.
    pub(crate) fn apply_running(&mut self, now: Time, running: &[ActiveRun]) {
        self.answered_at = Some(now);
        let listed: BTreeSet<&RunKey> = running.iter().map(|row| &row.key).collect();
        self.runs
            .retain(|key, run| !run.is_listed || listed.contains(key));
        for row in running {
            self.record_sent(now, &row.key);
            if let Some(run) = self.runs.get_mut(&row.key) {
                run.is_confirmed = true;
                run.is_listed = true;
            }
        }
    }

    /// Number of runs that the worker has or may have.
    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Runs that the worker has not survived for long enough yet.
    pub(crate) fn in_doubt(&self) -> Vec<SuspectRun> {
        let mut in_doubt = Vec::new();
        for (key, run) in &self.runs {
            if self.is_in_doubt(run) {
                in_doubt.push(SuspectRun {
                    key: key.clone(),
                    is_confirmed: run.is_confirmed,
                });
            }
        }
        in_doubt
    }

    /// When the next poll can show that the worker has survived a run; `None` if it has
    /// survived all of them.
    pub(crate) fn next_check(&self) -> Option<Time> {
        let in_doubt = self.runs.values().filter(|run| self.is_in_doubt(run));
        in_doubt.map(|run| run.started_at + PROBATION).min()
    }

    fn is_in_doubt(&self, run: &TrackedRun) -> bool {
        let answered_at = self.answered_at.unwrap_or(Time::ZERO);
        !(run.started_at + PROBATION).passed(answered_at)
    }
}
