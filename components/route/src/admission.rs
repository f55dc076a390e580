//! Admission of requests to one endpoint by the agent beside it.
//!
//! As many requests as the endpoint has slots run at a time; a short queue
//! holds the next ones. A request is refused at once, before the endpoint sees
//! a byte, if the queue is full or its answer could not come in time, so that
//! no slot is spent on an answer that nobody waits for.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use kernel::Time;

/// The weight of a new service time in the running mean.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// A request starts only if this part of the usual service time is left to it.
const MIN_REMAINING_SHARE: f64 = 0.5;

/// The number of a request at one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What becomes of a request that asked for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It may be sent to the endpoint.
    Start(Ticket),
    /// Its answer could not come in time; it must not be sent.
    TooLate(Ticket),
    /// The queue is full; it must not be sent.
    QueueFull(Ticket),
}

/// The slots and the queue of one endpoint.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: u32,
    max_queue: u32,
    running: BTreeSet<Ticket>,
    queue: VecDeque<Ticket>,
    deadlines: BTreeMap<Ticket, Time>,
    service_micros: f64,
}

impl Admission {
    /// An idle endpoint with `slots` and room for `max_queue` waiting requests.
    #[must_use]
    pub const fn new(slots: u32, max_queue: u32) -> Self {
        Self {
            slots,
            max_queue,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            deadlines: BTreeMap::new(),
            service_micros: 0.0,
        }
    }

    /// Changes the length of the queue.
    pub const fn set_max_queue(&mut self, max_queue: u32) {
        self.max_queue = max_queue;
    }

    /// Requests at the endpoint.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// The running mean of the service time.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_micros as u64)
    }

    /// Asks at `now` for a slot until `deadline`; nothing is returned if the
    /// request has to wait.
    pub fn on_arrival(
        &mut self,
        now: Time,
        ticket: Ticket,
        deadline: Time,
    ) -> Option<AdmissionDecision> {
        if !self.can_finish(now, deadline, self.wait_for_slot()) {
            return Some(AdmissionDecision::TooLate(ticket));
        }
        if self.in_flight() < self.slots {
            self.running.insert(ticket);
            return Some(AdmissionDecision::Start(ticket));
        }
        if self.queued() >= self.max_queue {
            return Some(AdmissionDecision::QueueFull(ticket));
        }
        self.queue.push_back(ticket);
        self.deadlines.insert(ticket, deadline);
        None
    }

    /// Ends a request at `now`, running or waiting, and says what becomes of
    /// those that waited. `took` is its service time if it was answered.
    pub fn on_departure(
        &mut self,
        now: Time,
        ticket: Ticket,
        took: Option<Duration>,
    ) -> Vec<AdmissionDecision> {
        if let Some(took) = took {
            self.learn(took);
        }
        self.running.remove(&ticket);
        if self.deadlines.remove(&ticket).is_some() {
            self.queue.retain(|waiting| *waiting != ticket);
        }
        self.fill(now)
    }

    fn fill(&mut self, now: Time) -> Vec<AdmissionDecision> {
        let mut admitted = Vec::new();
        while self.in_flight() < self.slots {
            let Some(ticket) = self.queue.pop_front() else {
                break;
            };
            let deadline = self.deadlines.remove(&ticket).unwrap_or_default();
            if !self.can_finish(now, deadline, Duration::ZERO) {
                admitted.push(AdmissionDecision::TooLate(ticket));
                continue;
            }
            self.running.insert(ticket);
            admitted.push(AdmissionDecision::Start(ticket));
        }
        admitted
    }

    fn learn(&mut self, took: Duration) {
        let micros = took.as_micros() as f64;
        if self.service_micros == 0.0 {
            self.service_micros = micros;
        }
        self.service_micros += SERVICE_TIME_WEIGHT * (micros - self.service_micros);
    }

    fn wait_for_slot(&self) -> Duration {
        if self.in_flight() < self.slots {
            return Duration::ZERO;
        }
        let turns = f64::from(self.queued() + 1) / f64::from(self.slots.max(1));
        Duration::from_micros((self.service_micros * turns) as u64)
    }

    fn can_finish(&self, now: Time, deadline: Time, wait: Duration) -> bool {
        let needed = Duration::from_micros((self.service_micros * MIN_REMAINING_SHARE) as u64);
        deadline.remaining(now) > wait + needed
    }
}
