//! Admission of requests to one endpoint, decided by the agent on its VM.
//!
//! At most as many requests run at a time as the endpoint has slots; a short
//! queue holds the next ones. A request is refused at once, before any byte
//! reaches the endpoint, if the queue is full or the answer could not arrive in
//! time, so that no slot is spent on an answer that nobody waits for.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use kernel::Time;

/// Weight of a new service time in the moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// A request starts only if more than this share of the average service time remains
/// until its deadline.
const MIN_REMAINING_SHARE: f64 = 0.5;

/// Identifies a request while it waits for or holds a slot; the agent numbers all requests
/// that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Decision on a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may be sent to the endpoint.
    Start(Ticket),
    /// The answer could not arrive in time; the request must not be sent.
    TooLate(Ticket),
    /// The queue is full; the request must not be sent.
    QueueFull(Ticket),
}

/// Slots and queue of one endpoint.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: u32,
    max_queue: u32,
    running: BTreeSet<Ticket>,
    queue: VecDeque<Ticket>,
    /// Deadlines of the queued requests.
    deadlines: BTreeMap<Ticket, Time>,
    /// Moving average of the service time, in microseconds.
    service_micros: f64,
}

impl Admission {
    /// Returns an idle endpoint with `slots` slots and a queue of at most `max_queue` requests.
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

    /// Changes the maximum length of the queue; queued requests stay.
    pub const fn set_max_queue(&mut self, max_queue: u32) {
        self.max_queue = max_queue;
    }

    /// Returns the number of requests at the endpoint.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns the moving average of the service time.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_micros as u64)
    }

    /// Requests a slot at `now` for a request that must end by `deadline`; returns `None` if
    /// the request is queued.
    pub fn on_arrival(
        &mut self,
        now: Time,
        ticket: Ticket,
        deadline: Time,
    ) -> Option<AdmissionDecision> {
        if !self.can_finish(now, deadline, self.expected_wait()) {
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

    /// Removes a running or queued request at `now` and returns the decisions on requests
    /// that leave the queue. `took` is the service time of the removed request if it was
    /// answered.
    pub fn on_departure(
        &mut self,
        now: Time,
        ticket: Ticket,
        took: Option<Duration>,
    ) -> Vec<AdmissionDecision> {
        if let Some(took) = took {
            self.record_service_time(took);
        }
        self.running.remove(&ticket);
        if self.deadlines.remove(&ticket).is_some() {
            self.queue.retain(|queued| *queued != ticket);
        }
        self.start_queued(now)
    }

    fn start_queued(&mut self, now: Time) -> Vec<AdmissionDecision> {
        let mut decisions = Vec::new();
        while self.in_flight() < self.slots {
            let Some(ticket) = self.queue.pop_front() else {
                break;
            };
            let deadline = self.deadlines.remove(&ticket).unwrap_or_default();
            if !self.can_finish(now, deadline, Duration::ZERO) {
                decisions.push(AdmissionDecision::TooLate(ticket));
                continue;
            }
            self.running.insert(ticket);
            decisions.push(AdmissionDecision::Start(ticket));
        }
        decisions
    }

    fn record_service_time(&mut self, took: Duration) {
        let micros = took.as_micros() as f64;
        if self.service_micros == 0.0 {
            self.service_micros = micros;
        }
        self.service_micros += SERVICE_TIME_WEIGHT * (micros - self.service_micros);
    }

    fn expected_wait(&self) -> Duration {
        if self.in_flight() < self.slots {
            return Duration::ZERO;
        }
        let rounds = f64::from(self.queued() + 1) / f64::from(self.slots.max(1));
        Duration::from_micros((self.service_micros * rounds) as u64)
    }

    fn can_finish(&self, now: Time, deadline: Time, wait: Duration) -> bool {
        let needed = Duration::from_micros((self.service_micros * MIN_REMAINING_SHARE) as u64);
        deadline.remaining(now) > wait + needed
    }
}
