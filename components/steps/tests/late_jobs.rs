//! Runs, ends and crashes that an agent reports before their job is known to the owner.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::{
    job, job_name, run,
    session::{JOB, Session, active, at, ended},
    step, vm, worker_info,
};
use rstest::rstest;
use steps::{
    Event, Outcome,
    crash::{SuspectRun, WorkerCrash},
    message::{EndedRun, RunEnd, RunKey},
};

/// Run number as an earlier owner gives it.
fn earlier_run(count: u64) -> RunKey {
    run(JOB, 0, 0, (2 << 24) + count)
}

fn crash(number: u64, started_at: u64, key: &RunKey) -> WorkerCrash {
    WorkerCrash {
        number,
        incarnation: worker_info("w-0", started_at).incarnation,
        suspects: vec![SuspectRun {
            key: key.clone(),
            is_confirmed: true,
        }],
    }
}

#[test]
fn a_task_that_was_done_before_its_job_arrived_does_not_start_again() {
    let mut session = Session::loaded();
    let end = ended(1, &earlier_run(1), RunEnd::Done);
    session.report(at(10), 0, |report| report.ended = vec![end]);
    session.report(at(10), 1, |_| ());
    session.job_arrives(at(90));
    assert_eq!(session.take_starts(at(100)), []);
    assert_eq!(session.outcome(), Some(Outcome::Completed));
}

#[rstest]
fn an_end_is_not_forgotten_while_its_job_is_unknown(
    #[values(RunEnd::Done, RunEnd::Failed)] how: RunEnd,
) {
    let mut session = Session::loaded();
    let end = ended(1, &earlier_run(1), how);
    session.report(at(10), 0, |report| report.ended = vec![end.clone()]);
    session.report(at(10), 1, |_| ());
    assert_eq!(session.recorded_end(at(20)), 0);
    session.job_arrives(at(90));
    session.report(at(100), 0, |report| report.ended = vec![end]);
    assert_eq!(session.recorded_end(at(110)), 0, "no record is durable yet");
    let last = session.owner.last_change();
    assert_eq!(session.owner.take_changes().len(), 1);
    session.owner.confirm_durable(last);
    assert_eq!(session.recorded_end(at(120)), 1);
}

/// An end that needs no record must not release an earlier one that does.
#[test]
fn a_later_end_does_not_release_that_of_an_unknown_job() {
    const KNOWN: &str = "00000000000000bb";
    let mut session = Session::loaded();
    let job = job(KNOWN, "quick", vec![step(1, &[])]);
    let progress = None;
    session.handle(at(0), Event::Job { job, progress });
    let first = ended(1, &earlier_run(1), RunEnd::Done);
    let second = ended(2, &run(KNOWN, 0, 0, 2 << 24), RunEnd::Stopped);
    session.report(at(10), 0, |report| report.ended = vec![first, second]);
    session.report(at(10), 1, |_| ());
    assert_eq!(session.recorded_end(at(20)), 0);
}

#[test]
fn the_end_of_a_job_that_ended_in_an_earlier_term_is_released() {
    let mut session = Session::loading();
    let is_done = Event::Ended(job_name(JOB), Outcome::Completed);
    session.handle(at(0), is_done);
    session.handle(at(0), Event::JobsLoaded);
    let end = ended(1, &earlier_run(1), RunEnd::Done);
    session.report(at(10), 0, |report| report.ended = vec![end]);
    assert_eq!(session.recorded_end(at(20)), 1);
}

#[test]
fn failures_before_the_job_arrived_count_as_attempts() {
    let mut session = Session::loaded();
    let ends: Vec<EndedRun> = (1..=3)
        .map(|number| ended(number, &earlier_run(number), RunEnd::Failed))
        .collect();
    session.report(at(10), 0, |report| report.ended = ends);
    session.report(at(10), 1, |_| ());
    session.job_arrives(at(90));
    assert_eq!(session.take_starts(at(100)), []);
    assert_eq!(session.outcome(), Some(Outcome::Failed));
}

#[test]
fn a_run_that_was_listed_before_its_job_arrived_is_adopted() {
    let mut session = Session::loaded();
    let key = earlier_run(1);
    session.report(at(10), 0, |report| report.running = vec![active(&key)]);
    session.report(at(10), 1, |_| ());
    session.job_arrives(at(90));
    assert_eq!(session.take_starts(at(100)), []);
    assert_eq!(session.owner.runs_of(&job_name(JOB)), [(vm(0), key)]);
}

/// The worker needs a moment to carry out the stop.
#[rstest]
fn a_task_does_not_start_while_its_unknown_run_is_being_stopped(
    #[values(false, true)] is_confirmed: bool,
) {
    let mut session = Session::loaded();
    let key = earlier_run(1);
    for now in [10, 1_600] {
        session.report(at(now), 0, |report| report.running = vec![active(&key)]);
        session.report(at(now), 1, |_| ());
    }
    let orders = session.owner.take_orders(at(1_610), &vm(0)).unwrap();
    assert_eq!(orders.stops, std::slice::from_ref(&key));
    if is_confirmed {
        session.answer(at(1_620), 0, orders);
    }
    session.job_arrives(at(1_630));
    assert_eq!(session.take_starts(at(1_640)), []);
    let end = ended(1, &key, RunEnd::Stopped);
    session.report(at(1_750), 0, |report| report.ended = vec![end]);
    assert_eq!(session.take_starts(at(1_760)).len(), 1);
}

#[test]
fn a_task_does_not_start_while_a_start_of_its_unknown_job_is_unsettled() {
    let mut session = Session::loaded();
    let key = earlier_run(1);
    session.report(at(10), 0, |report| report.unsettled = vec![key.clone()]);
    session.report(at(10), 1, |_| ());
    let orders = session.owner.take_orders(at(20), &vm(0)).unwrap();
    assert_eq!(orders.stops, std::slice::from_ref(&key));
    session.job_arrives(at(90));
    assert_eq!(session.take_starts(at(100)), []);
    session.answer(at(110), 0, orders);
    session.report(at(120), 0, |_| ());
    session.report(at(160), 0, |_| ());
    assert_eq!(session.take_starts(at(600)).len(), 1);
}

#[test]
fn a_crash_before_the_job_arrived_keeps_its_task_off_that_vm() {
    let mut session = Session::loaded();
    let crashed = crash(1, 0, &earlier_run(1));
    session.report(at(10), 0, |report| report.crashes = vec![crashed.clone()]);
    session.report(at(10), 1, |_| ());
    assert_eq!(session.recorded_crash(at(20)), None);
    session.job_arrives(at(90));
    session.report(at(100), 0, |report| report.crashes = vec![crashed]);
    let change = session.owner.take_changes().remove(0);
    assert_eq!(change.progress.steps[0].crashes.len(), 1);
}

#[test]
fn crashes_before_the_job_arrived_count_against_its_task() {
    let mut session = Session::loaded();
    let crashes: Vec<WorkerCrash> = (1..=4)
        .map(|number| crash(number, 0, &earlier_run(number)))
        .collect();
    session.report(at(10), 0, |report| report.crashes = crashes);
    session.report(at(10), 1, |_| ());
    session.job_arrives(at(90));
    assert_eq!(session.take_starts(at(100)), []);
    assert_eq!(session.outcome(), Some(Outcome::Failed));
}

#[derive(Clone, Copy, Debug)]
enum RunState {
    Done,
    Active,
    Unsettled,
}

/// What was reported while the jobs were being read, of a job that the reading missed.
#[rstest]
#[case::end(RunState::Done)]
#[case::active_run(RunState::Active)]
#[case::unsettled_start(RunState::Unsettled)]
fn an_early_report_counts_for_a_job_that_arrives_after_loading(#[case] state: RunState) {
    let mut session = Session::loading();
    let key = earlier_run(1);
    session.report(at(10), 0, |report| match state {
        RunState::Done => report.ended = vec![ended(1, &key, RunEnd::Done)],
        RunState::Active => report.running = vec![active(&key)],
        RunState::Unsettled => report.unsettled = vec![key.clone()],
    });
    session.report(at(10), 1, |_| ());
    session.handle(at(50), Event::JobsLoaded);
    session.job_arrives(at(90));
    assert_eq!(session.take_starts(at(100)), []);
    let is_done = matches!(state, RunState::Done);
    assert_eq!(session.outcome(), is_done.then_some(Outcome::Completed));
}

#[test]
fn a_run_of_a_job_that_arrives_cancelled_is_stopped() {
    let mut session = Session::loaded();
    let key = earlier_run(1);
    session.report(at(10), 0, |report| report.running = vec![active(&key)]);
    session.report(at(10), 1, |_| ());
    session.job_arrives(at(90));
    session.handle(at(91), Event::Cancelled(job_name(JOB)));
    let orders = session.owner.take_orders(at(100), &vm(0)).unwrap();
    assert_eq!((orders.starts, orders.stops), (Vec::new(), vec![key]));
}

#[test]
fn an_end_is_released_once_the_store_holds_neither_its_job_nor_the_end_of_the_job() {
    let mut session = Session::loaded();
    let end = ended(1, &earlier_run(1), RunEnd::Done);
    session.report(at(10), 0, |report| report.ended = vec![end]);
    assert_eq!(session.recorded_end(at(20)), 0);
    session.handle(at(30), Event::NotStored(job_name(JOB)));
    assert_eq!(session.recorded_end(at(40)), 1);
}

#[test]
fn a_run_is_stopped_once_the_store_holds_neither_its_job_nor_the_end_of_the_job() {
    let mut session = Session::loaded();
    let key = earlier_run(1);
    session.report(at(10), 0, |report| report.running = vec![active(&key)]);
    session.handle(at(30), Event::NotStored(job_name(JOB)));
    let orders = session.owner.take_orders(at(40), &vm(0)).unwrap();
    assert_eq!(orders.stops, [key]);
}

#[test]
fn an_unknown_job_is_read_once() {
    let mut session = Session::loaded();
    let read = |session: &mut Session, now| {
        for number in 0..2 {
            let key = earlier_run(number as u64);
            session.report(now, number, |report| report.running = vec![active(&key)]);
        }
        session.owner.take_unknown_jobs()
    };
    assert_eq!(read(&mut session, at(10)), [job_name(JOB)]);
    assert_eq!(read(&mut session, at(20)), []);
    session.handle(at(30), Event::NotStored(job_name(JOB)));
    assert_eq!(read(&mut session, at(40)), []);
}

#[test]
fn a_crash_is_not_forgotten_while_one_of_its_jobs_is_unknown() {
    const OTHER: &str = "00000000000000bb";
    let mut session = Session::loaded();
    let mut crashed = crash(1, 0, &earlier_run(1));
    crashed.suspects.push(SuspectRun {
        key: run(OTHER, 0, 0, 2 << 24),
        is_confirmed: true,
    });
    session.report(at(10), 0, |report| report.crashes = vec![crashed]);
    session.handle(at(20), Event::NotStored(job_name(OTHER)));
    assert_eq!(session.recorded_crash(at(30)), None);
    session.handle(at(40), Event::NotStored(job_name(JOB)));
    assert_eq!(session.recorded_crash(at(50)), Some(1));
}

/// A job that arrives so late would otherwise be taken for one that no earlier owner knew.
#[test]
fn a_task_of_a_reported_job_waits_for_the_vms_that_have_not_answered() {
    let mut session = Session::loaded();
    session.handle(at(6_500), Event::OwnershipProved(at(6_490)));
    let end = ended(1, &earlier_run(1), RunEnd::Stopped);
    session.report(at(6_500), 0, |report| report.ended = vec![end]);
    session.job_arrives(at(6_600));
    assert_eq!(session.take_starts(at(6_610)), []);
    session.report(at(6_700), 1, |_| ());
    assert_eq!(session.take_starts(at(7_000)).len(), 1);
}

#[test]
fn a_job_whose_end_arrives_right_after_it_starts_nothing() {
    let mut session = Session::loaded();
    session.report(at(10), 0, |_| ());
    session.report(at(10), 1, |_| ());
    session.job_arrives(at(20));
    session.handle(at(20), Event::Ended(job_name(JOB), Outcome::Completed));
    assert_eq!(session.take_starts(at(20)), []);
}
