//! The keeper of a worker: whom it obeys, what it lets start, when leases end.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{entry, info, run};
use kernel::Time;
use rstest::rstest;
use steps::{
    AgentState, Timing,
    agent::{Heartbeat, PollError, PollReply, WorkerPoll},
    message::{ClockReading, Orders, OwnerHeader, Refusal},
};

const BEGIN: Time = Time::from_secs(1_000);

fn at(millis: u64) -> Time {
    BEGIN + Duration::from_millis(millis)
}

fn beat(born: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        info: info("w", born),
        sequence,
    }
}

fn header(epoch: u64, echo: Option<u64>) -> OwnerHeader {
    let incarnation = info("w", 1).incarnation;
    OwnerHeader {
        epoch,
        owner: entry(epoch),
        echo: echo.map(|millis| ClockReading {
            incarnation,
            millis,
        }),
        recorded: None,
    }
}

fn seen(clock_millis: u64) -> PollReply {
    PollReply {
        clock_millis,
        started_at: Some(1),
        running: Vec::new(),
        ended: Vec::new(),
    }
}

/// A keeper whose worker has answered once under epoch 5; its clock shows 10 s at
/// the beginning.
fn keeper() -> AgentState {
    let mut keeper = AgentState::new(Timing::default(), BEGIN);
    keeper.apply_heartbeat(beat(1, 1));
    assert!(keeper.accept_header(&header(5, None)));
    answer(&mut keeper, BEGIN, 10_000);
    assert!(keeper.accept_header(&header(5, Some(10_000))));
    keeper
}

fn look(keeper: &mut AgentState, now: Time) -> WorkerPoll {
    keeper
        .next_poll(now, false)
        .expect("worker and owner are known")
}

fn answer(keeper: &mut AgentState, now: Time, clock: u64) -> WorkerPoll {
    let look = look(keeper, now);
    keeper.apply_reply(now, &look, seen(clock));
    look
}

fn orders(epoch: u64, start_by_millis: u64) -> Orders {
    Orders {
        header: header(epoch, None),
        incarnation: info("w", 1).incarnation,
        start_by_millis,
        starts: Vec::new(),
        stops: vec![run("00000000000000aa", 0, 0, 1)],
    }
}

#[test]
fn a_lower_epoch_is_not_obeyed() {
    let mut keeper = keeper();
    assert!(!keeper.accept_header(&header(4, None)));
    assert_eq!(
        keeper.admit(at(0), &orders(4, u64::MAX)),
        Err(Refusal::Fenced)
    );
    assert!(keeper.accept_header(&header(6, None)));
    assert!(keeper.is_unconfirmed());
}

#[test]
fn a_late_heartbeat_of_an_earlier_life_changes_nothing() {
    let mut keeper = keeper();
    keeper.apply_heartbeat(beat(2, 1));
    keeper.apply_heartbeat(beat(1, 9));
    assert_eq!(
        keeper.worker().map(|worker| worker.incarnation.started_at),
        Some(2)
    );
}

#[test]
fn leases_reach_no_further_than_the_echo_allows() {
    let mut keeper = keeper();
    let timing = Timing::default();
    let bound = 10_000 + (timing.contact_grace + timing.lease).as_millis() as u64;
    let first = look(&mut keeper, at(100));
    assert_eq!(
        first.until_millis,
        Some(10_098 + timing.lease.as_millis() as u64)
    );
    answer(&mut keeper, at(5_000), 15_000);
    let last = look(&mut keeper, at(5_100));
    assert_eq!(last.until_millis, Some(bound));
}

#[rstest]
#[case::in_time(1_000, Ok(()))]
#[case::late(1_300, Err(Refusal::Late))]
fn an_order_is_void_after_its_time(#[case] after: u64, #[case] expected: Result<(), Refusal>) {
    let mut keeper = keeper();
    let admitted = keeper.admit(at(after), &orders(5, 11_200));
    assert_eq!(admitted.map(|_| ()), expected);
}

#[test]
fn a_draining_worker_begins_nothing() {
    let mut keeper = keeper();
    let mut leaving = beat(1, 2);
    leaving.info.draining = true;
    keeper.apply_heartbeat(leaving);
    assert_eq!(
        keeper.admit(at(10), &orders(5, u64::MAX)),
        Err(Refusal::Worker)
    );
}

/// Looks that go unanswered granted new leases, so a dead worker beside a living
/// agent never counted as empty (hunt of 2026-12-04, seed 883136681838).
#[test]
fn the_leases_of_a_silent_worker_end_though_its_owner_goes_on_calling() {
    let mut keeper = keeper();
    let mut clock = 0;
    while clock < 6_000 {
        clock += 200;
        keeper.accept_header(&header(5, Some(10_000 + clock)));
        let look = look(&mut keeper, at(clock));
        keeper.apply_error(at(clock), &look, PollError::Unresponsive);
    }
    assert!(keeper.report(at(clock)).leases_expired);
}

/// An order that arrives after all leases were said to have ended must not begin
/// a run that nobody counts with (exploration, seed 10559).
#[test]
fn nothing_begins_at_a_silent_worker() {
    let mut keeper = keeper();
    for millis in [100, 200] {
        let look = look(&mut keeper, at(millis));
        keeper.apply_error(at(millis), &look, PollError::Unresponsive);
    }
    assert_eq!(
        keeper.admit(at(210), &orders(5, u64::MAX)),
        Err(Refusal::Worker)
    );
    answer(&mut keeper, at(300), 10_300);
    assert!(keeper.admit(at(310), &orders(5, u64::MAX)).is_ok());
}

#[test]
fn a_keeper_that_starts_again_waits_for_earlier_leases() {
    let keeper = AgentState::new(Timing::default(), BEGIN);
    assert!(!keeper.report(at(4_000)).leases_expired);
    assert!(keeper.report(at(4_500)).leases_expired);
}
