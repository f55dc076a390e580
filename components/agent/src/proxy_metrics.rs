//! Metrics of forwarded requests at an agent.

use std::time::Duration;

use kernel::{EndpointLoad, ServiceName};
use observe::latency_histogram;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use proto::messages::{ForwardOutcome, Refusal};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    outcome: &'static str,
    reason: &'static str,
}

/// The metrics of one proxy.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    forwarded: Family<OutcomeLabels, Counter>,
    latency: Family<ServiceLabels, Histogram>,
    in_flight: Family<ServiceLabels, Gauge>,
    queued: Family<ServiceLabels, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            forwarded: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            in_flight: Family::default(),
            queued: Family::default(),
        }
    }
}

fn labels(service: &ServiceName) -> ServiceLabels {
    ServiceLabels {
        service: service.to_string(),
    }
}

impl Metrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "forwarded_requests",
            "Forwarded requests by outcome and reason",
            self.forwarded.clone(),
        );
        registry.register_with_unit(
            "endpoint_latency",
            "Time from sending a request to the endpoint to its whole answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register(
            "endpoint_in_flight",
            "Requests at the endpoint, as of the last heartbeat",
            self.in_flight.clone(),
        );
        registry.register(
            "endpoint_queued",
            "Requests waiting for a slot of the endpoint, as of the last heartbeat",
            self.queued.clone(),
        );
    }

    pub(crate) fn count(&self, service: &ServiceName, outcome: &ForwardOutcome) {
        let (outcome, reason) = match outcome {
            ForwardOutcome::Answered(_) => ("answered", ""),
            ForwardOutcome::NotRun(refusal) => ("not-run", refusal_label(*refusal)),
            ForwardOutcome::MayHaveRun(_) => ("may-have-run", ""),
        };
        let labels = OutcomeLabels {
            service: service.to_string(),
            outcome,
            reason,
        };
        self.forwarded.get_or_create(&labels).inc();
    }

    pub(crate) fn observe_latency(&self, service: &ServiceName, took: Duration) {
        let latency = self.latency.get_or_create(&labels(service));
        latency.observe(took.as_secs_f64());
    }

    pub(crate) fn set_load(&self, load: &EndpointLoad) {
        let labels = labels(&load.service);
        let in_flight = i64::from(load.in_flight);
        self.in_flight.get_or_create(&labels).set(in_flight);
        let queued = i64::from(load.queued);
        self.queued.get_or_create(&labels).set(queued);
    }
}

const fn refusal_label(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::QueueFull => "queue-full",
        Refusal::Deadline => "deadline",
        Refusal::Leaving => "leaving",
        Refusal::NoEndpoint => "no-endpoint",
        Refusal::ZoneOut => "zone-out",
        Refusal::NotHere => "not-here",
        Refusal::Restarted => "restarted",
        Refusal::IdReused => "id-reused",
        Refusal::Invalid => "invalid",
    }
}
