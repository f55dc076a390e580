//! State machine of an owner: takeover, records, orders, departed VMs.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::{sync::Arc, time::Duration};

use common::{config, entry, job, job_name, run, step, vm, worker_info};
use kernel::{Resources, Time};
use rstest::rstest;
use steps::{
    Event, Job, Outcome, Owner, Progress, Step, Timing,
    job::Schedule,
    message::{
        ActiveRun, AgentReport, ClockReading, EndedRun, OrderResult, Orders, OrdersReply, Refusal,
        RunEnd, RunKey,
    },
    owner::{Handover, LongRunningTasks, PollFailure},
    progress::StepProgress,
};

const START: Time = Time::from_secs(1_000);
const EPOCH: u64 = 3;

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

struct Session {
    owner: Owner,
    version: u64,
}

impl Session {
    fn new(vm_count: usize) -> Self {
        let mut owner = Owner::new(entry(1), EPOCH, Timing::default(), START);
        owner.handle(START, START, Event::Config(config()));
        for number in 0..vm_count {
            owner.handle(START, START, Event::Vm(vm(number)));
        }
        Self { owner, version: 0 }
    }

    /// Returns a session with a later owner that takes over with the given handover
    /// note and knows one job and two VMs.
    fn with_handover(handover: Handover, epoch: u64, term_start: Time) -> Self {
        let mut owner = Owner::new(entry(2), epoch, Timing::default(), term_start);
        owner.handle(term_start, term_start, Event::Config(config()));
        owner.handle(term_start, term_start, Event::HandedOver(handover));
        let mut session = Self { owner, version: 0 };
        session.submit(term_start, JOB, 1);
        session.handle(term_start, Event::Vm(vm(0)));
        session.handle(term_start, Event::Vm(vm(1)));
        session
    }

    /// Handles an event; the store is available at each tick.
    fn handle(&mut self, now: Time, event: Event) {
        if matches!(event, Event::Tick) {
            self.owner.handle(now, now, Event::OwnershipProved(now));
        }
        self.owner.handle(now, now, event);
    }

    fn report(&mut self, now: Time, number: usize, change: impl FnOnce(&mut AgentReport)) {
        self.version += 1;
        let worker = worker_info(&format!("w-{number}"), 1);
        let mut report = AgentReport {
            agent_incarnation: 1,
            version: self.version,
            epoch: EPOCH,
            confirmed_epoch: EPOCH,
            clock_reading: Some(ClockReading {
                incarnation: worker.incarnation.clone(),
                millis: 10_000,
            }),
            worker: Some(worker),
            worker_responsive: true,
            poll: self.version,
            ..AgentReport::default()
        };
        change(&mut report);
        let report = Box::new(report);
        self.handle(
            now,
            Event::Report {
                vm: vm(number),
                report,
            },
        );
    }

    fn submit(&mut self, now: Time, id: &str, count: u32) {
        let job = job(id, "quick", vec![step(count, &[])]);
        let progress = None;
        self.handle(now, Event::Job { job, progress });
    }

    /// Runs that were ordered to start since the last call.
    fn take_starts(&mut self, now: Time, number: usize) -> Vec<RunKey> {
        let orders = self.owner.take_orders(now, &vm(number));
        let starts = orders.map(|orders| orders.starts).unwrap_or_default();
        starts.into_iter().map(|start| start.key).collect()
    }

    /// Answers orders for VM 0 as an agent process whose last poll has this number.
    fn answer_from(&mut self, now: Time, agent_incarnation: u64, orders: Orders, poll: u64) {
        let reply = Some(OrdersReply {
            agent_incarnation,
            epoch: EPOCH,
            poll,
            starts: vec![OrderResult::Done; orders.starts.len()],
            stops: vec![OrderResult::Done; orders.stops.len()],
        });
        let (vm, orders) = (vm(0), Box::new(orders));
        self.handle(now, Event::OrdersAnswered { vm, orders, reply });
    }

    /// Ends a call with orders.
    fn answer(&mut self, now: Time, number: usize, orders: Orders, is_answered: bool) {
        let reply = is_answered.then(|| OrdersReply {
            agent_incarnation: 1,
            epoch: EPOCH,
            poll: self.version,
            starts: vec![OrderResult::Done; orders.starts.len()],
            stops: vec![OrderResult::Done; orders.stops.len()],
        });
        let (vm, orders) = (vm(number), Box::new(orders));
        self.handle(now, Event::OrdersAnswered { vm, orders, reply });
    }
}

fn ended(number: u64, key: &RunKey, how: RunEnd) -> EndedRun {
    EndedRun {
        number,
        key: key.clone(),
        how,
        checkpoint: None,
    }
}

const JOB: &str = "00000000000000aa";

#[test]
fn a_new_owner_starts_nothing_until_all_workers_have_answered() {
    let mut session = Session::new(2);
    session.submit(at(0), JOB, 1);
    session.report(at(10), 0, |_| ());
    assert_eq!(session.take_starts(at(20), 0), []);
    session.report(at(30), 1, |_| ());
    let starts = session.take_starts(at(40), 0).len() + session.take_starts(at(40), 1).len();
    assert_eq!(starts, 1);
}

#[test]
fn a_new_owner_adopts_active_runs() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 1);
    let key = run(JOB, 0, 0, 7);
    let row = ActiveRun {
        key: key.clone(),
        checkpoint: None,
        progress_percent: 10,
        measurement: 900,
    };
    session.report(at(10), 0, |report| report.running = vec![row]);
    assert_eq!(session.take_starts(at(20), 0), []);
    assert_eq!(session.owner.runs_of(&job_name(JOB)), vec![(vm(0), key)]);
}

/// Guards against a needless wait: a worker left together with its machine and the
/// owner was lost; the next owner waited 13 s for leases on that VM (fault-injection
/// run, seed 736444028366).
#[test]
fn a_vm_without_worker_and_agent_departs() {
    let mut session = Session::new(2);
    session.report(at(10), 0, |_| ());
    session.report(at(10), 1, |_| ());
    assert_eq!(session.owner.take_departed(), []);
    session.report(at(20), 1, |report| {
        report.worker = None;
        report.leases_expired = true;
    });
    assert_eq!(session.owner.take_departed(), []);
    session.handle(at(1_000), Event::Unreachable(vm(1), PollFailure::default()));
    assert_eq!(session.owner.take_departed(), [vm(1)]);
}

#[test]
fn an_end_is_acknowledged_only_after_its_record_is_durable() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 2);
    session.report(at(10), 0, |_| ());
    let keys = session.take_starts(at(20), 0);
    let end = ended(1, &keys[0], RunEnd::Done);
    session.report(at(30), 0, |report| report.ended = vec![end]);
    let recorded = |owner: &mut Owner| {
        owner
            .next_report_poll(at(40), &vm(0))
            .unwrap()
            .header
            .recorded
            .unwrap()
            .1
    };
    assert_eq!(recorded(&mut session.owner), 0);
    let last = session.owner.last_change();
    assert_eq!(session.owner.take_changes().len(), 1);
    assert_eq!(recorded(&mut session.owner), 0);
    session.owner.confirm_durable(last);
    assert_eq!(recorded(&mut session.owner), 1);
}

/// Guards against counting a failure twice: a new owner found it both in the record
/// and in the worker's list (fault-injection run, seed 938960851855).
#[test]
fn a_failure_that_is_listed_twice_counts_once() {
    let mut first = Session::new(1);
    first.submit(at(0), JOB, 1);
    first.report(at(10), 0, |_| ());
    let keys = first.take_starts(at(20), 0);
    let end = ended(1, &keys[0], RunEnd::Failed);
    first.report(at(30), 0, |report| report.ended = vec![end.clone()]);
    let change = first.owner.take_changes().remove(0);

    let mut second = Session::new(1);
    let job = job(JOB, "quick", vec![step(1, &[])]);
    let progress = Some((change.progress, 1));
    second.handle(at(0), Event::Job { job, progress });
    second.report(at(10), 0, |report| report.ended = vec![end]);
    assert_eq!(second.owner.take_changes(), []);
    assert_eq!(second.take_starts(at(500), 0).len(), 1, "one more attempt");
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 1);
    for number in 1..=3u64 {
        let now = at(number * 1_000);
        session.report(now, 0, |_| ());
        let orders = session.owner.take_orders(now, &vm(0)).unwrap();
        assert_eq!(orders.starts.len(), 1, "attempt {number}");
        let end = ended(number, &orders.starts[0].key, RunEnd::Failed);
        session.answer(now, 0, orders, true);
        session.report(now, 0, |report| report.ended = vec![end]);
    }
    let change = session.owner.take_changes().remove(0);
    assert_eq!(change.progress.outcome, Some(Outcome::Failed));
}

#[test]
fn a_cancelled_job_is_stopped_and_starts_nothing() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 3);
    session.report(at(10), 0, |_| ());
    let keys = session.take_starts(at(20), 0);
    assert_eq!(keys.len(), 3);
    session.handle(at(30), Event::Cancelled(job_name(JOB)));
    let orders = session.owner.take_orders(at(40), &vm(0)).unwrap();
    assert_eq!(orders.stops.len(), 3);
    assert_eq!(orders.starts, []);
}

#[test]
fn a_pending_start_order_survives_expired_leases() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 1);
    session.report(at(10), 0, |_| ());
    let keys = session.take_starts(at(20), 0);
    session.report(at(30), 0, |report| {
        report.worker_responsive = false;
        report.leases_expired = true;
    });
    let held = session.owner.runs_of(&job_name(JOB));
    assert_eq!(held, vec![(vm(0), keys[0].clone())]);
}

#[test]
fn steps_wait_for_their_dependencies() {
    let mut session = Session::new(1);
    let steps = vec![step(1, &[]), step(1, &[0])];
    let progress = None;
    let job = job(JOB, "quick", steps);
    session.handle(at(0), Event::Job { job, progress });
    session.report(at(10), 0, |_| ());
    let first = session.take_starts(at(20), 0);
    assert_eq!(first.len(), 1);
    let end = ended(1, &first[0], RunEnd::Done);
    session.report(at(30), 0, |report| report.ended = vec![end]);
    let second = session.take_starts(at(40), 0);
    assert_eq!(second[0].task.step, 1);
}

/// Guards against two runs of a task: an agent stopped after it had started a run and
/// before it replied; the restarted agent did not know its worker yet and refused the
/// repeated order, so the owner started the task elsewhere (fault-injection run, seed
/// 474129440355).
#[test]
fn the_refusal_of_a_repeated_start_does_not_prove_the_run_absent() {
    let mut session = Session::new(2);
    session.report(at(0), 0, |_| ());
    session.report(at(0), 1, |_| ());
    session.submit(at(10), JOB, 1);
    let number = (0..2)
        .find(|&number| {
            !session.owner.runs_of(&job_name(JOB)).is_empty()
                && session.owner.runs_of(&job_name(JOB))[0].0 == vm(number)
        })
        .unwrap();
    let first = session.owner.take_orders(at(10), &vm(number)).unwrap();
    let key = first.starts[0].key.clone();
    let unanswered = Event::OrdersAnswered {
        vm: vm(number),
        orders: Box::new(first),
        reply: None,
    };
    session.handle(at(300), unanswered);
    let repeated = session.owner.take_orders(at(310), &vm(number)).unwrap();
    assert_eq!(repeated.starts[0].key, key);
    let reply = OrdersReply {
        agent_incarnation: 1,
        epoch: EPOCH,
        poll: 1,
        starts: vec![steps::message::OrderResult::Refused(Refusal::Worker)],
        stops: Vec::new(),
    };
    let refused = Event::OrdersAnswered {
        vm: vm(number),
        orders: Box::new(repeated),
        reply: Some(reply),
    };
    session.handle(at(320), refused);
    let runs: Vec<RunKey> = session
        .owner
        .runs_of(&job_name(JOB))
        .into_iter()
        .map(|(_, run)| run)
        .collect();
    assert_eq!(runs, std::slice::from_ref(&key), "the run may exist");
    assert_eq!(
        session.take_starts(at(330), 1 - number),
        [],
        "no second run"
    );
    let stops = session
        .owner
        .take_orders(at(330), &vm(number))
        .unwrap()
        .stops;
    assert_eq!(stops, [key]);
}

/// Guards against repeated waits: a VM had been gone for 3 s when its owner stopped in
/// an orderly way, twice, and each next owner waited the full 13.5 s for leases there
/// (scenario machines-stopped, seed 2).
#[test]
fn a_stopping_owner_hands_over_the_remaining_wait() {
    let mut before = Session::new(2);
    before.report(at(0), 0, |_| ());
    before.report(at(0), 1, |_| ());
    before.handle(at(100), Event::Unreachable(vm(1), PollFailure::default()));
    before.report(at(3_000), 0, |_| ());
    let handover = before.owner.handover(at(3_000));
    assert_eq!(handover.unreachable.len(), 1);

    let term_start = at(3_100);
    let mut session = Session::with_handover(handover, EPOCH + 1, term_start);
    session.handle(
        term_start,
        Event::Unreachable(vm(1), PollFailure::default()),
    );
    let attached = |report: &mut AgentReport| {
        report.epoch = EPOCH + 1;
        report.confirmed_epoch = EPOCH + 1;
    };
    session.report(at(3_200), 0, attached);
    assert_eq!(
        session.take_starts(at(3_200), 0),
        [],
        "a task may still run on the VM"
    );
    let timeout = Timing::default().unreachable_agent_timeout();
    let expired_at = at(110) + timeout;
    session.handle(expired_at, Event::Tick);
    assert_eq!(session.take_starts(expired_at, 0).len(), 1);
}

/// A start is sent again because the answer to the first one was lost, though the run is
/// there and listed; the next owner hears of it as running and as unsettled.
#[test]
fn a_run_that_is_listed_goes_on_though_a_repeat_of_its_start_is_unsettled() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 1);
    let key = run(JOB, 0, 0, 7);
    session.report(at(10), 0, |report| {
        report.running = vec![ActiveRun {
            key: key.clone(),
            checkpoint: None,
            progress_percent: 0,
            measurement: 500,
        }];
        report.unsettled = vec![key.clone()];
    });
    assert_eq!(session.owner.take_orders(at(20), &vm(0)), None);
    assert_eq!(session.owner.runs_of(&job_name(JOB)), [(vm(0), key)]);
}

/// The answer of a restarted agent to a start came before its first report, which was older
/// than the start. The owner counted the agent's polls anew at that report, missed the run in
/// it and started the task a second time (`explore`, seeds 10306 and 11620).
#[test]
fn a_run_that_a_restarted_agent_accepted_before_its_first_report_is_not_lost() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 1);
    session.report(at(10), 0, |_| ());
    let orders = session.owner.take_orders(at(20), &vm(0)).unwrap();
    let key = orders.starts[0].key.clone();
    session.answer_from(at(30), 2, orders, 5);
    let report_poll = |session: &mut Session, now: Time, poll: u64| {
        session.report(now, 0, |report| {
            report.agent_incarnation = 2;
            report.poll = poll;
        });
    };
    report_poll(&mut session, at(40), 4);
    report_poll(&mut session, at(50), 5);
    assert_eq!(session.owner.runs_of(&job_name(JOB)), [(vm(0), key)]);
    assert_eq!(session.owner.work().starts_ordered, 1);
    report_poll(&mut session, at(60), 6);
    assert_eq!(session.owner.work().starts_ordered, 2, "the run is lost");
}

/// The answer of an agent that has restarted meanwhile names a poll of the earlier process.
#[test]
fn a_late_answer_of_an_earlier_agent_does_not_hide_the_loss_of_a_run() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 1);
    session.report(at(10), 0, |report| report.agent_incarnation = 2);
    let orders = session.owner.take_orders(at(20), &vm(0)).unwrap();
    session.report(at(30), 0, |report| {
        report.agent_incarnation = 3;
        report.poll = 1;
    });
    session.answer_from(at(40), 2, orders, 500);
    session.report(at(50), 0, |report| {
        report.agent_incarnation = 3;
        report.poll = 2;
    });
    assert_eq!(session.owner.work().starts_ordered, 2, "the run is lost");
}

/// A restarted agent has confirmed a start before the last report of its earlier process, which
/// is older than the start, is handled.
#[test]
fn a_late_report_of_an_earlier_agent_does_not_hide_a_run() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 1);
    session.report(at(10), 0, |report| report.agent_incarnation = 2);
    let orders = session.owner.take_orders(at(20), &vm(0)).unwrap();
    session.answer_from(at(40), 3, orders, 0);
    session.report(at(50), 0, |report| report.agent_incarnation = 2);
    assert_eq!(session.owner.work().starts_ordered, 1, "the run goes on");
}

#[test]
fn a_run_of_an_ended_job_counts_against_the_room_of_its_worker_until_it_is_gone() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 1);
    let ended_job = "00000000000000bb";
    session.handle(at(0), Event::Ended(job_name(ended_job), Outcome::Cancelled));
    let row = ActiveRun {
        key: run(ended_job, 0, 0, 7),
        checkpoint: None,
        progress_percent: 10,
        measurement: 900,
    };
    session.report(at(10), 0, |report| report.running = vec![row]);
    assert_eq!(session.take_starts(at(20), 0), []);
    session.report(at(500), 0, |_| ());
    assert_eq!(session.take_starts(at(510), 0).len(), 1);
}

#[test]
fn a_task_waits_while_the_room_of_its_worker_has_shrunk() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    let shrink = |report: &mut AgentReport| {
        let worker = report.worker.as_mut().unwrap();
        worker.capacity = kernel::Resources::new(500, 16_000, 0);
    };
    session.report(at(10), 0, shrink);
    session.submit(at(20), JOB, 1);
    assert_eq!(session.take_starts(at(30), 0), []);
    session.report(at(500), 0, |_| ());
    assert_eq!(session.take_starts(at(510), 0).len(), 1);
}

/// An owner took over and stopped again within the time in which a poll of a lost VM times
/// out. Its note left the VM out, so the next owner waited for leases there from its own
/// start on (day machines-stopped, Brenes seed 2559395759, Diagne seed 348422196943).
#[test]
fn a_stopping_owner_passes_on_the_wait_that_it_took_over() {
    let mut before = Session::new(2);
    before.report(at(0), 0, |_| ());
    before.report(at(0), 1, |_| ());
    before.handle(at(100), Event::Unreachable(vm(1), PollFailure::default()));
    let handover = before.owner.handover(at(3_000));

    let between = Session::with_handover(handover, EPOCH + 1, at(3_100));
    let handover = between.owner.handover(at(4_100));

    let term_start = at(4_200);
    let mut session = Session::with_handover(handover, EPOCH + 2, term_start);
    session.handle(
        term_start,
        Event::Unreachable(vm(1), PollFailure::default()),
    );
    session.report(at(4_300), 0, |report: &mut AgentReport| {
        report.epoch = EPOCH + 2;
        report.confirmed_epoch = EPOCH + 2;
    });
    assert_eq!(
        session.take_starts(at(4_300), 0),
        [],
        "a task may still run on the VM"
    );
    // The time between two terms is added to the wait each time.
    let expired_at = at(310) + Timing::default().unreachable_agent_timeout();
    session.handle(expired_at, Event::Tick);
    assert_eq!(session.take_starts(expired_at, 0).len(), 1);
}

/// A note passed on by a later owner would shorten the wait after an owner that was killed.
#[test]
fn only_the_owner_that_a_note_is_for_passes_it_on() {
    let before = Session::new(1);
    let left = before.owner.handover(at(3_000));
    let passed_on = left.clone().passed_on(EPOCH + 1).unwrap();
    assert_eq!(passed_on.epoch, EPOCH + 1);
    assert_eq!(passed_on.unreachable, left.unreachable);
    assert_eq!(left.passed_on(EPOCH + 2), None);
}

#[test]
fn a_handover_note_of_an_earlier_term_is_ignored() {
    let mut before = Session::new(1);
    before.handle(at(100), Event::Unreachable(vm(0), PollFailure::default()));
    let handover = before.owner.handover(at(20_000));
    let term_start = at(20_100);
    let mut session = Session::with_handover(handover, EPOCH + 2, term_start);
    session.handle(
        term_start,
        Event::Unreachable(vm(0), PollFailure::default()),
    );
    session.report(at(20_200), 1, |report| {
        report.epoch = EPOCH + 2;
        report.confirmed_epoch = EPOCH + 2;
    });
    session.handle(at(21_000), Event::Tick);
    assert_eq!(session.take_starts(at(21_000), 1), []);
}

/// Without a recent proof that there is no other owner, leases must expire.
#[test]
fn an_owner_without_recent_proof_renews_no_leases() {
    let mut session = Session::new(1);
    session.report(at(10), 0, |_| ());
    let echo =
        |owner: &mut Owner, now: Time| owner.next_report_poll(now, &vm(0)).unwrap().header.echo;
    assert!(echo(&mut session.owner, at(1_000)).is_some());
    assert!(echo(&mut session.owner, at(2_000)).is_none());
    session.handle(at(2_100), Event::OwnershipProved(at(2_000)));
    assert!(echo(&mut session.owner, at(2_200)).is_some());
}

/// Guards against long interruptions: a worker drained and its VM disappeared without
/// notice; its long-running tasks waited for the leases there through two owners
/// (scenario machines-stopped, seed 1).
#[test]
fn long_running_tasks_move_off_a_draining_worker() {
    let mut session = Session::new(2);
    session.report(at(0), 0, |_| ());
    let mut long_running = step(1, &[]);
    long_running.long_running = true;
    let event = Event::Job {
        job: job(JOB, "quick", vec![long_running]),
        progress: None,
    };
    session.report(at(0), 1, |report| {
        report.worker.as_mut().unwrap().draining = true;
    });
    session.handle(at(10), event);
    let keys = session.take_starts(at(20), 0);
    assert_eq!(keys.len(), 1);
    let row = ActiveRun {
        key: keys[0].clone(),
        checkpoint: None,
        progress_percent: 100,
        measurement: 900,
    };
    let draining = |report: &mut AgentReport| {
        report.running = vec![row.clone()];
        report.worker.as_mut().unwrap().draining = true;
    };
    session.report(at(1_000), 0, draining);
    session.handle(at(1_300), Event::Tick);
    assert!(
        session.owner.take_orders(at(1_300), &vm(0)).is_none(),
        "no other worker has capacity"
    );
    session.report(at(1_400), 1, |_| ());
    session.handle(at(1_700), Event::Tick);
    let orders = session.owner.take_orders(at(1_700), &vm(0)).unwrap();
    assert_eq!(orders.stops, keys);
}

/// Guards against jobs shown as started too early: the orders had gone to workers that
/// were cut off from the network (scenario workers-cut-off, seed 2).
#[test]
fn a_job_is_pending_until_a_worker_has_started_it() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    session.submit(at(10), JOB, 1);
    let orders = session.owner.take_orders(at(20), &vm(0)).unwrap();
    session.handle(at(20), Event::JobsLoaded);
    assert_eq!(
        session.owner.pending_jobs("quick"),
        Some(1),
        "the start is only ordered"
    );
    let reply = OrdersReply {
        agent_incarnation: 1,
        epoch: EPOCH,
        poll: 1,
        starts: vec![steps::message::OrderResult::Done],
        stops: Vec::new(),
    };
    let ordered = Event::OrdersAnswered {
        vm: vm(0),
        orders: Box::new(orders),
        reply: Some(reply),
    };
    session.handle(at(30), ordered);
    assert_eq!(session.owner.pending_jobs("quick"), Some(0));
}

#[test]
fn an_owner_that_has_not_loaded_the_jobs_counts_none_of_them_as_started() {
    let mut session = Session::new(1);
    assert_eq!(session.owner.pending_jobs("quick"), None);
    session.submit(at(10), JOB, 1);
    assert_eq!(session.owner.pending_jobs("quick"), None);
    session.handle(at(20), Event::JobsLoaded);
    assert_eq!(session.owner.pending_jobs("quick"), Some(1));
}

#[test]
fn stops_do_not_wait_behind_unanswered_starts() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    session.submit(at(10), JOB, 1);
    let first = session.owner.take_orders(at(10), &vm(0)).unwrap();
    for (number, id) in ["00000000000000ab", "00000000000000ac"].iter().enumerate() {
        session.submit(at(20), id, 1);
        let starts = session.take_starts(at(20), 0);
        assert_eq!(starts.len(), 1 - number, "call {number}");
    }
    session.handle(at(30), Event::Cancelled(job_name(JOB)));
    let third = session.owner.take_orders(at(30), &vm(0)).unwrap();
    assert_eq!(third.stops, [first.starts[0].key.clone()]);
    session.answer(at(40), 0, third, true);
    session.answer(at(40), 0, first, true);
    assert_eq!(session.owner.vms_with_orders(), []);
}

#[test]
fn a_start_does_not_outlive_its_validity_while_it_waits_to_be_sent() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    for id in ["00000000000000ab", "00000000000000ac", JOB] {
        session.submit(at(10), id, 1);
        session.take_starts(at(10), 0);
    }
    let held = session.owner.runs_of(&job_name(JOB));
    assert_eq!(held.len(), 1);
    session.handle(at(1_500), Event::Tick);
    session.owner.take_orders(at(1_500), &vm(0));
    assert_ne!(session.owner.runs_of(&job_name(JOB)), held);
}

#[test]
fn a_start_sent_late_is_valid_only_from_when_it_was_ordered() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    session.submit(at(10), JOB, 1);
    let orders = session.owner.take_orders(at(810), &vm(0)).unwrap();
    assert_eq!(orders.start_by_millis, 10_000 + 1_210);
}

#[test]
fn a_repeated_start_that_may_have_run_is_stopped_before_its_task_starts_elsewhere() {
    let mut session = Session::new(2);
    session.report(at(0), 0, |_| ());
    session.report(at(0), 1, |report| report.worker_responsive = false);
    session.submit(at(10), JOB, 1);
    let orders = session.owner.take_orders(at(10), &vm(0)).unwrap();
    session.answer(at(100), 0, orders, false);
    session.handle(at(110), Event::Cancelled(job_name(JOB)));
    let orders = session.owner.take_orders(at(120), &vm(0)).unwrap();
    assert_eq!((orders.starts.len(), orders.stops.len()), (0, 1));
}

#[test]
fn a_start_to_a_worker_that_has_left_does_not_hold_its_task_for_good() {
    let mut session = Session::new(2);
    session.report(at(0), 0, |_| ());
    session.report(at(0), 1, |report| report.worker_responsive = false);
    session.submit(at(10), JOB, 1);
    let orders = session.owner.take_orders(at(10), &vm(0)).unwrap();
    session.report(at(20), 0, |report| {
        report.worker = None;
        report.leases_expired = true;
    });
    session.answer(at(30), 0, orders, true);
    session.report(at(40), 1, |_| ());
    session.handle(at(300), Event::Tick);
    assert_eq!(session.take_starts(at(300), 1).len(), 1);
}

/// An owner with one worker that runs a long-running task and is quarantined at 1 s.
fn session_with_quarantined_worker() -> (Session, ActiveRun) {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    let watch = steps::Step {
        long_running: true,
        ..step(1, &[])
    };
    let (job, progress) = (job("00000000000000a0", "quick", vec![watch]), None);
    session.handle(at(0), Event::Job { job, progress });
    let orders = session.owner.take_orders(at(0), &vm(0)).unwrap();
    let watch = ActiveRun {
        key: orders.starts[0].key.clone(),
        checkpoint: None,
        progress_percent: 100,
        measurement: 5,
    };
    session.answer(at(10), 0, orders, true);
    for (number, id) in (1..).zip(["00000000000000b1", "00000000000000b2"]) {
        session.submit(at(1_000), id, 1);
        let orders = session.owner.take_orders(at(1_000), &vm(0)).unwrap();
        let end = ended(number, &orders.starts[0].key, RunEnd::Failed);
        session.answer(at(1_000), 0, orders, true);
        session.report(at(1_000), 0, |report| {
            report.running = vec![watch.clone()];
            report.ended = vec![end];
        });
        session.handle(at(1_000), Event::Cancelled(job_name(id)));
    }
    (session, watch)
}

#[test]
fn a_quarantined_worker_with_a_long_running_task_gets_a_trial() {
    let (mut session, watch) = session_with_quarantined_worker();
    session.submit(at(2_000), JOB, 2);
    assert_eq!(session.take_starts(at(2_000), 0), []);
    session.handle(at(5_200), Event::Tick);
    let orders = session.owner.take_orders(at(5_200), &vm(0)).unwrap();
    assert_eq!(orders.starts.len(), 1, "one task on trial");
    let end = ended(3, &orders.starts[0].key, RunEnd::Done);
    session.answer(at(5_210), 0, orders, true);
    session.report(at(6_000), 0, |report| {
        report.running = vec![watch];
        report.ended = vec![end];
    });
    assert_eq!(session.take_starts(at(6_000), 0).len(), 1);
}

#[test]
fn a_trial_with_a_long_running_task_ends() {
    let (mut session, _) = session_with_quarantined_worker();
    let watch = steps::Step {
        long_running: true,
        ..step(3, &[])
    };
    let (job, progress) = (job(JOB, "quick", vec![watch]), None);
    session.handle(at(2_000), Event::Job { job, progress });
    session.handle(at(5_200), Event::Tick);
    assert_eq!(session.take_starts(at(5_200), 0).len(), 1);
    session.handle(at(7_000), Event::Tick);
    assert_eq!(session.take_starts(at(7_000), 0), []);
    session.handle(at(9_400), Event::Tick);
    assert_eq!(session.take_starts(at(9_400), 0).len(), 2);
}

/// The only worker with a label was quarantined, and its jobs had nothing running for 4 s.
#[test]
fn a_job_does_not_wait_for_the_only_worker_that_suits_to_leave_quarantine() {
    let (mut session, _) = session_with_quarantined_worker();
    session.submit(at(1_100), JOB, 2);
    assert_eq!(session.take_starts(at(1_100), 0), []);
    session.handle(at(2_700), Event::Tick);
    assert_eq!(session.take_starts(at(2_700), 0).len(), 1, "a trial");
}

#[test]
fn a_done_task_does_not_run_again_while_its_end_is_not_listed() {
    let mut session = Session::new(2);
    session.report(at(0), 0, |_| ());
    session.report(at(0), 1, |report| report.worker_responsive = false);
    session.submit(at(10), JOB, 1);
    let orders = session.owner.take_orders(at(10), &vm(0)).unwrap();
    let end = ended(501, &orders.starts[0].key, RunEnd::Done);
    session.answer(at(20), 0, orders, true);
    session.report(at(30), 0, |report| report.has_more_ends = true);
    session.report(at(30), 1, |_| ());
    session.handle(at(300), Event::Tick);
    assert_eq!(session.take_starts(at(300), 0), []);
    assert_eq!(session.take_starts(at(300), 1), []);
    session.report(at(400), 0, |report| report.ended = vec![end]);
    let change = session.owner.take_changes().remove(0);
    assert_eq!(change.progress.outcome, Some(Outcome::Completed));
}

#[test]
fn a_new_owner_starts_no_task_whose_end_may_not_be_listed_yet() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 1);
    session.report(at(10), 0, |report| report.has_more_ends = true);
    assert_eq!(session.take_starts(at(20), 0), []);
    session.handle(at(9_500), Event::Tick);
    assert_eq!(session.take_starts(at(9_500), 0), []);
    session.report(at(9_600), 0, |_| ());
    assert_eq!(session.take_starts(at(9_600), 0).len(), 1);
}

/// A step whose tasks run until their job is cancelled.
fn long_running_step(count: u32) -> steps::Step {
    steps::Step {
        long_running: true,
        ..step(count, &[])
    }
}

/// Returns whether a start of the job is among the orders; refuses all other starts as late.
fn is_started_while_others_are_late(session: &mut Session, now: Time, vms: usize) -> bool {
    let take = |owner: &mut Owner, number| Some((number, owner.take_orders(now, &vm(number))?));
    let orders = (0..vms).filter_map(|number| take(&mut session.owner, number));
    let orders: Vec<(usize, Orders)> = orders.collect();
    let mut starts = orders.iter().flat_map(|(_, orders)| &orders.starts);
    if starts.any(|start| start.key.task.job == job_name(JOB)) {
        return true;
    }
    for (number, orders) in orders {
        let reply = Some(OrdersReply {
            agent_incarnation: 1,
            epoch: EPOCH,
            poll: 1,
            starts: vec![OrderResult::Refused(Refusal::Late); orders.starts.len()],
            stops: Vec::new(),
        });
        let (vm, orders) = (vm(number), Box::new(orders));
        let event = Event::OrdersAnswered { vm, orders, reply };
        session.handle(now + Duration::from_millis(600), event);
    }
    false
}

/// Guards against a long-running task that stays down while other starts fill the window.
#[test]
fn starts_of_other_jobs_do_not_keep_a_long_running_task_down() {
    const VMS: usize = 100;
    let mut session = Session::new(VMS);
    for number in 0..VMS {
        session.report(at(0), number, |_| ());
    }
    let (job, progress) = (job(JOB, "bulk", vec![long_running_step(2)]), None);
    session.handle(at(0), Event::Job { job, progress });
    let runs = session.owner.runs_of(&job_name(JOB));
    for (name, _) in &runs {
        let number = (0..VMS).find(|&number| vm(number) == *name).unwrap();
        if let Some(orders) = session.owner.take_orders(at(0), name) {
            session.answer(at(10), number, orders, true);
        }
    }
    for number in 1..=150 {
        session.submit(at(1_000), &format!("{number:016x}"), 2);
    }
    let (name, key) = &runs[0];
    let number = (0..VMS).find(|&number| vm(number) == *name).unwrap();
    session.report(at(1_000), number, |report| {
        report.ended = vec![ended(1, key, RunEnd::Failed)];
    });
    let mut times = (1_000..4_000).step_by(600);
    assert!(
        times.any(|millis| is_started_while_others_are_late(&mut session, at(millis), VMS)),
        "the task is down for 3 s"
    );
}

/// Guards against two runs of a task: its job was loaded more than 6 s after the start of the
/// term and was taken for one that no earlier owner had known.
#[test]
fn a_job_that_is_loaded_late_waits_for_silent_vms() {
    let mut session = Session::new(2);
    session.report(at(10), 0, |_| ());
    session.handle(at(1_900), Event::Unreachable(vm(1), PollFailure::default()));
    session.submit(at(6_500), JOB, 1);
    session.handle(at(6_500), Event::JobsLoaded);
    assert_eq!(session.take_starts(at(6_500), 0), []);
    session.handle(at(9_000), Event::Tick);
    assert_eq!(session.take_starts(at(9_000), 0).len(), 1);
}

/// Guards against best-effort tasks that stay down because another task of their job runs.
#[test]
fn each_long_running_best_effort_task_takes_any_worker_once_it_waits_too_long() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    session.submit(at(0), "00000000000000b1", 4);
    session.take_starts(at(0), 0);
    let fills = steps::Step {
        best_effort: true,
        ..long_running_step(2)
    };
    let (job, progress) = (job(JOB, "quick", vec![fills]), None);
    session.handle(at(100), Event::Job { job, progress });
    for millis in (200..3_000).step_by(200) {
        session.handle(at(millis), Event::Tick);
    }
    assert_eq!(session.owner.runs_of(&job_name(JOB)).len(), 2);
}

/// Guards against one worker with many unrecorded ends that holds up the tasks of all others.
#[test]
fn long_running_tasks_do_not_wait_for_the_ends_of_earlier_runs() {
    let mut session = Session::new(2);
    session.report(at(10), 0, |_| ());
    let (job, progress) = (job(JOB, "quick", vec![long_running_step(1)]), None);
    session.handle(at(10), Event::Job { job, progress });
    session.submit(at(10), "00000000000000b1", 1);
    session.report(at(20), 1, |report| report.has_more_ends = true);
    let mut starts = session.take_starts(at(20), 0);
    starts.extend(session.take_starts(at(20), 1));
    let started: Vec<_> = starts.into_iter().map(|key| key.task.job).collect();
    assert_eq!(started, [job_name(JOB)]);
}

/// A long-running task runs on VM 0 and a second one is down when the owner, which has three
/// VMs, stops. Returns its note and the run.
fn note_on_long_running_tasks() -> (Handover, RunKey) {
    let mut before = Session::new(3);
    before.report(at(0), 0, |_| ());
    for number in 1..3 {
        before.report(at(0), number, |report| {
            report.worker.as_mut().unwrap().draining = true;
        });
    }
    before.handle(at(0), Event::JobsLoaded);
    let (job, progress) = (job(JOB, "quick", vec![long_running_step(5)]), None);
    before.handle(at(0), Event::Job { job, progress });
    let orders = before.owner.take_orders(at(0), &vm(0)).unwrap();
    assert_eq!(orders.starts.len(), 4, "one task is down");
    let key = orders.starts[0].key.clone();
    before.answer(at(10), 0, orders, true);
    (before.owner.handover(at(1_000)), key)
}

/// Returns an owner that takes over with this note and knows the job and three VMs.
fn session_after(note: Handover, epoch: u64) -> Session {
    let owner = Owner::new(entry(2), epoch, Timing::default(), at(1_000));
    let mut session = Session { owner, version: 0 };
    session.handle(at(1_000), Event::Config(config()));
    session.handle(at(1_000), Event::HandedOver(note));
    let (job, progress) = (job(JOB, "quick", vec![long_running_step(5)]), None);
    session.handle(at(1_000), Event::Job { job, progress });
    for number in 0..3 {
        session.handle(at(1_000), Event::Vm(vm(number)));
    }
    session.handle(at(1_000), Event::JobsLoaded);
    session
}

fn report_in(session: &mut Session, epoch: u64, number: usize, ended: Vec<EndedRun>) {
    session.report(at(1_100), number, |report| {
        (report.epoch, report.confirmed_epoch) = (epoch, epoch);
        report.ended = ended;
    });
}

/// Guards against tasks known to be down that wait for a silent VM after each hand-over.
#[test]
fn a_long_running_task_that_was_down_at_the_hand_over_waits_for_no_silent_vm() {
    let (note, _) = note_on_long_running_tasks();
    let mut session = session_after(note, EPOCH + 1);
    report_in(&mut session, EPOCH + 1, 1, Vec::new());
    let starts = session.take_starts(at(1_100), 1);
    let indexes: Vec<u32> = starts.iter().map(|key| key.task.index).collect();
    assert_eq!(indexes, [4], "the others may run on VM 0");
    report_in(&mut session, EPOCH + 1, 0, Vec::new());
    let starts = session.take_starts(at(1_100), 0).len() + session.take_starts(at(1_100), 1).len();
    assert_eq!(starts, 4, "VM 2 is silent");
}

/// An owner in between stops before the VM of the tasks has answered it.
#[test]
fn a_note_on_long_running_tasks_is_passed_on() {
    let (note, key) = note_on_long_running_tasks();
    let mut between = session_after(note, EPOCH + 1);
    report_in(&mut between, EPOCH + 1, 1, Vec::new());
    let orders = between.owner.take_orders(at(1_100), &vm(1)).unwrap();
    let started = &orders.starts[0].key.clone();
    let note = between.owner.handover(at(1_000));
    assert!(note.long_running.unwrap().unsettled.contains(&started.task));
    between.answer(at(1_110), 1, orders, true);
    let note = between.owner.handover(at(1_000));
    let mut session = session_after(note, EPOCH + 2);
    report_in(&mut session, EPOCH + 2, 2, Vec::new());
    assert_eq!(session.take_starts(at(1_100), 2), [], "all may run");
    report_in(
        &mut session,
        EPOCH + 2,
        1,
        vec![ended(1, started, RunEnd::Lapsed)],
    );
    let starts = [1, 2].map(|number| session.take_starts(at(1_100), number));
    let restarted: Vec<_> = starts.iter().flatten().map(|key| &key.task).collect();
    assert_eq!(restarted, [&started.task]);
    assert_ne!(started.task, key.task);
}

#[test]
fn an_owner_that_has_not_loaded_the_jobs_leaves_no_note_on_long_running_tasks() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    assert_eq!(session.owner.handover(at(10)).long_running, None);
    session.handle(at(20), Event::JobsLoaded);
    assert_eq!(
        session.owner.handover(at(30)).long_running,
        Some(LongRunningTasks::default())
    );
}

/// Guards against two runs of a task: the owner let leases be renewed on a VM that answered
/// late, and then took them for expired since its term had lasted long enough.
#[test]
fn leases_that_an_owner_lets_be_renewed_do_not_expire_with_those_of_the_one_before() {
    let mut session = Session::new(2);
    session.submit(at(0), JOB, 1);
    session.report(at(10), 0, |_| ());
    session.handle(at(1_900), Event::Unreachable(vm(1), PollFailure::default()));
    session.handle(at(8_000), Event::OwnershipProved(at(8_000)));
    let unconfirmed = |report: &mut AgentReport| report.confirmed_epoch = EPOCH - 1;
    session.report(at(8_000), 1, unconfirmed);
    let poll = session.owner.next_report_poll(at(8_010), &vm(1)).unwrap();
    assert!(poll.header.echo.is_some(), "the agent may renew leases");
    session.handle(at(9_100), Event::Tick);
    assert_eq!(session.take_starts(at(9_100), 0), []);
    session.report(at(12_500), 1, |report| {
        report.confirmed_epoch = EPOCH - 1;
        report.leases_expired = true;
    });
    assert_eq!(session.take_starts(at(12_500), 0).len(), 1);
}

/// Guards against a wait for an owner that was killed which a later, planned change cuts short.
#[test]
fn a_wait_in_the_note_that_is_longer_than_the_usual_one_is_kept() {
    let mut before = Session::new(2);
    before.report(at(100), 0, |_| ());
    let handover = before.owner.handover(at(200));
    let mut session = Session::with_handover(handover, EPOCH + 1, at(250));
    session.report(at(300), 0, |report| {
        (report.epoch, report.confirmed_epoch) = (EPOCH + 1, EPOCH + 1);
    });
    session.handle(at(7_900), Event::Tick);
    assert_eq!(session.take_starts(at(7_900), 0), []);
    session.handle(at(9_200), Event::Tick);
    assert_eq!(session.take_starts(at(9_200), 0).len(), 1);
}

/// Guards against a planned change soon after an owner was killed, which may still renew leases
/// on VMs that the note does not list.
#[test]
fn the_note_tells_how_long_an_owner_before_may_renew_leases() {
    let before = Session::new(1);
    let handover = before.owner.handover(at(200));
    let mut session = Session::with_handover(handover, EPOCH + 1, at(250));
    session.report(at(300), 0, |report| {
        (report.epoch, report.confirmed_epoch) = (EPOCH + 1, EPOCH + 1);
    });
    session.handle(at(8_000), Event::Tick);
    assert_eq!(session.take_starts(at(8_000), 0), []);
    session.handle(at(9_200), Event::Tick);
    assert_eq!(session.take_starts(at(9_200), 0).len(), 1);
}

#[test]
fn an_owner_that_has_not_loaded_the_jobs_passes_on_the_waits_that_it_was_told() {
    let mut before = Session::new(2);
    before.report(at(100), 0, |_| ());
    let told = before.owner.handover(at(200));
    let mut owner = Owner::new(entry(2), EPOCH + 1, Timing::default(), at(250));
    owner.handle(at(250), at(250), Event::LoadingJobs);
    owner.handle(at(250), at(250), Event::HandedOver(told.clone()));
    let passed_on = owner.handover(at(350));
    let left_of = |note: &Handover| note.unreachable[0].left_millis;
    assert_eq!(left_of(&passed_on), left_of(&told) - 100);
}

/// Guards against runs that an owner forgets since their report came before the jobs.
#[test]
fn runs_that_are_reported_while_the_jobs_are_loaded_are_adopted_afterwards() {
    let mut session = Session::new(1);
    session.handle(at(0), Event::LoadingJobs);
    let key = run(JOB, 0, 0, 7);
    let row = ActiveRun {
        key: key.clone(),
        checkpoint: None,
        progress_percent: 10,
        measurement: 900,
    };
    session.report(at(10), 0, |report| report.running = vec![row]);
    let poll = session.owner.next_report_poll(at(20), &vm(0)).unwrap();
    assert!(poll.header.echo.is_some());
    session.submit(at(30), JOB, 1);
    session.handle(at(40), Event::JobsLoaded);
    assert_eq!(session.owner.runs_of(&job_name(JOB)), [(vm(0), key)]);
}

#[test]
fn a_vm_that_has_never_answered_is_given_up_without_a_failed_poll() {
    let mut before = Session::new(2);
    before.report(at(0), 0, |_| ());
    before.report(at(0), 1, |_| ());
    before.report(at(6_000), 0, |_| ());
    let handover = before.owner.handover(at(6_000));
    let mut session = Session::with_handover(handover, EPOCH + 1, at(6_100));
    session.report(at(6_200), 0, |report| {
        (report.epoch, report.confirmed_epoch) = (EPOCH + 1, EPOCH + 1);
    });
    session.handle(at(7_800), Event::Tick);
    assert_eq!(session.take_starts(at(7_800), 0).len(), 1);
}

#[test]
fn the_note_lists_a_vm_that_has_not_answered_for_longer_than_a_poll() {
    let mut before = Session::new(2);
    before.report(at(0), 0, |_| ());
    before.report(at(0), 1, |_| ());
    before.report(at(3_000), 0, |_| ());
    let listed = before.owner.handover(at(3_000)).unreachable;
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].vm, vm(1));
    assert!(listed[0].left_millis < 4_500);
}

/// A later owner may have renewed the leases there.
#[test]
fn a_silent_vm_counts_as_empty_only_with_a_later_proof_of_ownership() {
    let mut session = Session::new(2);
    session.handle(START, Event::JobsLoaded);
    session.report(at(0), 0, |_| ());
    session.report(at(0), 1, |_| ());
    session.submit(at(0), JOB, 1);
    let orders = session.owner.take_orders(at(0), &vm(0));
    let (silent, other) = match orders.is_some() {
        true => (0, 1),
        false => (1, 0),
    };
    let orders = orders.or_else(|| session.owner.take_orders(at(0), &vm(1)));
    session.answer(at(10), silent, orders.unwrap(), true);
    session.handle(at(10), Event::OwnershipProved(at(10)));
    let failure = PollFailure::default();
    session.handle(at(2_000), Event::Unreachable(vm(silent), failure));
    // Orders are allowed by the last of these proofs, from before the leases have expired.
    for (millis, proved) in [(2_000, 10), (5_000, 4_900), (7_450, 7_400), (9_000, 7_400)] {
        session.handle(at(millis), Event::OwnershipProved(at(proved)));
        session.report(at(millis), other, |_| ());
        session.owner.handle(at(millis), at(millis), Event::Tick);
        assert_eq!(session.take_starts(at(millis), other), [], "at {millis} ms");
        let runs = session.owner.runs_of(&job_name(JOB));
        assert!(runs.iter().map(|(vm, _)| vm).eq([&vm(silent)]));
    }
    session.handle(at(9_010), Event::OwnershipProved(at(9_005)));
    session.handle(at(9_020), Event::Tick);
    assert_eq!(session.take_starts(at(9_020), other).len(), 1);
}

#[test]
fn a_new_owner_gives_up_a_vm_that_never_answered_only_with_a_later_proof_of_ownership() {
    let mut session = Session::new(2);
    session.submit(at(0), JOB, 1);
    session.handle(START, Event::JobsLoaded);
    // Orders are allowed by the last of these proofs, from before the leases have expired.
    for (millis, proved) in [(10, 5), (5_000, 4_900), (9_500, 8_900)] {
        session.handle(at(millis), Event::OwnershipProved(at(proved)));
        session.report(at(millis), 0, |_| ());
        session.owner.handle(at(millis), at(millis), Event::Tick);
        assert_eq!(session.take_starts(at(millis), 0), [], "at {millis} ms");
        assert_eq!(session.owner.runs_of(&job_name(JOB)), []);
    }
    session.handle(at(9_510), Event::OwnershipProved(at(9_505)));
    session.handle(at(9_520), Event::Tick);
    assert_eq!(session.take_starts(at(9_520), 0).len(), 1);
}

#[test]
fn an_owner_whose_ownership_was_not_proved_in_time_gives_no_orders() {
    let mut session = Session::new(1);
    session.handle(START, Event::JobsLoaded);
    for millis in [0, 2_000, 4_000, 6_000] {
        session.report(at(millis), 0, |_| ());
    }
    session.submit(at(6_010), JOB, 1);
    assert_eq!(session.take_starts(at(6_010), 0), []);
    session.handle(at(6_020), Event::OwnershipProved(at(6_015)));
    assert_eq!(session.take_starts(at(6_030), 0).len(), 1);
}

fn echo_to(session: &mut Session, now: Time, number: usize) -> Option<ClockReading> {
    let poll = session.owner.next_report_poll(now, &vm(number)).unwrap();
    poll.header.echo
}

/// Guards against owners replaced before they have called any agent twice.
#[test]
fn the_first_call_of_an_owner_echoes_the_clock_reading_that_the_note_passes_on() {
    let mut before = Session::new(2);
    before.report(at(0), 0, |_| ());
    before.report(at(3_000), 1, |_| ());
    before.handle(at(3_000), Event::OwnershipProved(at(3_000)));
    let told = echo_to(&mut before, at(3_000), 0);
    let handover = before.owner.handover(at(3_000));

    let mut between = Session::with_handover(handover, EPOCH + 1, at(3_100));
    assert!(echo_to(&mut between, at(3_100), 0).is_some());
    between.report(at(3_200), 1, |report| {
        report.epoch = EPOCH + 1;
        report.clock_reading.as_mut().unwrap().millis = 13_200;
    });
    let newest = echo_to(&mut between, at(3_200), 1).unwrap();
    assert_eq!(newest.millis, 13_200);
    assert_eq!(echo_to(&mut between, at(4_700), 0), None, "no recent proof");

    let handover = between.owner.handover(at(4_100));
    let mut after = Session::with_handover(handover, EPOCH + 2, at(4_200));
    assert_eq!(echo_to(&mut after, at(4_200), 0), told);
    assert_eq!(echo_to(&mut after, at(4_200), 1), Some(newest));
    let left = after.owner.handover(at(7_300)).readings;
    assert!(!left.contains_key(&vm(0)), "it extends no lease any more");
    assert!(left.contains_key(&vm(1)));
}

/// Guards against an owner that waits anew for leases that it has only passed on.
#[test]
fn an_echo_of_a_reading_from_the_note_does_not_prolong_the_wait_for_a_vm() {
    let mut before = Session::new(2);
    before.report(at(0), 0, |_| ());
    before.report(at(0), 1, |_| ());
    before.handle(at(100), Event::Unreachable(vm(1), PollFailure::default()));
    let handover = before.owner.handover(at(3_000));
    let mut session = Session::with_handover(handover, EPOCH + 1, at(3_100));
    assert!(echo_to(&mut session, at(3_100), 1).is_some());
    session.report(at(3_200), 0, |report| {
        (report.epoch, report.confirmed_epoch) = (EPOCH + 1, EPOCH + 1);
    });
    let expired_at = at(110) + Timing::default().unreachable_agent_timeout();
    session.handle(expired_at, Event::Tick);
    assert_eq!(session.take_starts(expired_at, 0).len(), 1);
}

/// Guards against a second start of a task that is done: its worker did not answer the new
/// owner's term before its leases expired, but the agent knew the end (explore.rs, late calls,
/// seed 20077).
#[test]
fn ends_that_the_agent_of_a_silent_worker_knows_count() {
    let mut session = Session::new(2);
    session.submit(at(0), JOB, 1);
    let end = ended(1, &run(JOB, 0, 0, 2 << 24), RunEnd::Done);
    session.report(at(10), 1, |_| ());
    for (now, is_expired) in [(10, false), (4_400, true)] {
        session.report(at(now), 0, |report| {
            report.confirmed_epoch = EPOCH - 1;
            report.worker_responsive = false;
            report.leases_expired = is_expired;
            report.ended = vec![end.clone()];
        });
    }
    assert_eq!(session.take_starts(at(4_410), 1), []);
    let change = session.owner.take_changes().remove(0);
    assert_eq!(change.progress.outcome, Some(Outcome::Completed));
}

/// A process may be suspended between the claim and the start of its term.
#[test]
fn agents_renew_no_leases_by_a_claim_that_is_older_than_the_term() {
    let mut session = Session::new(1);
    session.handle(
        START,
        Event::OwnershipProved(START - Duration::from_secs(4)),
    );
    session.handle(START, Event::JobsLoaded);
    session.report(at(10), 0, |_| ());
    let poll = session.owner.next_report_poll(at(20), &vm(0)).unwrap();
    assert_eq!(poll.header.echo, None);
    session.handle(at(30), Event::OwnershipProved(at(25)));
    let poll = session.owner.next_report_poll(at(40), &vm(0)).unwrap();
    assert!(poll.header.echo.is_some());
}

/// A process may be suspended between the claim and the start of its term.
#[test]
fn an_owner_gives_no_orders_by_a_claim_that_is_older_than_the_term() {
    let mut session = Session::new(1);
    session.handle(
        START,
        Event::OwnershipProved(START - Duration::from_secs(7)),
    );
    session.handle(START, Event::JobsLoaded);
    session.report(at(10), 0, |_| ());
    session.submit(at(20), JOB, 1);
    assert_eq!(session.take_starts(at(20), 0), []);
    session.handle(at(30), Event::OwnershipProved(at(25)));
    assert_eq!(session.take_starts(at(40), 0).len(), 1);
}

#[test]
fn an_owner_asks_for_a_proof_when_the_leases_on_a_silent_vm_have_expired() {
    let mut session = Session::new(2);
    session.handle(START, Event::JobsLoaded);
    session.report(at(0), 0, |_| ());
    let failure = PollFailure::default();
    session.handle(at(2_000), Event::Unreachable(vm(0), failure));
    session.report(at(7_000), 1, |_| ());
    assert!(!session.owner.needs_proof(at(7_400)));
    assert!(session.owner.needs_proof(at(7_500)));
    session.handle(at(7_510), Event::OwnershipProved(at(7_400)));
    assert!(session.owner.needs_proof(at(7_510)));
    session.handle(at(7_520), Event::OwnershipProved(at(7_505)));
    assert!(!session.owner.needs_proof(at(7_520)));
}

/// A restarted agent may hear of its worker first by a late heartbeat.
#[test]
fn an_earlier_incarnation_of_a_worker_does_not_show_that_later_runs_are_gone() {
    let mut session = Session::new(1);
    session.handle(START, Event::JobsLoaded);
    let later = |report: &mut AgentReport| report.worker = Some(worker_info("w-0", 2));
    session.report(at(0), 0, later);
    session.submit(at(10), JOB, 1);
    let orders = session.owner.take_orders(at(10), &vm(0)).unwrap();
    assert_eq!(orders.starts.len(), 1);
    session.answer(at(20), 0, orders, true);
    let runs = session.owner.runs_of(&job_name(JOB));
    session.handle(at(20), Event::Vm(vm(1)));
    session.report(at(30), 1, |_| ());
    session.report(at(400), 0, |report| {
        report.agent_incarnation = 2;
        report.confirmed_epoch = 0;
        report.worker = Some(worker_info("w-0", 1));
    });
    assert_eq!(session.owner.runs_of(&job_name(JOB)), runs);
    assert_eq!(session.take_starts(at(800), 1), []);
}

/// The only worker that suits was kept for a long-running task that did not fit, and a job that
/// fitted had nothing running.
#[test]
fn the_only_worker_that_suits_is_not_kept_from_a_job_that_has_nothing_running() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    session.submit(at(0), "00000000000000b1", 2);
    assert_eq!(session.take_starts(at(0), 0).len(), 2);
    let watch = steps::Step {
        need: Resources::new(3_000, 1_000, 0),
        ..long_running_step(1)
    };
    let (watch, progress) = (job("00000000000000b2", "quick", vec![watch]), None);
    session.handle(
        at(0),
        Event::Job {
            job: watch,
            progress,
        },
    );
    session.handle(at(1_600), Event::Tick);
    session.submit(at(1_700), JOB, 1);
    for millis in (1_700..3_100).step_by(100) {
        session.handle(at(millis), Event::Tick);
        assert_eq!(session.take_starts(at(millis), 0), [], "kept at {millis}");
    }
    session.handle(at(3_300), Event::Tick);
    assert_eq!(session.take_starts(at(3_300), 0).len(), 1);
}

/// A task that has failed on each worker starts again on one of them.
#[test]
fn a_task_that_avoids_all_workers_starts_on_one_of_them() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    session.submit(at(0), JOB, 1);
    let orders = session.owner.take_orders(at(0), &vm(0)).unwrap();
    let end = ended(1, &orders.starts[0].key, RunEnd::Failed);
    session.answer(at(10), 0, orders, true);
    session.report(at(100), 0, |report| report.ended = vec![end]);
    assert_eq!(session.take_starts(at(100), 0).len(), 1);
}

/// Guards against a long-running task that waits while smaller tasks take each core that
/// becomes free.
#[test]
fn smaller_tasks_do_not_keep_a_long_running_task_down() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    session.submit(at(0), "00000000000000b1", 60);
    let watch = steps::Step {
        need: Resources::new(3_000, 1_000, 0),
        ..long_running_step(1)
    };
    let (job, progress) = (job(JOB, "quick", vec![watch]), None);
    session.handle(at(100), Event::Job { job, progress });
    let mut running: Vec<RunKey> = Vec::new();
    for (number, millis) in (1..).zip((200..5_000).step_by(100)) {
        let now = at(millis);
        session.handle(now, Event::Tick);
        if let Some(orders) = session.owner.take_orders(now, &vm(0)) {
            let started = orders.starts.iter().map(|start| start.key.clone());
            running.extend(started);
            session.answer(now, 0, orders, true);
        }
        if running.iter().any(|key| key.task.job == job_name(JOB)) {
            return;
        }
        let end = ended(number, &running.remove(0), RunEnd::Done);
        let row = |key: &RunKey| ActiveRun {
            key: key.clone(),
            checkpoint: None,
            progress_percent: 10,
            measurement: 1_000,
        };
        session.report(now + Duration::from_millis(50), 0, |report| {
            report.running = running.iter().map(row).collect();
            report.ended = vec![end];
        });
    }
    panic!("the task is down for 5 s");
}

#[test]
fn an_owner_starts_tasks_though_their_zone_may_have_been_taken_out_long_ago() {
    let mut session = Session::new(1);
    let limit = Timing::default().operator_items;
    session.report(at(0), 0, |_| ());
    session.handle(at(0), Event::OperatorItemsCurrent(at(0)));
    let too_late = at(0) + limit;
    session.submit(too_late, JOB, 1);
    session.handle(too_late, Event::Tick);
    assert_eq!(session.take_starts(too_late, 0), []);
    assert_eq!(session.owner.next_pass(), None);
    session.handle(too_late, Event::OperatorItemsCurrent(at(10)));
    session.handle(too_late, Event::PassDue);
    assert_eq!(session.take_starts(too_late, 0).len(), 1);
}

const OCCURRENCES: u32 = 1_000;

/// A job that has run all but the last of its occurrences, as its record tells.
fn scheduled_job(progress: Progress) -> Event {
    let job = Job {
        schedule: Some(Schedule {
            first: Time::ZERO,
            interval_millis: 0,
            repetitions: OCCURRENCES,
        }),
        ..Job::clone(&job(JOB, "quick", vec![step(1, &[])]))
    };
    Event::Job {
        job: Arc::new(job),
        progress: Some((progress, 1)),
    }
}

fn step_done(occurrence: u32) -> StepProgress {
    StepProgress {
        occurrence,
        done: vec![(0, 1)],
        ..StepProgress::default()
    }
}

/// The record grew with each occurrence until the store refused it and all others with it.
#[rstest]
#[case::rows_of_finished_occurrences(Progress {
    steps: (0..OCCURRENCES - 2).map(step_done).collect(),
    ..Progress::default()
})]
#[case::ranges_of_finished_occurrences(Progress {
    finished: vec![(0, OCCURRENCES - 2)],
    ..Progress::default()
})]
fn the_record_of_a_scheduled_job_grows_with_its_finished_occurrences(#[case] progress: Progress) {
    let mut session = Session::new(1);
    session.handle(at(0), scheduled_job(progress));
    session.report(at(10), 0, |_| ());
    let starts = session.take_starts(at(20), 0);
    let occurrences: Vec<u32> = starts.iter().map(|key| key.task.occurrence).collect();
    assert_eq!(occurrences, [OCCURRENCES - 2, OCCURRENCES - 1]);
    let end = ended(1, &starts[0], RunEnd::Done);
    session.report(at(30), 0, |report| report.ended = vec![end]);
    let record = session.owner.take_changes().pop().unwrap().progress;
    assert_eq!(record.finished, [(0, OCCURRENCES - 1)]);
    assert_eq!(record.steps, []);
    let end = ended(2, &starts[1], RunEnd::Done);
    session.report(at(40), 0, |report| report.ended = vec![end]);
    let record = session.owner.take_changes().pop().unwrap().progress;
    assert_eq!(record.outcome, Some(Outcome::Completed));
}

#[test]
fn a_job_whose_record_is_too_long_keeps_the_records_of_others_waiting() {
    let mut session = Session::new(1);
    session.submit(at(0), JOB, 1);
    session
        .owner
        .record_too_long(at(10), &job_name(JOB), 1 << 21);
    let record = session.owner.take_changes().pop().unwrap();
    assert!(record.is_end);
    assert_eq!(record.progress.outcome, Some(Outcome::Failed));
}

#[test]
fn a_step_of_one_rack_that_is_wider_than_the_room_never_starts() {
    let mut session = Session::new(1);
    let wide = Step {
        same_rack: true,
        ..step(100, &[])
    };
    let job = job(JOB, "quick", vec![wide]);
    session.handle(
        at(0),
        Event::Job {
            job,
            progress: None,
        },
    );
    session.report(at(10), 0, |_| ());
    assert_ne!(session.take_starts(at(20), 0), []);
}

/// The next owner has seen no configuration with the queue.
#[test]
fn a_new_owner_forgets_the_jobs_of_a_queue_that_has_been_removed() {
    let mut session = Session::new(1);
    let mut queue = config().queues[0].clone();
    queue.name = "removed".into();
    let accepted = Job {
        accepted_by: Some(Arc::new(queue)),
        ..Job::clone(&job(JOB, "removed", vec![step(1, &[])]))
    };
    let stored = serde_json::to_vec(&accepted).unwrap();
    let job: Job = serde_json::from_slice(&stored).unwrap();
    let (job, progress) = (Arc::new(job), None);
    session.handle(at(0), Event::Job { job, progress });
    session.report(at(10), 0, |_| ());
    assert_eq!(session.take_starts(at(20), 0).len(), 1);
}
