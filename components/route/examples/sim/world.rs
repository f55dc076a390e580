//! The event loop of a run, with arrivals, entries, agents and network delays.

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
    ENDPOINTS, ENTRIES, Fault, NETWORK_DELAY, SLOTS, Scenario, Strategy, Summary, TIMEOUT, ZONES,
    endpoint::{Effect, Endpoint},
};

/// Interval at which agents report their load.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay until a new configuration reaches the first agent, and from one agent to the next;
/// twice as long for entries.
const CONFIG_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of attempts per request of the baseline.
const BASELINE_ATTEMPTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
enum SimEvent {
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
struct SentAttempt {
    entry: usize,
    key: RequestKey,
    attempt: AttemptNumber,
    endpoint: usize,
    is_open: bool,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    arrived_at: Time,
    attempts: u32,
}

struct Entry {
    router: Router,
    has_zone_out_config: bool,
}

/// State of a run.
pub(crate) struct World {
    scenario: Scenario,
    now: Time,
    event_queue: BTreeMap<(Time, u64), SimEvent>,
    last_sequence: u64,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    requests: BTreeMap<RequestKey, OpenRequest>,
    next_key: u64,
    sent: BTreeMap<Ticket, SentAttempt>,
    next_ticket: u64,
    summary: Summary,
}

fn vm_name(endpoint: usize) -> VmName {
    let name = format!("vm-{endpoint:02}");
    name.parse().expect("the name is well formed")
}

fn zone(endpoint: usize) -> usize {
    endpoint % ZONES
}

/// Runs `scenario` and returns its results.
pub(crate) fn run(scenario: Scenario) -> Summary {
    let mut world = World::new(scenario);
    while let Some(((now, _), event)) = world.event_queue.pop_first() {
        world.now = now;
        world.on(event);
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
                has_zone_out_config: false,
            });
        }
        let mut endpoints = Vec::new();
        for _ in 0..ENDPOINTS {
            let endpoint_rng = ChaCha8Rng::seed_from_u64(rng.random());
            endpoints.push(Endpoint::new(scenario.strategy, endpoint_rng));
        }
        let span = scenario.span - scenario.span / 4;
        let mut world = Self {
            scenario,
            now: Time::ZERO,
            event_queue: BTreeMap::new(),
            last_sequence: 0,
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
        world.schedule(Time::ZERO, SimEvent::Heartbeats);
        world.schedule(Time::ZERO, SimEvent::Arrival);
        world.schedule(scenario.fault_at(), SimEvent::Fault);
        world
    }

    fn schedule(&mut self, at: Time, event: SimEvent) {
        self.last_sequence += 1;
        self.event_queue
            .insert((at.max(self.now), self.last_sequence), event);
    }

    fn is_measured(&self, arrived_at: Time) -> bool {
        arrived_at >= self.scenario.fault_at()
    }

    fn on(&mut self, event: SimEvent) {
        let now = self.now;
        match event {
            SimEvent::Arrival => self.on_arrival(),
            SimEvent::Fault => self.on_fault(),
            SimEvent::Heartbeats => self.on_heartbeats(),
            SimEvent::ConfigAtAgent(endpoint) => self.endpoints[endpoint].is_out = true,
            SimEvent::ConfigAtEntry(entry) => {
                self.entries[entry].has_zone_out_config = true;
                self.update_endpoints(entry);
            }
            SimEvent::Due(entry, key) => self.route(entry, Event::Due(key)),
            SimEvent::AtAgent(endpoint, ticket) => {
                let Some(sent) = self.sent.get(&ticket).copied() else {
                    return;
                };
                let Some(request) = self.requests.get(&sent.key) else {
                    return;
                };
                let deadline = request.arrived_at + TIMEOUT;
                let effects = self.endpoints[endpoint].on_arrival(now, ticket, deadline);
                self.schedule_effects(endpoint, effects);
            }
            SimEvent::Cancelled(endpoint, ticket) => {
                let effects = self.endpoints[endpoint].on_cancel(now, ticket);
                self.schedule_effects(endpoint, effects);
            }
            SimEvent::Done(endpoint, ticket) => {
                let effects = self.endpoints[endpoint].on_done(now, ticket);
                self.schedule_effects(endpoint, effects);
            }
            SimEvent::GiveUp(endpoint, ticket) => {
                let effects = self.endpoints[endpoint].on_deadline(now, ticket);
                self.schedule_effects(endpoint, effects);
            }
            SimEvent::Replied(ticket, outcome) => self.on_replied(ticket, outcome),
        }
    }

    fn on_arrival(&mut self) {
        if self.now >= Time::ZERO + self.scenario.span {
            return;
        }
        let rate = self.scenario.load * Scenario::capacity();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let next = self.now + Duration::from_secs_f64(gap);
        self.schedule(next, SimEvent::Arrival);
        self.next_key += 1;
        let key = RequestKey(self.next_key);
        let arrived_at = self.now;
        self.requests.insert(
            key,
            OpenRequest {
                arrived_at,
                attempts: 0,
            },
        );
        self.summary.requests += u64::from(self.is_measured(arrived_at));
        let entry = self.rng.random_range(0..ENTRIES);
        if self.scenario.strategy == Strategy::Baseline {
            self.schedule(arrived_at + TIMEOUT, SimEvent::Due(entry, key));
            return self.send_at_random(entry, key);
        }
        let request = Request {
            key,
            id: None,
            idempotent: true,
            deadline: arrived_at + TIMEOUT,
        };
        self.route(entry, Event::Arrived(request));
    }

    fn on_fault(&mut self) {
        match self.scenario.fault {
            Fault::None => {}
            Fault::Slow(_) => self.endpoints[0].fault = self.scenario.fault,
            Fault::Unreachable | Fault::Crashing | Fault::SlowRequests(_) => {
                for endpoint in &mut self.endpoints {
                    endpoint.fault = self.scenario.fault;
                }
            }
            Fault::ZoneOut => {
                let mut at = self.now;
                for endpoint in (0..ENDPOINTS).filter(|endpoint| zone(*endpoint) == 0) {
                    at = at + CONFIG_DELAY;
                    self.schedule(at, SimEvent::ConfigAtAgent(endpoint));
                }
                let mut at = self.now;
                for entry in 0..ENTRIES {
                    at = at + CONFIG_DELAY * 2;
                    self.schedule(at, SimEvent::ConfigAtEntry(entry));
                }
            }
        }
    }

    fn on_heartbeats(&mut self) {
        for entry in 0..ENTRIES {
            self.update_endpoints(entry);
        }
        if self.now < Time::ZERO + self.scenario.span {
            self.schedule(self.now + HEARTBEAT_INTERVAL, SimEvent::Heartbeats);
        }
    }

    fn update_endpoints(&mut self, entry: usize) {
        let mut candidates = Vec::new();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let is_out = zone(index) == 0 && self.entries[entry].has_zone_out_config;
            candidates.push(Candidate {
                vm: vm_name(index),
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
        if self.scenario.strategy == Strategy::Baseline {
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
                Action::Wake { key, at } => self.schedule(at, SimEvent::Due(entry, key)),
                Action::Finish { key, result } => self.finish(key, Some(result)),
                Action::Tally(_) => {}
            }
        }
    }

    fn send(&mut self, entry: usize, key: RequestKey, attempt: AttemptNumber, endpoint: usize) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let sent = SentAttempt {
            entry,
            key,
            attempt,
            endpoint,
            is_open: true,
        };
        self.sent.insert(ticket, sent);
        if let Some(request) = self.requests.get(&key) {
            self.summary.attempts += u64::from(self.is_measured(request.arrived_at));
        }
        self.schedule(
            self.now + NETWORK_DELAY,
            SimEvent::AtAgent(endpoint, ticket),
        );
    }

    fn send_at_random(&mut self, entry: usize, key: RequestKey) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.attempts += 1;
        let attempt = AttemptNumber(request.attempts);
        let is_zone_out = self.entries[entry].has_zone_out_config;
        let endpoint = loop {
            let drawn = self.rng.random_range(0..ENDPOINTS);
            if !(is_zone_out && zone(drawn) == 0) {
                break drawn;
            }
        };
        self.send(entry, key, attempt, endpoint);
    }

    fn schedule_effects(&mut self, endpoint: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(ticket, outcome) => {
                    self.schedule(self.now + NETWORK_DELAY, SimEvent::Replied(ticket, outcome));
                }
                Effect::Done(ticket, at) => self.schedule(at, SimEvent::Done(endpoint, ticket)),
                Effect::GiveUp(ticket, at) => self.schedule(at, SimEvent::GiveUp(endpoint, ticket)),
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
        if self.scenario.strategy == Strategy::Product {
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
        let attempts = self.requests.get(&sent.key).map(|request| request.attempts);
        if attempts.is_some_and(|attempts| attempts < BASELINE_ATTEMPTS) {
            return self.send_at_random(sent.entry, sent.key);
        }
        self.finish(sent.key, None);
    }

    /// Ends a request; `None` means that the baseline got no answer.
    fn finish(&mut self, key: RequestKey, result: Option<RequestOutcome>) {
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        self.cancel_open_attempts(key);
        if !self.is_measured(request.arrived_at) {
            return;
        }
        let took = self.now.since(request.arrived_at);
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

    fn cancel_open_attempts(&mut self, key: RequestKey) {
        let mut cancelled = Vec::new();
        for (ticket, sent) in &mut self.sent {
            if sent.key == key && sent.is_open {
                sent.is_open = false;
                cancelled.push((*ticket, sent.endpoint));
            }
        }
        for (ticket, endpoint) in cancelled {
            self.schedule(
                self.now + NETWORK_DELAY,
                SimEvent::Cancelled(endpoint, ticket),
            );
        }
    }
}
