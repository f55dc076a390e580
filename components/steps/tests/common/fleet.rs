//! An owner and workers of uneven speed in virtual time, without faults of the network.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::{Resources, Time};
use steps::{
    Event, Job, Outcome, Owner, Timing,
    message::{
        ActiveRun, AgentReport, ClockReading, EndedRun, OrderResult, Orders, OrdersReply, RunEnd,
        RunKey,
    },
};

use super::{config, entry, vm, worker_info};

const START: Time = Time::from_secs(1_000);
const EPOCH: u64 = 3;
const STEP_MILLIS: u64 = 50;
/// Time that a task takes on a worker that is not slow.
pub(crate) const TASK_MILLIS: u64 = 700;
/// Objective of a job with one step: 1.5 times its estimate of 700 ms and 250 ms.
const OBJECTIVE: Duration = Duration::from_millis(1_300);
/// Factor by which a cold worker runs tasks longer.
const COLD_FACTOR: f64 = 2.5;

pub(crate) struct Worker {
    /// Runs, with the time at which they would have started without a checkpoint.
    pub(crate) running: Vec<(RunKey, Time)>,
    ended: Vec<(Time, EndedRun)>,
    end_count: u64,
    incarnation: u64,
    is_down: bool,
    /// Number of runs that the present incarnation has started.
    pub(crate) started: usize,
    pub(crate) slowdown: f64,
    /// Until when the worker is cold, in milliseconds from the start.
    pub(crate) cold_until: u64,
    pub(crate) label: &'static str,
    pub(crate) capacity: Resources,
    pub(crate) draining: bool,
    /// Until when a draining worker stays, in milliseconds from the start.
    pub(crate) drains_until: Option<u64>,
    /// Whether the worker carries out orders.
    pub(crate) obeys: bool,
    /// Number of runs that were stopped, and of those that resumed from a checkpoint.
    pub(crate) stopped: usize,
    pub(crate) resumed: usize,
    /// Progress that runs report, in percent; by their time if there is none.
    pub(crate) progress: Option<u32>,
}

impl Worker {
    fn new() -> Self {
        Self {
            running: Vec::new(),
            ended: Vec::new(),
            end_count: 0,
            incarnation: 1,
            is_down: false,
            started: 0,
            slowdown: 1.0,
            cold_until: 0,
            label: "a",
            capacity: Resources::new(4_000, 16_000, 0),
            draining: false,
            drains_until: None,
            obeys: true,
            stopped: 0,
            resumed: 0,
            progress: None,
        }
    }

    /// Ends the worker with its runs, without notice.
    pub(crate) fn crash(&mut self) {
        self.is_down = true;
        self.running.clear();
        self.ended.clear();
    }

    /// Starts the next incarnation.
    pub(crate) fn restart(&mut self) {
        self.is_down = false;
        self.incarnation += 1;
        self.draining = false;
        self.drains_until = None;
        self.end_count = 0;
        self.started = 0;
    }

    fn task_millis(&self, at_millis: u64) -> u64 {
        let cold = match at_millis < self.cold_until {
            true => COLD_FACTOR,
            false => 1.0,
        };
        (TASK_MILLIS as f64 * self.slowdown * cold) as u64
    }

    fn end(&mut self, now: Time, key: RunKey, how: RunEnd) {
        let place = self.running.iter().position(|(known, _)| *known == key);
        let (_, since) = self.running.remove(place.unwrap());
        let spent = now.since(since).as_millis();
        self.end_count += 1;
        let end = EndedRun {
            number: self.end_count,
            key,
            how,
            checkpoint: (how == RunEnd::Stopped).then(|| spent.to_string().into()),
        };
        self.ended.push((now, end));
    }
}

pub(crate) struct Fleet {
    pub(crate) owner: Owner,
    pub(crate) now: Time,
    pub(crate) workers: Vec<Worker>,
    /// Whether workers tell that they are cold.
    pub(crate) tells_cold: bool,
    submitted: BTreeMap<Arc<str>, Time>,
    /// How long each job took that has ended.
    pub(crate) ended: BTreeMap<Arc<str>, (Outcome, Duration)>,
    version: u64,
}

impl Fleet {
    pub(crate) fn new(workers: usize) -> Self {
        let mut owner = Owner::new(entry(1), EPOCH, Timing::default(), START);
        owner.handle(START, START, Event::Config(config()));
        let mut fleet = Self {
            owner,
            now: START,
            workers: (0..workers).map(|_| Worker::new()).collect(),
            tells_cold: true,
            submitted: BTreeMap::new(),
            ended: BTreeMap::new(),
            version: 0,
        };
        for number in 0..workers {
            fleet.handle(Event::Vm(vm(number)));
        }
        fleet.handle(Event::JobsLoaded);
        fleet.report_all();
        fleet
    }

    pub(crate) fn handle(&mut self, event: Event) {
        self.owner.handle(self.now, self.now, event);
    }

    pub(crate) fn submit(&mut self, job: Arc<Job>) {
        let mut job = Arc::unwrap_or_clone(job);
        for step in &mut job.steps {
            step.estimate_millis = TASK_MILLIS;
        }
        self.submitted.insert(job.name.as_str().into(), self.now);
        let (job, progress) = (Arc::new(job), None);
        self.handle(Event::Job { job, progress });
    }

    pub(crate) fn millis(&self) -> u64 {
        self.now.since(START).as_millis() as u64
    }

    pub(crate) fn report_all(&mut self) {
        for number in 0..self.workers.len() {
            self.report(number);
        }
    }

    fn report(&mut self, number: usize) {
        self.version += 1;
        let (now, millis) = (self.now, self.millis());
        let worker = &mut self.workers[number];
        worker
            .ended
            .retain(|(at, _)| now.since(*at) < Duration::from_secs(1));
        let mut info = worker_info(&format!("w-{number}"), worker.incarnation);
        info.labels = vec![worker.label.into(), "rack-1".into()];
        info.capacity = worker.capacity;
        info.draining = worker.draining;
        let is_cold = self.tells_cold && worker.cold_until > millis;
        info.drains_until_millis = worker.drains_until.filter(|_| worker.draining);
        info.cold_until_millis = is_cold.then_some(worker.cold_until);
        let row = |(key, since): &(RunKey, Time)| {
            let spent = now.since(*since).as_millis() as u64;
            let percent = (spent * 100 / worker.task_millis(millis)).min(99) as u32;
            ActiveRun {
                key: key.clone(),
                checkpoint: None,
                progress_percent: worker.progress.unwrap_or(percent),
                measurement: 900,
            }
        };
        let report = AgentReport {
            agent_incarnation: 1,
            version: self.version,
            epoch: EPOCH,
            confirmed_epoch: EPOCH,
            clock_reading: Some(ClockReading {
                incarnation: info.incarnation.clone(),
                millis,
            }),
            worker: Some(info),
            worker_responsive: !worker.is_down,
            poll: self.version,
            running: worker.running.iter().map(row).collect(),
            ended: worker.ended.iter().map(|(_, end)| end.clone()).collect(),
            ..AgentReport::default()
        };
        let report = Box::new(report);
        let vm = vm(number);
        self.handle(Event::Report { vm, report });
    }

    pub(crate) fn take_orders(&mut self, number: usize) -> Option<Orders> {
        self.owner.take_orders(self.now, &vm(number))
    }

    fn obey(&mut self, number: usize) {
        if self.workers[number].is_down || !self.workers[number].obeys {
            return;
        }
        let Some(orders) = self.take_orders(number) else {
            return;
        };
        self.carry_out(number, orders);
    }

    pub(crate) fn carry_out(&mut self, number: usize, orders: Orders) {
        let now = self.now;
        let worker = &mut self.workers[number];
        for start in &orders.starts {
            let saved = start.checkpoint.as_ref();
            let saved = saved.map_or(0, |saved| saved.parse().unwrap());
            let since = Time::from_millis(now.as_millis() - saved);
            worker.running.push((start.key.clone(), since));
            worker.started += 1;
            worker.resumed += usize::from(start.checkpoint.is_some());
        }
        for key in &orders.stops {
            if worker.running.iter().any(|(known, _)| known == key) {
                worker.stopped += 1;
                worker.end(now, key.clone(), RunEnd::Stopped);
            }
        }
        let reply = Some(OrdersReply {
            agent_incarnation: 1,
            epoch: EPOCH,
            poll: self.version,
            starts: vec![OrderResult::Done; orders.starts.len()],
            stops: vec![OrderResult::Done; orders.stops.len()],
        });
        let (vm, orders) = (vm(number), Box::new(orders));
        self.handle(Event::OrdersAnswered { vm, orders, reply });
    }

    /// Ends the runs whose work is done.
    fn work(&mut self, number: usize) {
        let (now, millis) = (self.now, self.millis());
        let worker = &mut self.workers[number];
        for (key, since) in worker.running.clone() {
            let began = since.since(START).as_millis() as u64;
            if millis >= began + worker.task_millis(began) {
                worker.end(now, key, RunEnd::Done);
            }
        }
    }

    pub(crate) fn play(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MILLIS {
            self.now = self.now + Duration::from_millis(STEP_MILLIS);
            let now = self.now;
            self.handle(Event::OwnershipProved(now));
            self.handle(Event::Tick);
            for number in 0..self.workers.len() {
                self.work(number);
                self.report(number);
                self.obey(number);
            }
            for change in self.owner.take_changes() {
                let name: Arc<str> = change.job.as_str().into();
                if let (Some(outcome), Some(at)) =
                    (change.progress.outcome, self.submitted.get(&name))
                {
                    let took = now.since(*at);
                    self.ended.entry(name).or_insert((outcome, took));
                }
            }
        }
    }

    /// Number of jobs that were completed within their objective.
    pub(crate) fn in_time(&self) -> usize {
        let ended = self.ended.values();
        ended
            .filter(|(outcome, took)| *outcome == Outcome::Completed && *took <= OBJECTIVE)
            .count()
    }
}
