//! Sessions of an owner with the agents of two workers.

use std::time::Duration;

use kernel::Time;
use steps::{
    Event, Outcome, Owner, Timing,
    message::{
        ActiveRun, AgentReport, ClockReading, EndedRun, OrderResult, Orders, OrdersReply, RunEnd,
        RunKey,
    },
};

use super::{config, entry, job, job_name, step, vm, worker_info};

const START: Time = Time::from_secs(1_000);
const EPOCH: u64 = 3;
/// The job of the session.
pub(crate) const JOB: &str = "00000000000000aa";

pub(crate) fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

pub(crate) fn active(key: &RunKey) -> ActiveRun {
    ActiveRun {
        key: key.clone(),
        checkpoint: None,
        progress_percent: 10,
        measurement: 900,
    }
}

pub(crate) fn ended(number: u64, key: &RunKey, how: RunEnd) -> EndedRun {
    EndedRun {
        number,
        key: key.clone(),
        how,
        checkpoint: None,
    }
}

/// An owner and the agents of two workers.
pub(crate) struct Session {
    pub(crate) owner: Owner,
    version: u64,
}

impl Session {
    pub(crate) fn loading() -> Self {
        let mut owner = Owner::new(entry(1), EPOCH, Timing::default(), START);
        owner.handle(START, START, Event::Config(config()));
        for number in 0..2 {
            owner.handle(START, START, Event::Vm(vm(number)));
        }
        owner.handle(START, START, Event::LoadingJobs);
        Self { owner, version: 0 }
    }

    pub(crate) fn loaded() -> Self {
        let mut session = Self::loading();
        session.handle(START, Event::JobsLoaded);
        session
    }

    pub(crate) fn handle(&mut self, now: Time, event: Event) {
        self.owner.handle(now, now, event);
    }

    pub(crate) fn report(
        &mut self,
        now: Time,
        number: usize,
        change: impl FnOnce(&mut AgentReport),
    ) {
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
        let vm = vm(number);
        self.handle(now, Event::Report { vm, report });
    }

    /// Passes on a job with one task, without a record.
    pub(crate) fn job_arrives(&mut self, now: Time) {
        let job = job(JOB, "quick", vec![step(1, &[])]);
        self.handle(
            now,
            Event::Job {
                job,
                progress: None,
            },
        );
    }

    /// Runs that were ordered to start since the last call.
    pub(crate) fn take_starts(&mut self, now: Time) -> Vec<RunKey> {
        let mut keys = Vec::new();
        for number in 0..2 {
            let orders = self.owner.take_orders(now, &vm(number));
            let starts = orders.map(|orders| orders.starts).unwrap_or_default();
            keys.extend(starts.into_iter().map(|start| start.key));
        }
        keys
    }

    /// Answers orders that were all carried out.
    pub(crate) fn answer(&mut self, now: Time, number: usize, orders: Orders) {
        let reply = Some(OrdersReply {
            agent_incarnation: 1,
            epoch: EPOCH,
            poll: self.version,
            starts: vec![OrderResult::Done; orders.starts.len()],
            stops: vec![OrderResult::Done; orders.stops.len()],
        });
        self.reply(now, number, orders, reply);
    }

    /// Ends a call with orders.
    pub(crate) fn reply(
        &mut self,
        now: Time,
        number: usize,
        orders: Orders,
        reply: Option<OrdersReply>,
    ) {
        let (vm, orders) = (vm(number), Box::new(orders));
        self.handle(now, Event::OrdersAnswered { vm, orders, reply });
    }

    /// Number of the last end of VM 0 that its worker may forget.
    pub(crate) fn recorded_end(&mut self, now: Time) -> u64 {
        let poll = self.owner.next_report_poll(now, &vm(0)).unwrap();
        poll.header.recorded.unwrap().1
    }

    /// Number of the last crash of VM 0 that its agent may forget.
    pub(crate) fn recorded_crash(&mut self, now: Time) -> Option<u64> {
        let poll = self.owner.next_report_poll(now, &vm(0)).unwrap();
        poll.header.recorded_crash.map(|(_, number)| number)
    }

    /// Outcome of the job in the records to be written now.
    pub(crate) fn outcome(&mut self) -> Option<Outcome> {
        let changes = self.owner.take_changes();
        let of_job = changes.iter().find(|change| change.job == job_name(JOB));
        of_job.and_then(|change| change.progress.outcome)
    }
}
