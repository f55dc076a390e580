//! Gangs, whose members start together.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::sync::Arc;

use common::{
    job,
    session::{JOB, Session, active, at, ended},
    step, vm, worker_info,
};
use kernel::Time;
use rstest::rstest;
use steps::{
    Event, Step,
    message::{EndedRun, RunEnd, RunKey, StartOrder},
};

/// A session with a gang of two members, one on each worker.
fn session_with_gang() -> (Session, Vec<RunKey>) {
    let mut session = Session::loaded();
    for number in 0..2 {
        session.report(at(0), number, |_| ());
    }
    let gang = Step {
        gang: true,
        checkpoints: true,
        per_worker: Some(1),
        ..step(2, &[])
    };
    let (job, progress) = (job(JOB, "quick", vec![gang]), None);
    session.handle(at(0), Event::Job { job, progress });
    let starts = take_starts(&mut session, at(0));
    let keys = starts.into_iter().map(|start| start.key).collect();
    (session, keys)
}

/// Takes and confirms the starts of both workers, in their order.
fn take_starts(session: &mut Session, now: Time) -> Vec<StartOrder> {
    let mut starts = Vec::new();
    for number in 0..2 {
        let Some(orders) = session.owner.take_orders(now, &vm(number)) else {
            continue;
        };
        starts.extend(orders.starts.clone());
        session.answer(now, number, orders);
    }
    starts
}

fn report_checkpoint(session: &mut Session, now: Time, number: usize, key: &RunKey, value: &str) {
    let mut row = active(key);
    row.checkpoint = Some(value.into());
    session.report(now, number, |report| report.running = vec![row]);
}

fn broken(key: &RunKey, value: &str) -> EndedRun {
    let mut end = ended(1, key, RunEnd::Broken);
    end.checkpoint = Some(value.into());
    end
}

/// After the crash of a worker the members started with different checkpoints, and ended alone.
#[rstest]
fn members_of_a_gang_resume_from_the_same_checkpoint(#[values(0, 1)] crashed: usize) {
    let other = 1 - crashed;
    let (mut session, keys) = session_with_gang();
    for (number, key) in keys.iter().enumerate() {
        report_checkpoint(&mut session, at(1_000), number, key, "3000");
    }
    session.report(at(1_500), crashed, |report| {
        let worker = worker_info(&format!("w-{crashed}-later"), 2);
        report.clock_reading.as_mut().unwrap().incarnation = worker.incarnation.clone();
        report.worker = Some(worker);
    });
    let end = broken(&keys[other], "4000");
    session.report(at(1_600), other, |report| report.ended = vec![end]);
    session.handle(at(2_000), Event::Tick);
    let starts = take_starts(&mut session, at(2_000));
    let checkpoints: Vec<Option<Arc<str>>> =
        starts.into_iter().map(|start| start.checkpoint).collect();
    assert_eq!(checkpoints, [Some("4000".into()), Some("4000".into())]);
}
