//! The order in which jobs get free capacity.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{
    job, job_name,
    processor::{Simulation, TICK},
    step,
};
use kernel::{JobName, Time};
use rstest::rstest;
use steps::{
    Outcome, Step,
    owner::rank::{Aging, JobRank, STARTS_PER_AGED_START, Standing, sort},
};

const START: Time = Time::from_secs(1_000);
/// Time from the arrival of the jobs to the ranking.
const AGE: Duration = Duration::from_secs(10);

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// A job of the first priority with an objective, in seconds.
fn standing(objective_secs: u64) -> Standing {
    Standing {
        priority: 0,
        is_first_priority: true,
        is_long_running: false,
        known_since: START,
        objective: Some(Duration::from_secs(objective_secs)),
        has_last_tasks: false,
        has_progress: false,
    }
}

fn of_priority(priority: u32, standing: Standing) -> Standing {
    Standing {
        priority,
        is_first_priority: priority == 0,
        ..standing
    }
}

fn long_running(priority: u32) -> Standing {
    let standing = Standing {
        is_long_running: true,
        objective: None,
        ..standing(0)
    };
    of_priority(priority, standing)
}

/// Guards against one job that fits nowhere and keeps the starts that are owed to late jobs.
#[test]
fn a_job_that_could_not_use_its_turn_leaves_it_to_the_next_one() {
    let now = START + AGE;
    let mut aging = Aging::default();
    aging.record_starts(STARTS_PER_AGED_START, false);
    let mut ranks: Vec<JobRank> = ["a", "b"]
        .map(|id| JobRank::new(now, job_name(id), &standing(1), false))
        .into();
    ranks[0].pass_over();
    sort(&mut ranks, |_| aging);
    assert_eq!(ranks[0].job().as_ref(), "b");
    assert!(ranks[0].is_owed());
}

/// Sorts jobs that all arrived 10 s ago; returns their indexes.
fn order(standings: &[Standing], is_restart: bool, aging: Aging) -> Vec<usize> {
    let name = |index: usize| job_name(&format!("{index:016x}"));
    let mut ranks: Vec<JobRank> = standings
        .iter()
        .enumerate()
        .map(|(index, standing)| JobRank::new(START + AGE, name(index), standing, is_restart))
        .collect();
    sort(&mut ranks, |_| aging);
    let index = |rank: &JobRank| usize::from_str_radix(rank.job().as_str(), 16).unwrap();
    ranks.iter().map(index).collect()
}

fn usual_order(standings: &[Standing]) -> Vec<usize> {
    order(standings, false, Aging::default())
}

#[test]
fn priority_comes_before_all_else() {
    let late = standing(5);
    let standings = [of_priority(2, standing(11)), late];
    assert_eq!(usual_order(&standings), [1, 0]);
}

#[test]
fn jobs_that_can_be_in_time_come_before_late_and_hopeless_ones() {
    let (hopeless, late, on_time) = (standing(3), standing(8), standing(11));
    assert_eq!(usual_order(&[hopeless, late, on_time]), [2, 1, 0]);
}

#[test]
fn the_earliest_deadline_comes_first() {
    assert_eq!(
        usual_order(&[standing(13), standing(11), standing(12)]),
        [1, 2, 0]
    );
}

/// Otherwise jobs that are nearly done wait behind the first tasks of others, and all end late.
#[test]
fn a_job_that_waits_for_the_last_tasks_of_a_step_comes_first() {
    let finishing = Standing {
        has_last_tasks: true,
        ..standing(13)
    };
    assert_eq!(usual_order(&[standing(11), finishing]), [1, 0]);
}

/// A late job must not hold up those that can still be in time.
#[test]
fn a_late_job_does_not_come_first_for_its_last_tasks() {
    let late = Standing {
        has_last_tasks: true,
        ..standing(8)
    };
    assert_eq!(usual_order(&[late, standing(11)]), [1, 0]);
}

#[rstest]
#[case::nothing_started_yet(0, [1, 0])]
#[case::one_start_is_owed(STARTS_PER_AGED_START, [0, 1])]
fn a_job_that_has_waited_for_long_moves_up_once_others_have_started(
    #[case] starts_of_others: u64,
    #[case] expected: [usize; 2],
) {
    let mut aging = Aging::default();
    aging.record_starts(starts_of_others, false);
    assert_eq!(order(&[standing(4), standing(11)], false, aging), expected);
}

/// A late job that has not waited for long keeps its place, however many starts there were.
#[test]
fn a_job_that_is_only_just_late_does_not_move_up() {
    let mut aging = Aging::default();
    aging.record_starts(1_000, false);
    assert_eq!(order(&[standing(9), standing(11)], false, aging), [1, 0]);
}

/// Among jobs that are all late, the newer ones must not hold up the oldest for good.
#[test]
fn the_job_that_has_waited_for_longest_moves_up() {
    let newer = Standing {
        known_since: at(100),
        ..standing(4)
    };
    let mut aging = Aging::default();
    aging.record_starts(STARTS_PER_AGED_START, false);
    let jobs = [newer, standing(3), standing(11)];
    assert_eq!(order(&jobs, false, aging), [1, 2, 0]);
}

#[test]
fn late_jobs_get_a_bounded_share_of_the_starts() {
    let mut aging = Aging::default();
    let (mut of_aged, mut of_others) = (0, 0);
    for _ in 0..850 {
        let is_aged_first = order(&[standing(4), standing(11)], false, aging)[0] == 0;
        aging.record_starts(1, is_aged_first);
        match is_aged_first {
            true => of_aged += 1,
            false => of_others += 1,
        }
    }
    assert_eq!((of_aged, of_others), (50, 800));
}

/// After a loss of power, large jobs would take what serving tasks and quick jobs need.
#[test]
fn after_a_mass_loss_long_running_and_quick_jobs_come_first() {
    let quick_late = standing(8);
    let with_progress = Standing {
        has_progress: true,
        ..of_priority(2, standing(20))
    };
    let standings = [
        quick_late,
        of_priority(2, standing(15)),
        with_progress,
        of_priority(2, standing(8)),
        long_running(2),
        standing(11),
    ];
    let restart = order(&standings, true, Aging::default());
    assert_eq!(restart, [5, 4, 0, 2, 1, 3]);
    assert_eq!(usual_order(&standings), [5, 0, 4, 1, 2, 3]);
}

const VMS: usize = 4;

/// Jobs of the same queue that fit leave no room for a job of many tasks that is late.
#[test]
fn a_large_late_job_ends_while_jobs_in_time_fill_the_workers() {
    let mut simulation = Simulation::new(3, VMS, 1.0);
    let large = Step {
        estimate_millis: 600,
        ..step(20, &[])
    };
    let name: JobName = job_name("00000000000fffff");
    let submit = |simulation: &mut Simulation, name: &JobName, step: Step| {
        let now = simulation.now;
        simulation.submit(now, job(name.as_str(), "quick", vec![step]));
    };
    let end = simulation.now + Duration::from_secs(60);
    let mut number = 0;
    while !end.passed(simulation.now) {
        // Twice what 16 cores can do.
        for _ in 0..2 {
            number += 1;
            let small = Step {
                estimate_millis: 600,
                ..step(5, &[])
            };
            submit(&mut simulation, &job_name(&format!("{number:016x}")), small);
        }
        if number == 20 {
            submit(&mut simulation, &name, large.clone());
        }
        simulation.run_until(simulation.now + TICK);
        assert_eq!(simulation.violation, None);
    }
    assert_eq!(simulation.outcome(&name), Some(Outcome::Completed));
}

#[test]
fn the_time_of_a_job_counts_from_its_arrival() {
    let arrived_later = Standing {
        known_since: at(9_500),
        ..standing(5)
    };
    assert_eq!(usual_order(&[standing(5), arrived_later]), [1, 0]);
}
