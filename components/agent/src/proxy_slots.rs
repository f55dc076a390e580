//! Slots and queues of the endpoints on the agent's VM, and the count of requests
//! in flight.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kernel::{Clock, EndpointLoad, ServiceName, Time, object::Limit};
use proto::messages::Refusal;
use route::admission::{Admission, AdmissionDecision, Ticket};
use smol::channel::{Receiver, Sender};

use crate::endpoint::EndpointClient;

/// Admission to one endpoint, with its slots, its queue and its client.
#[derive(Debug)]
pub(crate) struct Gate {
    service: ServiceName,
    client: EndpointClient,
    admission: Mutex<Admission>,
    /// Receivers of the decisions on queued requests.
    waiting: Mutex<BTreeMap<Ticket, Sender<AdmissionDecision>>>,
}

impl Gate {
    pub(crate) fn new(service: ServiceName, client: EndpointClient, slots: u32) -> Self {
        Self {
            service,
            client,
            admission: Mutex::new(Admission::new(slots, Limit::default().queue)),
            waiting: Mutex::default(),
        }
    }

    pub(crate) const fn client(&self) -> &EndpointClient {
        &self.client
    }

    pub(crate) const fn service(&self) -> &ServiceName {
        &self.service
    }

    pub(crate) fn set_max_queue(&self, max_queue: u32) {
        lock(&self.admission).set_max_queue(max_queue);
    }

    /// Waits for a slot of the endpoint, or returns why the request gets none.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        clock: Clock,
        ticket: Ticket,
        deadline: Time,
    ) -> Result<Slot, Refusal> {
        let slot = Slot {
            gate: self.clone(),
            clock,
            ticket,
            took: None,
        };
        let decision = match self.arrive(clock.now(), ticket, deadline) {
            Ok(decision) => decision,
            Err(waiting) => wait(waiting, clock, deadline, ticket).await,
        };
        match decision {
            AdmissionDecision::Start(_) => Ok(slot),
            AdmissionDecision::TooLate(_) => Err(Refusal::Deadline),
            AdmissionDecision::QueueFull(_) => Err(Refusal::QueueFull),
        }
    }

    fn arrive(
        &self,
        now: Time,
        ticket: Ticket,
        deadline: Time,
    ) -> Result<AdmissionDecision, Receiver<AdmissionDecision>> {
        let mut admission = lock(&self.admission);
        if let Some(decision) = admission.on_arrival(now, ticket, deadline) {
            return Ok(decision);
        }
        let (tx, rx) = smol::channel::bounded(1);
        lock(&self.waiting).insert(ticket, tx);
        Err(rx)
    }

    pub(crate) fn load(&self) -> EndpointLoad {
        let admission = lock(&self.admission);
        EndpointLoad {
            service: self.service.clone(),
            in_flight: admission.in_flight(),
            queued: admission.queued(),
            latency_micros: u64::try_from(admission.service_time().as_micros()).unwrap_or(u64::MAX),
        }
    }
}

async fn wait(
    waiting: Receiver<AdmissionDecision>,
    clock: Clock,
    deadline: Time,
    ticket: Ticket,
) -> AdmissionDecision {
    let decision = async {
        waiting
            .recv()
            .await
            .unwrap_or(AdmissionDecision::TooLate(ticket))
    };
    let expiry = async {
        smol::Timer::at(clock.instant(deadline)).await;
        AdmissionDecision::TooLate(ticket)
    };
    futures_lite::FutureExt::or(decision, expiry).await
}

/// A slot of an endpoint or a place in its queue, released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    gate: Arc<Gate>,
    clock: Clock,
    ticket: Ticket,
    /// Service time of the complete response; `None` until or without one.
    took: Option<Duration>,
}

impl Slot {
    pub(crate) fn client(&self) -> &EndpointClient {
        &self.gate.client
    }

    pub(crate) fn service(&self) -> &ServiceName {
        &self.gate.service
    }

    /// Releases the slot; `took` is the service time of a complete response, `None`
    /// without one.
    pub(crate) fn release(mut self, took: Option<Duration>) {
        self.took = took;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.clock.now();
        let decisions = lock(&self.gate.admission).on_departure(now, self.ticket, self.took);
        let mut waiting = lock(&self.gate.waiting);
        waiting.remove(&self.ticket);
        for decision in decisions {
            let (AdmissionDecision::Start(ticket)
            | AdmissionDecision::TooLate(ticket)
            | AdmissionDecision::QueueFull(ticket)) = decision;
            if let Some(tx) = waiting.remove(&ticket) {
                let _ = tx.try_send(decision);
            }
        }
    }
}

/// Counts admitted requests, so that a graceful stop can wait until they end.
#[derive(Debug, Default)]
pub(crate) struct InFlightCounter {
    state: Mutex<InFlightState>,
}

#[derive(Debug, Default)]
struct InFlightState {
    count: usize,
    waiters: Vec<Sender<()>>,
}

#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<InFlightCounter>);

impl InFlightCounter {
    pub(crate) fn enter(self: &Arc<Self>) -> InFlightGuard {
        lock(&self.state).count += 1;
        InFlightGuard(self.clone())
    }

    pub(crate) async fn wait_idle(&self) {
        let waiting = {
            let mut state = lock(&self.state);
            if state.count == 0 {
                return;
            }
            let (tx, rx) = smol::channel::bounded(1);
            state.waiters.push(tx);
            rx
        };
        let _ = waiting.recv().await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.count -= 1;
        if state.count > 0 {
            return;
        }
        state.waiters.clear();
    }
}

/// Locks `mutex`, also after a panic of another holder, which leaves the data
/// consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
