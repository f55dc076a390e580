//! Simulation of one night of batch jobs with deadlines, under three scheduling
//! orders.
//!
//! Declared run times are wrong, an availability zone is out of service for
//! ninety minutes, and urgent work arrives in bursts. `AsLateAsPossible`
//! follows the idea of DDCCast (Noormohammadpour and Raghavendra): it admits a
//! job only if its work fits before its deadline, reserves that work as late as
//! possible, and moves the nearest reservations forward into free capacity.

use std::{collections::BTreeMap, time::Duration};

use kernel::{Attempt, JobName, TaskId, TaskRun, Time};
use place::family_stats::FamilyStats;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::truth::noise;

const NIGHT_MINUTES: usize = 12 * 60;
const ZONES: usize = 3;
const CORES_PER_ZONE: u32 = 64;
const ZONE_OUTAGE_MINUTES: std::ops::Range<usize> = 400..490;
const URGENT_INTERVAL_MINUTES: usize = 60;
const URGENT_MINUTES: usize = 15;
const URGENT_CORES: u32 = 32;
const SLOT_MINUTES: usize = 10;
/// The standard deviation of the logarithm of declared over actual run time:
/// one in twenty is off by more than a factor of ten.
const DECLARED_DEVIATION: f64 = 1.15;
/// The standard deviations of run times that a reservation covers.
const RUN_TIME_STD_DEVS: f64 = 0.5;

/// The scheduling orders compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    FirstCome,
    EarliestDeadline,
    AsLateAsPossible,
}

/// The results of one night.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NightResult {
    pub(crate) with_deadline: u32,
    pub(crate) deadlines_met: u32,
    pub(crate) finished_core_minutes: f64,
}

#[derive(Clone, Debug)]
struct Job {
    id: JobName,
    arrival_minute: usize,
    /// The minute by which the job must finish; `None` without a deadline.
    deadline: Option<usize>,
    cores: u32,
    declared_minutes: f64,
    tasks: Vec<Task>,
    admitted: bool,
    /// The first slot in which work is reserved.
    first_slot: usize,
    finished_at_minute: Option<usize>,
}

#[derive(Clone, Debug)]
struct Task {
    run_minutes: f64,
    done_minutes: f64,
    /// The zone where the task runs; `None` while it waits or once it has finished.
    zone: Option<usize>,
}

impl Job {
    fn remaining_core_minutes(&self, expected: f64) -> f64 {
        let unfinished = self
            .tasks
            .iter()
            .filter(|task| task.done_minutes < task.run_minutes);
        let minutes: f64 = unfinished
            .map(|task| (expected - task.done_minutes).max(expected * 0.1))
            .sum();
        minutes * f64::from(self.cores)
    }

    fn is_unfinished(&self) -> bool {
        self.finished_at_minute.is_none()
    }
}

/// Simulates one night.
pub(crate) fn run_night(order: Order, load: f64, seed: u64) -> NightResult {
    let mut jobs = generate_jobs(load, seed);
    let mut stats = FamilyStats::new();
    for minute in 0..NIGHT_MINUTES {
        let free = evict_and_count_free(&mut jobs, minute);
        if order == Order::AsLateAsPossible && is_planning_due(&jobs, minute) {
            plan_reservations(&mut jobs, minute, &stats);
        }
        start_tasks(&mut jobs, order, minute, free);
        advance_minute(&mut jobs, minute, &mut stats);
    }
    summarize(&jobs)
}

fn generate_jobs(load: f64, seed: u64) -> Vec<Job> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let capacity = f64::from(CORES_PER_ZONE) * ZONES as f64 * NIGHT_MINUTES as f64;
    let mut jobs = Vec::new();
    let mut work = 0.0;
    while work < capacity * load {
        let family = ["statements", "reconciliations", "scans", "photos"][rng.random_range(0..4)];
        let typical_minutes = match family {
            "statements" => 20.0,
            "reconciliations" => 45.0,
            "scans" => 8.0,
            _ => 15.0,
        };
        let arrival_minute = rng.random_range(0..NIGHT_MINUTES * 2 / 3);
        let deadline = match rng.random_range(0..10) {
            0..3 => Some(arrival_minute + rng.random_range(60..240)),
            3..7 => Some(NIGHT_MINUTES - 1),
            _ => None,
        };
        let cores = rng.random_range(1..=4);
        let count = rng.random_range(4..=40);
        let declared_minutes = typical_minutes * noise(&mut rng, DECLARED_DEVIATION);
        let tasks: Vec<Task> = (0..count)
            .map(|_| Task {
                run_minutes: typical_minutes * noise(&mut rng, 0.3),
                done_minutes: 0.0,
                zone: None,
            })
            .collect();
        work += tasks.iter().map(|task| task.run_minutes).sum::<f64>() * f64::from(cores);
        let Ok(id) = JobName::new(format!("{family}-{}", jobs.len())) else {
            continue;
        };
        jobs.push(Job {
            id,
            arrival_minute,
            deadline: deadline.map(|minute| minute.min(NIGHT_MINUTES - 1)),
            cores,
            declared_minutes,
            tasks,
            admitted: false,
            first_slot: usize::MAX,
            finished_at_minute: None,
        });
    }
    jobs.sort_by_key(|job| job.arrival_minute);
    jobs
}

fn available_cores(zone: usize, minute: usize) -> u32 {
    if zone == 0 && ZONE_OUTAGE_MINUTES.contains(&minute) {
        return 0;
    }
    let urgent = minute % URGENT_INTERVAL_MINUTES < URGENT_MINUTES;
    if zone == (minute / URGENT_INTERVAL_MINUTES) % ZONES && urgent {
        return CORES_PER_ZONE - URGENT_CORES;
    }
    CORES_PER_ZONE
}

/// Evicts tasks that exceed the available cores of their zone, those of the
/// latest jobs first; each loses one minute of work. Returns the free cores of
/// each zone.
fn evict_and_count_free(jobs: &mut [Job], minute: usize) -> [u32; ZONES] {
    let mut used = [0; ZONES];
    for job in jobs.iter_mut().rev() {
        let cores = job.cores;
        for task in &mut job.tasks {
            if let Some(zone) = task.zone {
                used[zone] += cores;
            }
        }
    }
    for job in jobs.iter_mut().rev() {
        let cores = job.cores;
        for task in &mut job.tasks {
            let Some(zone) = task.zone else {
                continue;
            };
            if used[zone] > available_cores(zone, minute) {
                used[zone] -= cores;
                task.zone = None;
                task.done_minutes = (task.done_minutes - 1.0).max(0.0);
            }
        }
    }
    std::array::from_fn(|zone| available_cores(zone, minute).saturating_sub(used[zone]))
}

fn is_planning_due(jobs: &[Job], minute: usize) -> bool {
    minute.is_multiple_of(SLOT_MINUTES) || jobs.iter().any(|job| job.arrival_minute == minute)
}

/// Reserves the work of admitted jobs as late as possible, new ones last and
/// only if all of it fits before their deadline.
fn plan_reservations(jobs: &mut [Job], minute: usize, stats: &FamilyStats) {
    let whole = f64::from(CORES_PER_ZONE) * ZONES as f64 * SLOT_MINUTES as f64;
    let mut free = vec![whole; NIGHT_MINUTES / SLOT_MINUTES];
    let now = minute / SLOT_MINUTES;
    for job in jobs.iter_mut() {
        let Some(deadline) = job.deadline else {
            continue;
        };
        let is_new = job.arrival_minute == minute;
        if !job.is_unfinished() || job.arrival_minute > minute || !(job.admitted || is_new) {
            continue;
        }
        let declared = Duration::from_secs_f64(job.declared_minutes * 60.0);
        let expected = stats
            .run_time(&job.id, declared, RUN_TIME_STD_DEVS)
            .as_secs_f64()
            / 60.0;
        let work = job.remaining_core_minutes(expected);
        let last = (deadline / SLOT_MINUTES).min(free.len() - 1);
        if last < now {
            job.first_slot = usize::MAX;
            continue;
        }
        let available: f64 = free[now..=last].iter().sum();
        if is_new && available < work {
            continue;
        }
        job.admitted = true;
        job.first_slot = reserve(&mut free[now..=last], work, job) + now;
    }
}

/// Reserves `work` in the last slots with free capacity; returns the first slot
/// used.
fn reserve(free: &mut [f64], mut work: f64, job: &Job) -> usize {
    let parallel = f64::from(job.cores) * job.tasks.len() as f64 * SLOT_MINUTES as f64;
    let mut first = free.len() - 1;
    for (slot, available) in free.iter_mut().enumerate().rev() {
        if work <= 0.0 {
            break;
        }
        let taken = work.min(*available).min(parallel);
        *available -= taken;
        work -= taken;
        if taken > 0.0 {
            first = slot;
        }
    }
    if work > 0.0 { 0 } else { first }
}

/// Fills the free cores with waiting tasks in the given order.
fn start_tasks(jobs: &mut [Job], order: Order, minute: usize, mut free: [u32; ZONES]) {
    let mut by_rank: BTreeMap<(usize, usize), usize> = BTreeMap::new();
    for (number, job) in jobs.iter().enumerate() {
        if !job.is_unfinished() || job.arrival_minute > minute {
            continue;
        }
        let in_time = job.deadline.filter(|deadline| *deadline >= minute);
        let rank = match order {
            Order::FirstCome => 0,
            Order::EarliestDeadline => in_time.unwrap_or(usize::MAX),
            Order::AsLateAsPossible if job.admitted && in_time.is_some() => job.first_slot,
            Order::AsLateAsPossible => usize::MAX,
        };
        by_rank.insert((rank, number), number);
    }
    for number in by_rank.into_values() {
        let job = &mut jobs[number];
        for task in &mut job.tasks {
            if task.zone.is_some() || task.done_minutes >= task.run_minutes {
                continue;
            }
            let Some(zone) = (0..ZONES).find(|zone| free[*zone] >= job.cores) else {
                break;
            };
            free[zone] -= job.cores;
            task.zone = Some(zone);
        }
    }
}

fn advance_minute(jobs: &mut [Job], minute: usize, stats: &mut FamilyStats) {
    let now = Time::from_secs(minute as u64 * 60);
    for job in jobs {
        if !job.is_unfinished() {
            continue;
        }
        for (index, task) in job.tasks.iter_mut().enumerate() {
            if task.zone.is_none() {
                continue;
            }
            task.done_minutes += 1.0;
            if task.done_minutes < task.run_minutes {
                continue;
            }
            task.zone = None;
            let run = TaskRun {
                task: TaskId {
                    job: job.id.clone(),
                    index: index as u32,
                },
                attempt: Attempt(1),
            };
            let run_time = Duration::from_secs_f64(task.run_minutes * 60.0);
            stats.on_finished(now, &run, run_time);
        }
        if job
            .tasks
            .iter()
            .all(|task| task.done_minutes >= task.run_minutes)
        {
            job.finished_at_minute = Some(minute);
        }
    }
}

fn summarize(jobs: &[Job]) -> NightResult {
    let mut result = NightResult::default();
    for job in jobs {
        if job.finished_at_minute.is_some() {
            let minutes: f64 = job.tasks.iter().map(|task| task.run_minutes).sum();
            result.finished_core_minutes += minutes * f64::from(job.cores);
        }
        let Some(deadline) = job.deadline else {
            continue;
        };
        result.with_deadline += 1;
        let deadlines_met = job
            .finished_at_minute
            .is_some_and(|minute| minute <= deadline);
        result.deadlines_met += u32::from(deadlines_met);
    }
    result
}
