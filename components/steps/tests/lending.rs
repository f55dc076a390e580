//! How much of the headroom of serving tasks placement lends to best-effort tasks.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{f64::consts::TAU, time::Duration};

use kernel::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use steps::{
    interference::WeightEstimate,
    lending::{Baseline, margin},
};

const START: Time = Time::from_secs(1_000);
/// Time between two measurements of a serving task.
const INTERVAL: Duration = Duration::from_millis(500);
/// Share of a VM that a best-effort task uses.
const SHARE: f64 = 0.25;
/// Stay of a best-effort task.
const STAY: Duration = Duration::from_secs(2);
/// Fraction of the target that was lent before, whatever was known.
const CONSTANT_FRACTION: f64 = 0.75;

fn lent_fraction(weight_error: f64, baseline: &Baseline, stay: Duration) -> f64 {
    (-margin(weight_error, SHARE, baseline, stay)).exp()
}

/// Latency of a serving task as a fraction of its target at a load of `0.5 * (1 + swing)`.
fn latency_fraction(swing: f64) -> f64 {
    0.16 / (1.0 - 0.5 * (1.0 + swing))
}

/// Baseline of a task whose load swings by `amplitude` with a period of 14 s, after a minute and
/// this part of a period.
fn baseline_after(amplitude: f64, part: f64) -> Baseline {
    let span = 70.0 + 14.0 * part;
    let steps = (span / INTERVAL.as_secs_f64()) as u32;
    let mut baseline = Baseline::new(START, latency_fraction(0.0).ln());
    for step in 0..=steps {
        let after = INTERVAL * step;
        let swing = amplitude * (TAU * after.as_secs_f64() / 14.0).sin();
        baseline.update(START + after, latency_fraction(swing).ln());
    }
    baseline
}

#[test]
fn an_unmeasured_task_beside_an_unknown_one_lends_what_it_lent_before() {
    let baseline = Baseline::new(START, 0.35_f64.ln());
    let lent = lent_fraction(WeightEstimate::PRIOR.error, &baseline, STAY);
    assert!((lent - CONSTANT_FRACTION).abs() < 0.02, "{lent}");
}

#[test]
fn a_sure_forecast_beside_a_steady_task_lends_more_and_an_unknown_one_beside_a_swing_less() {
    let steady = baseline_after(0.0, 0.0);
    let rising = baseline_after(0.5, 0.0);
    let unknown = WeightEstimate::PRIOR.error;
    let sure = lent_fraction(0.1, &steady, STAY);
    assert!(sure > 0.85, "{sure}");
    let unsure = lent_fraction(unknown, &rising, STAY);
    assert!(unsure < 0.65, "{unsure}");
    let lowest = lent_fraction(100.0, &rising, STAY);
    assert!((lowest - 0.5).abs() < 0.01, "{lowest}");
}

/// A constant margin was kept at the peak of a swing, when the load only falls, and was too
/// small before it.
#[test]
fn the_margin_follows_the_rise_that_is_still_to_come() {
    let at_peak = lent_fraction(0.1, &baseline_after(0.5, 0.25), STAY);
    let at_low = lent_fraction(0.1, &baseline_after(0.5, 0.75), STAY);
    assert!(at_peak > 0.85, "{at_peak}");
    assert!(at_low < 0.7, "{at_low}");
    let short = lent_fraction(0.1, &baseline_after(0.5, 0.75), Duration::from_millis(200));
    assert!(short > at_low + 0.05, "a short stay meets less of the rise");
}

#[test]
fn a_swing_is_forgotten_once_the_load_is_steady() {
    let mut baseline = baseline_after(0.5, 0.0);
    let swinging = lent_fraction(0.1, &baseline, STAY);
    for step in 1..=60 {
        let now = START + Duration::from_secs(70) + INTERVAL * step;
        baseline.update(now, latency_fraction(0.0).ln());
    }
    let steady = lent_fraction(0.1, &baseline, STAY);
    assert!(swinging < 0.75 && steady > 0.85, "{swinging} {steady}");
}

/// What callers of both kinds got.
#[derive(Debug, Default)]
struct Outcome {
    /// Time for which serving tasks were over their targets because of best-effort tasks.
    over_target: Duration,
    /// Best-effort tasks that were placed.
    placed: u32,
    /// Time for which they waited.
    waited: Duration,
}

impl Outcome {
    fn add(&mut self, other: &Self) {
        self.over_target += other.over_target;
        self.placed += other.placed;
        self.waited += other.waited;
    }
}

/// A worker with a serving task.
struct Worker {
    /// Part of a period by which its load is ahead.
    phase: f64,
    amplitude: f64,
    baseline: Baseline,
    /// Images and ends of its best-effort tasks.
    tasks: Vec<(usize, Time)>,
}

/// True weights of the best-effort images, and what the owner knows of them: two in three pairs
/// do not interfere, and two images are new.
const IMAGES: [(f64, WeightEstimate); 6] = [
    (0.0, known(0.05)),
    (0.0, known(0.1)),
    (1.5, known(1.4)),
    (4.0, known(4.1)),
    (0.0, WeightEstimate::PRIOR),
    (4.0, WeightEstimate::PRIOR),
];
const TICK: Duration = Duration::from_millis(100);
/// Best-effort tasks that a worker has room for.
const ROOM: usize = 2;

const fn known(weight: f64) -> WeightEstimate {
    WeightEstimate {
        weight,
        error: 0.15,
    }
}

impl Worker {
    fn true_baseline(&self, now: Time) -> f64 {
        let periods = now.since(START).as_secs_f64() / 14.0 + self.phase;
        latency_fraction(self.amplitude * (TAU * periods).sin()).ln()
    }

    fn true_effect(&self) -> f64 {
        self.tasks
            .iter()
            .map(|(image, _)| IMAGES[*image].0 * SHARE)
            .sum()
    }

    /// Share of the remaining headroom that a task would take; `None` if it would run too slowly.
    fn cost(&self, image: usize, fraction: Option<f64>) -> Option<f64> {
        if self.tasks.len() >= ROOM {
            return None;
        }
        let estimate = IMAGES[image].1;
        let margin = match fraction {
            Some(fraction) => -fraction.ln(),
            None => margin(estimate.error, SHARE, &self.baseline, STAY),
        };
        let mut headroom = -self.baseline.present() - margin;
        for (other, _) in &self.tasks {
            headroom -= IMAGES[*other].1.weight * SHARE;
        }
        let effect = estimate.weight * SHARE;
        let is_fast_enough = headroom >= 0.8 * effect;
        is_fast_enough.then(|| effect / headroom.max(0.05))
    }
}

/// Plays four minutes of eight workers, half of them with a swinging load, and a best-effort task
/// every `arrivals` on average, without paces. `fraction` is the constant that is lent; `None` for the decision.
fn play(fraction: Option<f64>, arrivals: Duration, seed: u64) -> Outcome {
    let mut draws = ChaCha8Rng::seed_from_u64(seed);
    let mut workers: Vec<Worker> = (0..8_u32)
        .map(|number| Worker {
            phase: draws.random(),
            amplitude: if number % 2 == 0 { 0.5 } else { 0.0 },
            baseline: Baseline::new(START, latency_fraction(0.0).ln()),
            tasks: Vec::new(),
        })
        .collect();
    let mut outcome = Outcome::default();
    let mut waiting: Vec<(usize, Time)> = Vec::new();
    let mut next_arrival = START + Duration::from_secs(30);
    for tick in 0..2_400_u32 {
        let now = START + TICK * tick;
        for worker in &mut workers {
            worker.tasks.retain(|(_, end)| !end.passed(now));
            let present = worker.true_baseline(now);
            if tick % 5 == 0 {
                worker.baseline.update(now, present);
            }
            if present < 0.0 && present + worker.true_effect() >= 0.0 {
                outcome.over_target += TICK;
            }
        }
        while next_arrival.passed(now) {
            waiting.push((draws.random_range(0..IMAGES.len()), now));
            next_arrival = next_arrival + arrivals.mul_f64(draws.random_range(0.0..2.0));
        }
        waiting.retain(|&(image, since)| {
            let costs = workers.iter().enumerate();
            let costs = costs.filter_map(|(n, worker)| Some((worker.cost(image, fraction)?, n)));
            let Some((_, best)) = costs.min_by(|one, other| one.0.total_cmp(&other.0)) else {
                return true;
            };
            workers[best].tasks.push((image, now + STAY));
            outcome.placed += 1;
            outcome.waited += now.since(since);
            false
        });
    }
    outcome
}

/// With the constant, serving tasks whose loads rose were over their targets because of tasks
/// that had been placed before the rise. A smaller constant makes the best-effort tasks wait.
#[rstest]
#[case::little(500, 0.4)]
#[case::much(300, 0.9)]
#[case::contended(200, 0.95)]
fn swinging_serving_tasks_are_over_their_targets_for_less_time(
    #[case] arrivals_ms: u64,
    #[case] most_over_target: f64,
) {
    let mut constant = Outcome::default();
    let mut decided = Outcome::default();
    for seed in 1..=8 {
        let arrivals = Duration::from_millis(arrivals_ms);
        constant.add(&play(Some(CONSTANT_FRACTION), arrivals, seed));
        decided.add(&play(None, arrivals, seed));
    }
    let outcomes = format!("constant {constant:?}, decided {decided:?}");
    let limit = constant.over_target.mul_f64(most_over_target);
    assert!(decided.over_target <= limit, "{outcomes}");
    assert!(
        f64::from(decided.placed) >= 0.995 * f64::from(constant.placed),
        "{outcomes}"
    );
    let longer_wait = decided.waited.saturating_sub(constant.waited) / decided.placed;
    assert!(longer_wait <= Duration::from_millis(100), "{outcomes}");
}
