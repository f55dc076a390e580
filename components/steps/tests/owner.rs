//! Sessions of an owner: takeover, records, departed VMs.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{config, entry, info, job, name, run, step, vm};
use kernel::Time;
use steps::{
    Event, Outcome, Owner, Timing,
    message::{
        ActiveRun, AgentReport, ClockReading, EndedRun, OrdersReply, Refusal, RunEnd, RunKey,
    },
    owner::Handover,
};

const BEGIN: Time = Time::from_secs(1_000);
const EPOCH: u64 = 3;

fn at(millis: u64) -> Time {
    BEGIN + Duration::from_millis(millis)
}

struct Session {
    owner: Owner,
    version: u64,
}

impl Session {
    fn new(machines: usize) -> Self {
        let mut owner = Owner::new(entry(1), EPOCH, Timing::default(), BEGIN);
        owner.handle(BEGIN, BEGIN, Event::Config(config()));
        for number in 0..machines {
            owner.handle(BEGIN, BEGIN, Event::Vm(vm(number)));
        }
        Self { owner, version: 0 }
    }

    /// A later owner of two VMs and a job, with the note of an earlier one.
    fn after(note: Handover, epoch: u64, taken: Time) -> Self {
        let mut owner = Owner::new(entry(2), epoch, Timing::default(), taken);
        owner.handle(taken, taken, Event::Config(config()));
        owner.handle(taken, taken, Event::HandedOver(note));
        let mut session = Self { owner, version: 0 };
        session.submit(taken, A, 1);
        session.tell(taken, Event::Vm(vm(0)));
        session.tell(taken, Event::Vm(vm(1)));
        session
    }

    fn tell(&mut self, now: Time, event: Event) {
        self.owner.handle(now, now, event);
    }

    fn report(&mut self, now: Time, number: usize, change: impl FnOnce(&mut AgentReport)) {
        self.version += 1;
        let worker = info(&format!("w-{number}"), 1);
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
        self.tell(
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
        self.tell(now, Event::Job { job, progress });
    }

    /// The runs that were ordered since the last call.
    fn ordered(&mut self, now: Time, number: usize) -> Vec<RunKey> {
        let orders = self.owner.take_orders(now, &vm(number));
        let starts = orders.map(|orders| orders.starts).unwrap_or_default();
        starts.into_iter().map(|start| start.key).collect()
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

const A: &str = "00000000000000aa";

#[test]
fn a_new_owner_starts_nothing_before_it_knows_all_workers() {
    let mut session = Session::new(2);
    session.submit(at(0), A, 1);
    session.report(at(10), 0, |_| ());
    assert_eq!(session.ordered(at(20), 0), []);
    session.report(at(30), 1, |_| ());
    let starts = session.ordered(at(40), 0).len() + session.ordered(at(40), 1).len();
    assert_eq!(starts, 1);
}

#[test]
fn a_new_owner_adopts_what_runs() {
    let mut session = Session::new(1);
    session.submit(at(0), A, 1);
    let key = run(A, 0, 0, 7);
    let row = ActiveRun {
        key: key.clone(),
        checkpoint: None,
        progress_percent: 10,
        measurement: 900,
    };
    session.report(at(10), 0, |report| report.running = vec![row]);
    assert_eq!(session.ordered(at(20), 0), []);
    assert_eq!(session.owner.runs_of(&name(A)), vec![(vm(0), key)]);
}

/// A worker left with its machine, then the owner was lost: the next one waited
/// 13 s for leases there (hunt, seed 736444028366).
#[test]
fn a_vm_that_left_and_does_not_answer_departs() {
    let mut session = Session::new(2);
    session.report(at(10), 0, |_| ());
    session.report(at(10), 1, |_| ());
    assert_eq!(session.owner.take_departed(), []);
    session.report(at(20), 1, |report| {
        report.worker = None;
        report.leases_expired = true;
    });
    assert_eq!(session.owner.take_departed(), []);
    session.tell(at(1_000), Event::Unreachable(vm(1)));
    assert_eq!(session.owner.take_departed(), [vm(1)]);
}

#[test]
fn an_end_is_forgotten_only_once_its_record_is_durable() {
    let mut session = Session::new(1);
    session.submit(at(0), A, 2);
    session.report(at(10), 0, |_| ());
    let keys = session.ordered(at(20), 0);
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

/// A new owner found a failure in the record and again in the worker's list, and
/// counted it twice (hunt, seed 938960851855).
#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut first = Session::new(1);
    first.submit(at(0), A, 1);
    first.report(at(10), 0, |_| ());
    let keys = first.ordered(at(20), 0);
    let end = ended(1, &keys[0], RunEnd::Failed);
    first.report(at(30), 0, |report| report.ended = vec![end.clone()]);
    let change = first.owner.take_changes().remove(0);

    let mut second = Session::new(1);
    let job = job(A, "quick", vec![step(1, &[])]);
    let progress = Some((change.progress, 1));
    second.tell(at(0), Event::Job { job, progress });
    second.report(at(10), 0, |report| report.ended = vec![end]);
    assert_eq!(second.owner.take_changes(), []);
    assert_eq!(second.ordered(at(500), 0).len(), 1, "one attempt more");
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut session = Session::new(1);
    session.submit(at(0), A, 1);
    for number in 1..=3u64 {
        let now = at(number * 1_000);
        session.report(now, 0, |_| ());
        let keys = session.ordered(now, 0);
        assert_eq!(keys.len(), 1, "attempt {number}");
        let end = ended(number, &keys[0], RunEnd::Failed);
        session.report(now, 0, |report| report.ended = vec![end]);
    }
    let change = session.owner.take_changes().remove(0);
    assert_eq!(change.progress.outcome, Some(Outcome::Failed));
}

#[test]
fn a_cancelled_job_is_stopped_and_starts_nothing() {
    let mut session = Session::new(1);
    session.submit(at(0), A, 3);
    session.report(at(10), 0, |_| ());
    let keys = session.ordered(at(20), 0);
    assert_eq!(keys.len(), 3);
    session.tell(at(30), Event::Cancelled(name(A)));
    let orders = session.owner.take_orders(at(40), &vm(0)).unwrap();
    assert_eq!(orders.stops.len(), 3);
    assert_eq!(orders.starts, []);
}

#[test]
fn an_order_on_its_way_outlives_the_leases_of_a_silent_worker() {
    let mut session = Session::new(1);
    session.submit(at(0), A, 1);
    session.report(at(10), 0, |_| ());
    let keys = session.ordered(at(20), 0);
    session.report(at(30), 0, |report| {
        report.worker_responsive = false;
        report.leases_expired = true;
    });
    let held = session.owner.runs_of(&name(A));
    assert_eq!(held, vec![(vm(0), keys[0].clone())]);
}

#[test]
fn steps_wait_for_those_before() {
    let mut session = Session::new(1);
    let steps = vec![step(1, &[]), step(1, &[0])];
    let progress = None;
    let job = job(A, "quick", steps);
    session.tell(at(0), Event::Job { job, progress });
    session.report(at(10), 0, |_| ());
    let first = session.ordered(at(20), 0);
    assert_eq!(first.len(), 1);
    let end = ended(1, &first[0], RunEnd::Done);
    session.report(at(30), 0, |report| report.ended = vec![end]);
    let second = session.ordered(at(40), 0);
    assert_eq!(second[0].task.step, 1);
}

/// An agent was stopped after it had started a task and before it answered; the
/// next process did not know its worker yet and refused the repeated order. The
/// task was started elsewhere beside the first run (hunt, seed 474129440355).
#[test]
fn the_refusal_of_a_repeated_start_settles_nothing() {
    let mut session = Session::new(2);
    session.report(at(0), 0, |_| ());
    session.report(at(0), 1, |_| ());
    session.submit(at(10), A, 1);
    let number = (0..2)
        .find(|&number| {
            !session.owner.runs_of(&name(A)).is_empty()
                && session.owner.runs_of(&name(A))[0].0 == vm(number)
        })
        .unwrap();
    let first = session.owner.take_orders(at(10), &vm(number)).unwrap();
    let key = first.starts[0].key.clone();
    let unanswered = Event::OrdersAnswered {
        vm: vm(number),
        orders: Box::new(first),
        reply: None,
    };
    session.tell(at(300), unanswered);
    let repeated = session.owner.take_orders(at(310), &vm(number)).unwrap();
    assert_eq!(repeated.starts[0].key, key);
    let reply = OrdersReply {
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
    session.tell(at(320), refused);
    let runs: Vec<RunKey> = session
        .owner
        .runs_of(&name(A))
        .into_iter()
        .map(|(_, run)| run)
        .collect();
    assert_eq!(runs, std::slice::from_ref(&key), "it may run");
    assert_eq!(session.ordered(at(330), 1 - number), [], "not a second one");
    let stops = session
        .owner
        .take_orders(at(330), &vm(number))
        .unwrap()
        .stops;
    assert_eq!(stops, [key]);
}

/// A VM was gone for 3 s as its owner stopped in order, twice; each next owner
/// waited 13.5 s of its own for leases there (own day machines-stopped, seed 2).
#[test]
fn an_owner_that_stops_hands_its_waiting_over() {
    let mut before = Session::new(2);
    before.report(at(0), 0, |_| ());
    before.report(at(0), 1, |_| ());
    before.tell(at(100), Event::Unreachable(vm(1)));
    let note = before.owner.handover(at(3_000));
    assert_eq!(note.unreachable.len(), 1);

    let taken = at(3_100);
    let mut session = Session::after(note, EPOCH + 1, taken);
    session.tell(taken, Event::Unreachable(vm(1)));
    let attached = |report: &mut AgentReport| {
        report.epoch = EPOCH + 1;
        report.confirmed_epoch = EPOCH + 1;
    };
    session.report(at(3_200), 0, attached);
    assert_eq!(session.ordered(at(3_200), 0), [], "the VM may hold a task");
    let silence = Timing::default().unreachable_agent_timeout();
    let over = at(110) + silence;
    session.tell(over, Event::Tick);
    assert_eq!(session.ordered(over, 0).len(), 1);
}

#[test]
fn a_note_of_an_earlier_term_tells_nothing() {
    let mut before = Session::new(1);
    before.tell(at(100), Event::Unreachable(vm(0)));
    let note = before.owner.handover(at(20_000));
    let taken = at(20_100);
    let mut session = Session::after(note, EPOCH + 2, taken);
    session.tell(taken, Event::Unreachable(vm(0)));
    session.report(at(20_200), 1, |report| {
        report.epoch = EPOCH + 2;
        report.confirmed_epoch = EPOCH + 2;
    });
    session.tell(at(21_000), Event::Tick);
    assert_eq!(session.ordered(at(21_000), 1), []);
}

/// Without a proof that there is no other owner leases are left to end.
#[test]
fn an_owner_without_proof_renews_nothing() {
    let mut session = Session::new(1);
    session.report(at(10), 0, |_| ());
    let renews =
        |owner: &mut Owner, now: Time| owner.next_report_poll(now, &vm(0)).unwrap().header.echo;
    assert!(renews(&mut session.owner, at(1_000)).is_some());
    assert!(renews(&mut session.owner, at(2_000)).is_none());
    session.tell(at(2_100), Event::OwnershipProved(at(2_000)));
    assert!(renews(&mut session.owner, at(2_200)).is_some());
}

/// A worker drained and its VM was gone without a word; the tasks that last waited
/// for its leases through two owners (own day machines-stopped, seed 1).
#[test]
fn tasks_that_last_move_before_their_worker_leaves() {
    let mut session = Session::new(2);
    session.report(at(0), 0, |_| ());
    let mut long_running = step(1, &[]);
    long_running.long_running = true;
    let event = Event::Job {
        job: job(A, "quick", vec![long_running]),
        progress: None,
    };
    session.report(at(0), 1, |report| {
        report.worker.as_mut().unwrap().draining = true;
    });
    session.tell(at(10), event);
    let keys = session.ordered(at(20), 0);
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
    session.tell(at(1_300), Event::Tick);
    assert!(
        session.owner.take_orders(at(1_300), &vm(0)).is_none(),
        "no place elsewhere"
    );
    session.report(at(1_400), 1, |_| ());
    session.tell(at(1_700), Event::Tick);
    let orders = session.owner.take_orders(at(1_700), &vm(0)).unwrap();
    assert_eq!(orders.stops, keys);
}

/// Jobs whose orders went to workers that were cut off counted as begun (own day
/// workers-cut-off, seed 2).
#[test]
fn a_job_waits_until_a_worker_has_begun_it() {
    let mut session = Session::new(1);
    session.report(at(0), 0, |_| ());
    session.submit(at(10), A, 1);
    let orders = session.owner.take_orders(at(20), &vm(0)).unwrap();
    assert_eq!(session.owner.pending_jobs("quick"), 1, "it is only ordered");
    let reply = OrdersReply {
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
    session.tell(at(30), ordered);
    assert_eq!(session.owner.pending_jobs("quick"), 0);
}
