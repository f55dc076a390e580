//! Workers whose capacity changes while they run tasks.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{
    config, entry, job, job_name,
    simulation::{Faults, Simulation},
    step, vm, worker_info,
};
use kernel::{Resources, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use steps::{
    AgentState, Event, Outcome, Owner, Step, Timing,
    agent::{Heartbeat, PollReply},
    message::{
        ActiveRun, AgentReport, ClockReading, OrderResult, Orders, OrdersReply, OwnerHeader,
        Refusal, RunKey,
    },
};

const START: Time = Time::from_secs(1_000);
const EPOCH: u64 = 3;
const JOB: &str = "00000000000000aa";
const FULL: Resources = Resources::new(4_000, 16_000, 0);
const SHRUNK: Resources = Resources::new(2_200, 8_800, 0);

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// An owner of workers that change their capacity.
struct Session {
    owner: Owner,
    version: u64,
    capacities: Vec<Resources>,
    running: Vec<Vec<RunKey>>,
}

impl Session {
    fn new(capacities: &[Resources]) -> Self {
        let mut owner = Owner::new(entry(1), EPOCH, Timing::default(), START);
        owner.handle(START, START, Event::Config(config()));
        let mut session = Self {
            owner,
            version: 0,
            capacities: capacities.to_vec(),
            running: vec![Vec::new(); capacities.len()],
        };
        for number in 0..capacities.len() {
            session.handle(START, Event::Vm(vm(number)));
        }
        for number in 0..capacities.len() {
            session.report(START, number);
        }
        session
    }

    fn handle(&mut self, now: Time, event: Event) {
        self.owner.handle(now, now, event);
    }

    fn submit(&mut self, now: Time, id: &str, step: Step) {
        let job = job(id, "quick", vec![step]);
        let progress = None;
        self.handle(now, Event::Job { job, progress });
    }

    fn report(&mut self, now: Time, number: usize) {
        self.version += 1;
        let mut worker = worker_info(&format!("w-{number}"), 1);
        worker.capacity = self.capacities[number];
        let row = |key: &RunKey| ActiveRun {
            key: key.clone(),
            checkpoint: None,
            progress_percent: 10,
            measurement: 900,
        };
        let report = Box::new(AgentReport {
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
            running: self.running[number].iter().map(row).collect(),
            ..AgentReport::default()
        });
        let vm = vm(number);
        self.handle(now, Event::Report { vm, report });
    }

    fn resize(&mut self, now: Time, number: usize, capacity: Resources) {
        self.capacities[number] = capacity;
        self.report(now, number);
    }

    fn take_orders(&mut self, now: Time, number: usize) -> Option<Orders> {
        self.owner.take_orders(now, &vm(number))
    }

    fn answer(&mut self, now: Time, number: usize, orders: Orders, start: Option<OrderResult>) {
        let reply = start.map(|result| OrdersReply {
            agent_incarnation: 1,
            epoch: EPOCH,
            poll: self.version,
            starts: vec![result; orders.starts.len()],
            stops: vec![OrderResult::Done; orders.stops.len()],
        });
        if start == Some(OrderResult::Done) {
            let started = orders.starts.iter().map(|start| start.key.clone());
            self.running[number].extend(started);
        }
        let (vm, orders) = (vm(number), Box::new(orders));
        self.handle(now, Event::OrdersAnswered { vm, orders, reply });
    }

    /// Carries out the starts that wait for a VM; returns their number.
    fn carry_out(&mut self, now: Time, number: usize) -> usize {
        let Some(orders) = self.take_orders(now, number) else {
            return 0;
        };
        assert_eq!(orders.stops, [], "stops of VM {number}");
        let count = orders.starts.len();
        self.answer(now, number, orders, Some(OrderResult::Done));
        self.report(now, number);
        count
    }
}

#[test]
fn a_worker_with_less_capacity_than_its_tasks_gets_none_until_there_is_room() {
    let mut session = Session::new(&[FULL]);
    session.submit(at(10), JOB, step(3, &[]));
    assert_eq!(session.carry_out(at(20), 0), 3);
    session.resize(at(100), 0, SHRUNK);
    session.submit(at(200), "00000000000000bb", step(2, &[]));
    assert_eq!(session.carry_out(at(300), 0), 0);
    session.running[0].truncate(1);
    session.report(at(400), 0);
    assert_eq!(session.carry_out(at(500), 0), 1);
    session.resize(at(600), 0, FULL);
    assert_eq!(session.carry_out(at(700), 0), 2);
}

#[test]
fn tasks_beyond_a_lower_capacity_go_on() {
    let mut session = Session::new(&[FULL, Resources::NONE]);
    session.submit(at(10), JOB, step(4, &[]));
    assert_eq!(session.carry_out(at(20), 0), 4);
    session.resize(at(100), 0, SHRUNK);
    session.resize(at(110), 1, FULL);
    session.handle(at(3_000), Event::Tick);
    session.report(at(3_010), 0);
    session.report(at(3_010), 1);
    assert_eq!(session.take_orders(at(3_020), 0), None);
    assert_eq!(session.take_orders(at(3_020), 1), None);
    assert_eq!(session.owner.runs_of(&job_name(JOB)).len(), 4);
}

/// With two calls open, starts wait at the owner.
#[test]
fn starts_that_were_not_sent_before_the_capacity_fell_are_taken_back() {
    let mut session = Session::new(&[FULL, Resources::NONE]);
    let mut open = Vec::new();
    for (millis, id) in [(10, "00000000000000a1"), (20, "00000000000000a2")] {
        session.submit(at(millis), id, step(1, &[]));
        open.extend(session.take_orders(at(millis), 0));
    }
    assert_eq!(open.len(), 2);
    session.submit(at(30), JOB, step(2, &[]));
    assert_eq!(session.take_orders(at(40), 0), None);
    session.resize(at(50), 1, FULL);
    session.resize(at(60), 0, SHRUNK);
    for orders in open {
        session.answer(at(70), 0, orders, Some(OrderResult::Done));
    }
    assert_eq!(session.carry_out(at(80), 0), 0);
    assert_eq!(session.carry_out(at(80), 1), 2);
}

#[test]
fn a_gang_is_taken_back_as_a_whole() {
    let mut session = Session::new(&[FULL, FULL]);
    let mut open = Vec::new();
    for (millis, id) in [(10, "00000000000000a1"), (20, "00000000000000a2")] {
        let wide = Step {
            need: Resources::new(1_500, 1_000, 0),
            ..step(2, &[])
        };
        session.submit(at(millis), id, wide);
        open.extend((0..2).filter_map(|number| session.take_orders(at(millis), number)));
    }
    let gang = Step {
        gang: true,
        ..step(2, &[])
    };
    session.submit(at(30), JOB, gang);
    assert_eq!(session.owner.runs_of(&job_name(JOB)).len(), 2);
    assert_eq!(session.take_orders(at(40), 0), None);
    assert_eq!(session.take_orders(at(40), 1), None);
    session.resize(at(60), 0, Resources::new(3_000, 16_000, 0));
    assert_eq!(session.owner.runs_of(&job_name(JOB)), []);
}

/// The first order may have been carried out, so the runs are stopped, not forgotten.
#[test]
fn an_unanswered_start_is_not_repeated_after_the_capacity_fell() {
    let mut session = Session::new(&[FULL]);
    session.submit(at(10), JOB, step(4, &[]));
    let orders = session.take_orders(at(20), 0).unwrap();
    session.answer(at(300), 0, orders, None);
    session.resize(at(310), 0, SHRUNK);
    let orders = session.take_orders(at(320), 0).unwrap();
    assert_eq!((orders.starts.len(), orders.stops.len()), (0, 4));
    assert_eq!(session.owner.runs_of(&job_name(JOB)).len(), 4);
}

#[test]
fn an_unanswered_start_is_repeated_though_the_capacity_fell_meanwhile() {
    let mut session = Session::new(&[FULL]);
    session.submit(at(10), JOB, step(4, &[]));
    let orders = session.take_orders(at(20), 0).unwrap();
    session.resize(at(200), 0, SHRUNK);
    session.answer(at(300), 0, orders, None);
    let orders = session.take_orders(at(320), 0).unwrap();
    assert_eq!((orders.starts.len(), orders.stops.len()), (0, 4));
    assert_eq!(session.owner.runs_of(&job_name(JOB)).len(), 4);
}

#[test]
fn a_start_refused_for_lack_of_capacity_goes_to_another_worker() {
    let mut session = Session::new(&[FULL, SHRUNK]);
    let need = Resources::new(2_000, 1_000, 0);
    session.submit(
        at(10),
        JOB,
        Step {
            need,
            ..step(1, &[])
        },
    );
    let orders = session.take_orders(at(20), 0).unwrap();
    let refused = OrderResult::Refused(Refusal::Room);
    session.answer(at(30), 0, orders, Some(refused));
    assert_eq!(session.carry_out(at(40), 1), 1);
    assert_eq!(session.take_orders(at(50), 0), None);
}

#[test]
fn a_worker_short_of_one_resource_gets_no_tasks_that_need_others() {
    let mut session = Session::new(&[Resources::new(8_000, 16_000, 4)]);
    let accelerated = Step {
        need: Resources::new(1_000, 1_000, 1),
        ..step(4, &[])
    };
    session.submit(at(10), JOB, accelerated);
    assert_eq!(session.carry_out(at(20), 0), 4);
    session.resize(at(100), 0, Resources::new(6_000, 16_000, 3));
    session.submit(at(200), "00000000000000bb", step(1, &[]));
    assert_eq!(session.carry_out(at(300), 0), 0);
    session.resize(at(400), 0, Resources::new(6_000, 16_000, 4));
    assert_eq!(session.carry_out(at(500), 0), 1);
}

/// An agent whose worker has answered under the epoch of the owner.
fn agent() -> AgentState {
    let mut agent = AgentState::new(Timing::default(), START);
    beat(&mut agent, FULL, 1);
    assert!(agent.accept_header(START, &header()));
    let poll = agent.next_poll(START, false).unwrap();
    let reply = PollReply {
        clock_millis: 10_000,
        started_at: Some(1),
        running: Vec::new(),
        ended: Vec::new(),
        has_more_ends: false,
    };
    agent.apply_reply(START, &poll, reply);
    agent
}

fn beat(agent: &mut AgentState, capacity: Resources, sequence: u64) {
    let mut info = worker_info("w-0", 1);
    info.capacity = capacity;
    agent.apply_heartbeat(Heartbeat { info, sequence });
}

fn header() -> OwnerHeader {
    OwnerHeader {
        epoch: EPOCH,
        owner: entry(1),
        echo: Some(ClockReading {
            incarnation: worker_info("w-0", 1).incarnation,
            millis: 10_000,
        }),
        recorded: None,
        recorded_crash: None,
    }
}

/// A worker that does not check its capacity would start a task that it has no room for.
#[rstest]
#[case::lower(SHRUNK, Some(Refusal::Room))]
#[case::less_memory(Resources::new(8_000, 8_000, 0), Some(Refusal::Room))]
#[case::same(FULL, None)]
#[case::higher(Resources::new(8_000, 32_000, 1), None)]
fn an_agent_refuses_starts_under_way_as_the_capacity_fell(
    #[case] capacity: Resources,
    #[case] refusal: Option<Refusal>,
) {
    let mut session = Session::new(&[FULL]);
    session.submit(at(10), JOB, step(4, &[]));
    let orders = session.take_orders(at(20), 0).unwrap();
    let mut agent = agent();
    beat(&mut agent, capacity, 2);
    let admitted = agent.admit(at(30), &orders, &orders.starts[0].key);
    assert_eq!(admitted.err(), refusal);
    assert_eq!(
        agent.report(at(40)).unsettled.len(),
        usize::from(refusal.is_none())
    );
}

#[test]
fn a_late_heartbeat_does_not_bring_back_the_higher_capacity() {
    let mut agent = agent();
    beat(&mut agent, SHRUNK, 3);
    beat(&mut agent, FULL, 2);
    assert_eq!(agent.worker().unwrap().capacity, SHRUNK);
    assert_eq!(agent.report(at(10)).worker.unwrap().capacity, SHRUNK);
}

/// Workers change their capacity several times a second, and most starts wait for room.
fn explore(seed: u64, faults_per_second: f64) {
    let faults = Faults {
        fencing: true,
        per_second: faults_per_second,
        until: at(20_000),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = Simulation::new(seed, 4, faults);
    for number in 0..200u64 {
        simulation.run_until(at(1_000 + 100 * number));
        let milli = rng.random_range(1_000..=4_000);
        let capacity = Resources::new(milli, milli * 4, 0);
        simulation.resize(&vm(rng.random_range(0..4)), capacity);
        if number % 2 == 0 {
            let steps = vec![step(3, &[]), step(2, &[0])];
            simulation.submit(job(&format!("{number:016x}"), "quick", steps), false);
        }
    }
    for number in 0..4 {
        simulation.resize(&vm(number), FULL);
    }
    simulation.run_until(at(80_000));
    assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    for number in (0..200u64).step_by(2) {
        let outcome = simulation.outcome(&job_name(&format!("{number:016x}")));
        assert_eq!(
            outcome,
            Some(Outcome::Completed),
            "seed {seed}: job {number}"
        );
    }
}

#[rstest]
fn no_start_brings_a_worker_over_its_capacity(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(0.0, 0.05)] faults_per_second: f64,
) {
    explore(seed, faults_per_second);
}

/// Runs more seeds on demand: `STEPS_SEEDS=100 cargo test -p steps --test capacity`.
#[test]
fn additional_seeds() {
    let count = std::env::var("STEPS_SEEDS").ok();
    let count: u64 = count.and_then(|text| text.parse().ok()).unwrap_or(0);
    for seed in 10_000..10_000 + count {
        explore(seed, 0.0);
        explore(seed, 0.05);
    }
}
