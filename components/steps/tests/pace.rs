//! The paces of tasks that fill follow what serving tasks beside them can bear.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::run;
use kernel::Time;
use steps::{
    interference::{Weight, Weights},
    message::{ActiveRun, Role, RunKey},
    pace::Pacer,
};

const TARGET: u64 = 50;
const CAPACITY_MILLI: u64 = 4_000;
const FILL_MILLI: u64 = 1_000;
const JOB: &str = "00000000000000aa";

struct Worker {
    pacer: Pacer,
    roles: BTreeMap<RunKey, Role>,
    weights: Weights,
    now: Time,
}

fn fills(image: &str) -> Role {
    Role::BestEffort {
        image: Some(image.into()),
        cpu_milli: FILL_MILLI,
    }
}

/// The run of the task of that number that fills; later ones started later.
fn key(index: u32) -> RunKey {
    run(JOB, 1, index, 2 + u64::from(index))
}

impl Worker {
    /// A worker with one task that serves and others that fill.
    fn new(images: &[&str]) -> Self {
        let serves = Role::Serving {
            target_millis: TARGET,
            image: Some("serving".into()),
        };
        let mut roles = BTreeMap::from([(run(JOB, 0, 0, 1), serves)]);
        for (index, image) in (0..).zip(images) {
            roles.insert(key(index), fills(image));
        }
        let mut weights = Weights::default();
        for (image, weight) in [("heavy", 5.0), ("light", 0.0)] {
            weights.set(&Weight {
                serving_image: "serving".into(),
                best_effort_image: image.into(),
                weight,
            });
        }
        Self {
            pacer: Pacer::default(),
            roles,
            weights,
            now: Time::from_secs(1_000),
        }
    }

    fn pace(&self, index: u32) -> u32 {
        self.pacer.pace(&key(index))
    }

    /// Half a second with that latency of the serving task.
    fn see(&mut self, latency: u64) {
        self.now = self.now + Duration::from_millis(600);
        let mut running = Vec::new();
        for (key, role) in &self.roles {
            let measurement = match role {
                Role::Serving { .. } => latency,
                Role::BestEffort { .. } | Role::Plain => {
                    FILL_MILLI * u64::from(self.pacer.pace(key)) / 100
                }
            };
            running.push(ActiveRun {
                key: key.clone(),
                checkpoint: None,
                progress_percent: 50,
                measurement,
            });
        }
        let changes = self.pacer.decide(
            self.now,
            CAPACITY_MILLI,
            &running,
            &self.roles,
            &self.weights,
        );
        for (key, percent) in changes {
            self.pacer.record_pace(&key, percent);
        }
    }
}

#[test]
fn all_that_fills_stands_still_before_the_bound_on_harm() {
    let mut worker = Worker::new(&["heavy", "light"]);
    for _ in 0..5 {
        worker.see(10 * TARGET);
    }
    assert_eq!(worker.pace(0), 0, "3 s over the target");
    assert_eq!(worker.pace(1), 0, "its weight may be wrong");
}

#[test]
fn light_images_go_on_while_heavy_ones_are_slowed() {
    let mut worker = Worker::new(&["heavy", "light"]);
    worker.see(2 * TARGET);
    assert!(worker.pace(0) < 60, "{}", worker.pace(0));
    assert_eq!(worker.pace(1), 100);
}

#[test]
fn the_first_to_start_works_and_the_last_waits() {
    let mut worker = Worker::new(&["heavy", "heavy", "heavy"]);
    worker.see(10 * TARGET);
    let paces = [worker.pace(0), worker.pace(1), worker.pace(2)];
    assert_eq!(paces[0], 100);
    assert!((1..100).contains(&paces[1]), "{paces:?}");
    assert_eq!(paces[2], 0, "{paces:?}");
}

#[test]
fn all_return_to_full_speed_while_the_serving_task_is_well() {
    let mut worker = Worker::new(&["heavy", "light"]);
    for _ in 0..5 {
        worker.see(10 * TARGET);
    }
    for _ in 0..20 {
        worker.see(TARGET / 5);
    }
    assert_eq!((worker.pace(0), worker.pace(1)), (100, 100));
}

#[test]
fn a_task_that_starts_gets_what_is_left() {
    let mut worker = Worker::new(&["heavy"]);
    worker.see(TARGET / 2);
    let percent = worker
        .pacer
        .initial_pace(&fills("heavy"), CAPACITY_MILLI, &worker.weights);
    assert!(percent < 100, "{percent}");
    let percent = worker
        .pacer
        .initial_pace(&fills("light"), CAPACITY_MILLI, &worker.weights);
    assert_eq!(percent, 100);
}

#[test]
fn nothing_is_slowed_without_a_serving_task() {
    let mut worker = Worker::new(&["heavy"]);
    for _ in 0..5 {
        worker.see(10 * TARGET);
    }
    worker.roles.remove(&run(JOB, 0, 0, 1));
    worker.see(0);
    assert_eq!(worker.pace(0), 100);
}
