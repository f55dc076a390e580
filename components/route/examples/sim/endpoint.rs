//! An endpoint with the agent beside it.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use kernel::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use route::{
    AttemptOutcome,
    admission::{Admission, AdmissionDecision, Ticket},
};

use super::{Deciding, Fault, SERVICE_BASE, SERVICE_MEAN_EXTRA, SLOTS};

/// The length of the agent's queue.
const QUEUE: u32 = 64;

/// How many requests are slow while endpoints have hiccups.
const HICCUP_SHARE: f64 = 0.02;

/// What an agent does next.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Next {
    /// Answer the attempt with the ticket like this, now.
    Reply(Ticket, AttemptOutcome),
    /// The endpoint ends its work on the ticket at this time.
    Done(Ticket, Time),
    /// The agent stops waiting for the ticket at this time.
    GiveUp(Ticket, Time),
}

/// One endpoint and its agent.
#[derive(Debug)]
pub(crate) struct Endpoint {
    deciding: Deciding,
    admission: Admission,
    deadlines: BTreeMap<Ticket, Time>,
    started: BTreeMap<Ticket, Time>,
    /// Requests that the endpoint works on, and those that wait for that.
    working: BTreeSet<Ticket>,
    waiting: VecDeque<Ticket>,
    /// What is wrong with it.
    pub(crate) fault: Fault,
    /// Whether its agent knows that its zone is out.
    pub(crate) is_out: bool,
    rng: ChaCha8Rng,
}

impl Endpoint {
    pub(crate) fn new(deciding: Deciding, rng: ChaCha8Rng) -> Self {
        Self {
            deciding,
            admission: Admission::new(SLOTS, QUEUE),
            deadlines: BTreeMap::new(),
            started: BTreeMap::new(),
            working: BTreeSet::new(),
            waiting: VecDeque::new(),
            fault: Fault::None,
            is_out: false,
            rng,
        }
    }

    /// Requests at the endpoint and in the agent's queue.
    pub(crate) fn load(&self) -> u32 {
        self.admission.in_flight() + self.admission.queued()
    }

    pub(crate) fn arrive(&mut self, now: Time, ticket: Ticket, deadline: Time) -> Vec<Next> {
        if self.fault == Fault::Unreachable {
            return vec![Next::Reply(ticket, AttemptOutcome::Unreachable)];
        }
        if self.is_out {
            return vec![Next::Reply(ticket, AttemptOutcome::Leaving)];
        }
        self.deadlines.insert(ticket, deadline);
        if self.deciding == Deciding::Baseline {
            return self.start(now, ticket);
        }
        match self.admission.on_arrival(now, ticket, deadline) {
            Some(admitted) => self.carry_out(now, vec![admitted]),
            None => vec![Next::GiveUp(ticket, deadline)],
        }
    }

    /// The entry dropped the attempt.
    pub(crate) fn cancel(&mut self, now: Time, ticket: Ticket) -> Vec<Next> {
        if self.started.contains_key(&ticket) || self.deciding == Deciding::Baseline {
            return Vec::new();
        }
        self.deadlines.remove(&ticket);
        let admitted = self.admission.on_departure(now, ticket, None);
        self.carry_out(now, admitted)
    }

    /// The deadline of the attempt has passed.
    pub(crate) fn give_up(&mut self, now: Time, ticket: Ticket) -> Vec<Next> {
        let Some(_) = self.deadlines.remove(&ticket) else {
            return Vec::new();
        };
        let outcome = match self.started.contains_key(&ticket) {
            true => AttemptOutcome::Unknown,
            false => AttemptOutcome::Overloaded { load: self.load() },
        };
        let mut next = vec![Next::Reply(ticket, outcome)];
        if self.deciding == Deciding::Product {
            let admitted = self.admission.on_departure(now, ticket, None);
            next.extend(self.carry_out(now, admitted));
        }
        next
    }

    /// The endpoint ended its work on the attempt.
    pub(crate) fn done(&mut self, now: Time, ticket: Ticket) -> Vec<Next> {
        self.working.remove(&ticket);
        let mut next = Vec::new();
        if self.deadlines.remove(&ticket).is_some() {
            let started = self.started.get(&ticket).copied().unwrap_or(now);
            if self.deciding == Deciding::Product {
                let took = Some(now.since(started));
                let admitted = self.admission.on_departure(now, ticket, took);
                next.extend(self.carry_out(now, admitted));
            }
            let answered = AttemptOutcome::Answered {
                failed: false,
                load: self.load(),
            };
            next.push(Next::Reply(ticket, answered));
        }
        self.started.remove(&ticket);
        next.extend(self.work(now));
        next
    }

    fn carry_out(&mut self, now: Time, admitted: Vec<AdmissionDecision>) -> Vec<Next> {
        let mut next = Vec::new();
        for admitted in admitted {
            match admitted {
                AdmissionDecision::Start(ticket) => next.extend(self.start(now, ticket)),
                AdmissionDecision::TooLate(ticket) | AdmissionDecision::QueueFull(ticket) => {
                    self.deadlines.remove(&ticket);
                    let load = self.load();
                    next.push(Next::Reply(ticket, AttemptOutcome::Overloaded { load }));
                }
            }
        }
        next
    }

    fn start(&mut self, now: Time, ticket: Ticket) -> Vec<Next> {
        if self.fault == Fault::Crashing {
            self.deadlines.remove(&ticket);
            let mut next = vec![Next::Reply(ticket, AttemptOutcome::Unknown)];
            if self.deciding == Deciding::Product {
                let admitted = self.admission.on_departure(now, ticket, None);
                next.extend(self.carry_out(now, admitted));
            }
            return next;
        }
        self.started.insert(ticket, now);
        self.waiting.push_back(ticket);
        let deadline = self.deadlines.get(&ticket).copied().unwrap_or(now);
        let mut next = vec![Next::GiveUp(ticket, deadline)];
        next.extend(self.work(now));
        next
    }

    fn work(&mut self, now: Time) -> Vec<Next> {
        let mut next = Vec::new();
        while self.working.len() < SLOTS as usize {
            let Some(ticket) = self.waiting.pop_front() else {
                break;
            };
            self.working.insert(ticket);
            next.push(Next::Done(ticket, now + self.service_time()));
        }
        next
    }

    fn service_time(&mut self) -> Duration {
        let draw = -(1.0 - self.rng.random::<f64>()).ln();
        let time = SERVICE_BASE + SERVICE_MEAN_EXTRA.mul_f64(draw);
        match self.fault {
            Fault::Slow(factor) => time * factor,
            Fault::Hiccups(factor) if self.rng.random_bool(HICCUP_SHARE) => time * factor,
            _ => time,
        }
    }
}
