//! Teams.

use kernel::{ObjectSet, Resources, TeamName};

use super::all_pools;
use crate::objects::{Findings, ObjectId, Reference, kind::register};

const NAME: &str = "team";

register!(NAME, teams, check, references);

fn check(set: &ObjectSet, findings: &mut Findings) {
    let total = all_pools(set);
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
        check_parts(set, &id, name, findings);
    }
}

fn check_parts(set: &ObjectSet, id: &ObjectId, name: &TeamName, findings: &mut Findings) {
    let parts = set
        .teams
        .values()
        .filter(|t| t.parent.as_ref() == Some(name));
    let together = parts.fold(Resources::NONE, |sum, part| sum.plus(part.quota));
    let Some(team) = set.teams.get(name) else {
        return;
    };
    if together.fits(team.quota) {
        return;
    }
    findings.add(
        id,
        "quota",
        format!("the quotas of its parts come to {together}"),
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
