//! Measurements on one VM, by the time of measurement.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use kernel::{Resources, ServiceName, TaskRun, Time};

use super::MATCH_TIMEOUT;
use crate::interference_table::cpu_share;

/// How long usage measurements are kept.
const USAGE_RETENTION: Duration = Duration::from_secs(180);

/// The greatest age at which a usage measurement still counts for a later time.
const USAGE_MAX_AGE: Duration = Duration::from_secs(15);

/// The most latency samples of one VM that wait for usage measurements.
const MAX_PENDING_SAMPLES: usize = 256;

/// The most usage measurements kept for one attempt.
const MAX_USAGE_SAMPLES: usize = 256;

/// A latency measurement that waits for the usage at its time.
#[derive(Clone, Debug)]
pub(super) struct LatencySample {
    pub(super) at: Time,
    pub(super) service: ServiceName,
    pub(super) p99_micros: u64,
}

/// The measurements of one VM.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    pub(super) capacity: Resources,
    usage: BTreeMap<TaskRun, BTreeMap<Time, Resources>>,
    pending: VecDeque<LatencySample>,
    /// The latest time for which usage is known.
    usage_until: Time,
}

impl History {
    pub(super) fn add_usage(&mut self, now: Time, at: Time, run: &TaskRun, used: Resources) {
        let samples = self.usage.entry(run.clone()).or_default();
        samples.insert(at, used);
        while samples.len() > MAX_USAGE_SAMPLES {
            samples.pop_first();
        }
        self.usage_until = self.usage_until.max(at);
        self.prune(now);
    }

    pub(super) fn add_latency(&mut self, latency: LatencySample) {
        if self.pending.len() == MAX_PENDING_SAMPLES {
            self.pending.pop_front();
        }
        self.pending.push_back(latency);
    }

    /// Removes and returns the samples for whose time usage is known. Drops
    /// samples whose usage did not arrive in time, since nothing can be learnt
    /// from them.
    pub(super) fn take_ready(&mut self, now: Time) -> Vec<LatencySample> {
        let mut ready = Vec::new();
        let mut pending = VecDeque::new();
        for latency in self.pending.drain(..) {
            if latency.at <= self.usage_until {
                ready.push(latency);
            } else if now.since(latency.at) < MATCH_TIMEOUT {
                pending.push_back(latency);
            }
        }
        self.pending = pending;
        ready
    }

    /// Returns the fraction of the VM's CPU that each attempt used at `at`.
    pub(super) fn usage_at(&self, at: Time) -> Vec<(TaskRun, f64)> {
        let mut cpu_shares = Vec::new();
        for (run, samples) in &self.usage {
            let Some((measured_at, used)) = samples.range(..=at).next_back() else {
                continue;
            };
            if at.since(*measured_at) <= USAGE_MAX_AGE {
                cpu_shares.push((run.clone(), cpu_share(*used, self.capacity)));
            }
        }
        cpu_shares
    }

    fn prune(&mut self, now: Time) {
        let oldest = now - USAGE_RETENTION;
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
