//! The whole of a run: arrivals, entries, agents and the time between them.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use kernel::{Incarnation, Time, Verdict, VmName, object::Limit};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::{
    Action, AttemptNumber, AttemptOutcome, Candidate, Event, Policy, Request, RequestKey,
    RequestOutcome, Router, admission::Ticket, request::Usability,
};

use super::{
    Deciding, ENDPOINTS, ENTRIES, Fault, HOP, SLOTS, Scenario, Summary, TIMEOUT, ZONES,
    endpoint::{Endpoint, Next},
};

/// How often agents report their load.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// How long a new configuration takes to the first agent or entry; each further
/// one takes as long again.
const CONFIG_STEP: Duration = Duration::from_millis(150);
/// How often the baseline tries a request.
const BASELINE_TRIES: u32 = 3;

#[derive(Clone, Copy, Debug)]
enum Occurrence {
    Arrival,
    Fault,
    Heartbeats,
    ConfigAtAgent(usize),
    ConfigAtEntry(usize),
    Due(usize, RequestKey),
    AtAgent(usize, Ticket),
    Cancelled(usize, Ticket),
    Done(usize, Ticket),
    GiveUp(usize, Ticket),
    Replied(Ticket, AttemptOutcome),
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    entry: usize,
    key: RequestKey,
    attempt: AttemptNumber,
    endpoint: usize,
    is_open: bool,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    arrived: Time,
    tries: u32,
}

struct Entry {
    router: Router,
    knows_zone_out: bool,
}

/// A run under way.
pub(crate) struct World {
    scenario: Scenario,
    now: Time,
    agenda: BTreeMap<(Time, u64), Occurrence>,
    planned: u64,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    requests: BTreeMap<RequestKey, Waiting>,
    next_key: u64,
    sent: BTreeMap<Ticket, Sent>,
    next_ticket: u64,
    summary: Summary,
}

fn name(endpoint: usize) -> VmName {
    let name = format!("vm-{endpoint:02}");
    name.parse().expect("the name is well formed")
}

fn zone(endpoint: usize) -> usize {
    endpoint % ZONES
}

/// Runs `scenario` to its end.
pub(crate) fn run(scenario: Scenario) -> Summary {
    let mut world = World::new(scenario);
    while let Some(((now, _), occurrence)) = world.agenda.pop_first() {
        world.now = now;
        world.on(occurrence);
    }
    world.summary
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let policy = Policy {
            limit: Limit::default(),
            objective: TIMEOUT,
        };
        let mut entries = Vec::new();
        for _ in 0..ENTRIES {
            entries.push(Entry {
                router: Router::new(policy.clone(), rng.random()),
                knows_zone_out: false,
            });
        }
        let mut endpoints = Vec::new();
        for _ in 0..ENDPOINTS {
            let own = ChaCha8Rng::seed_from_u64(rng.random());
            endpoints.push(Endpoint::new(scenario.deciding, own));
        }
        let span = scenario.span - scenario.span / 4;
        let mut world = Self {
            scenario,
            now: Time::ZERO,
            agenda: BTreeMap::new(),
            planned: 0,
            rng,
            entries,
            endpoints,
            requests: BTreeMap::new(),
            next_key: 0,
            sent: BTreeMap::new(),
            next_ticket: 0,
            summary: Summary {
                requests: 0,
                good: 0,
                attempts: 0,
                refused: 0,
                failed: 0,
                span_secs: span.as_secs_f64(),
                latency: Histogram::new(3).expect("three digits are allowed"),
            },
        };
        world.plan(Time::ZERO, Occurrence::Heartbeats);
        world.plan(Time::ZERO, Occurrence::Arrival);
        world.plan(scenario.fault_at(), Occurrence::Fault);
        world
    }

    fn plan(&mut self, at: Time, occurrence: Occurrence) {
        self.planned += 1;
        self.agenda
            .insert((at.max(self.now), self.planned), occurrence);
    }

    fn counts(&self, arrived: Time) -> bool {
        arrived >= self.scenario.fault_at()
    }

    fn on(&mut self, occurrence: Occurrence) {
        let now = self.now;
        match occurrence {
            Occurrence::Arrival => self.on_arrival(),
            Occurrence::Fault => self.on_fault(),
            Occurrence::Heartbeats => self.on_heartbeats(),
            Occurrence::ConfigAtAgent(endpoint) => self.endpoints[endpoint].is_out = true,
            Occurrence::ConfigAtEntry(entry) => {
                self.entries[entry].knows_zone_out = true;
                self.tell_endpoints(entry);
            }
            Occurrence::Due(entry, key) => self.route(entry, Event::Due(key)),
            Occurrence::AtAgent(endpoint, ticket) => {
                let Some(sent) = self.sent.get(&ticket).copied() else {
                    return;
                };
                let Some(waiting) = self.requests.get(&sent.key) else {
                    return;
                };
                let deadline = waiting.arrived + TIMEOUT;
                let next = self.endpoints[endpoint].arrive(now, ticket, deadline);
                self.carry_out(endpoint, next);
            }
            Occurrence::Cancelled(endpoint, ticket) => {
                let next = self.endpoints[endpoint].cancel(now, ticket);
                self.carry_out(endpoint, next);
            }
            Occurrence::Done(endpoint, ticket) => {
                let next = self.endpoints[endpoint].done(now, ticket);
                self.carry_out(endpoint, next);
            }
            Occurrence::GiveUp(endpoint, ticket) => {
                let next = self.endpoints[endpoint].give_up(now, ticket);
                self.carry_out(endpoint, next);
            }
            Occurrence::Replied(ticket, outcome) => self.on_replied(ticket, outcome),
        }
    }

    fn on_arrival(&mut self) {
        if self.now >= Time::ZERO + self.scenario.span {
            return;
        }
        let rate = self.scenario.load * Scenario::capacity();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let next = self.now + Duration::from_secs_f64(gap);
        self.plan(next, Occurrence::Arrival);
        self.next_key += 1;
        let key = RequestKey(self.next_key);
        let arrived = self.now;
        self.requests.insert(key, Waiting { arrived, tries: 0 });
        self.summary.requests += u64::from(self.counts(arrived));
        let entry = self.rng.random_range(0..ENTRIES);
        if self.scenario.deciding == Deciding::Baseline {
            self.plan(arrived + TIMEOUT, Occurrence::Due(entry, key));
            return self.send_at_random(entry, key);
        }
        let request = Request {
            key,
            id: None,
            idempotent: true,
            deadline: arrived + TIMEOUT,
        };
        self.route(entry, Event::Arrived(request));
    }

    fn on_fault(&mut self) {
        match self.scenario.fault {
            Fault::None => {}
            Fault::Slow(_) => self.endpoints[0].fault = self.scenario.fault,
            Fault::Unreachable | Fault::Crashing | Fault::Hiccups(_) => {
                for endpoint in &mut self.endpoints {
                    endpoint.fault = self.scenario.fault;
                }
            }
            Fault::ZoneOut => {
                let mut at = self.now;
                for endpoint in (0..ENDPOINTS).filter(|endpoint| zone(*endpoint) == 0) {
                    at = at + CONFIG_STEP;
                    self.plan(at, Occurrence::ConfigAtAgent(endpoint));
                }
                let mut at = self.now;
                for entry in 0..ENTRIES {
                    at = at + CONFIG_STEP * 2;
                    self.plan(at, Occurrence::ConfigAtEntry(entry));
                }
            }
        }
    }

    fn on_heartbeats(&mut self) {
        for entry in 0..ENTRIES {
            self.tell_endpoints(entry);
        }
        if self.now < Time::ZERO + self.scenario.span {
            self.plan(self.now + HEARTBEAT, Occurrence::Heartbeats);
        }
    }

    fn tell_endpoints(&mut self, entry: usize) {
        let mut candidates = Vec::new();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let is_out = zone(index) == 0 && self.entries[entry].knows_zone_out;
            candidates.push(Candidate {
                vm: name(index),
                incarnation: Incarnation(1),
                address: "127.0.0.1:1".parse().expect("the address is well formed"),
                zone: format!("zone-{}", zone(index))
                    .parse()
                    .expect("well formed"),
                slots: SLOTS,
                reported_load: endpoint.load(),
                reported_at: self.now,
                usability: if is_out {
                    Usability::RecordsOnly
                } else {
                    Usability::Normal
                },
                usable_since: Time::ZERO,
                records_held_until: Time::MAX,
                lost_records_until: Time::ZERO,
                lost_records_before: None,
            });
        }
        let event = Event::Endpoints(candidates);
        self.entries[entry].router.handle(self.now, event);
    }

    fn route(&mut self, entry: usize, event: Event) {
        if self.scenario.deciding == Deciding::Baseline {
            if let Event::Due(key) = event {
                self.finish(key, None);
            }
            return;
        }
        let actions = self.entries[entry].router.handle(self.now, event);
        for action in actions {
            match action {
                Action::Send {
                    key, attempt, vm, ..
                } => {
                    let digits = vm.as_str().trim_start_matches("vm-");
                    let endpoint = digits.parse().expect("the name ends in a number");
                    self.send(entry, key, attempt, endpoint);
                }
                Action::Wake { key, at } => self.plan(at, Occurrence::Due(entry, key)),
                Action::Finish { key, result } => self.finish(key, Some(result)),
                Action::Tally(_) => {}
            }
        }
    }

    fn send(&mut self, entry: usize, key: RequestKey, attempt: AttemptNumber, endpoint: usize) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let sent = Sent {
            entry,
            key,
            attempt,
            endpoint,
            is_open: true,
        };
        self.sent.insert(ticket, sent);
        if let Some(waiting) = self.requests.get(&key) {
            self.summary.attempts += u64::from(self.counts(waiting.arrived));
        }
        self.plan(self.now + HOP, Occurrence::AtAgent(endpoint, ticket));
    }

    fn send_at_random(&mut self, entry: usize, key: RequestKey) {
        let Some(waiting) = self.requests.get_mut(&key) else {
            return;
        };
        waiting.tries += 1;
        let attempt = AttemptNumber(waiting.tries);
        let knows = self.entries[entry].knows_zone_out;
        let endpoint = loop {
            let drawn = self.rng.random_range(0..ENDPOINTS);
            if !(knows && zone(drawn) == 0) {
                break drawn;
            }
        };
        self.send(entry, key, attempt, endpoint);
    }

    fn carry_out(&mut self, endpoint: usize, next: Vec<Next>) {
        for next in next {
            match next {
                Next::Reply(ticket, outcome) => {
                    self.plan(self.now + HOP, Occurrence::Replied(ticket, outcome));
                }
                Next::Done(ticket, at) => self.plan(at, Occurrence::Done(endpoint, ticket)),
                Next::GiveUp(ticket, at) => self.plan(at, Occurrence::GiveUp(endpoint, ticket)),
            }
        }
    }

    fn on_replied(&mut self, ticket: Ticket, outcome: AttemptOutcome) {
        let Some(sent) = self.sent.remove(&ticket) else {
            return;
        };
        if !sent.is_open {
            return;
        }
        if self.scenario.deciding == Deciding::Product {
            let event = Event::AttemptEnded {
                key: sent.key,
                attempt: sent.attempt,
                outcome,
            };
            return self.route(sent.entry, event);
        }
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            return self.finish(sent.key, Some(RequestOutcome::Answer(sent.attempt)));
        }
        let tries = self.requests.get(&sent.key).map(|waiting| waiting.tries);
        if tries.is_some_and(|tries| tries < BASELINE_TRIES) {
            return self.send_at_random(sent.entry, sent.key);
        }
        self.finish(sent.key, None);
    }

    /// Ends a request; `None` stands for the baseline giving up.
    fn finish(&mut self, key: RequestKey, result: Option<RequestOutcome>) {
        let Some(waiting) = self.requests.remove(&key) else {
            return;
        };
        self.cancel_rest(key);
        if !self.counts(waiting.arrived) {
            return;
        }
        let took = self.now.since(waiting.arrived);
        match result {
            Some(RequestOutcome::Answer(_)) if took <= TIMEOUT => self.summary.good += 1,
            Some(RequestOutcome::NoAnswer {
                verdict: Verdict::NotRun,
                ..
            }) => {
                self.summary.refused += 1;
                return;
            }
            _ => self.summary.failed += 1,
        }
        let latency = match result {
            Some(RequestOutcome::Answer(_)) => took.min(TIMEOUT),
            _ => TIMEOUT,
        };
        self.summary
            .latency
            .record(latency.as_micros() as u64)
            .expect("a latency fits the histogram");
    }

    fn cancel_rest(&mut self, key: RequestKey) {
        let mut cancelled = Vec::new();
        for (ticket, sent) in &mut self.sent {
            if sent.key == key && sent.is_open {
                sent.is_open = false;
                cancelled.push((*ticket, sent.endpoint));
            }
        }
        for (ticket, endpoint) in cancelled {
            self.plan(self.now + HOP, Occurrence::Cancelled(endpoint, ticket));
        }
    }
}
