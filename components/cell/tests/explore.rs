//! Simulations with random faults of owners, agents and the store. A history of all
//! tasks is checked for violated invariants.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use cell::{CellShare, TaskRange};
use common::{
    job,
    world::{NetworkFaults, World, ZONES, cells},
};
use kernel::{JobSpec, Time, object::ZoneState};
use rand::Rng;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// How long faults are injected, and how long all tasks may take to end afterwards.
const FAULT_PHASE: Duration = Duration::from_secs(120);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(600);

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

fn random_time(world: &mut World, max_secs: u64) -> Time {
    let millis = world.rng.random_range(200..max_secs * 1_000);
    world.now + Duration::from_millis(millis)
}

fn inject_fault(world: &mut World) {
    let process = world.rng.random_range(0..world.processes.len());
    let machine = world.rng.random_range(0..world.machines.len());
    match world.rng.random_range(0..16) {
        0 => world.processes[process].down_until = Some(random_time(world, 15)),
        1 => world.processes[process].paused_until = random_time(world, 40),
        2 => world.processes[process].store_cut_off_until = random_time(world, 60),
        3 => world.store_down_until = random_time(world, 20),
        4 => {
            let now = world.now;
            let back = random_time(world, 20);
            world.machines[machine].replace(now, back);
        }
        5 => world.machines[machine].down_until = Some(random_time(world, 3)),
        6 => world.machines[machine].paused_until = random_time(world, 30),
        7 => {
            let until = random_time(world, 40);
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
            world.processes[process].down_until =
                Some(random_time(world, 10).max(now + 2 * SECOND));
        }
        11 if !world.jobs.is_empty() => {
            let job = world.rng.random_range(0..world.jobs.len());
            let job = world.jobs[job].clone();
            world.cancel(&job);
        }
        12 => {
            let on = world.rng.random_bool(0.5);
            world.machines[machine].worker.set_all_fail(on);
        }
        13 => world.machines[machine].worker_delay = world.rng.random_range(1..3_000),
        14 => {
            world.network_faults = NetworkFaults {
                lost: world.rng.random_range(0..200),
                duplicated: world.rng.random_range(0..200),
                delayed: world.rng.random_range(0..200),
            };
        }
        _ => {
            let drift = world.rng.random_range(-20..=20);
            let now = world.now;
            world.processes[process].set_drift(now, drift);
        }
    }
}

/// Submits a job to one cell, or parts of it to both.
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

/// Runs one simulation and returns the violated invariants.
fn run_seed(seed: u64) -> Vec<String> {
    let mut world = World::new(seed, 3);
    world.run_for(3 * SECOND);
    let end = world.now + FAULT_PHASE;
    let mut number = 0;
    while world.now < end {
        if world.rng.random_bool(0.4) {
            let name = format!("job-{number}");
            number += 1;
            let spec = spec(&mut world, &name);
            submit(&mut world, spec);
        }
        if world.rng.random_bool(0.6) {
            inject_fault(&mut world);
        }
        let millis = world.rng.random_range(100..2_500);
        world.run_for(Duration::from_millis(millis));
    }
    world.end_faults();
    world.finish(RECOVERY_TIMEOUT)
}

/// Each block of seeds is a test case, so that blocks run in parallel.
#[rstest]
fn invariants_hold_under_random_faults(#[values(0, 1, 2, 3)] block: u64) {
    for seed in block * SEEDS_PER_BLOCK..(block + 1) * SEEDS_PER_BLOCK {
        let violations = run_seed(seed);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

#[test]
fn all_tasks_end_without_faults() {
    let mut world = World::new(1, 2);
    for number in 0..10 {
        let spec = spec(&mut world, &format!("job-{number}"));
        world.submit(&cells()[number % 2], spec);
    }
    world.run_for(SECOND);
    let violations = world.finish(RECOVERY_TIMEOUT);
    assert!(violations.is_empty(), "{violations:#?}");
}
