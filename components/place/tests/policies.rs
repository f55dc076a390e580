//! The promised bounds, held in virtual time on small seeded fleets. The
//! bounds are those of the issues; `examples/policies.rs` prints the figures.
#![allow(clippy::unwrap_used, reason = "a test may panic")]
#![allow(dead_code, reason = "the example uses more of the simulation")]

#[path = "../examples/sim/mod.rs"]
mod sim;

use std::time::Duration;

use rstest::rstest;
use sim::{
    quantile,
    scenarios::{self, Kind, Load, SEED},
};

/// Services must suffer at most this part of what they suffer without the
/// interference term.
const MOST_OF_BASELINE_INFLATION: f64 = 1.0 / 3.0;

/// Batch work must keep at least this part of its throughput.
const LEAST_OF_BASELINE_WORK: f64 = 0.9;

/// Urgent work must start within this.
const URGENT_START_SECONDS: f64 = 6.1;

/// No team below its share may wait longer than this for a start.
const STARVATION_SECONDS: f64 = 60.0;

#[rstest]
#[case(Load::Spare, 1800)]
#[case(Load::Full, 3600)]
fn noisy_waves_hurt_services_little_and_batch_work_hardly(
    #[case] load: Load,
    #[case] seconds: u64,
) {
    let span = Duration::from_secs(seconds);
    let base = scenarios::waves(Kind::NoInterference, load, SEED, span);
    let ours = scenarios::waves(Kind::Product, load, SEED, span);
    let inflation = ours.inflation() / base.inflation();
    let work = ours.work_done / base.work_done;
    println!("inflation {inflation:.3} and work {work:.3} of the baseline");
    assert!(inflation <= MOST_OF_BASELINE_INFLATION, "{inflation}");
    assert!(work >= LEAST_OF_BASELINE_WORK, "{work}");
}

#[test]
fn urgent_work_starts_in_time_on_a_full_fleet_and_evicts_no_more_than_it_needs() {
    let outcome = scenarios::urgent(SEED, Duration::from_secs(300));
    let waits = &outcome.waits[&("bookings", true)];
    let longest = quantile(waits, 1.0);
    assert!(longest <= URGENT_START_SECONDS, "{longest}");
    assert!(outcome.evictions as usize <= waits.len());
}

#[test]
fn a_team_below_its_share_starves_for_a_minute_at_most() {
    let longest = scenarios::starvation(SEED, Duration::from_secs(900));
    assert!(longest <= STARVATION_SECONDS, "{longest}");
}

#[test]
fn learnt_sizes_keep_vms_from_overload_by_understated_needs() {
    let span = Duration::from_secs(1200);
    let base = scenarios::sizes(Kind::NoLearning, SEED, span);
    let ours = scenarios::sizes(Kind::Product, SEED, span);
    let (base, ours) = (base.overloaded_seconds, ours.overloaded_seconds);
    assert!(ours < base / 10.0, "{ours} s against {base} s");
}
