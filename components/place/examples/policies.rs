//! Compares the policies with simple baselines, seeded and in virtual time.
//!
//! `cargo run --release -p place --example policies`

mod sim;

use std::time::Duration;

use sim::{
    night::Order,
    quantile,
    scenarios::{self, Load, PolicyKind, SEED},
};

fn main() {
    println!("seed {SEED}, virtual time");
    print_waves(Load::Spare);
    print_waves(Load::Full);
    print_seeds();
    print_sizes();
    print_urgent();
    print_starvation();
    print_nights();
}

fn print_nights() {
    println!("\nNights: 12 h, one of three zones out for 90 min, urgent bursts, wrong run times");
    println!(
        "{:>6} {:>18} {:>14} {:>22}",
        "load", "order", "deadlines met", "work against earliest"
    );
    for load in [0.6, 0.8, 1.0, 1.3] {
        let sum = |order| run_nights(order, load);
        let (_, earliest_deadline_work) = sum(Order::EarliestDeadline);
        for order in [
            Order::FirstCome,
            Order::EarliestDeadline,
            Order::AsLateAsPossible,
        ] {
            let (deadlines_met, work) = sum(order);
            let order = format!("{order:?}");
            let work = work / earliest_deadline_work;
            println!("{load:>6} {order:>18} {deadlines_met:>14.3} {work:>22.3}");
        }
    }
}

/// Returns the fraction of deadlines met and the work finished, over ten seeds.
fn run_nights(order: Order, load: f64) -> (f64, f64) {
    let (mut deadlines_met, mut all, mut work) = (0, 0, 0.0);
    for seed in 0..10 {
        let result = sim::night::run_night(order, load, seed);
        deadlines_met += result.deadlines_met;
        all += result.with_deadline;
        work += result.finished_core_minutes;
    }
    (f64::from(deadlines_met) / f64::from(all), work)
}

fn print_waves(load: Load) {
    println!("\nNoisy batch waves, 24 VMs, 2 h, load: {load:?}");
    println!(
        "{:>16} {:>10} {:>10} {:>8} {:>9} {:>9}",
        "policy", "inflation", "of base", "work", "throttles", "evictions"
    );
    let span = Duration::from_secs(7200);
    let baseline = scenarios::waves(PolicyKind::NoInterference, load, SEED, span);
    for kind in [
        PolicyKind::NoInterference,
        PolicyKind::Random,
        PolicyKind::FirstFit,
        PolicyKind::ThrottlingOnly,
        PolicyKind::PlacementOnly,
        PolicyKind::Product,
    ] {
        let outcome = scenarios::waves(kind, load, SEED, span);
        println!(
            "{:>16} {:>10.3} {:>10.2} {:>8.3} {:>9} {:>9}",
            format!("{kind:?}"),
            outcome.inflation(),
            outcome.inflation() / baseline.inflation(),
            outcome.work_done / baseline.work_done,
            outcome.throttles,
            outcome.evictions
        );
    }
}

/// Prints the promised ratios for other seeds, to show how much they vary.
fn print_seeds() {
    println!(
        "\nBy seed and load: inflation and work done of Product, each divided by that of NoInterference"
    );
    let span = Duration::from_secs(7200);
    for seed in 1..=5 {
        print!("{seed:>16}");
        for load in [Load::Spare, Load::Full] {
            let baseline = scenarios::waves(PolicyKind::NoInterference, load, seed, span);
            let product = scenarios::waves(PolicyKind::Product, load, seed, span);
            let inflation = product.inflation() / baseline.inflation();
            let work = product.work_done / baseline.work_done;
            print!(" {load:?} {inflation:.2} {work:.3}");
        }
        println!();
    }
}

fn print_sizes() {
    println!("\nDeclared sizes off by ten either way, 12 VMs, 1 h");
    println!(
        "{:>16} {:>16} {:>10} {:>8}",
        "policy", "overloaded VM s", "inflation", "work"
    );
    let span = Duration::from_secs(3600);
    let baseline = scenarios::sizes(PolicyKind::NoLearning, SEED, span);
    for kind in [PolicyKind::NoLearning, PolicyKind::Product] {
        let outcome = scenarios::sizes(kind, SEED, span);
        println!(
            "{:>16} {:>16.0} {:>10.3} {:>8.3}",
            format!("{kind:?}"),
            outcome.overloaded_seconds,
            outcome.inflation(),
            outcome.work_done / baseline.work_done
        );
    }
}

fn print_urgent() {
    let outcome = scenarios::urgent(SEED, Duration::from_secs(600));
    let waits = outcome.waits.get(&("bookings", true));
    let waits = waits.map_or(&[][..], Vec::as_slice);
    println!(
        "\nUrgent work on a full fleet: {} tasks, wait p50 {:.1} s, longest {:.1} s, {} evictions",
        waits.len(),
        quantile(waits, 0.5),
        quantile(waits, 1.0),
        outcome.evictions
    );
}

fn print_starvation() {
    let longest = scenarios::starvation(SEED, Duration::from_secs(1800));
    println!("\nLongest wait without a start of a team below its share: {longest:.0} s");
}
