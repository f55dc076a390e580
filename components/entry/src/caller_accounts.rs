//! Counts of requests, as accounting events and as metrics.
//!
//! Requests are summed up by second, so that the number of accounting events does
//! not grow with the rate of requests; see `docs/ACCOUNTS.md`.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use kernel::{
    Amount, AvailabilityZoneName, Cause, DurationClass, Event, EventKind, Party, ServiceName, Time,
};
use observe::latency_histogram;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use route::{Tally, TallyKind};

use crate::caller::InForce;

const MICROS_PER_MILLI: u64 = 1000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SumKey {
    second: u64,
    service: ServiceName,
    kind: TallyKind,
    cause: Cause,
    zone: Option<AvailabilityZoneName>,
    /// Requests of one second are kept apart by duration, since reports show quantiles.
    duration: DurationClass,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    count: u64,
    micros: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    outcome: &'static str,
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Counts the requests at one entry.
pub(crate) struct RequestAccounts {
    sink: Arc<dyn Fn(Event) + Send + Sync>,
    sums: Mutex<BTreeMap<SumKey, Sum>>,
    requests: Family<OutcomeLabels, Counter>,
    latency: Family<ServiceLabels, Histogram>,
    in_flight: Family<ServiceLabels, Gauge>,
    limit: Family<ServiceLabels, Gauge>,
}

impl std::fmt::Debug for RequestAccounts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestAccounts").finish_non_exhaustive()
    }
}

impl RequestAccounts {
    pub(crate) fn new(sink: Arc<dyn Fn(Event) + Send + Sync>, registry: &mut Registry) -> Self {
        let accounts = Self {
            sink,
            sums: Mutex::default(),
            requests: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            in_flight: Family::default(),
            limit: Family::default(),
        };
        registry.register(
            "requests",
            "Callers' requests by outcome and cause, and extra attempts for them",
            accounts.requests.clone(),
        );
        registry.register_with_unit(
            "request_latency",
            "Time from a request's arrival to its end",
            Unit::Seconds,
            accounts.latency.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Callers' requests under way",
            accounts.in_flight.clone(),
        );
        registry.register(
            "requests_limit",
            "The adaptive limit of callers' requests under way",
            accounts.limit.clone(),
        );
        accounts
    }

    /// Counts the request or extra attempt of `tally` at `now`.
    pub(crate) fn add(&self, now: Time, service: &ServiceName, tally: Tally) {
        let outcome = OutcomeLabels {
            service: service.to_string(),
            outcome: outcome_label(tally.kind),
            cause: cause_label(tally.cause),
        };
        self.requests.get_or_create(&outcome).inc();
        if matches!(tally.kind, TallyKind::Good | TallyKind::Late) {
            let labels = ServiceLabels {
                service: service.to_string(),
            };
            let seconds = tally.micros as f64 / 1e6;
            self.latency.get_or_create(&labels).observe(seconds);
        }
        let key = SumKey {
            second: now.as_secs(),
            service: service.clone(),
            kind: tally.kind,
            cause: tally.cause,
            zone: tally.zone,
            duration: DurationClass::of_millis(tally.micros as f64 / MICROS_PER_MILLI as f64),
        };
        let mut sums = self.lock();
        let sum = sums.entry(key).or_default();
        sum.count += 1;
        sum.micros += tally.micros;
    }

    pub(crate) fn set_gauges(&self, service: &ServiceName, in_flight: usize, limit: u32) {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        let in_flight = i64::try_from(in_flight).unwrap_or(i64::MAX);
        self.in_flight.get_or_create(&labels).set(in_flight);
        self.limit.get_or_create(&labels).set(i64::from(limit));
    }

    /// Sends the sums of all seconds that ended before `now`.
    pub(crate) fn flush(&self, now: Time, in_force: &InForce) {
        let ended = {
            let mut sums = self.lock();
            let (open, ended): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut *sums)
                .into_iter()
                .partition(|(key, _)| key.second >= now.as_secs());
            *sums = open;
            ended
        };
        for (key, sum) in ended {
            (self.sink)(to_event(key, sum, in_force));
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SumKey, Sum>> {
        self.sums.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_event(key: SumKey, sum: Sum, in_force: &InForce) -> Event {
    let service = in_force.objects.services.get(&key.service);
    let party = Party {
        team: service.map(|service| service.team.clone()),
        service: Some(key.service),
        run: None,
    };
    Event {
        at: Time::from_secs(key.second + 1),
        kind: event_kind(key.kind),
        cause: key.cause,
        beneficiary: party.clone(),
        payer: party,
        vm: None,
        zone: key.zone,
        revision: in_force.revision,
        amount: Amount {
            millis: sum.micros.div_ceil(MICROS_PER_MILLI),
            ..Amount::count(sum.count)
        },
    }
}

const fn event_kind(kind: TallyKind) -> EventKind {
    match kind {
        TallyKind::Good => EventKind::RequestsGood,
        TallyKind::Late => EventKind::RequestsLate,
        TallyKind::Failed => EventKind::RequestsFailed,
        TallyKind::Refused => EventKind::RequestsRefused,
        TallyKind::Retried => EventKind::RequestsRetried,
        TallyKind::Hedged => EventKind::RequestsHedged,
    }
}

const fn outcome_label(kind: TallyKind) -> &'static str {
    match kind {
        TallyKind::Good => "good",
        TallyKind::Late => "late",
        TallyKind::Failed => "failed",
        TallyKind::Refused => "refused",
        TallyKind::Retried => "retried",
        TallyKind::Hedged => "hedged",
    }
}

const fn cause_label(cause: Cause) -> &'static str {
    match cause {
        Cause::Cancelled => "caller-gone",
        Cause::Deadline => "deadline",
        Cause::Overload => "overload",
        Cause::NoEndpoint => "no-endpoint",
        Cause::EndpointFailed => "endpoint-failed",
        _ => "ordinary",
    }
}
