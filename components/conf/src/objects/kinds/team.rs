//! Teams.

use kernel::{ObjectSet, Resources, TeamName};

use super::total_capacity;
use crate::objects::{Findings, ObjectId, Reference, kind::register};

const NAME: &str = "team";

register!(NAME, teams, check, references);

fn check(set: &ObjectSet, findings: &mut Findings) {
    let total = total_capacity(set);
    for (name, team) in &set.teams {
        let id = ObjectId::new(NAME, name);
        findings.check_positive(&id, "weight", u64::from(team.weight));
        if !set.pools.is_empty() && !team.quota.fits(total) {
            findings.add(
                &id,
                "quota",
                format!("it can never be used: all pools together hold {total}"),
                "lower it or add workers to a pool",
            );
        }
        check_child_quotas(set, &id, name, findings);
    }
}

fn check_child_quotas(set: &ObjectSet, id: &ObjectId, name: &TeamName, findings: &mut Findings) {
    let children = set
        .teams
        .values()
        .filter(|t| t.parent.as_ref() == Some(name));
    let child_quotas = children.fold(Resources::NONE, |sum, child| sum.plus(child.quota));
    let Some(team) = set.teams.get(name) else {
        return;
    };
    if child_quotas.fits(team.quota) {
        return;
    }
    findings.add(
        id,
        "quota",
        format!("the quotas of its parts come to {child_quotas}"),
        "raise it or lower theirs",
    );
}

fn references(set: &ObjectSet) -> Vec<Reference> {
    let mut references = Vec::new();
    for (name, team) in &set.teams {
        let Some(parent) = &team.parent else {
            continue;
        };
        let id = ObjectId::new(NAME, name);
        references.push(Reference::new(&id, "parent", ObjectId::new(NAME, parent)));
    }
    references
}
