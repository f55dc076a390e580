//! What was measured on one VM, by the time of the measurement.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use kernel::{Resources, ServiceName, TaskRun, Time};

use super::MATCH_TIMEOUT;
use crate::interference_table::cpu_share;

/// How long usage is remembered.
const USAGE_KEPT: Duration = Duration::from_secs(180);

/// How old a usage measurement may be to stand for a later point in time.
const USAGE_VALID: Duration = Duration::from_secs(15);

/// The most latency reports that wait on one VM.
const MAX_WAITING: usize = 256;

/// The most usage measurements kept of one attempt.
const MAX_SAMPLES: usize = 256;

/// A latency report that waits for the usage of its time.
#[derive(Clone, Debug)]
pub(super) struct Latency {
    pub(super) at: Time,
    pub(super) service: ServiceName,
    pub(super) p99_micros: u64,
}

/// The measurements of one VM.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    pub(super) capacity: Resources,
    usage: BTreeMap<TaskRun, BTreeMap<Time, Resources>>,
    waiting: VecDeque<Latency>,
    /// The newest time of which usage is known.
    covered: Time,
}

impl History {
    pub(super) fn add_usage(&mut self, now: Time, at: Time, run: &TaskRun, used: Resources) {
        let samples = self.usage.entry(run.clone()).or_default();
        samples.insert(at, used);
        while samples.len() > MAX_SAMPLES {
            samples.pop_first();
        }
        self.covered = self.covered.max(at);
        self.prune(now);
    }

    pub(super) fn add_latency(&mut self, latency: Latency) {
        if self.waiting.len() == MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(latency);
    }

    /// The waiting reports whose usage is known. A report whose usage never
    /// came is dropped, since nothing can be learnt from it.
    pub(super) fn take_ready(&mut self, now: Time) -> Vec<Latency> {
        let mut ready = Vec::new();
        let mut waiting = VecDeque::new();
        for latency in self.waiting.drain(..) {
            if latency.at <= self.covered {
                ready.push(latency);
            } else if now.since(latency.at) < MATCH_TIMEOUT {
                waiting.push_back(latency);
            }
        }
        self.waiting = waiting;
        ready
    }

    /// The part of the VM's processors that each attempt used at `at`.
    pub(super) fn usage_at(&self, at: Time) -> Vec<(TaskRun, f64)> {
        let mut beside = Vec::new();
        for (run, samples) in &self.usage {
            let Some((measured, used)) = samples.range(..=at).next_back() else {
                continue;
            };
            if at.since(*measured) <= USAGE_VALID {
                beside.push((run.clone(), cpu_share(*used, self.capacity)));
            }
        }
        beside
    }

    fn prune(&mut self, now: Time) {
        let oldest = now - USAGE_KEPT;
        self.usage.retain(|_, samples| {
            while samples
                .first_key_value()
                .is_some_and(|(at, _)| *at < oldest)
            {
                samples.pop_first();
            }
            !samples.is_empty()
        });
    }
}
