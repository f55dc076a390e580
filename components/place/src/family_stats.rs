//! FamilyStats and run times learnt from what tasks really used.
//!
//! See "FamilyStats and run times" in `docs/PLACEMENT.md`.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use kernel::{JobName, Resources, TaskRun, Time};

use crate::family::family;

/// How many ended runs of a family are remembered.
const RUNS_KEPT: usize = 64;

/// Room above the largest usage seen, in percent, once that is more than what
/// was declared.
const HEADROOM_PERCENT: u64 = 10;

/// Processor usage above the declared amount that is taken for noise of the
/// measurement, in percent of the declared amount.
const CPU_TOLERANCE_PERCENT: u64 = 10;

/// The rank of the attempt whose processor time is reserved, in percent.
const CPU_RANK_PERCENT: usize = 90;

/// The most families remembered; the one seen longest ago gives way.
const MAX_FAMILIES: usize = 4096;

/// What one attempt used: the mean of its processor time, which can be shared,
/// and the most of its memory and accelerators, which can't.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    peak: Resources,
    cpu_milli_sum: u64,
    samples: u64,
}

impl Seen {
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

/// The size of one ended attempt, and how long it ran if it ended well.
#[derive(Clone, Copy, Debug)]
struct Ended {
    size: Resources,
    ran: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Attempts that still run.
    running: BTreeMap<TaskRun, Seen>,
    ended: VecDeque<Ended>,
    seen_at: Time,
}

impl Record {
    /// The size of the attempts seen: of processor time what all but a tenth of
    /// them stay below, of the rest the most.
    fn size(&self) -> Resources {
        let ended = self.ended.iter().map(|ended| ended.size);
        let running = self.running.values().map(Seen::size);
        let sizes: Vec<Resources> = ended.chain(running).collect();
        let most = sizes
            .iter()
            .copied()
            .fold(Resources::default(), Resources::max);
        let mut cpus: Vec<u64> = sizes.iter().map(|size| size.cpu_milli).collect();
        cpus.sort_unstable();
        let rank = cpus.len() * CPU_RANK_PERCENT / 100;
        Resources {
            cpu_milli: cpus.get(rank).copied().unwrap_or_default(),
            ..most
        }
    }

    fn end(&mut self, run: &TaskRun, ran: Option<Duration>) {
        let seen = self.running.remove(run).unwrap_or_default();
        if ran.is_none() && seen.samples == 0 {
            return;
        }
        if self.ended.len() == RUNS_KEPT {
            self.ended.pop_front();
        }
        let size = seen.size();
        self.ended.push_back(Ended { size, ran });
    }
}

/// FamilyStats and run times of families of jobs.
#[derive(Clone, Debug, Default)]
pub struct FamilyStats {
    families: BTreeMap<JobName, Record>,
}

impl FamilyStats {
    /// Nothing learnt yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what an attempt used.
    pub fn on_usage(&mut self, now: Time, run: &TaskRun, used: Resources) {
        let record = self.record(now, run);
        record.running.entry(run.clone()).or_default().add(used);
    }

    /// Takes in that an attempt ended well, with the time since its task first
    /// started, so that a checkpointed task counts whole.
    pub fn on_finished(&mut self, now: Time, run: &TaskRun, ran: Duration) {
        self.record(now, run).end(run, Some(ran));
    }

    /// Takes in that an attempt ended otherwise; its size still counts, its time
    /// does not.
    pub fn on_stopped(&mut self, run: &TaskRun) {
        if let Some(record) = self.families.get_mut(&family(&run.task.job)) {
            record.end(run, None);
        }
    }

    /// What to reserve for a task of `job`: the larger of what was declared and
    /// what such tasks used, with some headroom, but no more than `largest`,
    /// the largest worker, so that learning never makes a job impossible.
    #[must_use]
    pub fn reservation(&self, job: &JobName, declared: Resources, largest: Resources) -> Resources {
        let Some(record) = self.families.get(&family(job)) else {
            return declared;
        };
        let size = record.size();
        declared.max(Resources {
            cpu_milli: learnt_cpu(size.cpu_milli, declared.cpu_milli).min(largest.cpu_milli),
            memory_mib: learnt_memory(size.memory_mib, declared.memory_mib).min(largest.memory_mib),
            accelerators: size.accelerators.min(largest.accelerators),
        })
    }

    /// How long a task of `job` is expected to run: the mean of the logarithm
    /// over the runs seen, the declared time counting as one of them, and as
    /// many standard deviations more as `caution` says.
    #[must_use]
    pub fn run_time(&self, job: &JobName, declared: Duration, caution: f64) -> Duration {
        let mut logs = vec![log_of(declared)];
        if let Some(record) = self.families.get(&family(job)) {
            let times = record.ended.iter().filter_map(|ended| ended.ran);
            logs.extend(times.map(log_of));
        }
        let seen = &logs[usize::from(logs.len() > MIN_RUNS)..];
        let count = seen.len() as f64;
        let mean = seen.iter().sum::<f64>() / count;
        let variance = seen.iter().map(|log| (log - mean).powi(2)).sum::<f64>() / count;
        let expected = (mean + caution * variance.sqrt()).exp();
        Duration::from_secs_f64(expected.clamp(0.001, MAX_RUN_SECONDS))
    }

    fn record(&mut self, now: Time, run: &TaskRun) -> &mut Record {
        let family = family(&run.task.job);
        if self.families.len() >= MAX_FAMILIES && !self.families.contains_key(&family) {
            self.forget_oldest();
        }
        let record = self.families.entry(family).or_default();
        record.seen_at = record.seen_at.max(now);
        record
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .families
            .iter()
            .min_by_key(|(_, record)| record.seen_at);
        if let Some(family) = oldest.map(|(family, _)| family.clone()) {
            self.families.remove(&family);
        }
    }
}

/// From this many runs on, the declared time no longer counts.
const MIN_RUNS: usize = 4;

/// The longest run time that is ever expected, in seconds: a year.
const MAX_RUN_SECONDS: f64 = 365.0 * 86_400.0;

fn log_of(span: Duration) -> f64 {
    span.as_secs_f64().max(0.001).ln()
}

fn learnt_cpu(used: u64, declared: u64) -> u64 {
    if used <= declared + declared * CPU_TOLERANCE_PERCENT / 100 {
        return declared;
    }
    used
}

fn learnt_memory(used: u64, declared: u64) -> u64 {
    if used <= declared {
        return declared;
    }
    used + used * HEADROOM_PERCENT / 100
}
