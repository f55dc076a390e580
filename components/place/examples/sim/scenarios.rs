//! The measured scenarios.

use std::time::Duration;

use kernel::Resources;
use place::{Fleet, learner::Settings, plugin::Score};

use super::{Outcome, Simulation, TaskSpec, policy::Policy};

pub(crate) const SEED: u64 = 42;
const VM: Resources = Resources::new(16_000, 64 * 1024, 0);
const TWO_CORES: Resources = Resources::new(2000, 4096, 0);
const SECOND: Duration = Duration::from_secs(1);

/// The policies compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    Random,
    FirstFit,
    NoInterference,
    PlacementOnly,
    ThrottlingOnly,
    NoLearning,
    Product,
}

static FIRST_FIT: Score = Score {
    name: "first-fit",
    weight: 1.0,
    cost: |at, _| at.worker.vm.as_str()[3..].parse().unwrap_or_default(),
};

pub(crate) fn policy(kind: PolicyKind) -> Policy {
    let off = Settings {
        interference: false,
        throttling: false,
        sizes: false,
        ..Settings::default()
    };
    let on = Settings::default();
    match kind {
        PolicyKind::Random => Policy::new(off, Fleet::with_scores(Vec::new())),
        PolicyKind::FirstFit => Policy::new(off, Fleet::with_scores(vec![&FIRST_FIT])),
        PolicyKind::NoInterference => Policy::new(off, without_interference_score()),
        PolicyKind::PlacementOnly => Policy::new(
            Settings {
                throttling: false,
                ..on
            },
            Fleet::new(),
        ),
        PolicyKind::ThrottlingOnly => Policy::new(on, without_interference_score()),
        PolicyKind::NoLearning => Policy::new(Settings { sizes: false, ..on }, Fleet::new()),
        PolicyKind::Product => Policy::new(on, Fleet::new()),
    }
}

fn without_interference_score() -> Fleet {
    let mut scores = kernel::plugin::registered::<Score>();
    scores.retain(|score| score.name != "harm");
    Fleet::with_scores(scores)
}

/// The load by batch tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Load {
    /// The fleet is about two thirds full in a wave.
    Spare,
    /// Some tasks are always waiting.
    Full,
}

/// Runs waves of noisy tasks on top of a steady load. Of 24 VMs, 8 have an
/// endpoint of `lookups`, 8 one of `tickets` and 8 none. `scans` slow down only
/// `lookups`, `photos` only `tickets`, `dumps` both.
pub(crate) fn waves(kind: PolicyKind, load: Load, seed: u64, span: Duration) -> Outcome {
    let mut simulation = Simulation::new(policy(kind), seed, SECOND);
    for number in 0..24 {
        let services: &[&str] = match number % 3 {
            0 => &["lookups"],
            1 => &["tickets"],
            _ => &[],
        };
        simulation.add_vm(VM, services);
    }
    for second in 0..span.as_secs() {
        let steady = match load {
            Load::Spare => u32::from(second % 2 == 0),
            Load::Full => 2,
        };
        for _ in 0..steady {
            simulation.submit(&batch("statements", "royalties", 90));
        }
        let in_wave = second % 600 < 240;
        if in_wave && second % 3 == 0 {
            simulation.submit(&batch("scans", "archive", 120));
            simulation.submit(&batch("photos", "depots", 120));
        }
        if in_wave && second % 12 == 0 {
            simulation.submit(&batch("dumps", "archive", 120));
        }
        simulation.step();
    }
    simulation.outcome
}

fn batch(family: &'static str, team: &'static str, seconds: u64) -> TaskSpec {
    TaskSpec {
        family,
        team,
        declared: TWO_CORES,
        demand: TWO_CORES,
        work: Duration::from_secs(seconds),
        urgent: false,
    }
}

/// Runs urgent tasks on a fleet full of normal batch tasks: one every ten
/// seconds, and twelve at once every hundred seconds.
pub(crate) fn urgent(seed: u64, span: Duration) -> Outcome {
    let tick = Duration::from_millis(100);
    let mut simulation = Simulation::new(policy(PolicyKind::Product), seed, tick);
    for _ in 0..12 {
        simulation.add_vm(VM, &[]);
    }
    for _ in 0..200 {
        simulation.submit(&batch("statements", "royalties", 3600));
    }
    for _ in 0..50 {
        simulation.step();
    }
    let ticks = span.as_millis() / tick.as_millis();
    for number in 0..ticks {
        if number % 100 == 0 {
            let count = if number % 1000 == 0 { 12 } else { 1 };
            for _ in 0..count {
                let mut spec = batch("rebookings", "bookings", 20);
                spec.urgent = true;
                simulation.submit(&spec);
            }
        }
        simulation.step();
    }
    simulation.outcome
}

/// Returns the longest time without a start, in seconds, of a team that has
/// waiting tasks and is below its share. One team fills the fleet with tasks of
/// one hour; two other teams submit theirs a minute later.
pub(crate) fn starvation(seed: u64, span: Duration) -> f64 {
    let mut simulation = Simulation::new(policy(PolicyKind::Product), seed, SECOND);
    for _ in 0..12 {
        simulation.add_vm(VM, &[]);
    }
    for _ in 0..300 {
        simulation.submit(&batch("statements", "royalties", 3600));
    }
    let mut longest: f64 = 0.0;
    let mut last_satisfied = [simulation.now; 2];
    let teams = ["bookings", "depots"];
    for second in 0..span.as_secs() {
        if second == 60 {
            for team in teams {
                for _ in 0..100 {
                    simulation.submit(&batch("invoices", team, 1800));
                }
            }
        }
        simulation.step();
        for (number, team) in teams.iter().enumerate() {
            let started = simulation.outcome.started.iter().rev();
            let mut now = started.take_while(|(at, _)| *at == simulation.now);
            let satisfied = has_its_share(&simulation, team) || simulation.waiting_of(team) == 0;
            if satisfied || now.any(|(_, other)| other == team) {
                last_satisfied[number] = simulation.now;
            }
            longest = longest.max(simulation.now.since(last_satisfied[number]).as_secs_f64());
        }
    }
    longest
}

/// Whether one more task would raise a team's share above one third.
fn has_its_share(simulation: &Simulation, team: &str) -> bool {
    let Ok(team) = team.parse() else {
        return true;
    };
    let fleet = simulation.policy.fleet();
    let held = fleet.held_by(&team).plus(TWO_CORES);
    held.dominant_share(fleet.total()) > 1.0 / 3.0
}

/// Runs tasks with wrong declared sizes: half of them use ten times what they
/// declare, the others a tenth.
pub(crate) fn sizes(kind: PolicyKind, seed: u64, span: Duration) -> Outcome {
    let mut simulation = Simulation::new(policy(kind), seed, SECOND);
    for number in 0..12 {
        let services: &[&str] = if number % 2 == 0 { &["lookups"] } else { &[] };
        simulation.add_vm(VM, services);
    }
    for second in 0..span.as_secs() {
        if second % 6 == 0 {
            let mut understated = batch("statements", "royalties", 120);
            understated.declared = Resources::new(300, 400, 0);
            understated.demand = Resources::new(3000, 4000, 0);
            simulation.submit(&understated);
            let mut overstated = batch("invoices", "bookings", 120);
            overstated.demand = Resources::new(200, 400, 0);
            simulation.submit(&overstated);
        }
        simulation.step();
    }
    simulation.outcome
}
