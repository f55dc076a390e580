//! Tests the promised bounds in virtual time on small seeded fleets. The issues
//! define the bounds; `examples/policies.rs` prints the measured values.
#![allow(clippy::unwrap_used, reason = "a test may panic")]
#![allow(dead_code, reason = "the example uses more of the simulation")]

#[path = "../examples/sim/mod.rs"]
mod sim;

use std::time::Duration;

use rstest::rstest;
use sim::{
    quantile,
    scenarios::{self, Load, PolicyKind, SEED},
};

/// The greatest allowed latency inflation, as a part of the inflation without
/// the interference score.
const MAX_INFLATION_RATIO: f64 = 1.0 / 3.0;

/// The least allowed throughput of batch work, as a part of the baseline.
const MIN_WORK_RATIO: f64 = 0.9;

/// The longest allowed wait of an urgent task until its start.
const MAX_URGENT_WAIT_SECONDS: f64 = 6.1;

/// The longest allowed time without a start for a team below its share.
const MAX_STARVATION_SECONDS: f64 = 60.0;

#[rstest]
#[case(Load::Spare, 1800)]
#[case(Load::Full, 3600)]
fn noisy_waves_slow_down_services_little_and_batch_work_hardly(
    #[case] load: Load,
    #[case] seconds: u64,
) {
    let span = Duration::from_secs(seconds);
    let baseline = scenarios::waves(PolicyKind::NoInterference, load, SEED, span);
    let product = scenarios::waves(PolicyKind::Product, load, SEED, span);
    let inflation = product.inflation() / baseline.inflation();
    let work = product.work_done / baseline.work_done;
    println!("inflation {inflation:.3} and work {work:.3} of the baseline");
    assert!(inflation <= MAX_INFLATION_RATIO, "{inflation}");
    assert!(work >= MIN_WORK_RATIO, "{work}");
}

#[test]
fn urgent_work_starts_in_time_on_a_full_fleet_and_evicts_no_more_than_it_needs() {
    let outcome = scenarios::urgent(SEED, Duration::from_secs(300));
    let waits = &outcome.waits[&("bookings", true)];
    let longest = quantile(waits, 1.0);
    assert!(longest <= MAX_URGENT_WAIT_SECONDS, "{longest}");
    assert!(outcome.evictions as usize <= waits.len());
}

#[test]
fn a_team_below_its_share_waits_a_minute_at_most() {
    let longest = scenarios::starvation(SEED, Duration::from_secs(900));
    assert!(longest <= MAX_STARVATION_SECONDS, "{longest}");
}

#[test]
fn measured_sizes_prevent_overload_by_understated_needs() {
    let span = Duration::from_secs(1200);
    let baseline = scenarios::sizes(PolicyKind::NoLearning, SEED, span);
    let product = scenarios::sizes(PolicyKind::Product, SEED, span);
    let (baseline, product) = (baseline.overloaded_seconds, product.overloaded_seconds);
    assert!(
        product < baseline / 10.0,
        "{product} s against {baseline} s"
    );
}
