//! Prints latency, goodput and attempts of requests under faults, for the router and for a
//! simple baseline.
//!
//! Run `cargo run --release -p route --example requests -- [SEED] [SECONDS]`. The figures
//! are in `docs/MEASUREMENTS.md`.

mod sim;

use std::time::Duration;

use sim::{Fault, Scenario, Strategy, Summary, world};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_SECONDS: u64 = 60;

fn argument(index: usize, default: u64) -> u64 {
    let text = std::env::args().nth(index);
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn print(label: &str, strategy: Strategy, summary: &Summary, without_fault: &Summary) {
    println!(
        "{label:<28} {:<9} {:>8} {:>8.1} {:>8.1} {:>7.2} {:>8.3} {:>9.3} {:>8} {:>8}",
        format!("{strategy:?}"),
        summary.requests,
        summary.latency.value_at_quantile(0.5) as f64 / 1000.0,
        summary.p99_millis(),
        summary.p99_millis() / without_fault.p99_millis(),
        summary.goodput(),
        summary.attempts_per_request(),
        summary.refused,
        summary.failed,
    );
}

fn main() {
    let seed = argument(1, DEFAULT_SEED);
    let span = Duration::from_secs(argument(2, DEFAULT_SECONDS));
    println!(
        "seed {seed}, {} s, 11 endpoints of 8 slots, 2 entries",
        span.as_secs()
    );
    println!(
        "{:<28} {:<9} {:>8} {:>8} {:>8} {:>7} {:>8} {:>9} {:>8} {:>8}",
        "scenario",
        "decisions",
        "requests",
        "p50 ms",
        "p99 ms",
        "ratio",
        "goodput",
        "attempts",
        "refused",
        "failed"
    );
    let faults = [
        ("undisturbed, load 0.5", Fault::None, 0.5),
        ("one endpoint 20x slow", Fault::Slow(20), 0.5),
        ("one endpoint hangs", Fault::Slow(10_000), 0.5),
        ("one request in 50 20x slow", Fault::SlowRequests(20), 0.5),
        ("availability zone out", Fault::ZoneOut, 0.5),
        ("overload 2x", Fault::None, 2.0),
        ("no endpoint reachable", Fault::Unreachable, 0.5),
        ("every endpoint crashes", Fault::Crashing, 0.5),
    ];
    for strategy in [Strategy::Product, Strategy::Baseline] {
        let run = |fault, load| {
            world::run(Scenario {
                strategy,
                fault,
                load,
                span,
                seed,
            })
        };
        let without_fault = run(Fault::None, 0.5);
        for (label, fault, load) in faults {
            print(label, strategy, &run(fault, load), &without_fault);
        }
    }
}
