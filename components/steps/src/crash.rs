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

use crate::message::{ActiveRun, RunKey};

/// Time for which a worker must survive a run before the run counts as harmless to it.
pub const PROBATION: Duration = Duration::from_millis(500);

/// A run that was on its worker, or may have been, as the worker crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The run.
    pub key: RunKey,
    /// Time from its start to the last answer of the worker, in milliseconds.
    pub survived_millis: u64,
    /// Whether the worker had confirmed the start.
    pub is_confirmed: bool,
}

impl CrashedRun {
    /// Whether the worker may have crashed because of this run.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        Duration::from_millis(self.survived_millis) < PROBATION
    }
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

    /// Returns and clears the runs, after the worker has crashed.
    pub(crate) fn take_crashed(&mut self) -> Vec<CrashedRun> {
        let answered_at = self.answered_at.take();
        let mut crashed = Vec::new();
        for (key, run) in std::mem::take(&mut self.runs) {
            let survived = answered_at.map_or(Duration::ZERO, |at| at.since(run.started_at));
            crashed.push(CrashedRun {
                key,
                survived_millis: u64::try_from(survived.as_millis()).unwrap_or(u64::MAX),
                is_confirmed: run.is_confirmed,
            });
        }
        crashed
    }
}
