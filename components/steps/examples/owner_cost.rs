//! Measures what the owner of jobs of steps spends on each start, and how this grows
//! with the number of workers.
//!
//! `cargo run --release -p steps --example owner_cost -- 30 300 5000`
//!
//! The counts repeat exactly; the times are those of this machine. The load for each
//! worker is the same at every size: quick jobs, large jobs of which one step is best
//! effort, and long-running serving tasks.

#![allow(clippy::unwrap_used, reason = "a measuring program may panic")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use common::{
    config, entry, job, vm,
    worker::{SimulatedWorker, token},
    worker_info,
};
use kernel::{JobName, Resources, Time, VmName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use steps::{
    AgentState, Event, Job, Owner, Step, Timing,
    message::{AgentReport, OrderResult, Orders, OrdersReply, ReportPoll},
    owner::RecordWrite,
};

const SEED: u64 = 5;
const STEP: Duration = Duration::from_millis(10);
const SPAN: Duration = Duration::from_secs(10);
const CAPACITY: Resources = Resources::new(16_000, 64_000, 0);
const WORKERS_A_RACK: usize = 8;
/// Jobs a second on 240 workers: quick, large, long-running.
const RATES: [f64; 3] = [20.4, 6.5, 0.3];
const RATES_FOR_WORKERS: f64 = 240.0;
const RECORD_WRITE: Duration = Duration::from_millis(130);

struct Machine {
    agent: AgentState,
    worker: SimulatedWorker,
    next_poll: Time,
    held: Option<(ReportPoll, Time)>,
}

enum Arrival {
    Report(VmName, Box<AgentReport>),
    Reply(VmName, Box<Orders>, OrdersReply),
    Written(u64, Vec<RecordWrite>),
}

struct Bench {
    rng: ChaCha8Rng,
    now: Time,
    owner: Owner,
    machines: BTreeMap<VmName, Machine>,
    arrivals: VecDeque<(Time, Arrival)>,
    jobs: BTreeMap<JobName, Arc<Job>>,
    is_writing: bool,
    sending: Duration,
}

impl Bench {
    fn new(workers: usize) -> Self {
        let now = Time::from_secs(1_000);
        let mut owner = Owner::new(entry(1), 1, Timing::default(), now);
        owner.handle(now, now, Event::Config(config()));
        owner.handle(now, now, Event::JobsLoaded);
        let mut machines = BTreeMap::new();
        for number in 0..workers {
            let mut info = worker_info(&format!("w-{number}"), 1);
            info.capacity = CAPACITY;
            info.labels[1] = format!("rack-{}", number / WORKERS_A_RACK).into();
            let mut machine = Machine {
                agent: AgentState::new(Timing::default(), now),
                worker: SimulatedWorker::new(info, now, 1.0),
                next_poll: now,
                held: None,
            };
            machine.agent.apply_heartbeat(machine.worker.heartbeat());
            machines.insert(vm(number), machine);
            owner.handle(now, now, Event::Vm(vm(number)));
        }
        Self {
            rng: ChaCha8Rng::seed_from_u64(SEED),
            now,
            owner,
            machines,
            arrivals: VecDeque::new(),
            jobs: BTreeMap::new(),
            is_writing: false,
            sending: Duration::ZERO,
        }
    }

    fn handle(&mut self, event: Event) {
        let begin = Instant::now();
        self.owner.handle(self.now, self.now, event);
        self.owner.record_elapsed(self.now, begin.elapsed());
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some((_, arrival)) = self.arrivals.pop_front_if(|(at, _)| at.passed(self.now)) {
            self.arrive(arrival);
        }
        if self.now.as_millis().is_multiple_of(200) {
            self.handle(Event::OwnershipProved(self.now));
            self.handle(Event::Tick);
        }
        if self.owner.next_pass().is_some_and(|at| at.passed(self.now)) {
            self.handle(Event::PassDue);
        }
        self.send();
        self.advance_machines();
    }

    fn arrive(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Report(vm, report) => self.handle(Event::Report { vm, report }),
            Arrival::Reply(vm, orders, reply) => {
                let reply = Some(reply);
                self.handle(Event::OrdersAnswered { vm, orders, reply });
            }
            Arrival::Written(last, changes) => {
                for change in &changes {
                    self.owner.record_written(&change.job, 1);
                }
                self.owner.confirm_durable(last);
                self.is_writing = false;
            }
        }
        // The daemon looks for orders after each event.
        self.send();
    }

    fn send(&mut self) {
        let begin = Instant::now();
        let mut taken = Vec::new();
        for name in self.owner.vms_with_orders() {
            taken.extend(
                self.owner
                    .take_orders(self.now, &name)
                    .map(|orders| (name, orders)),
            );
        }
        self.sending += begin.elapsed();
        for (name, orders) in taken {
            self.carry_out(name, orders);
        }
        if self.owner.has_changes() && !self.is_writing {
            self.is_writing = true;
            let written = Arrival::Written(self.owner.last_change(), self.owner.take_changes());
            let at = self.now + RECORD_WRITE;
            self.arrive_at(at, written);
        }
    }

    fn carry_out(&mut self, name: VmName, orders: Orders) {
        let now = self.now;
        let machine = self.machines.get_mut(&name).unwrap();
        machine.agent.accept_header(now, &orders.header);
        let mut reply = OrdersReply::default();
        for start in &orders.starts {
            let grant = match machine.agent.admit(now, &orders, &start.key) {
                Ok(grant) => grant,
                Err(refusal) => {
                    reply.starts.push(OrderResult::Refused(refusal));
                    continue;
                }
            };
            let step = &self.jobs[&start.key.task.job].steps[usize::from(start.key.task.step)];
            let work = match step.long_running {
                true => u64::MAX,
                false => step.estimate_millis,
            };
            let (epoch, until) = (grant.epoch, grant.until_millis);
            let (result, _) = machine.worker.start(
                now,
                &start.key,
                token(&orders.incarnation, epoch),
                until,
                (work, false),
            );
            machine.agent.settle_start(&start.key, result);
            machine.agent.record_start(start);
            reply.starts.push(result);
        }
        for key in &orders.stops {
            let result =
                machine
                    .worker
                    .stop(now, key, token(&orders.incarnation, orders.header.epoch));
            reply.stops.push(result);
        }
        reply.agent_incarnation = machine.agent.incarnation();
        (reply.epoch, reply.poll) = (machine.agent.epoch(), machine.agent.last_poll_number());
        self.arrive_at(now, Arrival::Reply(name, Box::new(orders), reply));
    }

    /// Lets something arrive after all that arrives up to that time.
    fn arrive_at(&mut self, at: Time, arrival: Arrival) {
        let place = self.arrivals.partition_point(|(known, _)| *known <= at);
        self.arrivals.insert(place, (at, arrival));
    }

    fn advance_machines(&mut self) {
        let now = self.now;
        let mut reports = Vec::new();
        for (name, machine) in &mut self.machines {
            let ended = !machine.worker.advance(now).is_empty();
            let is_due = ended
                || machine.next_poll.passed(now)
                || machine.agent.is_unconfirmed()
                || machine.agent.has_unrecorded_ends();
            if is_due && let Some(poll) = machine.agent.next_poll(now, false) {
                machine.next_poll = now + Duration::from_millis(500);
                let reply = machine.worker.poll(now, &poll).unwrap();
                machine.agent.apply_reply(now, &poll, reply);
            }
            if machine.held.is_none() {
                let begin = Instant::now();
                let poll = self.owner.next_report_poll(now, name).unwrap();
                self.sending += begin.elapsed();
                machine.agent.accept_poll(now, &poll);
                machine.held = Some((poll, now + Duration::from_secs(1)));
            }
            let version = machine.agent.version();
            let is_due = |held: &mut (ReportPoll, Time)| {
                held.0.known_version != version || held.1.passed(now)
            };
            if let Some((poll, _)) = machine.held.take_if(is_due) {
                let report = Box::new(machine.agent.report_for(now, &poll));
                reports.push(Arrival::Report(name.clone(), report));
            }
        }
        for report in reports {
            self.arrive_at(now, report);
        }
    }

    fn submit(&mut self, number: usize, kind: usize) {
        let wide = |count: u32, milli: u64, millis: u64, after: &[u16]| Step {
            count,
            need: Resources::new(milli, milli * 2, 0),
            estimate_millis: millis,
            after: after.to_vec(),
            ..Step::default()
        };
        let (queue, steps) = match kind {
            0 => (
                "quick",
                vec![wide(13, 660, 800, &[]), wide(8, 660, 800, &[0])],
            ),
            1 => {
                let filling = Step {
                    best_effort: true,
                    image: Some(format!("batch-{}", number % 9).into()),
                    ..wide(40, 1_800, 2_200, &[0])
                };
                ("bulk", vec![wide(40, 1_800, 2_200, &[]), filling])
            }
            _ => {
                let serving = Step {
                    long_running: true,
                    target_millis: Some(2_000),
                    image: Some(format!("serving-{}", number % 5).into()),
                    ..wide(24, 4_000, 400, &[])
                };
                ("quick", vec![serving])
            }
        };
        let job = job(&format!("{number:016x}"), queue, steps);
        self.jobs.insert(job.name.clone(), Arc::clone(&job));
        let progress = None;
        self.handle(Event::Job { job, progress });
    }
}

fn measure(workers: usize) {
    let mut bench = Bench::new(workers);
    for _ in 0..100 {
        bench.step();
    }
    let (before, sent_before) = (bench.owner.work(), bench.sending);
    let end = bench.now + SPAN;
    let mut number = 0;
    while !end.passed(bench.now) {
        for (kind, rate) in RATES.iter().enumerate() {
            let expected = rate * workers as f64 / RATES_FOR_WORKERS * STEP.as_secs_f64();
            let mut count = expected as usize;
            count += usize::from(bench.rng.random_bool(expected.fract()));
            for _ in 0..count {
                number += 1;
                bench.submit(number, kind);
            }
        }
        bench.step();
    }
    let (work, backlog) = (bench.owner.work(), bench.owner.backlog());
    let starts = (work.starts_ordered - before.starts_ordered).max(1) as f64;
    let micros = |span: Duration| span.as_secs_f64() * 1e6 / starts;
    println!(
        "{workers:>8} {:>8} {:>8} {:>10.1} {:>12.2} {:>10.1} {:>11.1} {:>9.1}",
        starts,
        backlog.open_jobs,
        (work.events - before.events) as f64 / starts,
        (work.workers_examined - before.workers_examined) as f64 / starts,
        micros(work.pass_time - before.pass_time),
        micros(work.event_time - before.event_time),
        micros(bench.sending - sent_before),
    );
}

fn main() {
    println!(
        "{:>8} {:>8} {:>8} {:>10} {:>12} {:>10} {:>11} {:>9}",
        "workers", "starts", "open", "events/st", "examined/st", "pass us", "event us", "send us"
    );
    for argument in std::env::args().skip(1) {
        measure(argument.parse().unwrap());
    }
}
