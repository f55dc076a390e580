//! Request limits of services.

use kernel::ObjectSet;

use crate::objects::{Findings, ObjectId, Reference, kind::register};

const NAME: &str = "limit";
const MAX_IN_FLIGHT: u64 = 1_000_000;
const MAX_QUEUE: u64 = 1_000_000;
const MAX_BODY_BYTES: u64 = 1 << 30;
const MAX_PERCENT: u64 = 100;

register!(NAME, limits, check, references);

fn check(set: &ObjectSet, findings: &mut Findings) {
    for (name, limit) in &set.limits {
        let id = ObjectId::new(NAME, name);
        findings.check_positive(&id, "in_flight", u64::from(limit.in_flight));
        findings.check_positive(&id, "body_bytes", limit.body_bytes);
        let bounds = [
            ("in_flight", u64::from(limit.in_flight), MAX_IN_FLIGHT),
            ("queue", u64::from(limit.queue), MAX_QUEUE),
            ("body_bytes", limit.body_bytes, MAX_BODY_BYTES),
            ("retry_percent", u64::from(limit.retry_percent), MAX_PERCENT),
            ("hedge_percent", u64::from(limit.hedge_percent), MAX_PERCENT),
        ];
        for (field, value, max) in bounds {
            findings.check_at_most(&id, field, value, max);
        }
    }
}

const fn references(_: &ObjectSet) -> Vec<Reference> {
    Vec::new()
}
