//! Roles of running tasks: without them an agent does not slow the best-effort tasks that
//! disturb a serving task.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{config, entry, job, run, step, vm, worker_info};
use kernel::Time;
use steps::{
    AgentState, Event, Owner, Step, Timing,
    agent::{Heartbeat, PollReply},
    message::{
        ActiveRun, AgentReport, ClockReading, OrderResult, OrdersReply, OwnerHeader, ReportPoll,
        Role, RunKey,
    },
    owner::PollFailure,
};

const START: Time = Time::from_secs(1_000);
const EPOCH: u64 = 3;
const JOB: &str = "00000000000000aa";
const TARGET_MILLIS: u64 = 50;

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

fn row(key: &RunKey, measurement: u64) -> ActiveRun {
    ActiveRun {
        key: key.clone(),
        checkpoint: None,
        progress_percent: 10,
        measurement,
    }
}

fn poll_with(roles: Vec<(RunKey, Role)>) -> ReportPoll {
    ReportPoll {
        header: OwnerHeader {
            epoch: EPOCH,
            owner: entry(1),
            echo: None,
            recorded: None,
            recorded_crash: None,
        },
        known_version: 0,
        wait_millis: 0,
        roles,
        weights: Vec::new(),
        known_report: None,
        wants_doubts: false,
    }
}

/// A restarted agent may hear from the owner before its worker's next heartbeat.
#[test]
fn a_restarted_agent_keeps_the_roles_that_arrive_before_the_first_heartbeat() {
    let (serving, filling) = (run(JOB, 0, 0, 1), run(JOB, 1, 0, 2));
    let roles = vec![
        (
            serving.clone(),
            Role::Serving {
                target_millis: TARGET_MILLIS,
                image: None,
            },
        ),
        (
            filling.clone(),
            Role::BestEffort {
                image: None,
                cpu_milli: 2_000,
            },
        ),
    ];
    let mut agent = AgentState::new(Timing::default(), START);
    agent.accept_poll(START, &poll_with(roles));
    let info = worker_info("w-0", 1);
    agent.apply_heartbeat(Heartbeat { info, sequence: 7 });
    let mut paces = Vec::new();
    for number in 0..5 {
        let now = at(700 * number);
        let poll = agent.next_poll(now, false).unwrap();
        let reply = PollReply {
            clock_millis: 10_000 + 700 * number,
            started_at: Some(1),
            running: vec![row(&serving, 2 * TARGET_MILLIS), row(&filling, 1_900)],
            ended: Vec::new(),
            has_more_ends: false,
        };
        for (key, percent) in agent.apply_reply(now, &poll, reply) {
            agent.record_pace(&key, percent);
            paces.push((key, percent));
        }
    }
    assert_eq!(paces.last(), Some(&(filling, 0)));
}

fn report(agent_incarnation: u64, version: u64, running: Vec<ActiveRun>) -> Event {
    let worker = worker_info("w-0", 1);
    let report = Box::new(AgentReport {
        agent_incarnation,
        version,
        epoch: EPOCH,
        confirmed_epoch: EPOCH,
        clock_reading: Some(ClockReading {
            incarnation: worker.incarnation.clone(),
            millis: 10_000,
        }),
        worker: Some(worker),
        worker_responsive: true,
        poll: version,
        running,
        ..AgentReport::default()
    });
    Event::Report { vm: vm(0), report }
}

fn owner() -> Owner {
    let mut owner = Owner::new(entry(1), EPOCH, Timing::default(), START);
    owner.handle(START, START, Event::Config(config()));
    let serving = Step {
        long_running: true,
        target_millis: Some(TARGET_MILLIS),
        ..step(1, &[])
    };
    let job = job(JOB, "quick", vec![serving]);
    let progress = None;
    owner.handle(START, START, Event::Job { job, progress });
    owner.handle(START, START, Event::Vm(vm(0)));
    owner
}

fn polled_roles(owner: &mut Owner, now: Time) -> usize {
    owner.next_report_poll(now, &vm(0)).unwrap().roles.len()
}

fn lose_poll(owner: &mut Owner, now: Time) {
    let event = Event::Unreachable(vm(0), PollFailure::default());
    owner.handle(now, now, event);
}

#[test]
fn the_role_of_an_adopted_run_is_sent_again_if_its_poll_gets_no_answer() {
    let mut owner = owner();
    let running = vec![row(&run(JOB, 0, 0, 7), 20)];
    owner.handle(at(10), at(10), report(1, 1, running));
    assert_eq!(polled_roles(&mut owner, at(20)), 1);
    lose_poll(&mut owner, at(420));
    assert_eq!(polled_roles(&mut owner, at(430)), 1);
}

#[test]
fn the_roles_for_a_restarted_agent_are_sent_again_if_its_poll_gets_no_answer() {
    let mut owner = owner();
    owner.handle(at(10), at(10), report(1, 1, Vec::new()));
    let orders = Box::new(owner.take_orders(at(20), &vm(0)).unwrap());
    let key = orders.starts[0].key.clone();
    let reply = Some(OrdersReply {
        agent_incarnation: 1,
        epoch: EPOCH,
        poll: 1,
        starts: vec![OrderResult::Done],
        stops: Vec::new(),
    });
    let vm = vm(0);
    owner.handle(at(30), at(30), Event::OrdersAnswered { vm, orders, reply });
    owner.handle(at(1_000), at(1_000), report(2, 1, vec![row(&key, 20)]));
    assert_eq!(polled_roles(&mut owner, at(1_010)), 1);
    lose_poll(&mut owner, at(1_410));
    assert_eq!(polled_roles(&mut owner, at(1_420)), 1);
}
