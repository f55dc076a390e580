//! Availability zones.

use kernel::ObjectSet;

use crate::objects::{Findings, ObjectId, Reference, kind::register};

const NAME: &str = "zone";

register!(NAME, zones, check, references);

fn check(set: &ObjectSet, findings: &mut Findings) {
    for (name, zone) in &set.zones {
        let id = ObjectId::new(NAME, name);
        for (index, vm) in zone.drained.iter().enumerate() {
            if !zone.drained[..index].contains(vm) {
                continue;
            }
            findings.add(
                &id,
                format!("drained.{index}"),
                format!("{vm} is listed twice"),
                "keep only one of them",
            );
        }
    }
}

const fn references(_: &ObjectSet) -> Vec<Reference> {
    Vec::new()
}
