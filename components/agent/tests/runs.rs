//! Leases and at-most-once start_count at an agent.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::time::Duration;

use agent::runs::{Action, Event, RunTracker};
use kernel::{Attempt, Checkpoint, Epoch, Resources, TaskClass, TaskId, TaskRun, Time};
use proto::{
    messages::{HeartbeatReply, Order, Renewal, StartOrder, TaskPhase},
    worker::WorkerRun,
};
use rstest::rstest;

const CAPACITY: Resources = Resources::new(2000, 1024, 0);
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

fn apply_reply(
    runs: &mut RunTracker,
    now: u64,
    sent_at: u64,
    reply: HeartbeatReply,
) -> Vec<Action> {
    let event = Event::Reply {
        sent_at: secs(sent_at),
        reply: Box::new(reply),
    };
    runs.handle(secs(now), event)
}

fn worker_run(job: &str, phase: TaskPhase) -> WorkerRun {
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

fn list(runs: &mut RunTracker, at: u64, worker_runs: Vec<WorkerRun>) -> Vec<Action> {
    let event = Event::Listed {
        asked_at: secs(at),
        runs: worker_runs,
    };
    runs.handle(secs(at), event)
}

fn new_tracker() -> RunTracker {
    let mut runs = RunTracker::new(CAPACITY);
    list(&mut runs, 0, Vec::new());
    runs
}

fn start_count(actions: &[Action]) -> usize {
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
    let mut runs = new_tracker();
    assert_eq!(
        start_count(&apply_reply(&mut runs, 1, 1, reply(1, vec![start("a")]))),
        1
    );
    runs.handle(secs(1), Event::Started(run("a", 1)));
    assert_eq!(
        start_count(&apply_reply(&mut runs, 2, 2, reply(1, vec![start("a")]))),
        0
    );
    list(&mut runs, 2, vec![worker_run("a", TaskPhase::Succeeded)]);
    assert_eq!(
        start_count(&apply_reply(&mut runs, 3, 3, reply(1, vec![start("a")]))),
        0
    );
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Succeeded));
}

#[test]
fn orders_of_a_lower_epoch_are_ignored() {
    let mut runs = new_tracker();
    apply_reply(&mut runs, 1, 1, reply(2, Vec::new()));
    assert_eq!(
        apply_reply(&mut runs, 2, 2, reply(1, vec![start("a")])),
        Vec::new()
    );
    assert_eq!(runs.epoch(), Epoch(2));
}

#[test]
fn a_delayed_reply_is_ignored() {
    let mut runs = new_tracker();
    apply_reply(&mut runs, 2, 2, reply(1, Vec::new()));
    assert_eq!(
        apply_reply(&mut runs, 2, 1, reply(1, vec![start("a")])),
        Vec::new()
    );
}

#[test]
fn a_stop_received_before_its_start_prevents_the_start() {
    let mut runs = new_tracker();
    let stop = reply(1, vec![Order::Stop(run("a", 1))]);
    assert_eq!(apply_reply(&mut runs, 1, 1, stop), vec![Action::Report]);
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Stopped));
    assert_eq!(
        apply_reply(&mut runs, 2, 2, reply(1, vec![start("a")])),
        Vec::new()
    );
}

#[test]
fn a_lease_counts_from_the_sending_of_the_heartbeat() {
    let mut runs = new_tracker();
    apply_reply(&mut runs, 1, 1, reply(1, vec![start("a")]));
    runs.handle(secs(1), Event::Started(run("a", 1)));
    let renewal = Renewal {
        run: run("a", 1),
        lease_millis: LEASE_MILLIS,
    };
    let renewed = HeartbeatReply {
        renewed: vec![renewal],
        ..reply(1, Vec::new())
    };
    let actions = apply_reply(&mut runs, 5, 3, renewed);
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
#[case::no_capacity(
    |runs: &mut RunTracker| { apply_reply(runs, 1, 1, reply(1, vec![start("b")])); },
    1,
)]
fn a_rejected_start_is_reported_as_stopped(#[case] prepare: fn(&mut RunTracker), #[case] now: u64) {
    let mut runs = new_tracker();
    prepare(&mut runs);
    let actions = apply_reply(&mut runs, now, 1, reply(1, vec![start("a")]));
    assert_eq!(actions, vec![Action::Report]);
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Stopped));
}

#[test]
fn an_unconfirmed_start_is_not_reported_as_stopped() {
    let mut runs = new_tracker();
    apply_reply(&mut runs, 1, 1, reply(1, vec![start("a")]));
    apply_reply(&mut runs, 1, 1, reply(1, vec![Order::Stop(run("a", 1))]));
    list(&mut runs, 2, Vec::new());
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Running));
    let late = runs.handle(secs(2), Event::Started(run("a", 1)));
    assert_eq!(late, vec![Action::Stop(run("a", 1))]);
    runs.handle(secs(2), Event::Stopped(worker_run("a", TaskPhase::Stopped)));
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Stopped));
}

#[test]
fn a_refused_repeat_of_a_start_counts_as_running_until_the_start_deadline() {
    let mut runs = new_tracker();
    apply_reply(&mut runs, 1, 1, reply(1, vec![start("a")]));
    assert_eq!(start_count(&runs.handle(secs(2), Event::Tick)), 1);
    runs.handle(secs(2), Event::StartRefused(run("a", 1)));
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Running));
    list(&mut runs, 2, Vec::new());
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Running));
    list(&mut runs, 4, Vec::new());
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Stopped));
}

#[test]
fn a_restarted_agent_adopts_the_attempts_of_its_worker() {
    let mut runs = RunTracker::new(CAPACITY);
    assert!(!runs.has_listed());
    list(&mut runs, 1, vec![worker_run("a", TaskPhase::Running)]);
    assert!(runs.has_listed());
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Running));
    assert_eq!(
        start_count(&apply_reply(&mut runs, 2, 2, reply(1, vec![start("a")]))),
        0
    );
    let refused = apply_reply(&mut runs, 2, 2, reply(1, vec![start("b")]));
    assert_eq!(
        refused,
        vec![Action::Report],
        "the adopted attempt takes capacity"
    );
}

#[test]
fn an_ended_attempt_is_reported_until_it_is_recorded() {
    let mut runs = new_tracker();
    apply_reply(&mut runs, 1, 1, reply(1, vec![start("a")]));
    let actions = list(&mut runs, 2, vec![worker_run("a", TaskPhase::Succeeded)]);
    assert_eq!(actions, vec![Action::Report]);
    assert_eq!(phase_of(&runs, "a"), Some(TaskPhase::Succeeded));
    let recorded = HeartbeatReply {
        recorded: vec![run("a", 1)],
        ..reply(1, Vec::new())
    };
    let actions = apply_reply(&mut runs, 3, 3, recorded);
    assert_eq!(actions, vec![Action::Forget(run("a", 1))]);
    assert_eq!(phase_of(&runs, "a"), None);
}
