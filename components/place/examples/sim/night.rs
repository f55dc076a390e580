//! One night of batch jobs with deadlines, under three orders of work.
//!
//! Run times are declared wrong, an availability zone goes out for ninety
//! minutes, urgent work comes in bursts. `AsLateAsPossible` follows the idea of
//! DDCCast (Noormohammadpour and Raghavendra): admit a job only if its work fits
//! before its deadline, reserve that work as late as possible, and pull the
//! nearest reservations forward into what is free.

use std::{collections::BTreeMap, time::Duration};

use kernel::{Attempt, JobName, TaskId, TaskRun, Time};
use place::family_stats::FamilyStats;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::truth::noise;

const MINUTES: usize = 12 * 60;
const ZONES: usize = 3;
const CORES_PER_ZONE: u32 = 64;
const ZONE_OUT: std::ops::Range<usize> = 400..490;
const URGENT_EVERY: usize = 60;
const URGENT_MINUTES: usize = 15;
const URGENT_CORES: u32 = 32;
const SLOT_MINUTES: usize = 10;
/// The standard deviation of the logarithm of declared over true run time:
/// one in twenty is off by more than ten.
const DECLARED_DEVIATION: f64 = 1.15;
/// How much of the spread of run times a reservation covers.
const CAUTION: f64 = 0.5;

/// The orders compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    FirstCome,
    EarliestDeadline,
    AsLateAsPossible,
}

/// What a night came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Night {
    pub(crate) with_deadline: u32,
    pub(crate) met: u32,
    pub(crate) finished_core_minutes: f64,
}

#[derive(Clone, Debug)]
struct Job {
    id: JobName,
    arrives: usize,
    deadline: Option<usize>,
    cores: u32,
    declared: f64,
    tasks: Vec<Task>,
    admitted: bool,
    /// The first slot in which work is reserved.
    first_slot: usize,
    finished: Option<usize>,
}

#[derive(Clone, Debug)]
struct Task {
    runs: f64,
    done: f64,
    zone: Option<usize>,
}

impl Job {
    fn left(&self, expected: f64) -> f64 {
        let open = self.tasks.iter().filter(|task| task.done < task.runs);
        let minutes: f64 = open
            .map(|task| (expected - task.done).max(expected * 0.1))
            .sum();
        minutes * f64::from(self.cores)
    }

    fn is_open(&self) -> bool {
        self.finished.is_none()
    }
}

/// Runs one night.
pub(crate) fn night(order: Order, load: f64, seed: u64) -> Night {
    let mut jobs = make_jobs(load, seed);
    let mut sizes = FamilyStats::new();
    for minute in 0..MINUTES {
        let free = evict_and_count(&mut jobs, minute);
        if order == Order::AsLateAsPossible && plans_at(&jobs, minute) {
            plan(&mut jobs, minute, &sizes);
        }
        start(&mut jobs, order, minute, free);
        advance(&mut jobs, minute, &mut sizes);
    }
    sum_up(&jobs)
}

fn make_jobs(load: f64, seed: u64) -> Vec<Job> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let capacity = f64::from(CORES_PER_ZONE) * ZONES as f64 * MINUTES as f64;
    let mut jobs = Vec::new();
    let mut work = 0.0;
    while work < capacity * load {
        let family = ["statements", "reconciliations", "scans", "photos"][rng.random_range(0..4)];
        let typical = match family {
            "statements" => 20.0,
            "reconciliations" => 45.0,
            "scans" => 8.0,
            _ => 15.0,
        };
        let arrives = rng.random_range(0..MINUTES * 2 / 3);
        let deadline = match rng.random_range(0..10) {
            0..3 => Some(arrives + rng.random_range(60..240)),
            3..7 => Some(MINUTES - 1),
            _ => None,
        };
        let cores = rng.random_range(1..=4);
        let count = rng.random_range(4..=40);
        let declared = typical * noise(&mut rng, DECLARED_DEVIATION);
        let tasks: Vec<Task> = (0..count)
            .map(|_| Task {
                runs: typical * noise(&mut rng, 0.3),
                done: 0.0,
                zone: None,
            })
            .collect();
        work += tasks.iter().map(|task| task.runs).sum::<f64>() * f64::from(cores);
        let Ok(id) = JobName::new(format!("{family}-{}", jobs.len())) else {
            continue;
        };
        jobs.push(Job {
            id,
            arrives,
            deadline: deadline.map(|minute| minute.min(MINUTES - 1)),
            cores,
            declared,
            tasks,
            admitted: false,
            first_slot: usize::MAX,
            finished: None,
        });
    }
    jobs.sort_by_key(|job| job.arrives);
    jobs
}

fn zone_cores(zone: usize, minute: usize) -> u32 {
    if zone == 0 && ZONE_OUT.contains(&minute) {
        return 0;
    }
    let urgent = minute % URGENT_EVERY < URGENT_MINUTES;
    if zone == (minute / URGENT_EVERY) % ZONES && urgent {
        return CORES_PER_ZONE - URGENT_CORES;
    }
    CORES_PER_ZONE
}

/// Stops tasks for which a zone has no room any more, those of the latest jobs
/// first; a minute of their work is lost. Gives the free cores of each zone.
fn evict_and_count(jobs: &mut [Job], minute: usize) -> [u32; ZONES] {
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
            if used[zone] > zone_cores(zone, minute) {
                used[zone] -= cores;
                task.zone = None;
                task.done = (task.done - 1.0).max(0.0);
            }
        }
    }
    std::array::from_fn(|zone| zone_cores(zone, minute).saturating_sub(used[zone]))
}

fn plans_at(jobs: &[Job], minute: usize) -> bool {
    minute.is_multiple_of(SLOT_MINUTES) || jobs.iter().any(|job| job.arrives == minute)
}

/// Reserves the work of admitted jobs as late as possible, new ones last and
/// only if all of it fits before their deadline.
fn plan(jobs: &mut [Job], minute: usize, sizes: &FamilyStats) {
    let whole = f64::from(CORES_PER_ZONE) * ZONES as f64 * SLOT_MINUTES as f64;
    let mut free = vec![whole; MINUTES / SLOT_MINUTES];
    let now = minute / SLOT_MINUTES;
    for job in jobs.iter_mut() {
        let Some(deadline) = job.deadline else {
            continue;
        };
        let is_new = job.arrives == minute;
        if !job.is_open() || job.arrives > minute || !(job.admitted || is_new) {
            continue;
        }
        let declared = Duration::from_secs_f64(job.declared * 60.0);
        let expected = sizes.run_time(&job.id, declared, CAUTION).as_secs_f64() / 60.0;
        let work = job.left(expected);
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

/// Takes `work` out of the last slots; gives the first slot used.
fn reserve(free: &mut [f64], mut work: f64, job: &Job) -> usize {
    let parallel = f64::from(job.cores) * job.tasks.len() as f64 * SLOT_MINUTES as f64;
    let mut first = free.len() - 1;
    for (slot, room) in free.iter_mut().enumerate().rev() {
        if work <= 0.0 {
            break;
        }
        let taken = work.min(*room).min(parallel);
        *room -= taken;
        work -= taken;
        if taken > 0.0 {
            first = slot;
        }
    }
    if work > 0.0 { 0 } else { first }
}

/// Fills the free cores with waiting tasks in the given order.
fn start(jobs: &mut [Job], order: Order, minute: usize, mut free: [u32; ZONES]) {
    let mut turns: BTreeMap<(usize, usize), usize> = BTreeMap::new();
    for (number, job) in jobs.iter().enumerate() {
        if !job.is_open() || job.arrives > minute {
            continue;
        }
        let in_time = job.deadline.filter(|deadline| *deadline >= minute);
        let rank = match order {
            Order::FirstCome => 0,
            Order::EarliestDeadline => in_time.unwrap_or(usize::MAX),
            Order::AsLateAsPossible if job.admitted && in_time.is_some() => job.first_slot,
            Order::AsLateAsPossible => usize::MAX,
        };
        turns.insert((rank, number), number);
    }
    for number in turns.into_values() {
        let job = &mut jobs[number];
        for task in &mut job.tasks {
            if task.zone.is_some() || task.done >= task.runs {
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

fn advance(jobs: &mut [Job], minute: usize, sizes: &mut FamilyStats) {
    let now = Time::from_secs(minute as u64 * 60);
    for job in jobs {
        if !job.is_open() {
            continue;
        }
        for (index, task) in job.tasks.iter_mut().enumerate() {
            if task.zone.is_none() {
                continue;
            }
            task.done += 1.0;
            if task.done < task.runs {
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
            let ran = Duration::from_secs_f64(task.runs * 60.0);
            sizes.on_finished(now, &run, ran);
        }
        if job.tasks.iter().all(|task| task.done >= task.runs) {
            job.finished = Some(minute);
        }
    }
}

fn sum_up(jobs: &[Job]) -> Night {
    let mut night = Night::default();
    for job in jobs {
        if job.finished.is_some() {
            let minutes: f64 = job.tasks.iter().map(|task| task.runs).sum();
            night.finished_core_minutes += minutes * f64::from(job.cores);
        }
        let Some(deadline) = job.deadline else {
            continue;
        };
        night.with_deadline += 1;
        let met = job.finished.is_some_and(|minute| minute <= deadline);
        night.met += u32::from(met);
    }
    night
}
