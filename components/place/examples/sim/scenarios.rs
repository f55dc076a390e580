//! The measured situations.

use std::time::Duration;

use kernel::Resources;
use place::{Fleet, learner::Settings, plugin::Score};

use super::{Outcome, Spec, World, policy::Policy};

pub(crate) const SEED: u64 = 42;
const VM: Resources = Resources::new(16_000, 64 * 1024, 0);
const TWO_CORES: Resources = Resources::new(2000, 4096, 0);
const SECOND: Duration = Duration::from_secs(1);

/// The policies compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
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

pub(crate) fn policy(kind: Kind) -> Policy {
    let off = Settings {
        interference: false,
        throttling: false,
        sizes: false,
        ..Settings::default()
    };
    let on = Settings::default();
    match kind {
        Kind::Random => Policy::new(off, Fleet::with_scores(Vec::new())),
        Kind::FirstFit => Policy::new(off, Fleet::with_scores(vec![&FIRST_FIT])),
        Kind::NoInterference => Policy::new(off, no_harm()),
        Kind::PlacementOnly => Policy::new(
            Settings {
                throttling: false,
                ..on
            },
            Fleet::new(),
        ),
        Kind::ThrottlingOnly => Policy::new(on, no_harm()),
        Kind::NoLearning => Policy::new(Settings { sizes: false, ..on }, Fleet::new()),
        Kind::Product => Policy::new(on, Fleet::new()),
    }
}

fn no_harm() -> Fleet {
    let mut scores = kernel::plugin::registered::<Score>();
    scores.retain(|score| score.name != "harm");
    Fleet::with_scores(scores)
}

/// How much batch work arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Load {
    /// The fleet is about two thirds full in a wave.
    Spare,
    /// Tasks wait all the time.
    Full,
}

/// Waves of noisy tasks on top of a steady load: 24 VMs, 8 each beside
/// `lookups`, `tickets` and nothing; `scans` hurt only `lookups`, `photos` only
/// `tickets`, `dumps` both.
pub(crate) fn waves(kind: Kind, load: Load, seed: u64, span: Duration) -> Outcome {
    let mut world = World::new(policy(kind), seed, SECOND);
    for number in 0..24 {
        let services: &[&str] = match number % 3 {
            0 => &["lookups"],
            1 => &["tickets"],
            _ => &[],
        };
        world.add_vm(VM, services);
    }
    for second in 0..span.as_secs() {
        let steady = match load {
            Load::Spare => u32::from(second % 2 == 0),
            Load::Full => 2,
        };
        for _ in 0..steady {
            world.submit(&batch("statements", "royalties", 90));
        }
        let in_wave = second % 600 < 240;
        if in_wave && second % 3 == 0 {
            world.submit(&batch("scans", "archive", 120));
            world.submit(&batch("photos", "depots", 120));
        }
        if in_wave && second % 12 == 0 {
            world.submit(&batch("dumps", "archive", 120));
        }
        world.step();
    }
    world.outcome
}

fn batch(family: &'static str, team: &'static str, seconds: u64) -> Spec {
    Spec {
        family,
        team,
        declared: TWO_CORES,
        demand: TWO_CORES,
        work: Duration::from_secs(seconds),
        urgent: false,
    }
}

/// Urgent tasks on a fleet full of normal batch tasks: one every ten seconds,
/// sometimes twelve at once.
pub(crate) fn urgent(seed: u64, span: Duration) -> Outcome {
    let tick = Duration::from_millis(100);
    let mut world = World::new(policy(Kind::Product), seed, tick);
    for _ in 0..12 {
        world.add_vm(VM, &[]);
    }
    for _ in 0..200 {
        world.submit(&batch("statements", "royalties", 3600));
    }
    for _ in 0..50 {
        world.step();
    }
    let ticks = span.as_millis() / tick.as_millis();
    for number in 0..ticks {
        if number % 100 == 0 {
            let count = if number % 1000 == 0 { 12 } else { 1 };
            for _ in 0..count {
                let mut spec = batch("rebookings", "bookings", 20);
                spec.urgent = true;
                world.submit(&spec);
            }
        }
        world.step();
    }
    world.outcome
}

/// The longest time without a start, in seconds, of a team that waits while it
/// is below its share: one team fills the fleet with tasks of an hour, then a
/// second and a third come with theirs.
pub(crate) fn starvation(seed: u64, span: Duration) -> f64 {
    let mut world = World::new(policy(Kind::Product), seed, SECOND);
    for _ in 0..12 {
        world.add_vm(VM, &[]);
    }
    for _ in 0..300 {
        world.submit(&batch("statements", "royalties", 3600));
    }
    let mut longest: f64 = 0.0;
    let mut served = [world.now; 2];
    let teams = ["bookings", "depots"];
    for second in 0..span.as_secs() {
        if second == 60 {
            for team in teams {
                for _ in 0..100 {
                    world.submit(&batch("invoices", team, 1800));
                }
            }
        }
        world.step();
        for (number, team) in teams.iter().enumerate() {
            let started = world.outcome.started.iter().rev();
            let mut now = started.take_while(|(at, _)| *at == world.now);
            let satisfied = holds_its_share(&world, team) || world.waiting_of(team) == 0;
            if satisfied || now.any(|(_, other)| other == team) {
                served[number] = world.now;
            }
            longest = longest.max(world.now.since(served[number]).as_secs_f64());
        }
    }
    longest
}

/// Whether one more task would bring a team of three above a third.
fn holds_its_share(world: &World, team: &str) -> bool {
    let Ok(team) = team.parse() else {
        return true;
    };
    let fleet = world.policy.fleet();
    let held = fleet.held_by(&team).plus(TWO_CORES);
    held.dominant_share(fleet.total()) > 1.0 / 3.0
}

/// Declared sizes off by ten: half of the tasks use ten times what they declare.
pub(crate) fn sizes(kind: Kind, seed: u64, span: Duration) -> Outcome {
    let mut world = World::new(policy(kind), seed, SECOND);
    for number in 0..12 {
        let services: &[&str] = if number % 2 == 0 { &["lookups"] } else { &[] };
        world.add_vm(VM, services);
    }
    for second in 0..span.as_secs() {
        if second % 6 == 0 {
            let mut low = batch("statements", "royalties", 120);
            low.declared = Resources::new(300, 400, 0);
            low.demand = Resources::new(3000, 4000, 0);
            world.submit(&low);
            let mut high = batch("invoices", "bookings", 120);
            high.demand = Resources::new(200, 400, 0);
            world.submit(&high);
        }
        world.step();
    }
    world.outcome
}
