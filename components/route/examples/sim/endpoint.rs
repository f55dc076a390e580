//! A simulated endpoint with the agent on its VM.

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

use super::{Fault, SERVICE_BASE, SERVICE_MEAN_EXTRA, SLOTS, Strategy};

/// Maximum length of the agent's queue.
const MAX_QUEUE: u32 = 64;

/// Share of slow requests under [`Fault::SlowRequests`].
const SLOW_REQUEST_SHARE: f64 = 0.02;

/// An effect of an event at an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Effect {
    /// The agent answers the attempt now, with this outcome.
    Reply(Ticket, AttemptOutcome),
    /// The endpoint finishes the attempt at this time.
    Done(Ticket, Time),
    /// The agent stops waiting for the attempt at this time.
    GiveUp(Ticket, Time),
}

/// One endpoint with its agent.
#[derive(Debug)]
pub(crate) struct Endpoint {
    strategy: Strategy,
    admission: Admission,
    deadlines: BTreeMap<Ticket, Time>,
    started: BTreeMap<Ticket, Time>,
    /// Attempts that the endpoint works on; those in `waiting` have reached it but wait.
    working: BTreeSet<Ticket>,
    waiting: VecDeque<Ticket>,
    /// Current fault of the endpoint.
    pub(crate) fault: Fault,
    /// Whether the agent has the configuration that takes its zone out.
    pub(crate) is_out: bool,
    rng: ChaCha8Rng,
}

impl Endpoint {
    pub(crate) fn new(strategy: Strategy, rng: ChaCha8Rng) -> Self {
        Self {
            strategy,
            admission: Admission::new(SLOTS, MAX_QUEUE),
            deadlines: BTreeMap::new(),
            started: BTreeMap::new(),
            working: BTreeSet::new(),
            waiting: VecDeque::new(),
            fault: Fault::None,
            is_out: false,
            rng,
        }
    }

    /// Returns the number of requests at the endpoint and in the agent's queue.
    pub(crate) fn load(&self) -> u32 {
        self.admission.in_flight() + self.admission.queued()
    }

    pub(crate) fn on_arrival(&mut self, now: Time, ticket: Ticket, deadline: Time) -> Vec<Effect> {
        if self.fault == Fault::Unreachable {
            return vec![Effect::Reply(ticket, AttemptOutcome::Unreachable)];
        }
        if self.is_out {
            return vec![Effect::Reply(ticket, AttemptOutcome::Leaving)];
        }
        self.deadlines.insert(ticket, deadline);
        if self.strategy == Strategy::Baseline {
            return self.start(now, ticket);
        }
        match self.admission.on_arrival(now, ticket, deadline) {
            Some(decision) => self.apply_decisions(now, vec![decision]),
            None => vec![Effect::GiveUp(ticket, deadline)],
        }
    }

    /// Handles the cancellation of an attempt by its entry.
    pub(crate) fn on_cancel(&mut self, now: Time, ticket: Ticket) -> Vec<Effect> {
        if self.started.contains_key(&ticket) || self.strategy == Strategy::Baseline {
            return Vec::new();
        }
        self.deadlines.remove(&ticket);
        let decisions = self.admission.on_departure(now, ticket, None);
        self.apply_decisions(now, decisions)
    }

    /// Handles the deadline of an attempt.
    pub(crate) fn on_deadline(&mut self, now: Time, ticket: Ticket) -> Vec<Effect> {
        let Some(_) = self.deadlines.remove(&ticket) else {
            return Vec::new();
        };
        let outcome = match self.started.contains_key(&ticket) {
            true => AttemptOutcome::Unknown,
            false => AttemptOutcome::Overloaded { load: self.load() },
        };
        let mut effects = vec![Effect::Reply(ticket, outcome)];
        if self.strategy == Strategy::Product {
            let decisions = self.admission.on_departure(now, ticket, None);
            effects.extend(self.apply_decisions(now, decisions));
        }
        effects
    }

    /// Handles the end of the endpoint's work on an attempt.
    pub(crate) fn on_done(&mut self, now: Time, ticket: Ticket) -> Vec<Effect> {
        self.working.remove(&ticket);
        let mut effects = Vec::new();
        if self.deadlines.remove(&ticket).is_some() {
            let started = self.started.get(&ticket).copied().unwrap_or(now);
            if self.strategy == Strategy::Product {
                let took = Some(now.since(started));
                let decisions = self.admission.on_departure(now, ticket, took);
                effects.extend(self.apply_decisions(now, decisions));
            }
            let answered = AttemptOutcome::Answered {
                failed: false,
                load: self.load(),
            };
            effects.push(Effect::Reply(ticket, answered));
        }
        self.started.remove(&ticket);
        effects.extend(self.start_work(now));
        effects
    }

    fn apply_decisions(&mut self, now: Time, decisions: Vec<AdmissionDecision>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for decision in decisions {
            match decision {
                AdmissionDecision::Start(ticket) => effects.extend(self.start(now, ticket)),
                AdmissionDecision::TooLate(ticket) | AdmissionDecision::QueueFull(ticket) => {
                    self.deadlines.remove(&ticket);
                    let load = self.load();
                    effects.push(Effect::Reply(ticket, AttemptOutcome::Overloaded { load }));
                }
            }
        }
        effects
    }

    fn start(&mut self, now: Time, ticket: Ticket) -> Vec<Effect> {
        if self.fault == Fault::Crashing {
            self.deadlines.remove(&ticket);
            let mut effects = vec![Effect::Reply(ticket, AttemptOutcome::Unknown)];
            if self.strategy == Strategy::Product {
                let decisions = self.admission.on_departure(now, ticket, None);
                effects.extend(self.apply_decisions(now, decisions));
            }
            return effects;
        }
        self.started.insert(ticket, now);
        self.waiting.push_back(ticket);
        let deadline = self.deadlines.get(&ticket).copied().unwrap_or(now);
        let mut effects = vec![Effect::GiveUp(ticket, deadline)];
        effects.extend(self.start_work(now));
        effects
    }

    fn start_work(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.working.len() < SLOTS as usize {
            let Some(ticket) = self.waiting.pop_front() else {
                break;
            };
            self.working.insert(ticket);
            effects.push(Effect::Done(ticket, now + self.service_time()));
        }
        effects
    }

    fn service_time(&mut self) -> Duration {
        let draw = -(1.0 - self.rng.random::<f64>()).ln();
        let time = SERVICE_BASE + SERVICE_MEAN_EXTRA.mul_f64(draw);
        match self.fault {
            Fault::Slow(factor) => time * factor,
            Fault::SlowRequests(factor) if self.rng.random_bool(SLOW_REQUEST_SHARE) => {
                time * factor
            }
            _ => time,
        }
    }
}
