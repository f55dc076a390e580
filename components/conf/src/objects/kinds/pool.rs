//! Pools of workers.

use kernel::{ObjectSet, Resources};

use crate::objects::{Findings, ObjectId, Reference, kind::register};

const NAME: &str = "pool";

register!(NAME, pools, check, references);

fn check(set: &ObjectSet, findings: &mut Findings) {
    for (name, pool) in &set.pools {
        let id = ObjectId::new(NAME, name);
        findings.check_positive(&id, "workers", u64::from(pool.workers));
        if pool.capacity == Resources::NONE {
            let remedy = "state the processors and memory of one worker";
            findings.add(&id, "capacity", "its workers hold nothing", remedy);
        }
        if pool.zones.is_empty() {
            let remedy = "name at least one availability zone";
            findings.add(&id, "zones", "the list is empty", remedy);
        }
        for (index, zone) in pool.zones.iter().enumerate() {
            if !pool.zones[..index].contains(zone) {
                continue;
            }
            let message = format!("{zone} is listed twice");
            findings.add(
                &id,
                format!("zones.{index}"),
                message,
                "keep only one of them",
            );
        }
    }
}

fn references(set: &ObjectSet) -> Vec<Reference> {
    let mut references = Vec::new();
    for (name, pool) in &set.pools {
        let id = ObjectId::new(NAME, name);
        for (index, zone) in pool.zones.iter().enumerate() {
            let zone = ObjectId::new("zone", zone);
            references.push(Reference::new(&id, format!("zones.{index}"), zone));
        }
    }
    references
}
