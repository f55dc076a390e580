//! Heartbeats of another incarnation than the one that the agent knows: only the worker itself
//! shows which of them runs.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{entry, run, worker_info};
use kernel::Time;
use rstest::rstest;
use steps::{
    AgentState, Timing,
    agent::{Heartbeat, PollError, PollReply},
    message::{ActiveRun, ClockReading, EndedRun, Orders, OwnerHeader, RunEnd, RunKey},
};

fn at(millis: u64) -> Time {
    Time::from_secs(1_000) + Duration::from_millis(millis)
}

fn heartbeat(worker: &str, started_at: u64) -> Heartbeat {
    Heartbeat {
        info: worker_info(worker, started_at),
        sequence: 1,
    }
}

fn header() -> OwnerHeader {
    OwnerHeader {
        epoch: 5,
        owner: entry(5),
        echo: Some(ClockReading {
            incarnation: worker_info("w", 10).incarnation,
            millis: 10_000,
        }),
        recorded: None,
        recorded_crash: None,
    }
}

fn key(index: u32) -> RunKey {
    run("00000000000000aa", 0, index, 1)
}

/// The reply of an incarnation that has a run and an ended one.
fn reply(started_at: u64) -> PollReply {
    PollReply {
        has_more_ends: false,
        clock_millis: 10_000,
        started_at: Some(started_at),
        running: vec![ActiveRun {
            key: key(0),
            checkpoint: None,
            progress_percent: 0,
            measurement: 0,
        }],
        ended: vec![EndedRun {
            number: 1,
            key: key(1),
            how: RunEnd::Done,
            checkpoint: None,
        }],
    }
}

/// An agent whose worker "w", started at 10, has listed a run and an end.
fn agent() -> AgentState {
    let mut agent = AgentState::new(Timing::default(), at(0));
    agent.apply_heartbeat(heartbeat("w", 10));
    assert!(agent.accept_header(at(0), &header()));
    let poll = agent.next_poll(at(0), false).unwrap();
    agent.apply_reply(at(0), &poll, reply(10));
    assert!(agent.accept_header(at(0), &header()));
    agent
}

fn known(agent: &AgentState) -> Option<(&str, u64)> {
    let incarnation = agent.worker().map(|worker| &worker.incarnation)?;
    Some((&incarnation.worker, incarnation.started_at))
}

fn assert_keeps_its_runs(agent: &AgentState, now: Time) {
    let report = agent.report(now);
    assert_eq!(known(agent), Some(("w", 10)));
    assert_eq!((report.running.len(), report.ended.len()), (1, 1));
    assert_eq!((report.leases_expired, report.confirmed_epoch), (false, 5));
    assert_eq!(report.crashes, []);
}

/// A heartbeat of another writer made the agent forget the runs, leases and ends of a worker
/// that went on working; its tasks were started again elsewhere.
#[rstest]
#[case::other_name("w-odd", 11)]
#[case::later_start("w", 11)]
fn a_heartbeat_of_another_writer_replaces_a_live_worker(
    #[case] worker: &str,
    #[case] started_at: u64,
) {
    let mut agent = agent();
    agent.apply_heartbeat(heartbeat(worker, started_at));
    assert_keeps_its_runs(&agent, at(10));
    assert!(agent.is_check_due(), "the worker must be asked at once");
    let poll = agent.next_poll(at(10), true).unwrap();
    assert_eq!(poll.incarnation, worker_info("w", 10).incarnation);
    assert_eq!((poll.wait_millis, poll.until_millis), (0, None));
    agent.apply_reply(at(20), &poll, reply(10));
    assert_keeps_its_runs(&agent, at(30));
    assert!(!agent.is_check_due());
    let next = agent.next_poll(at(30), true).unwrap();
    assert!(next.until_millis.is_some());
    let orders = Orders {
        header: header(),
        incarnation: worker_info("w", 10).incarnation,
        start_by_millis: u64::MAX,
        capacity: None,
        starts: Vec::new(),
        stops: Vec::new(),
    };
    assert!(agent.admit(at(40), &orders, &key(2)).is_ok());
}

/// An answer of the next incarnation names it before any heartbeat has been believed.
#[rstest]
#[case::restarted("w", 11)]
#[case::replaced("w-next", 11)]
fn a_worker_that_has_been_replaced_is_kept(#[case] worker: &str, #[case] started_at: u64) {
    let mut agent = agent();
    let mut next = heartbeat(worker, started_at);
    next.info.draining = true;
    agent.apply_heartbeat(next);
    let poll = agent.next_poll(at(10), false).unwrap();
    match worker {
        "w" => drop(agent.apply_reply(at(20), &poll, reply(started_at))),
        _ => agent.apply_error(at(20), &poll, PollError::OtherIncarnation),
    }
    assert_eq!(known(&agent), Some((worker, started_at)));
    assert!(agent.worker().is_some_and(|worker| worker.draining));
    let report = agent.report(at(30));
    assert_eq!((report.running.len(), report.ended.len()), (0, 0));
}

/// The reply to a poll that was sent before the heartbeat may come from an incarnation that has
/// ended since.
#[test]
fn an_earlier_poll_refutes_the_heartbeat_of_the_next_incarnation() {
    let mut agent = agent();
    let earlier = agent.next_poll(at(5), false).unwrap();
    agent.apply_heartbeat(heartbeat("w-next", 11));
    agent.apply_reply(at(10), &earlier, reply(10));
    let poll = agent.next_poll(at(20), false).unwrap();
    agent.apply_error(at(30), &poll, PollError::OtherIncarnation);
    assert_eq!(known(&agent), Some(("w-next", 11)));
}

/// Until then the known incarnation may run its tasks on.
#[test]
fn the_heartbeat_of_another_incarnation_counts_before_the_leases_have_expired() {
    let mut agent = agent();
    let mut now = at(0);
    while known(&agent) == Some(("w", 10)) {
        now = now + Duration::from_millis(200);
        assert!(at(20_000) > now, "the next incarnation is never admitted");
        agent.apply_heartbeat(heartbeat("w-next", 11));
        let poll = agent.next_poll(now, false).unwrap();
        agent.apply_error(now, &poll, PollError::Unresponsive);
    }
    let lease = Timing::default().lease;
    assert!((at(0) + lease).passed(now), "after {:?}", now.since(at(0)));
    assert_eq!(known(&agent), Some(("w-next", 11)));
}

/// A departure that names another incarnation took the known worker with it.
#[rstest]
#[case::another("w", Some(11), true)]
#[case::earlier("w", Some(9), true)]
#[case::unnamed("w", None, true)]
#[case::other_name("w-odd", Some(10), true)]
#[case::known("w", Some(10), false)]
fn the_departure_of_another_incarnation_ends_the_known_one(
    #[case] worker: &str,
    #[case] started_at: Option<u64>,
    #[case] stays: bool,
) {
    let mut agent = agent();
    agent.worker_left(worker, started_at);
    assert_eq!(agent.worker().is_some(), stays);
}

/// The worker refuses the calls for its own start then, and nobody renews the leases there.
#[test]
fn a_worker_that_has_seen_the_token_of_another_writers_heartbeat_keeps_its_tasks_waiting() {
    let mut agent = AgentState::new(Timing::default(), at(0));
    agent.apply_heartbeat(heartbeat("w", 11));
    assert!(agent.accept_header(at(0), &header()));
    let poll = agent.next_poll(at(0), false).unwrap();
    agent.apply_reply(at(0), &poll, reply(10));
    let mut now = at(0);
    while !agent.report(now).leases_expired {
        now = now + Duration::from_millis(200);
        assert!(at(20_000) > now, "the tasks wait for the worker for good");
        let echo = agent.report(now).clock_reading;
        assert!(agent.accept_header(now, &OwnerHeader { echo, ..header() }));
        let poll = agent.next_poll(now, false).unwrap();
        agent.apply_error(now, &poll, PollError::Fenced);
    }
    let lease = Timing::default().lease;
    assert!((at(0) + lease).passed(now), "after {:?}", now.since(at(0)));
}

/// Such a worker has seen a higher epoch, and its runs and ends are heard of under that one.
#[test]
fn an_agent_that_has_not_read_the_epoch_gives_up_the_runs_of_its_worker() {
    let mut agent = AgentState::new(Timing::default(), at(0));
    agent.apply_heartbeat(heartbeat("w", 10));
    let mut now = at(0);
    while at(10_000) > now {
        now = now + Duration::from_millis(200);
        let poll = agent.next_poll(now, false).unwrap();
        agent.apply_error(now, &poll, PollError::Fenced);
    }
    agent.observe_epoch(5);
    assert!(agent.accept_header(now, &header()));
    assert!(!agent.report(now).leases_expired);
    let poll = agent.next_poll(now, false).unwrap();
    agent.apply_reply(now, &poll, reply(10));
    let report = agent.report(now);
    assert_eq!((report.running.len(), report.ended.len()), (1, 1));
}
