//! Prints how requests fare under faults, next to a plain baseline.
//!
//! `cargo run --release -p route --example requests -- [SEED] [SECONDS]`; the
//! figures are kept in `docs/MEASUREMENTS.md`.

mod sim;

use std::time::Duration;

use sim::{Deciding, Fault, Scenario, Summary, world};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_SECONDS: u64 = 60;

fn argument(at: usize, default: u64) -> u64 {
    let text = std::env::args().nth(at);
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn print(what: &str, deciding: Deciding, summary: &Summary, undisturbed: &Summary) {
    println!(
        "{what:<28} {:<9} {:>8} {:>8.1} {:>8.1} {:>7.2} {:>8.3} {:>9.3} {:>8} {:>8}",
        format!("{deciding:?}"),
        summary.requests,
        summary.latency.value_at_quantile(0.5) as f64 / 1000.0,
        summary.p99_millis(),
        summary.p99_millis() / undisturbed.p99_millis(),
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
        ("one request in 50 20x slow", Fault::Hiccups(20), 0.5),
        ("availability zone out", Fault::ZoneOut, 0.5),
        ("overload 2x", Fault::None, 2.0),
        ("no endpoint reachable", Fault::Unreachable, 0.5),
        ("every endpoint crashes", Fault::Crashing, 0.5),
    ];
    for deciding in [Deciding::Product, Deciding::Baseline] {
        let run = |fault, load| {
            world::run(Scenario {
                deciding,
                fault,
                load,
                span,
                seed,
            })
        };
        let undisturbed = run(Fault::None, 0.5);
        for (what, fault, load) in faults {
            print(what, deciding, &run(fault, load), &undisturbed);
        }
    }
}
