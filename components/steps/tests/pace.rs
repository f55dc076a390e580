//! Paces of best-effort tasks follow the latency headroom of serving tasks on the same
//! worker.

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

const TARGET_MILLIS: u64 = 50;
const CAPACITY_MILLI: u64 = 4_000;
const BEST_EFFORT_MILLI: u64 = 1_000;
const JOB: &str = "00000000000000aa";

struct PacedWorker {
    pacer: Pacer,
    roles: BTreeMap<RunKey, Role>,
    weights: Weights,
    now: Time,
    /// Time between two measurements.
    interval: Duration,
}

fn best_effort_role(image: &str) -> Role {
    Role::BestEffort {
        image: Some(image.into()),
        cpu_milli: BEST_EFFORT_MILLI,
    }
}

/// Key of a best-effort run; a run with a higher index started later.
fn best_effort_run(index: u32) -> RunKey {
    run(JOB, 1, index, 2 + u64::from(index))
}

impl PacedWorker {
    /// A worker with one serving task and a best-effort task of each image.
    fn new(images: &[&str]) -> Self {
        let serving_role = Role::Serving {
            target_millis: TARGET_MILLIS,
            image: Some("serving".into()),
        };
        let mut roles = BTreeMap::from([(run(JOB, 0, 0, 1), serving_role)]);
        for (index, image) in (0..).zip(images) {
            roles.insert(best_effort_run(index), best_effort_role(image));
        }
        let mut weights = Weights::default();
        for (image, weight) in [("heavy", 5.0), ("light", 0.0), ("mild", 0.1)] {
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
            interval: Duration::from_millis(600),
        }
    }

    fn pace(&self, index: u32) -> u32 {
        self.pacer.pace(&best_effort_run(index))
    }

    /// Decides on measurements of half a second with this latency of the serving task.
    fn measure(&mut self, latency: u64) {
        self.now = self.now + self.interval;
        let mut running = Vec::new();
        for (key, role) in &self.roles {
            let measurement = match role {
                Role::Serving { .. } => latency,
                Role::BestEffort { .. } | Role::Plain => {
                    BEST_EFFORT_MILLI * u64::from(self.pacer.pace(key)) / 100
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
fn all_best_effort_tasks_pause_within_3_s_over_target() {
    let mut worker = PacedWorker::new(&["heavy", "light"]);
    for _ in 0..5 {
        worker.measure(10 * TARGET_MILLIS);
    }
    assert_eq!(worker.pace(0), 0, "3 s over the target");
    assert_eq!(worker.pace(1), 0, "the weight may be wrong");
}

/// A poll that waited a second and polls more often than decisions left four decisions four seconds.
#[test]
fn all_best_effort_tasks_pause_within_3_s_though_measurements_come_once_a_second() {
    let mut worker = PacedWorker::new(&["light"]);
    worker.interval = Duration::from_secs(1);
    for _ in 0..3 {
        worker.measure(10 * TARGET_MILLIS);
    }
    assert_eq!(worker.pace(0), 0, "3 s over the target");
}

#[test]
fn only_interfering_images_are_slowed() {
    let mut worker = PacedWorker::new(&["heavy", "light"]);
    worker.measure(2 * TARGET_MILLIS);
    assert!(worker.pace(0) < 60, "{}", worker.pace(0));
    assert_eq!(worker.pace(1), 100);
}

#[test]
fn earlier_runs_get_headroom_first() {
    let mut worker = PacedWorker::new(&["heavy", "heavy", "heavy"]);
    worker.measure(10 * TARGET_MILLIS);
    let paces = [worker.pace(0), worker.pace(1), worker.pace(2)];
    assert_eq!(paces[0], 100);
    assert!((1..100).contains(&paces[1]), "{paces:?}");
    assert_eq!(paces[2], 0, "{paces:?}");
}

#[test]
fn all_tasks_return_to_full_speed_below_the_target() {
    let mut worker = PacedWorker::new(&["heavy", "light"]);
    for _ in 0..5 {
        worker.measure(10 * TARGET_MILLIS);
    }
    for _ in 0..20 {
        worker.measure(TARGET_MILLIS / 5);
    }
    assert_eq!((worker.pace(0), worker.pace(1)), (100, 100));
}

#[test]
fn a_task_that_hardly_interferes_is_not_paused_for_one_that_does() {
    let mut worker = PacedWorker::new(&["heavy", "mild"]);
    worker.measure(2 * TARGET_MILLIS);
    assert!(worker.pace(0) < 60, "{}", worker.pace(0));
    assert_eq!(worker.pace(1), 100);
    worker.measure(2 * TARGET_MILLIS);
    assert_eq!(worker.pace(1), 100, "over the target for 1.2 s");
    for _ in 0..2 {
        worker.measure(2 * TARGET_MILLIS);
    }
    assert_eq!(worker.pace(1), 0, "over the target for 2.4 s");
}

#[test]
fn a_new_task_gets_the_remaining_headroom() {
    let mut worker = PacedWorker::new(&["heavy"]);
    worker.measure(TARGET_MILLIS / 2);
    let percent =
        worker
            .pacer
            .initial_pace(&best_effort_role("heavy"), CAPACITY_MILLI, &worker.weights);
    assert!(percent < 100, "{percent}");
    let percent =
        worker
            .pacer
            .initial_pace(&best_effort_role("light"), CAPACITY_MILLI, &worker.weights);
    assert_eq!(percent, 100);
}

#[test]
fn nothing_is_slowed_without_a_serving_task() {
    let mut worker = PacedWorker::new(&["heavy"]);
    for _ in 0..5 {
        worker.measure(10 * TARGET_MILLIS);
    }
    worker.roles.remove(&run(JOB, 0, 0, 1));
    worker.measure(0);
    assert_eq!(worker.pace(0), 100);
}
