//! Random faults on owners, agents and the store, checked by one history.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use cell::{CellShare, TaskRange};
use common::{
    job,
    world::{Unreliable, World, ZONES, cells},
};
use kernel::{JobSpec, Time, object::ZoneState};
use rand::Rng;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// How long faults go on, and how long the work may take afterwards.
const FAULTS: Duration = Duration::from_secs(120);
const QUIET: Duration = Duration::from_secs(600);

const SEEDS_PER_BLOCK: u64 = 12;

fn spec(world: &mut World, name: &str) -> JobSpec {
    let mut spec = job(name, world.rng.random_range(1..7), 1);
    let millis = world.rng.random_range(200..8_000);
    spec.program = format!("run={millis} use=500");
    if world.rng.random_range(0..8) == 0 {
        spec.program.push_str(" fail");
    }
    if world.rng.random_range(0..6) == 0 {
        spec = common::urgent(spec);
    }
    spec
}

fn some_time(world: &mut World, most_secs: u64) -> Time {
    let millis = world.rng.random_range(200..most_secs * 1_000);
    world.now + Duration::from_millis(millis)
}

fn disturb(world: &mut World) {
    let process = world.rng.random_range(0..world.processes.len());
    let machine = world.rng.random_range(0..world.machines.len());
    match world.rng.random_range(0..16) {
        0 => world.processes[process].down_until = Some(some_time(world, 15)),
        1 => world.processes[process].paused_until = some_time(world, 40),
        2 => world.processes[process].cut_until = some_time(world, 60),
        3 => world.outage_until = some_time(world, 20),
        4 => {
            let now = world.now;
            let back = some_time(world, 20);
            world.machines[machine].replace(now, back);
        }
        5 => world.machines[machine].down_until = Some(some_time(world, 3)),
        6 => world.machines[machine].paused_until = some_time(world, 30),
        7 => {
            let until = some_time(world, 40);
            world.partitions.insert((machine, process), until);
        }
        8 | 9 => {
            let zone = ZONES[world.rng.random_range(0..ZONES.len())];
            let state = match world.rng.random_bool(0.5) {
                true => ZoneState::Out,
                false => ZoneState::In,
            };
            world.set_zone(zone, state);
        }
        10 => {
            let now = world.now;
            world.processes[process].stop(now);
            world.processes[process].down_until = Some(some_time(world, 10).max(now + 2 * SECOND));
        }
        11 if !world.jobs.is_empty() => {
            let job = world.rng.random_range(0..world.jobs.len());
            let job = world.jobs[job].clone();
            world.cancel(&job);
        }
        12 => {
            let on = world.rng.random_bool(0.5);
            world.machines[machine].worker.fail_everything(on);
        }
        13 => world.machines[machine].worker_delay = world.rng.random_range(1..3_000),
        14 => {
            world.unreliable = Unreliable {
                lost: world.rng.random_range(0..200),
                doubled: world.rng.random_range(0..200),
                late: world.rng.random_range(0..200),
            };
        }
        _ => {
            let drift = world.rng.random_range(-20..=20);
            let now = world.now;
            world.processes[process].set_drift(now, drift);
        }
    }
}

/// Gives a job to one cell or parts of it to both.
fn submit(world: &mut World, spec: JobSpec) {
    let [one, other] = cells();
    let middle = world.rng.random_range(0..=spec.tasks);
    let mut shares = Vec::new();
    for (cell, from, until) in [(one, 0, middle), (other, middle, spec.tasks)] {
        let part = TaskRange { from, until };
        if !part.is_empty() {
            shares.push(CellShare { cell, part });
        }
    }
    world.submit_shares(shares, spec);
}

/// One run; the invariants it broke.
fn explore(seed: u64) -> Vec<String> {
    let mut world = World::new(seed, 3);
    world.run_for(3 * SECOND);
    let end = world.now + FAULTS;
    let mut number = 0;
    while world.now < end {
        if world.rng.random_bool(0.4) {
            let name = format!("job-{number}");
            number += 1;
            let spec = spec(&mut world, &name);
            submit(&mut world, spec);
        }
        if world.rng.random_bool(0.6) {
            disturb(&mut world);
        }
        let millis = world.rng.random_range(100..2_500);
        world.run_for(Duration::from_millis(millis));
    }
    world.heal();
    world.finish(QUIET)
}

/// Blocks of seeds, so that they run side by side.
#[rstest]
fn random_faults_break_nothing(#[values(0, 1, 2, 3)] block: u64) {
    for seed in block * SEEDS_PER_BLOCK..(block + 1) * SEEDS_PER_BLOCK {
        let broken = explore(seed);
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    }
}

#[test]
fn without_faults_all_work_is_done() {
    let mut world = World::new(1, 2);
    for number in 0..10 {
        let spec = spec(&mut world, &format!("job-{number}"));
        world.submit(&cells()[number % 2], spec);
    }
    world.run_for(SECOND);
    let broken = world.finish(QUIET);
    assert!(broken.is_empty(), "{broken:#?}");
}
