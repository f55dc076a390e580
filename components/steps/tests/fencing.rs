//! Owners that follow one another over workers that check no fencing token, so that a
//! late order of the earlier owner is still carried out.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    config, entry, job, step, vm,
    worker::{SimulatedWorker, token},
    worker_info,
};
use kernel::Time;
use rstest::rstest;
use steps::{
    AgentState, Event, Job, Owner, Timing,
    agent::StartGrant,
    message::{OrderResult, Orders, OrdersReply, RunKey},
};

const START: Time = Time::from_secs(1_000);
/// A task runs longer than the test.
const WORK_MILLIS: u64 = 60_000;

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

struct Machine {
    agent: AgentState,
    worker: SimulatedWorker,
}

/// Two machines, and the owner that is in contact with them.
struct Fleet {
    machines: Vec<Machine>,
    owner: Owner,
    job: Arc<Job>,
}

impl Fleet {
    fn new() -> Self {
        let mut machines = Vec::new();
        for number in 0..2 {
            let info = worker_info(&format!("w-{number}"), 1);
            let mut machine = Machine {
                agent: AgentState::new(Timing::default(), START),
                worker: SimulatedWorker::new(info, START, 1.0).without_fencing(),
            };
            machine.agent.apply_heartbeat(machine.worker.heartbeat());
            machines.push(machine);
        }
        let mut fleet = Self {
            machines,
            owner: Owner::new(entry(1), 1, Timing::default(), START),
            job: job("00000000000000aa", "quick", vec![step(1, &[])]),
        };
        fleet.take_over(START, 1);
        fleet
    }

    /// Lets an entry become the owner. It loads the job and hears from both machines.
    fn take_over(&mut self, now: Time, epoch: u64) {
        self.owner = Owner::new(entry(epoch), epoch, Timing::default(), now);
        self.owner.handle(now, now, Event::Config(config()));
        let (job, progress) = (Arc::clone(&self.job), None);
        self.owner.handle(now, now, Event::Job { job, progress });
        for number in 0..2 {
            self.owner.handle(now, now, Event::Vm(vm(number)));
        }
        for _ in 0..3 {
            self.exchange(now);
        }
    }

    /// Exchanges a poll and a report with each machine.
    fn exchange(&mut self, now: Time) {
        self.owner.handle(now, now, Event::OwnershipProved(now));
        for (number, machine) in self.machines.iter_mut().enumerate() {
            let poll = self.owner.next_report_poll(now, &vm(number)).unwrap();
            machine.agent.accept_poll(now, &poll);
            let worker_poll = machine.agent.next_poll(now, false).unwrap();
            let reply = machine.worker.poll(now, &worker_poll).unwrap();
            machine.agent.apply_reply(now, &worker_poll, reply);
            let report = Box::new(machine.agent.report_for(now, &poll));
            let vm = vm(number);
            self.owner.handle(now, now, Event::Report { vm, report });
        }
        self.owner.handle(now, now, Event::Tick);
    }

    fn take_orders(&mut self, now: Time) -> Vec<(usize, Orders)> {
        let mut taken = Vec::new();
        for number in 0..2 {
            let orders = self.owner.take_orders(now, &vm(number));
            taken.extend(orders.map(|orders| (number, orders)));
        }
        taken
    }

    /// The agent of a machine sends a start to its worker and gets no answer. Returns
    /// what the worker may still carry out.
    fn send_start(&mut self, now: Time, number: usize, orders: &Orders) -> (RunKey, StartGrant) {
        let agent = &mut self.machines[number].agent;
        assert!(agent.accept_header(now, &orders.header));
        let key = &orders.starts[0].key;
        let grant = agent.admit(now, orders, key).unwrap();
        agent.settle_start(key, OrderResult::Unsettled);
        (key.clone(), grant)
    }

    /// Carries out stops and answers orders that hold nothing else.
    fn carry_out_stops(&mut self, now: Time) {
        for (number, orders) in self.take_orders(now) {
            assert_eq!(orders.starts, Vec::new());
            let machine = &mut self.machines[number];
            machine.agent.accept_header(now, &orders.header);
            let mut reply = OrdersReply {
                agent_incarnation: machine.agent.incarnation(),
                epoch: orders.header.epoch,
                poll: machine.agent.last_poll_number(),
                ..OrdersReply::default()
            };
            for key in &orders.stops {
                let result =
                    machine
                        .worker
                        .stop(now, key, token(&orders.incarnation, orders.header.epoch));
                machine.agent.settle_stop(key, result);
                reply.stops.push(result);
            }
            let (vm, orders, reply) = (vm(number), Box::new(orders), Some(reply));
            let answered = Event::OrdersAnswered { vm, orders, reply };
            self.owner.handle(now, now, answered);
        }
    }

    fn starts_ordered(&self) -> u64 {
        self.owner.work().starts_ordered
    }
}

#[rstest]
fn a_new_owner_starts_no_task_that_a_late_order_may_still_start(
    #[values(true, false)] is_answered: bool,
) {
    let mut fleet = Fleet::new();
    let (number, orders) = fleet.take_orders(START).pop().unwrap();
    let (key, grant) = match is_answered {
        true => fleet.send_start(START, number, &orders),
        // The call to the worker has not ended when the next owner asks.
        false => {
            let agent = &mut fleet.machines[number].agent;
            assert!(agent.accept_header(START, &orders.header));
            let key = orders.starts[0].key.clone();
            let grant = agent.admit(START, &orders, &key).unwrap();
            (key, grant)
        }
    };
    // The first owner is lost; the second one comes long before its leases have expired.
    fleet.take_over(at(900), 2);
    assert_eq!(fleet.starts_ordered(), 0, "the first start is not settled");
    fleet.carry_out_stops(at(950));
    // The worker gets to the late order only now.
    let work = (WORK_MILLIS, false);
    let worker = &mut fleet.machines[number].worker;
    let (_, is_started) = worker.start(
        at(1_000),
        &key,
        token(&orders.incarnation, grant.epoch),
        grant.until_millis,
        work,
    );
    assert!(!is_started, "the run was stopped before it started");
    fleet.exchange(at(1_000));
    fleet.exchange(at(1_010));
    assert_eq!(fleet.starts_ordered(), 1, "the task is started again");
}

#[test]
fn a_late_start_settles_itself_once_its_lease_has_expired() {
    let mut fleet = Fleet::new();
    let (number, orders) = fleet.take_orders(START).pop().unwrap();
    let (_, grant) = fleet.send_start(START, number, &orders);
    let machine = &mut fleet.machines[number];
    let is_listed = |agent: &AgentState, now| !agent.report(now).unsettled.is_empty();
    assert!(is_listed(&machine.agent, START));
    let after = Duration::from_millis(grant.until_millis - machine.worker.clock(START) + 10);
    let poll = machine.agent.next_poll(START + after, false).unwrap();
    let reply = machine.worker.poll(START + after, &poll).unwrap();
    machine.agent.apply_reply(START + after, &poll, reply);
    assert!(!is_listed(&machine.agent, START + after));
}
