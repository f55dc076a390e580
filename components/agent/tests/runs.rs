//! The agent's side of leases and exclusive attempts.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::time::Duration;

use agent::runs::{Action, Event, RunTracker};
use kernel::{Attempt, Checkpoint, Epoch, Resources, TaskClass, TaskId, TaskRun, Time};
use proto::{
    messages::{HeartbeatReply, Order, Renewal, StartOrder, TaskPhase},
    worker::WorkerRun,
};
use rstest::rstest;

const ROOM: Resources = Resources::new(2000, 1024, 0);
const NEED: Resources = Resources::new(1500, 512, 0);
const LEASE_MILLIS: u64 = 5000;
const START_MILLIS: u64 = 2000;

fn secs(secs: u64) -> Time {
    Time::from_secs(secs)
}

fn run(job: &str, attempt: u32) -> TaskRun {
    let task = TaskId {
        job: job.parse().unwrap(),
        index: 0,
    };
    TaskRun {
        task,
        attempt: Attempt(attempt),
    }
}

fn start(job: &str) -> Order {
    Order::Start(StartOrder {
        run: run(job, 1),
        reserved: NEED,
        program: String::new(),
        class: TaskClass::Batch,
        service: None,
        checkpoint: None,
        lease_millis: LEASE_MILLIS,
        start_within_millis: START_MILLIS,
    })
}

fn reply(epoch: u64, orders: Vec<Order>) -> HeartbeatReply {
    HeartbeatReply {
        epoch: Epoch(epoch),
        orders,
        ..HeartbeatReply::default()
    }
}

fn told(runs: &mut RunTracker, now: u64, sent_at: u64, reply: HeartbeatReply) -> Vec<Action> {
    let event = Event::Reply {
        sent_at: secs(sent_at),
        reply: Box::new(reply),
    };
    runs.handle(secs(now), event)
}

fn shown(job: &str, phase: TaskPhase) -> WorkerRun {
    WorkerRun {
        run: run(job, 1),
        phase,
        reserved: NEED,
        checkpoint: Some(Checkpoint("7".to_owned())),
        lease_until: secs(6),
        used: None,
        measured_at: secs(1),
    }
}

fn listed(runs: &mut RunTracker, at: u64, list: Vec<WorkerRun>) -> Vec<Action> {
    let event = Event::Listed {
        asked_at: secs(at),
        runs: list,
    };
    runs.handle(secs(at), event)
}

fn ready() -> RunTracker {
    let mut runs = RunTracker::new(ROOM);
    listed(&mut runs, 0, Vec::new());
    runs
}

fn starts(actions: &[Action]) -> usize {
    let is_start = |action: &&Action| matches!(action, Action::Start(..));
    actions.iter().filter(is_start).count()
}

fn phase_of(runs: &RunTracker, job: &str) -> Option<TaskPhase> {
    let reports = runs.reports(secs(1));
    let report = reports.iter().find(|report| report.run == run(job, 1));
    report.map(|report| report.phase)
}

#[test]
fn a_repeated_order_starts_an_attempt_once() {
    let mut runs = ready();
    assert_eq!(
        starts(&told(&mut runs, 1, 1, reply(1, vec![start("a")]))),
        1
    );
    runs.handle(secs(1), Event::Started(run("a", 1)));
    assert_eq!(
        starts(&told(&mut runs, 2, 2, reply(1, vec![start("a")]))),
        0
    );
    listed(&mut runs, 2, vec![shown("a", TaskPhase::Succeeded)]);
    assert_eq!(
        starts(&told(&mut runs, 3, 3, reply(1, vec![start("a")]))),
        0
    );
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Succeeded));
}

#[test]
fn a_lower_epoch_is_not_obeyed() {
    let mut runs = ready();
    told(&mut runs, 1, 1, reply(2, Vec::new()));
    assert_eq!(
        told(&mut runs, 2, 2, reply(1, vec![start("a")])),
        Vec::new()
    );
    assert_eq!(runs.epoch(), Epoch(2));
}

#[test]
fn a_delayed_reply_is_not_obeyed() {
    let mut runs = ready();
    told(&mut runs, 2, 2, reply(1, Vec::new()));
    assert_eq!(
        told(&mut runs, 2, 1, reply(1, vec![start("a")])),
        Vec::new()
    );
}

#[test]
fn a_stop_that_overtakes_its_start_counts() {
    let mut runs = ready();
    let stop = reply(1, vec![Order::Stop(run("a", 1))]);
    assert_eq!(told(&mut runs, 1, 1, stop), vec![Action::Report]);
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Stopped));
    assert_eq!(
        told(&mut runs, 2, 2, reply(1, vec![start("a")])),
        Vec::new()
    );
}

#[test]
fn a_lease_counts_from_the_sending_of_the_heartbeat() {
    let mut runs = ready();
    told(&mut runs, 1, 1, reply(1, vec![start("a")]));
    runs.handle(secs(1), Event::Started(run("a", 1)));
    let renewal = Renewal {
        run: run("a", 1),
        lease_millis: LEASE_MILLIS,
    };
    let renewed = HeartbeatReply {
        renewed: vec![renewal],
        ..reply(1, Vec::new())
    };
    let actions = told(&mut runs, 5, 3, renewed);
    let until = secs(3) + Duration::from_millis(LEASE_MILLIS);
    assert_eq!(actions, vec![Action::Renew(run("a", 1), until)]);
    assert_eq!(runs.handle(secs(7), Event::Tick), Vec::new());
    let ended = runs.handle(secs(8), Event::Tick);
    assert_eq!(ended, vec![Action::Evict(run("a", 1))]);
}

#[rstest]
#[case::too_late(|_: &mut RunTracker| {}, 4)]
#[case::zone_out(|runs: &mut RunTracker| { runs.handle(secs(1), Event::AcceptWork(false)); }, 1)]
#[case::leaving(|runs: &mut RunTracker| { runs.handle(secs(1), Event::Leave); }, 1)]
#[case::no_room(|runs: &mut RunTracker| { told(runs, 1, 1, reply(1, vec![start("b")])); }, 1)]
fn a_start_that_must_not_happen_is_a_confirmed_stop(
    #[case] prepare: fn(&mut RunTracker),
    #[case] now: u64,
) {
    let mut runs = ready();
    prepare(&mut runs);
    let actions = told(&mut runs, now, 1, reply(1, vec![start("a")]));
    assert_eq!(actions, vec![Action::Report]);
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Stopped));
}

#[test]
fn a_start_on_its_way_is_not_called_stopped() {
    let mut runs = ready();
    told(&mut runs, 1, 1, reply(1, vec![start("a")]));
    told(&mut runs, 1, 1, reply(1, vec![Order::Stop(run("a", 1))]));
    listed(&mut runs, 2, Vec::new());
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Running));
    let late = runs.handle(secs(2), Event::Started(run("a", 1)));
    assert_eq!(late, vec![Action::Stop(run("a", 1))]);
    runs.handle(secs(2), Event::Stopped(shown("a", TaskPhase::Stopped)));
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Stopped));
}

#[test]
fn a_refusal_of_a_repeated_start_proves_nothing_until_its_time_is_over() {
    let mut runs = ready();
    told(&mut runs, 1, 1, reply(1, vec![start("a")]));
    assert_eq!(starts(&runs.handle(secs(2), Event::Tick)), 1);
    runs.handle(secs(2), Event::StartRefused(run("a", 1)));
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Running));
    listed(&mut runs, 2, Vec::new());
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Running));
    listed(&mut runs, 4, Vec::new());
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Stopped));
}

#[test]
fn a_restarted_agent_adopts_what_its_worker_runs() {
    let mut runs = RunTracker::new(ROOM);
    assert!(!runs.has_listed());
    listed(&mut runs, 1, vec![shown("a", TaskPhase::Running)]);
    assert!(runs.has_listed());
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Running));
    assert_eq!(
        starts(&told(&mut runs, 2, 2, reply(1, vec![start("a")]))),
        0
    );
    let refused = told(&mut runs, 2, 2, reply(1, vec![start("b")]));
    assert_eq!(
        refused,
        vec![Action::Report],
        "the adopted attempt takes room"
    );
}

#[test]
fn an_ended_attempt_is_reported_until_it_is_recorded() {
    let mut runs = ready();
    told(&mut runs, 1, 1, reply(1, vec![start("a")]));
    let actions = listed(&mut runs, 2, vec![shown("a", TaskPhase::Succeeded)]);
    assert_eq!(actions, vec![Action::Report]);
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Succeeded));
    let recorded = HeartbeatReply {
        recorded: vec![run("a", 1)],
        ..reply(1, Vec::new())
    };
    let actions = told(&mut runs, 3, 3, recorded);
    assert_eq!(actions, vec![Action::Forget(run("a", 1))]);
    assert_eq!(phase_of(&runs, "a"), None);
}
