//! Tests interference estimates, throttling, measured sizes and quotas.
#![allow(clippy::unwrap_used, reason = "a test may panic")]
#![allow(dead_code, reason = "other test files use the rest of the helpers")]

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{run, vm};
use kernel::{JobName, Resources, ServiceName, TeamName, TeamSum, Time};
use place::{
    family::family,
    family_stats::FamilyStats,
    interference::{Contributor, Estimator, MatchedReport, ThrottleSettings, Throttler},
    interference_table::PRIOR_SLOWDOWN,
    quota::QuotaSplit,
};
use proptest::{prelude::*, test_runner::RngSeed};

const CAPACITY: Resources = Resources::new(16_000, 65_536, 0);
const HALF: Resources = Resources::new(8000, 4096, 0);

fn service() -> ServiceName {
    "lookups".parse().unwrap()
}

fn job(name: &str) -> JobName {
    JobName::new(name).unwrap()
}

fn at(seconds: u64) -> Time {
    Time::from_secs(10_000 + seconds)
}

#[test]
fn repeated_jobs_belong_to_one_family() {
    assert_eq!(family(&job("statements-2026-49")), job("statements"));
    assert_eq!(family(&job("2026-49")), job("2026-49"));
}

/// Creates an estimator and feeds it alternating reports: while `scans` use
/// half of the cores the latency is twice as high as while `statements` do.
/// Usage arrives `usage_lag` seconds late and latency `latency_lag` seconds, so
/// matching by arrival time would mix up the two jobs.
fn estimator_with_lags(usage_lag: u64, latency_lag: u64) -> Estimator {
    let mut estimator = Estimator::new();
    let vm = vm(0);
    estimator.on_worker(&vm, CAPACITY);
    let mut reports = Vec::new();
    for round in 0..200u64 {
        let measured_at = at(round * 20);
        reports.push((measured_at + Duration::from_secs(usage_lag), true, round));
        reports.push((measured_at + Duration::from_secs(latency_lag), false, round));
    }
    reports.sort();
    for (now, is_usage, round) in reports {
        let noisy = round % 2 == 0;
        let family = if noisy { "scans-1" } else { "statements-1" };
        let measured_at = at(round * 20);
        if is_usage {
            estimator.on_usage(now, measured_at, &vm, &run(family, 0), HALF);
        } else {
            let p99 = if noisy { 20_000 } else { 10_000 };
            estimator.on_latency(now, measured_at, &vm, &service(), p99);
        }
    }
    estimator
}

#[rstest::rstest]
#[case(0, 0)]
#[case(30, 10)]
#[case(10, 30)]
fn reports_are_matched_by_the_time_of_measurement(#[case] usage: u64, #[case] latency: u64) {
    let estimator = estimator_with_lags(usage, latency);
    let noisy = estimator.slowdown(&service(), &job("scans-7"));
    let quiet = estimator.slowdown(&service(), &job("statements-7"));
    let difference = (noisy - quiet) * 0.5;
    // The latency is twice as high with `scans` on the VM as with `statements`.
    assert!((difference - 2f64.ln()).abs() < 0.2, "{noisy} {quiet}");
}

#[test]
fn estimates_stay_at_the_prior_without_usage_reports() {
    let mut estimator = Estimator::new();
    let vm = vm(0);
    estimator.on_worker(&vm, CAPACITY);
    assert_eq!(
        estimator.slowdown(&service(), &job("scans")),
        PRIOR_SLOWDOWN
    );
    for second in 0..200 {
        let matched = estimator.on_latency(at(second), at(second), &vm, &service(), 90_000);
        assert_eq!(matched, Vec::new());
    }
    assert!(estimator.changed().is_empty());
}

fn matched_report(second: u64, inflation: f64, contributions: &[(&str, f64)]) -> MatchedReport {
    MatchedReport {
        at: at(second),
        vm: vm(0),
        service: service(),
        inflation,
        contributors: contributions
            .iter()
            .map(|(job, contribution)| Contributor {
                run: run(job, 0),
                contribution: *contribution,
            })
            .collect(),
    }
}

#[test]
fn throttling_starts_then_evicts_then_ends() {
    let mut throttler = Throttler::new(ThrottleSettings::default());
    let mut session = String::new();
    let noisy = [
        ("serving", 0.9),
        ("scans", 0.5),
        ("dumps", 0.2),
        ("statements", 0.01),
    ];
    for second in (0..300).step_by(5) {
        let inflation = match second {
            0..20 => 1.0,
            20..55 => 1.8,
            55..80 => 1.0,
            // Between the two thresholds: neither throttled nor released.
            80..100 => 1.2,
            _ => 1.0,
        };
        let now = at(second + 10);
        // The evicted task stops at 65 s; the serving task is never evictable.
        let is_evictable = |run: &kernel::TaskRun| match run.task.job.as_str() {
            "scans" => second < 65,
            other => other != "serving",
        };
        let report = matched_report(second, inflation, &noisy);
        if let Some(action) = throttler.on_report(now, &report, is_evictable) {
            session.push_str(&format!("{second:>4} s x{inflation}: {action:?}\n"));
        }
    }
    insta::assert_snapshot!(session);
}

#[test]
fn reservations_are_the_larger_of_declared_and_measured() {
    let mut sizes = FamilyStats::new();
    let declared = Resources::new(300, 400, 0);
    let largest = Resources::new(16_000, 65_536, 0);
    for index in 0..10 {
        let attempt = run("statements-1", index);
        sizes.on_usage(at(1), &attempt, Resources::new(3000, 4000, 0));
        sizes.on_finished(at(2), &attempt, Duration::from_secs(100));
    }
    let measured = sizes.reservation(&job("statements-2"), declared, largest);
    assert!(Resources::new(3000, 4000, 0).fits(measured), "{measured}");
    let overstated = Resources::new(30_000, 40_000, 0);
    assert_eq!(
        sizes.reservation(&job("statements-2"), overstated, largest),
        overstated
    );
    let small_worker = Resources::new(1000, 1000, 0);
    assert_eq!(
        sizes.reservation(&job("statements-2"), declared, small_worker),
        small_worker
    );
    let expected = sizes.run_time(&job("statements-9"), Duration::from_secs(10), 0.0);
    assert_eq!(expected.as_secs_f64().round(), 100.0);
}

#[test]
fn a_quota_for_fewer_tasks_than_cells_is_used_fully() {
    let team = TeamName::new("royalties").unwrap();
    let need = Resources::new(2000, 1024, 0);
    let quota = Resources::new(8000, 4096, 0);
    let mut split = QuotaSplit::new();
    let cells: Vec<kernel::CellName> = (0..28)
        .map(|number| format!("cell-{number:02}").parse().unwrap())
        .collect();
    for cell in &cells {
        let sum = TeamSum {
            wanted: need.plus(need),
            largest: need,
            ..TeamSum::default()
        };
        split.update_cell(cell, BTreeMap::from([(team.clone(), sum)]));
    }
    let allowed = cells.iter().map(|cell| split.allowance(cell, &team, quota));
    assert_eq!(allowed.filter(|allowed| need.fits(*allowed)).count(), 4);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn allowances_of_all_cells_together_stay_within_the_quota(
        sums in prop::collection::vec((0u64..5000, 0u64..5000, 0u32..4, 0u32..4), 1..8),
    ) {
        let team = TeamName::new("royalties").unwrap();
        let quota = Resources::new(40_000, 40_000, 32);
        let mut split = QuotaSplit::new();
        let mut held = Resources::default();
        for (number, (cpu, wanted, accelerators, wanted_accelerators)) in sums.iter().enumerate() {
            let sum = TeamSum {
                held: Resources::new(*cpu, *cpu, *accelerators),
                wanted: Resources::new(*wanted, *wanted, *wanted_accelerators),
                largest: Resources::new(*wanted / 3, *wanted / 2, *wanted_accelerators),
            };
            held = held.plus(sum.held);
            let cell = format!("cell-{number}").parse().unwrap();
            split.update_cell(&cell, BTreeMap::from([(team.clone(), sum)]));
        }
        let mut allowed = Resources::default();
        for number in 0..sums.len() {
            let cell = format!("cell-{number}").parse().unwrap();
            allowed = allowed.plus(split.allowance(&cell, &team, quota));
        }
        prop_assert!(allowed.fits(quota.max(held)), "{allowed} of {quota}");
    }
}
