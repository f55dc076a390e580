//! Jobs above the capacity of the workers, through the order of jobs alone: how many of
//! them are in time, against the order of deadlines.

use std::time::Duration;

use kernel::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use steps::ranking::{Rank, WaitingJob};

const START: Time = Time::from_secs(1_000);
const TICK: Duration = Duration::from_millis(10);
const WORKERS: usize = 20;
const JOBS: usize = 600;
/// Time that a job may take, in shortest durations of it.
const SLACK: u32 = 2;

struct Job {
    since: Time,
    work: Duration,
    left: Duration,
    done_at: Option<Time>,
}

impl Job {
    fn waiting(&self) -> WaitingJob {
        WaitingJob {
            priority: 0,
            since: self.since,
            objective: self.work * SLACK,
            remaining: self.left,
            has_deadline: true,
        }
    }

    fn is_in_time(&self) -> bool {
        let deadline = self.since + self.work * SLACK;
        self.done_at.is_some_and(|at| at <= deadline)
    }
}

/// Plays jobs that ask for `load` times what the workers can do for most of the time, and
/// then nothing. Each worker does the job that comes first in the order.
fn play<K: Ord>(seed: u64, load: f64, order: impl Fn(&Job, Time) -> K) -> Vec<Job> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut since = START;
    for _ in 0..JOBS {
        let work = Duration::from_millis(rng.random_range(500..3_500));
        jobs.push(Job {
            since,
            work,
            left: work,
            done_at: None,
        });
        since = since + work.div_f64(WORKERS as f64 * load);
    }
    let mut now = START;
    while jobs.iter().any(|job| job.done_at.is_none()) {
        now = now + TICK;
        let mut waiting: Vec<usize> = (0..jobs.len())
            .filter(|&at| jobs[at].since <= now && jobs[at].done_at.is_none())
            .collect();
        waiting.sort_by_key(|&at| (order(&jobs[at], now), at));
        for &at in waiting.iter().take(WORKERS) {
            jobs[at].left = jobs[at].left.saturating_sub(TICK);
            if jobs[at].left.is_zero() {
                jobs[at].done_at = Some(now);
            }
        }
    }
    jobs
}

fn by_deadline(job: &Job, _: Time) -> Time {
    job.since + job.work * SLACK
}

fn by_rank(job: &Job, now: Time) -> Rank {
    job.waiting().rank(now)
}

#[rstest]
fn above_capacity_more_jobs_are_in_time_than_by_deadline(
    #[values(1, 2, 3)] seed: u64,
    #[values(1.2, 1.6)] load: f64,
) {
    let count = |jobs: &[Job]| jobs.iter().filter(|job| job.is_in_time()).count();
    let ranked = play(seed, load, by_rank);
    let plain = play(seed, load, by_deadline);
    let (ranked_count, plain_count) = (count(&ranked), count(&plain));
    // What the workers can do in time at this load, less a fifth.
    let bound = (JOBS as f64 / load * 0.8) as usize;
    assert!(
        ranked_count >= bound,
        "{ranked_count} of {JOBS} in time, not {bound}"
    );
    assert!(
        ranked_count > plain_count,
        "{ranked_count} and {plain_count} in time"
    );
    assert!(ranked.iter().all(|job| job.done_at.is_some()));
}

#[rstest]
fn below_capacity_the_order_is_that_of_deadlines(#[values(1, 2, 3)] seed: u64) {
    let ranked = play(seed, 0.8, by_rank);
    assert!(ranked.iter().all(Job::is_in_time));
    let plain = play(seed, 0.8, by_deadline);
    let ends = |jobs: &[Job]| jobs.iter().map(|job| job.done_at).collect::<Vec<_>>();
    assert_eq!(ends(&ranked), ends(&plain));
}
