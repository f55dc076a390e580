//! Forwards requests to the endpoints on the agent's VM.
//!
//! The proxy admits a request or refuses it before the endpoint receives a byte,
//! detects repeats of requests that must run at most once, and returns complete
//! responses only. See `docs/ROUTING.md` and `docs/AT-MOST-ONCE.md`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    endpoint::{EndpointClient, EndpointError},
    proxy_http,
    proxy_metrics::Metrics,
    proxy_slots::{Gate, InFlightCounter, lock},
};
use arc_swap::ArcSwap;
use kernel::{
    AvailabilityZoneName, Clock, EndpointLoad, Incarnation, ObjectSet, ServiceName, Time, Verdict,
    VmName, object::Limit,
};
use prometheus_client::registry::Registry;
use proto::messages::{
    EndpointResponse, Forward, ForwardOutcome, ForwardReply, RecordMode, Refusal,
};
use route::{
    admission::Ticket,
    record::{BeginResult, ProbeResult, RecordKey, Records},
};

/// An endpoint on the agent's VM.
#[derive(Clone, Debug)]
pub struct LocalEndpoint {
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// Number of requests that the endpoint runs at a time.
    pub slots: u32,
    /// Number of connections that the endpoint accepts.
    pub connections: u32,
}

/// Forwards requests to the endpoints on the agent's VM.
#[derive(Debug)]
pub struct Proxy {
    vm: VmName,
    incarnation: Incarnation,
    zone: AvailabilityZoneName,
    clock: Clock,
    gates: BTreeMap<ServiceName, Arc<Gate>>,
    objects: ArcSwap<ObjectSet>,
    records: Arc<Mutex<Records<EndpointResponse>>>,
    leaving: AtomicBool,
    /// Number of the next request that asks for a slot of any endpoint.
    next_ticket: AtomicU64,
    in_flight_requests: Arc<InFlightCounter>,
    metrics: Metrics,
}

impl Proxy {
    /// Creates a proxy on `vm` in `zone` for `endpoints`; `incarnation` is the one
    /// that the agent's heartbeats carry.
    #[must_use]
    pub fn new(
        vm: VmName,
        incarnation: Incarnation,
        zone: AvailabilityZoneName,
        endpoints: Vec<LocalEndpoint>,
        clock: Clock,
    ) -> Self {
        let mut gates = BTreeMap::new();
        for endpoint in endpoints {
            let client = EndpointClient::new(endpoint.address, endpoint.connections);
            let gate = Gate::new(endpoint.service.clone(), client, endpoint.slots);
            gates.insert(endpoint.service, Arc::new(gate));
        }
        Self {
            vm,
            incarnation,
            zone,
            clock,
            gates,
            objects: ArcSwap::default(),
            records: Arc::default(),
            leaving: AtomicBool::new(false),
            next_ticket: AtomicU64::new(0),
            in_flight_requests: Arc::default(),
            metrics: Metrics::default(),
        }
    }

    /// Adds the proxy's metrics to `registry`.
    pub fn register(&self, registry: &mut Registry) {
        self.metrics.register(registry);
    }

    /// Applies a newer configuration.
    pub fn set_objects(&self, objects: Arc<ObjectSet>) {
        for (name, gate) in &self.gates {
            if let Some(service) = objects.services.get(name) {
                gate.set_max_queue(objects.limit_of(service).queue);
            }
        }
        self.objects.store(objects);
    }

    /// Returns the load of each endpoint for the next heartbeat; also updates the
    /// load metrics and removes expired records of requests.
    #[must_use]
    pub fn load(&self) -> Vec<EndpointLoad> {
        lock(&self.records).expire(self.clock.now());
        let loads: Vec<EndpointLoad> = self.gates.values().map(|gate| gate.load()).collect();
        for load in &loads {
            self.metrics.set_load(load);
        }
        loads
    }

    /// Refuses all new requests from now on; admitted requests continue.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether [`Proxy::leave`] was called.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Waits until no admitted request is in flight.
    pub async fn wait_idle(&self) {
        self.in_flight_requests.wait_idle().await;
    }

    /// Returns the number of requests that are recorded to detect repeats.
    #[must_use]
    pub fn record_count(&self) -> usize {
        lock(&self.records).len()
    }

    /// Forwards one request and returns its outcome.
    ///
    /// Dropping the future withdraws a request that still waits for a slot. A
    /// request that the endpoint may have received continues, so that its slot and
    /// its record stay correct.
    pub async fn forward(&self, forward: Forward) -> ForwardReply {
        let (id, attempt) = (forward.id.clone(), forward.attempt);
        let gate = self.gates.get(&forward.service).cloned();
        let outcome = match &gate {
            Some(gate) => self.run(gate, forward).await,
            None => ForwardOutcome::NotRun(Refusal::NoEndpoint),
        };
        if let Some(gate) = &gate {
            self.metrics.count(gate.service(), &outcome);
        }
        let load = gate.map(|gate| gate.load());
        ForwardReply {
            id,
            attempt,
            outcome,
            in_flight: load.as_ref().map_or(0, |load| load.in_flight),
            queued: load.as_ref().map_or(0, |load| load.queued),
        }
    }

    async fn run(&self, gate: &Arc<Gate>, forward: Forward) -> ForwardOutcome {
        let now = self.clock.now();
        let deadline = now + Duration::from_micros(forward.remaining_micros);
        let mut record = match self.begin_record(now, &forward) {
            Ok(record) => record,
            Err(outcome) => return outcome,
        };
        if let Some(refusal) = self.work_refusal() {
            return ForwardOutcome::NotRun(refusal);
        }
        let max_body = self.max_body(&forward.service);
        if forward.body.len() > max_body {
            return ForwardOutcome::NotRun(Refusal::Invalid);
        }
        let Ok(req) = proxy_http::to_request(&forward, gate.client().address()) else {
            return ForwardOutcome::NotRun(Refusal::Invalid);
        };
        let in_flight_guard = self.in_flight_requests.enter();
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let slot = match gate.admit(self.clock, ticket, deadline).await {
            Ok(slot) => slot,
            Err(refusal) => return ForwardOutcome::NotRun(refusal),
        };
        let (tx, rx) = smol::channel::bounded(1);
        let (clock, metrics) = (self.clock, self.metrics.clone());
        let until = clock.instant(deadline);
        smol::spawn(async move {
            let started = clock.now();
            let result = slot.client().send(req, until, max_body).await;
            let took = clock.now().since(started);
            if result.is_ok() {
                metrics.observe_latency(slot.service(), took);
            }
            slot.release(result.is_ok().then_some(took));
            let outcome = to_outcome(result, took);
            if let Some(record) = &mut record {
                record.resolve(clock.now(), &outcome);
            }
            let _ = tx.send(outcome).await;
            drop(in_flight_guard);
        })
        .detach();
        rx.recv().await.unwrap_or_else(|_| {
            ForwardOutcome::MayHaveRun("the forwarding task ended without an outcome".to_owned())
        })
    }

    /// Begins a record of the request if its repeats must be detected; returns the
    /// outcome instead if the records determine it.
    fn begin_record(
        &self,
        now: Time,
        forward: &Forward,
    ) -> Result<Option<OpenRecord>, ForwardOutcome> {
        let key = RecordKey {
            service: forward.service.clone(),
            id: forward.id.clone(),
        };
        let fingerprint = proxy_http::fingerprint(forward);
        if forward.record != RecordMode::Off && forward.incarnation != self.incarnation {
            return Err(ForwardOutcome::NotRun(Refusal::Restarted));
        }
        match forward.record {
            RecordMode::Off => return Ok(None),
            RecordMode::Probe => {
                let probe_result = lock(&self.records).probe(now, &key, fingerprint);
                return Err(probe_outcome(probe_result));
            }
            RecordMode::Run => {}
        }
        let begin_result = lock(&self.records).begin(now, &key, fingerprint);
        match begin_result {
            BeginResult::Run => Ok(Some(OpenRecord {
                records: self.records.clone(),
                key: Some(key),
            })),
            BeginResult::Answered(answer) => Err(ForwardOutcome::Answered(answer)),
            BeginResult::MayHaveRun => Err(ForwardOutcome::MayHaveRun(
                "an earlier request with this id is running or has run on this VM".to_owned(),
            )),
            BeginResult::Fenced => Err(ForwardOutcome::NotRun(Refusal::NotHere)),
            BeginResult::IdReused => Err(ForwardOutcome::NotRun(Refusal::IdReused)),
            BeginResult::Full => Err(ForwardOutcome::NotRun(Refusal::QueueFull)),
        }
    }

    fn work_refusal(&self) -> Option<Refusal> {
        if self.is_leaving() {
            return Some(Refusal::Leaving);
        }
        let takes_work = self.objects.load().takes_work(&self.zone, &self.vm);
        (!takes_work).then_some(Refusal::ZoneOut)
    }

    fn max_body(&self, service: &ServiceName) -> usize {
        let objects = self.objects.load();
        let limit = match objects.services.get(service) {
            Some(service) => objects.limit_of(service),
            None => Limit::default(),
        };
        usize::try_from(limit.body_bytes).unwrap_or(usize::MAX)
    }
}

/// The record of a request without an outcome yet. Dropping it unresolved releases
/// the record, so that a repeat may run.
#[derive(Debug)]
struct OpenRecord {
    records: Arc<Mutex<Records<EndpointResponse>>>,
    key: Option<RecordKey>,
}

impl OpenRecord {
    fn resolve(&mut self, now: Time, outcome: &ForwardOutcome) {
        let Some(key) = self.key.take() else {
            return;
        };
        let mut records = lock(&self.records);
        match outcome {
            ForwardOutcome::Answered(answer) => {
                let bytes = proxy_http::response_bytes(answer);
                records.record_answer(now, &key, answer.clone(), bytes);
            }
            ForwardOutcome::NotRun(_) => records.release(&key),
            ForwardOutcome::MayHaveRun(_) => records.mark_unknown(now, &key),
        }
    }
}

impl Drop for OpenRecord {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            lock(&self.records).release(&key);
        }
    }
}

fn probe_outcome(probe_result: ProbeResult<EndpointResponse>) -> ForwardOutcome {
    match probe_result {
        ProbeResult::Answered(answer) => ForwardOutcome::Answered(answer),
        ProbeResult::MayHaveRun => ForwardOutcome::MayHaveRun(
            "an earlier request with this id is running or has run on this VM".to_owned(),
        ),
        ProbeResult::NotHere => ForwardOutcome::NotRun(Refusal::NotHere),
        ProbeResult::IdReused => ForwardOutcome::NotRun(Refusal::IdReused),
        ProbeResult::Full => ForwardOutcome::MayHaveRun(
            "the table of recorded requests on this VM is full".to_owned(),
        ),
    }
}

fn to_outcome(
    result: Result<http::Response<bytes::Bytes>, EndpointError>,
    took: Duration,
) -> ForwardOutcome {
    match result {
        Ok(resp) => ForwardOutcome::Answered(proxy_http::to_response(resp, took)),
        Err(error) => {
            tracing::debug!(%error, verdict = %error.verdict(), "the endpoint gave no complete response to a forwarded request");
            match (error.verdict(), &error) {
                (Verdict::NotRun, EndpointError::NotSentInTime) => {
                    ForwardOutcome::NotRun(Refusal::Deadline)
                }
                (Verdict::NotRun, EndpointError::NoConnection(_)) => {
                    ForwardOutcome::NotRun(Refusal::QueueFull)
                }
                (Verdict::NotRun, _) => ForwardOutcome::NotRun(Refusal::NoEndpoint),
                _ => ForwardOutcome::MayHaveRun(error.to_string()),
            }
        }
    }
}
