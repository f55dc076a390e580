//! A worker that starts again under the name that it had. Calls for its earlier incarnation
//! may still reach it.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{
    entry, job_name, run,
    session::{JOB, Session, active, at, ended},
    vm, worker_info,
};
use rstest::rstest;
use steps::{
    AgentState, Timing,
    agent::{Heartbeat, PollError, PollReply},
    message::{
        AgentReport, ClockReading, OrderResult, Orders, OrdersReply, OwnerHeader, RunEnd, RunKey,
    },
};

fn restarted(report: &mut AgentReport) {
    report.worker = Some(worker_info("w-0", 2));
    report.clock_reading = Some(ClockReading {
        incarnation: worker_info("w-0", 2).incarnation,
        millis: 100,
    });
}

/// A session in which a start has been sent to VM 0, and the orders.
fn with_sent_start() -> (Session, RunKey, Orders) {
    let mut session = Session::loaded();
    session.report(at(0), 0, |_| ());
    session.report(at(0), 1, |report| {
        let worker = report.worker.as_mut().unwrap();
        worker.draining = true;
    });
    session.job_arrives(at(10));
    let orders = session.owner.take_orders(at(10), &vm(0)).unwrap();
    let key = orders.starts[0].key.clone();
    (session, key, orders)
}

/// How much the owner knows of a start when the worker restarts.
#[derive(Clone, Copy, Debug)]
enum Knowledge {
    Sent,
    Unanswered,
    Unsettled,
    Confirmed,
}

/// The new incarnation may have carried out a start that was sent to the earlier one.
#[rstest]
fn a_start_that_the_next_incarnation_may_carry_out_is_stopped_first(
    #[values(
        Knowledge::Sent,
        Knowledge::Unanswered,
        Knowledge::Unsettled,
        Knowledge::Confirmed
    )]
    knowledge: Knowledge,
) {
    let (mut session, key, orders) = with_sent_start();
    let reply = |result| OrdersReply {
        agent_incarnation: 1,
        epoch: 3,
        poll: 2,
        starts: vec![result],
        stops: Vec::new(),
    };
    match knowledge {
        Knowledge::Sent => {}
        Knowledge::Unanswered => session.reply(at(20), 0, orders, None),
        Knowledge::Unsettled => {
            let reply = reply(OrderResult::Unsettled);
            session.reply(at(20), 0, orders, Some(reply));
        }
        Knowledge::Confirmed => {
            session.reply(at(20), 0, orders, Some(reply(OrderResult::Done)));
        }
    }
    session.report(at(30), 0, restarted);
    session.report(at(30), 1, |_| ());
    assert_eq!(
        session.owner.runs_of(&job_name(JOB)),
        [(vm(0), key.clone())]
    );
    let orders = session.owner.take_orders(at(40), &vm(0)).unwrap();
    assert_eq!(
        (orders.starts.len(), &orders.stops),
        (0, &vec![key.clone()])
    );
    session.report(at(50), 0, |report| {
        restarted(report);
        report.running = vec![active(&key)];
    });
    assert_eq!(session.take_starts(at(60)), []);
    session.answer(at(60), 0, orders);
    session.report(at(160), 0, |report| {
        restarted(report);
        report.ended = vec![ended(1, &key, RunEnd::Stopped)];
    });
    assert_eq!(session.take_starts(at(170)).len(), 1);
}

#[test]
fn a_run_that_the_earlier_incarnation_has_listed_is_lost_with_it() {
    let (mut session, key, orders) = with_sent_start();
    session.answer(at(20), 0, orders);
    session.report(at(25), 0, |report| report.running = vec![active(&key)]);
    session.report(at(30), 0, restarted);
    session.report(at(30), 1, |_| ());
    let starts = session.take_starts(at(40));
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > key.run);
}

/// A restarted agent may hear first of a worker that does not exist; the runs of the real one
/// were started again elsewhere.
#[rstest]
#[case::restarted("w")]
#[case::replaced("w-other")]
fn an_incarnation_that_has_not_answered_ends_the_known_one(#[case] worker: &str) {
    let (mut session, key, orders) = with_sent_start();
    session.answer(at(20), 0, orders);
    session.report(at(25), 0, |report| report.running = vec![active(&key)]);
    session.report(at(30), 0, |report| {
        report.worker = Some(worker_info(worker, 2));
        report.confirmed_epoch = 0;
    });
    session.report(at(30), 1, |_| ());
    assert_eq!(session.take_starts(at(40)), []);
    let runs = session.owner.runs_of(&job_name(JOB));
    assert_eq!(runs, [(vm(0), key)]);
}

#[test]
fn a_start_is_dropped_with_a_worker_of_another_name() {
    let (mut session, key, _) = with_sent_start();
    session.report(at(30), 0, |report| {
        report.worker = Some(worker_info("w-other", 2));
    });
    session.report(at(30), 1, |_| ());
    let starts = session.take_starts(at(40));
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > key.run);
}

fn header(epoch: u64, recorded: Option<u64>) -> OwnerHeader {
    let incarnation = worker_info("w", 1).incarnation;
    OwnerHeader {
        epoch,
        owner: entry(epoch),
        echo: Some(ClockReading {
            incarnation: incarnation.clone(),
            millis: 10_000,
        }),
        recorded: recorded.map(|number| (incarnation, number)),
        recorded_crash: None,
    }
}

fn heartbeat(started_at: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        info: worker_info("w", started_at),
        sequence,
    }
}

fn reply(started_at: u64) -> PollReply {
    PollReply {
        has_more_ends: false,
        clock_millis: 10_000,
        started_at: Some(started_at),
        running: Vec::new(),
        ended: Vec::new(),
    }
}

/// An agent whose worker has answered once under epoch 5.
fn agent() -> AgentState {
    let mut agent = AgentState::new(Timing::default(), at(0));
    agent.apply_heartbeat(heartbeat(1, 1));
    assert!(agent.accept_header(at(0), &header(5, None)));
    let poll = agent.next_poll(at(0), false).unwrap();
    agent.apply_reply(at(0), &poll, reply(1));
    assert!(agent.accept_header(at(0), &header(5, None)));
    agent
}

/// The ends of each incarnation are numbered from 1. One that receives a poll for the earlier
/// incarnation must not forget its own ends.
#[test]
fn polls_name_recorded_ends_only_until_the_worker_has_forgotten_them() {
    let mut agent = agent();
    agent.accept_header(at(10), &header(5, Some(3)));
    let unanswered = agent.next_poll(at(10), false).unwrap();
    assert_eq!(unanswered.recorded, 3);
    let poll = agent.next_poll(at(20), false).unwrap();
    assert_eq!(poll.recorded, 3);
    agent.apply_reply(at(30), &poll, reply(1));
    assert_eq!(agent.next_poll(at(40), false).unwrap().recorded, 0);
    agent.accept_header(at(50), &header(5, Some(4)));
    assert_eq!(agent.next_poll(at(50), false).unwrap().recorded, 4);
}

/// Restarts the worker under its name: its heartbeat arrives, then its answer to the next poll.
fn restart_worker(agent: &mut AgentState, beat: Heartbeat) {
    let started_at = beat.info.incarnation.started_at;
    agent.apply_heartbeat(beat);
    let poll = agent.next_poll(at(10), false).unwrap();
    agent.apply_reply(at(20), &poll, reply(started_at));
}

/// A poll for the earlier incarnation renewed the leases of the next one. The agent took these for
/// expired too soon, and tasks were started again elsewhere (explore, seed 30064).
#[rstest]
fn leases_that_an_earlier_poll_has_granted_count_as_expired(
    #[values(false, true)] answers_twice: bool,
) {
    let mut agent = agent();
    let timing = Timing::default();
    let earlier = agent.next_poll(at(0), false).unwrap();
    let until = earlier.until_millis.unwrap();
    let clock = 1_000;
    let answer = PollReply {
        clock_millis: clock,
        ..reply(2)
    };
    agent.apply_reply(at(10), &earlier, answer.clone());
    if answers_twice {
        let next = agent.next_poll(at(20), false).unwrap();
        assert_eq!(next.until_millis, None);
        agent.apply_reply(at(30), &next, answer);
    }
    let longest = clock + timing.max_lease.as_millis() as u64;
    let lease = Duration::from_millis(until.min(longest) - clock);
    let mut now = at(5_000);
    while !agent.report(now).leases_expired {
        now = now + Duration::from_millis(100);
        assert!(at(30_000) > now, "the leases never expire");
        let poll = agent.next_poll(now, false).unwrap();
        agent.apply_error(now, &poll, PollError::Unresponsive);
    }
    assert!(
        (at(10) + lease).passed(now),
        "after {:?}",
        now.since(at(10))
    );
}

fn orders() -> Orders {
    Orders {
        header: header(5, None),
        incarnation: worker_info("w", 1).incarnation,
        start_by_millis: u64::MAX,
        capacity: None,
        starts: Vec::new(),
        stops: Vec::new(),
    }
}

/// The next owner does not know of the start, so it must be told.
#[rstest]
fn an_unsettled_start_outlives_a_restart_of_its_worker(#[values(false, true)] by_heartbeat: bool) {
    let mut agent = agent();
    let key = run(JOB, 0, 0, 1);
    agent.admit(at(0), &orders(), &key).unwrap();
    agent.settle_start(&key, OrderResult::Unsettled);
    if by_heartbeat {
        agent.apply_heartbeat(heartbeat(2, 1));
    }
    let poll = agent.next_poll(at(10), false).unwrap();
    agent.apply_reply(at(20), &poll, reply(2));
    assert_eq!(
        agent.worker().map(|worker| worker.incarnation.started_at),
        Some(2)
    );
    assert_eq!(agent.report(at(30)).unsettled, std::slice::from_ref(&key));
    agent.settle_stop(&key, OrderResult::Done);
    assert_eq!(agent.report(at(40)).unsettled, []);
}

#[test]
fn an_unsettled_start_ends_with_a_worker_of_another_name() {
    let mut agent = agent();
    let key = run(JOB, 0, 0, 1);
    agent.admit(at(0), &orders(), &key).unwrap();
    agent.settle_start(&key, OrderResult::Unsettled);
    agent.apply_heartbeat(Heartbeat {
        info: worker_info("w-other", 2),
        sequence: 1,
    });
    let poll = agent.next_poll(at(10), false).unwrap();
    agent.apply_error(at(20), &poll, PollError::OtherIncarnation);
    assert!(agent.worker().is_some());
    assert_eq!(agent.report(at(30)).unsettled, []);
}

/// A worker reports that it drains before it leaves. Its departure may name the incarnation.
#[rstest]
#[case::earlier(Some(1), true, false)]
#[case::current(Some(2), false, true)]
#[case::unnamed_without_drain(None, false, false)]
#[case::unnamed_after_drain(None, true, true)]
fn a_late_departure_of_the_earlier_incarnation_is_ignored(
    #[case] started_at: Option<u64>,
    #[case] is_draining: bool,
    #[case] is_gone: bool,
) {
    let mut agent = agent();
    let mut next = heartbeat(2, 1);
    next.info.draining = is_draining;
    restart_worker(&mut agent, next);
    agent.worker_left("w", started_at);
    assert_eq!(agent.worker().is_none(), is_gone);
}

/// A worker that checks no tokens carries out a start of the last owner after a poll for the
/// next one, and confirms it before the agent reports to that owner.
#[test]
fn a_confirmed_start_is_reported_before_the_worker_has_listed_it() {
    let mut agent = agent();
    let key = run(JOB, 0, 0, 1);
    agent.admit(at(0), &orders(), &key).unwrap();
    assert!(agent.accept_header(at(1), &header(6, None)));
    let poll = agent.next_poll(at(1), false).unwrap();
    agent.apply_reply(at(3), &poll, reply(1));
    agent.settle_start(&key, OrderResult::Done);
    let report = agent.report(at(4));
    assert_eq!(report.confirmed_epoch, 6);
    assert_eq!(report.unsettled, std::slice::from_ref(&key));
    let poll = agent.next_poll(at(5), false).unwrap();
    let listed = PollReply {
        running: vec![active(&key)],
        ..reply(1)
    };
    agent.apply_reply(at(6), &poll, listed);
    let report = agent.report(at(7));
    assert_eq!((report.running.len(), report.unsettled.len()), (1, 0));
}

/// A run may also end and be recorded between two polls.
#[test]
fn a_confirmed_start_is_settled_by_any_later_poll() {
    let mut agent = agent();
    let key = run(JOB, 0, 0, 1);
    agent.admit(at(0), &orders(), &key).unwrap();
    let sent_before = agent.next_poll(at(1), false).unwrap();
    agent.settle_start(&key, OrderResult::Done);
    agent.apply_reply(at(3), &sent_before, reply(1));
    assert_eq!(agent.report(at(4)).unsettled, std::slice::from_ref(&key));
    let sent_after = agent.next_poll(at(5), false).unwrap();
    agent.apply_reply(at(6), &sent_after, reply(1));
    assert_eq!(agent.report(at(7)).unsettled, []);
}

/// The earlier incarnation had confirmed the stop, but an unanswered start may still arrive.
#[test]
fn a_stopped_start_without_an_answer_is_unsettled_again_after_a_restart() {
    let mut agent = agent();
    let [stopped, answered] = [1, 2].map(|index| run(JOB, 0, index, 1));
    agent.admit(at(0), &orders(), &stopped).unwrap();
    agent.settle_start(&stopped, OrderResult::Unsettled);
    agent.settle_stop(&stopped, OrderResult::Done);
    agent.admit(at(0), &orders(), &answered).unwrap();
    agent.settle_start(&answered, OrderResult::Done);
    agent.settle_stop(&answered, OrderResult::Done);
    assert_eq!(agent.report(at(10)).unsettled, []);
    restart_worker(&mut agent, heartbeat(2, 1));
    assert_eq!(
        agent.report(at(20)).unsettled,
        std::slice::from_ref(&stopped)
    );
    agent.settle_stop(&stopped, OrderResult::Done);
    assert_eq!(agent.report(at(30)).unsettled, []);
}
