//! Resource usage and run times of job families, measured on earlier runs.
//!
//! See "Sizes and run times" in `docs/PLACEMENT.md`.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use kernel::{JobName, Resources, TaskRun, Time};

use crate::family::family;

/// The most ended runs kept for a family.
const MAX_ENDED_RUNS: usize = 64;

/// Memory reserved above the largest measured usage, in percent, if that usage
/// exceeds the declared memory.
const MEMORY_HEADROOM_PERCENT: u64 = 10;

/// CPU usage above the declared amount by at most this much counts as
/// measurement noise, in percent of the declared amount.
const CPU_TOLERANCE_PERCENT: u64 = 10;

/// The percentile of the attempts' CPU usage that is reserved.
const CPU_PERCENTILE: usize = 90;

/// The most families kept; beyond this, the family reported longest ago is
/// dropped.
const MAX_FAMILIES: usize = 4096;

/// Usage of one attempt: the mean of CPU, because CPU can be shared, and the
/// peak of memory and accelerators, because they can't.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptUsage {
    peak: Resources,
    /// The sum of the CPU usage over all samples.
    cpu_milli_sum: u64,
    samples: u64,
}

impl AttemptUsage {
    fn add(&mut self, used: Resources) {
        self.peak = self.peak.max(used);
        self.cpu_milli_sum += used.cpu_milli;
        self.samples += 1;
    }

    fn size(&self) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli_sum / self.samples.max(1),
            ..self.peak
        }
    }
}

/// The usage of an ended attempt, and its run time if it finished.
#[derive(Clone, Copy, Debug)]
struct EndedRun {
    size: Resources,
    run_time: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct FamilyRecord {
    /// Attempts that are still running.
    running: BTreeMap<TaskRun, AttemptUsage>,
    ended: VecDeque<EndedRun>,
    /// When usage or a finished attempt of the family was last reported.
    last_reported_at: Time,
}

impl FamilyRecord {
    /// Returns the size to expect of a task: the 90th percentile of the
    /// attempts' CPU usage and their largest memory and accelerator usage.
    fn size(&self) -> Resources {
        let ended = self.ended.iter().map(|ended| ended.size);
        let running = self.running.values().map(AttemptUsage::size);
        let sizes: Vec<Resources> = ended.chain(running).collect();
        let largest = sizes
            .iter()
            .copied()
            .fold(Resources::default(), Resources::max);
        let mut cpus: Vec<u64> = sizes.iter().map(|size| size.cpu_milli).collect();
        cpus.sort_unstable();
        let index = cpus.len() * CPU_PERCENTILE / 100;
        Resources {
            cpu_milli: cpus.get(index).copied().unwrap_or_default(),
            ..largest
        }
    }

    fn end(&mut self, run: &TaskRun, run_time: Option<Duration>) {
        let usage = self.running.remove(run).unwrap_or_default();
        if run_time.is_none() && usage.samples == 0 {
            return;
        }
        if self.ended.len() == MAX_ENDED_RUNS {
            self.ended.pop_front();
        }
        let size = usage.size();
        self.ended.push_back(EndedRun { size, run_time });
    }
}

/// Resource usage and run times of job families.
#[derive(Clone, Debug, Default)]
pub struct FamilyStats {
    families: BTreeMap<JobName, FamilyRecord>,
}

impl FamilyStats {
    /// Creates statistics without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a usage sample of a running attempt.
    pub fn on_usage(&mut self, now: Time, run: &TaskRun, used: Resources) {
        let record = self.record(now, run);
        record.running.entry(run.clone()).or_default().add(used);
    }

    /// Records that an attempt finished. `run_time` counts from the first start
    /// of its task, so it includes earlier attempts that were checkpointed.
    pub fn on_finished(&mut self, now: Time, run: &TaskRun, run_time: Duration) {
        self.record(now, run).end(run, Some(run_time));
    }

    /// Records that an attempt ended without finishing. Its usage counts, its
    /// run time does not.
    pub fn on_stopped(&mut self, run: &TaskRun) {
        if let Some(record) = self.families.get_mut(&family(&run.task.job)) {
            record.end(run, None);
        }
    }

    /// Returns the resources to reserve for a task of `job`: the larger of the
    /// declared and the measured amounts. The measured amounts get some
    /// headroom and are limited to `largest`, the capacity of the largest
    /// worker, so that they never make a job unplaceable.
    #[must_use]
    pub fn reservation(&self, job: &JobName, declared: Resources, largest: Resources) -> Resources {
        let Some(record) = self.families.get(&family(job)) else {
            return declared;
        };
        let size = record.size();
        declared.max(Resources {
            cpu_milli: cpu_reservation(size.cpu_milli, declared.cpu_milli).min(largest.cpu_milli),
            memory_mib: memory_reservation(size.memory_mib, declared.memory_mib)
                .min(largest.memory_mib),
            accelerators: size.accelerators.min(largest.accelerators),
        })
    }

    /// Returns the expected run time of a task of `job`: the mean of the
    /// logarithms of the measured run times plus `std_devs` standard
    /// deviations. The declared time counts as one more measurement until there
    /// are enough runs.
    #[must_use]
    pub fn run_time(&self, job: &JobName, declared: Duration, std_devs: f64) -> Duration {
        let mut logs = vec![ln_seconds(declared)];
        if let Some(record) = self.families.get(&family(job)) {
            let times = record.ended.iter().filter_map(|ended| ended.run_time);
            logs.extend(times.map(ln_seconds));
        }
        let usage = &logs[usize::from(logs.len() > MIN_MEASURED_RUNS)..];
        let count = usage.len() as f64;
        let mean = usage.iter().sum::<f64>() / count;
        let variance = usage.iter().map(|log| (log - mean).powi(2)).sum::<f64>() / count;
        let expected = (mean + std_devs * variance.sqrt()).exp();
        Duration::from_secs_f64(expected.clamp(0.001, MAX_RUN_SECONDS))
    }

    fn record(&mut self, now: Time, run: &TaskRun) -> &mut FamilyRecord {
        let family = family(&run.task.job);
        if self.families.len() >= MAX_FAMILIES && !self.families.contains_key(&family) {
            self.drop_oldest();
        }
        let record = self.families.entry(family).or_default();
        record.last_reported_at = record.last_reported_at.max(now);
        record
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .families
            .iter()
            .min_by_key(|(_, record)| record.last_reported_at);
        if let Some(family) = oldest.map(|(family, _)| family.clone()) {
            self.families.remove(&family);
        }
    }
}

/// With this many measured runs, the declared run time no longer counts.
const MIN_MEASURED_RUNS: usize = 4;

/// Upper bound of the expected run time, in seconds: one year.
const MAX_RUN_SECONDS: f64 = 365.0 * 86_400.0;

fn ln_seconds(span: Duration) -> f64 {
    span.as_secs_f64().max(0.001).ln()
}

fn cpu_reservation(used: u64, declared: u64) -> u64 {
    if used <= declared + declared * CPU_TOLERANCE_PERCENT / 100 {
        return declared;
    }
    used
}

fn memory_reservation(used: u64, declared: u64) -> u64 {
    if used <= declared {
        return declared;
    }
    used + used * MEMORY_HEADROOM_PERCENT / 100
}
