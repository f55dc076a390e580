//! Tasks with checkpoints on draining workers.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::{
    fleet::{Fleet, TASK_MILLIS},
    job, step,
};
use rstest::rstest;
use steps::Step;

const ID: &str = "00000000000000aa";

fn checkpointed(count: u32) -> Step {
    Step {
        checkpoints: true,
        ..step(count, &[])
    }
}

/// Two workers, of which the first runs all tasks of a step and drains for at least `time_left`
/// milliseconds more. The second one has no capacity yet.
fn draining_fleet(step: Step, time_left: u64) -> Fleet {
    let mut fleet = Fleet::new(2);
    fleet.workers[1].capacity = kernel::Resources::NONE;
    fleet.play(100);
    fleet.submit(job(ID, "quick", vec![step]));
    fleet.play(100);
    fleet.workers[0].draining = true;
    fleet.workers[0].drains_until = Some(fleet.millis() + time_left);
    fleet
}

fn offer_worker(fleet: &mut Fleet, cores: u64) {
    fleet.workers[1].capacity = kernel::Resources::new(cores * 1_000, 16_000, 0);
}

/// Guards against lost work: a task ran on until its worker left, although it saves checkpoints
/// and another worker was idle.
#[test]
fn a_task_that_cannot_end_resumes_elsewhere_from_its_checkpoint() {
    let mut fleet = draining_fleet(checkpointed(1), 400);
    offer_worker(&mut fleet, 4);
    fleet.play(300);
    assert_eq!(fleet.workers[0].stopped, 1);
    fleet.play(100);
    assert_eq!(fleet.workers[1].resumed, 1);
    assert_eq!(fleet.workers[1].running.len(), 1);
}

/// Guards against a task in two places: it must not start before its stop is confirmed.
#[test]
fn a_task_starts_elsewhere_only_once_its_stop_is_confirmed() {
    let mut fleet = draining_fleet(checkpointed(1), 400);
    offer_worker(&mut fleet, 4);
    fleet.workers[0].slowdown = 20.0;
    fleet.workers[0].obeys = false;
    fleet.play(300);
    let unanswered = fleet.take_orders(0).unwrap();
    assert_eq!(unanswered.stops.len(), 1);
    fleet.play(2_000);
    assert_eq!(fleet.workers[0].running.len(), 1);
    assert_eq!(fleet.workers[1].started, 0);
    fleet.workers[0].obeys = true;
    fleet.play(600);
    assert_eq!(fleet.workers[0].stopped, 1);
    assert_eq!(fleet.workers[1].started, 1);
}

/// Guards against work that is stopped for nothing.
#[rstest]
#[case::it_ends_in_time(checkpointed(1), Some(TASK_MILLIS + 1_000), 4)]
#[case::it_saves_no_checkpoints(step(1, &[]), Some(400), 4)]
#[case::the_time_left_is_unknown(checkpointed(1), None, 4)]
#[case::no_worker_can_take_it(checkpointed(1), Some(400), 0)]
#[case::it_is_a_gang(Step { gang: true, ..checkpointed(2) }, Some(400), 4)]
fn other_tasks_run_on(#[case] step: Step, #[case] time_left: Option<u64>, #[case] cores: u64) {
    let mut fleet = draining_fleet(step, time_left.unwrap_or_default());
    if time_left.is_none() {
        fleet.workers[0].drains_until = None;
    }
    offer_worker(&mut fleet, cores);
    fleet.play(300);
    assert_eq!(fleet.workers[0].stopped, 0);
}

/// Guards against tasks that are stopped and then wait: each of them found the same free place.
#[test]
fn no_more_tasks_are_stopped_than_another_worker_can_take() {
    let mut fleet = draining_fleet(checkpointed(4), 400);
    offer_worker(&mut fleet, 2);
    fleet.play(400);
    assert_eq!(fleet.workers[0].stopped, 2);
    assert_eq!(fleet.workers[1].started, 2);
}

/// Guards against tasks that find the free place of one that is still being stopped.
#[test]
fn a_place_is_not_found_again_while_the_stop_is_under_way() {
    let mut fleet = draining_fleet(checkpointed(4), 400);
    offer_worker(&mut fleet, 1);
    fleet.workers[0].slowdown = 20.0;
    fleet.workers[0].obeys = false;
    fleet.play(1_500);
    let unanswered = fleet.take_orders(0).unwrap();
    assert_eq!(unanswered.stops.len(), 1);
}

/// Guards against trust in estimates, which are wrong by up to 90%: a task that has come half as
/// far as expected takes twice as long.
#[test]
fn progress_tells_that_a_task_takes_longer_than_estimated() {
    let mut fleet = draining_fleet(checkpointed(1), TASK_MILLIS + 300);
    offer_worker(&mut fleet, 4);
    fleet.workers[0].progress = Some(5);
    fleet.play(300);
    assert_eq!(fleet.workers[0].stopped, 1);
}

/// Plays the departure of two of six workers, each with four tasks of 0.7 s that have just
/// started, 0.4 s after they begin to drain; returns how many jobs of 12 are in time.
fn departures(tells_time_left: bool) -> usize {
    let mut fleet = Fleet::new(6);
    fleet.play(100);
    for round in 0..6_u64 {
        for number in 0..2 {
            let id = format!("{:016x}", 2 * round + number + 1);
            fleet.submit(job(&id, "quick", vec![checkpointed(8)]));
        }
        fleet.play(200);
        for worker in &mut fleet.workers[..2] {
            worker.draining = true;
        }
        let until = tells_time_left.then_some(fleet.millis() + 400);
        for worker in &mut fleet.workers[..2] {
            worker.drains_until = until;
        }
        fleet.play(400);
        for worker in &mut fleet.workers[..2] {
            worker.crash();
        }
        fleet.play(200);
        for worker in &mut fleet.workers[..2] {
            worker.restart();
        }
        fleet.play(3_000);
    }
    fleet.play(10_000);
    assert_eq!(fleet.ended.len(), 12, "a job was lost");
    fleet.in_time()
}

#[test]
fn callers_meet_fewer_late_jobs_if_tasks_are_saved_before_workers_leave() {
    let (without, with) = (departures(false), departures(true));
    println!("in time of 12 jobs: {without} without, {with} with");
    assert!(with > without, "{without} without, {with} with");
}
