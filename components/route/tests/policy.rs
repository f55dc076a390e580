//! Thresholds for requests under faults, in virtual time.
//!
//! The baseline must miss each threshold, which shows that the fault has an effect.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

#[path = "../examples/sim/mod.rs"]
mod sim;

use std::time::Duration;

use rstest::rstest;
use sim::{Fault, Scenario, Strategy, Summary, world};

const SPAN: Duration = Duration::from_secs(6);
const LOAD: f64 = 0.5;

fn run(strategy: Strategy, fault: Fault, load: f64, seed: u64) -> Summary {
    world::run(Scenario {
        strategy,
        fault,
        load,
        span: SPAN,
        seed,
    })
}

fn p99_ratio(strategy: Strategy, fault: Fault, seed: u64) -> f64 {
    let without_fault = run(strategy, Fault::None, LOAD, seed);
    run(strategy, fault, LOAD, seed).p99_millis() / without_fault.p99_millis()
}

#[rstest]
fn one_slow_endpoint_in_eleven_raises_p99_by_at_most_30_percent(
    #[values(1, 2)] seed: u64,
    #[values(Fault::Slow(20), Fault::Slow(10_000))] fault: Fault,
) {
    assert!(p99_ratio(Strategy::Product, fault, seed) <= 1.3);
    assert!(p99_ratio(Strategy::Baseline, fault, seed) > 1.3);
}

/// The hedge budget of 5% covers the 2% of slow requests, so the 99th percentile is the
/// latency of a hedged request: three times the median until the hedge is sent, then an
/// ordinary latency.
#[rstest]
fn hedging_bounds_the_p99_of_randomly_slow_requests(#[values(1, 2)] seed: u64) {
    let without_fault = run(Strategy::Product, Fault::None, LOAD, seed);
    let slow = run(Strategy::Product, Fault::SlowRequests(20), LOAD, seed);
    let median = slow.latency.value_at_quantile(0.5) as f64 / 1000.0;
    let bound = 3.0 * median + without_fault.p99_millis();
    assert!(slow.p99_millis() <= bound);
    let baseline = run(Strategy::Baseline, Fault::SlowRequests(20), LOAD, seed);
    assert!(baseline.p99_millis() > bound);
}

#[rstest]
fn a_zone_taken_out_raises_p99_by_at_most_a_half(#[values(1, 2)] seed: u64) {
    let ratio = p99_ratio(Strategy::Product, Fault::ZoneOut, seed);
    assert!(ratio <= 1.5);
    let taken_out = run(Strategy::Product, Fault::ZoneOut, LOAD, seed);
    assert_eq!((taken_out.refused, taken_out.failed), (0, 0));
}

#[rstest]
fn at_twice_the_capacity_goodput_stays_above_nine_tenths_of_it(#[values(1, 2)] seed: u64) {
    let product = run(Strategy::Product, Fault::None, 2.0, seed);
    assert!(product.goodput() >= 0.9, "{}", product.goodput());
    let baseline = run(Strategy::Baseline, Fault::None, 2.0, seed);
    assert!(baseline.goodput() < 0.9);
}

#[rstest]
#[case::unreachable(Fault::Unreachable)]
#[case::crashing(Fault::Crashing)]
fn in_a_full_outage_retries_add_at_most_a_tenth(#[case] fault: Fault) {
    let product = run(Strategy::Product, fault, LOAD, 1);
    assert!(product.attempts_per_request() <= 1.1);
    assert_eq!(product.good, 0);
    let baseline = run(Strategy::Baseline, fault, LOAD, 1);
    assert!(baseline.attempts_per_request() > 1.1);
}

#[test]
fn a_run_is_repeatable() {
    let run = || run(Strategy::Product, Fault::Slow(20), LOAD, 3);
    let (first, second) = (run(), run());
    assert_eq!(first.attempts, second.attempts);
    assert_eq!(first.latency, second.latency);
}
