//! Services.

use kernel::{ObjectSet, object::Service};

use super::{check_need, check_team};
use crate::objects::{Findings, ObjectId, Reference, kind::register};

const NAME: &str = "service";
/// Upper bound of `timeout_millis`.
const MAX_TIMEOUT_MILLIS: u64 = 3_600_000;
/// The fraction 1 in parts per million.
const ALL_PER_MILLION: u32 = 1_000_000;
/// Upper bound of `replicas.count`.
const MAX_REPLICAS: u64 = 10_000;
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

register!(NAME, services, check, references);

fn check(set: &ObjectSet, findings: &mut Findings) {
    for (name, service) in &set.services {
        let id = ObjectId::new(NAME, name);
        check_team(set, &id, &service.team, findings);
        findings.check_positive(&id, "timeout_millis", service.timeout_millis);
        findings.check_at_most(
            &id,
            "timeout_millis",
            service.timeout_millis,
            MAX_TIMEOUT_MILLIS,
        );
        check_objective(&id, service, findings);
        check_methods(&id, service, findings);
        let Some(replicas) = &service.replicas else {
            continue;
        };
        findings.check_positive(&id, "replicas.count", u64::from(replicas.count));
        findings.check_at_most(
            &id,
            "replicas.count",
            u64::from(replicas.count),
            MAX_REPLICAS,
        );
        check_need(set, &id, "replicas.need", replicas.need, findings);
    }
}

fn check_objective(id: &ObjectId, service: &Service, findings: &mut Findings) {
    let objective = &service.objective;
    findings.check_positive(id, "objective.latency_millis", objective.latency_millis);
    if objective.latency_millis > service.timeout_millis {
        findings.add(
            id,
            "objective.latency_millis",
            format!("it is longer than the timeout, {}", service.timeout_millis),
            "lower it or raise timeout_millis",
        );
    }
    let good = objective.good_per_million;
    if good == 0 || good >= ALL_PER_MILLION {
        findings.add(
            id,
            "objective.good_per_million",
            format!("{good} leaves no sensible error budget"),
            format!("choose a value from 1 to {}", ALL_PER_MILLION - 1),
        );
    }
}

fn check_methods(id: &ObjectId, service: &Service, findings: &mut Findings) {
    for (index, method) in service.idempotent_methods.iter().enumerate() {
        let field = format!("idempotent_methods.{index}");
        if !METHODS.contains(&method.as_str()) {
            let message = format!("{method} is no method of HTTP");
            findings.add(
                id,
                field,
                message,
                format!("use one of {}", METHODS.join(", ")),
            );
            continue;
        }
        if service.idempotent_methods[..index].contains(method) {
            let message = format!("{method} is listed twice");
            findings.add(id, field, message, "keep only one of them");
        }
    }
}

fn references(set: &ObjectSet) -> Vec<Reference> {
    let mut references = Vec::new();
    for (name, service) in &set.services {
        let id = ObjectId::new(NAME, name);
        let team = ObjectId::new("team", &service.team);
        references.push(Reference::new(&id, "team", team));
        if let Some(limit) = &service.limit {
            references.push(Reference::new(&id, "limit", ObjectId::new("limit", limit)));
        }
    }
    references
}
