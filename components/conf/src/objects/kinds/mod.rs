//! The kinds of objects; each file registers one.

mod job;
mod limit;
mod pool;
mod service;
mod team;
mod zone;

use kernel::{ObjectSet, Resources};

use super::{Findings, ObjectId};

/// What all workers of all pools hold together.
fn all_pools(set: &ObjectSet) -> Resources {
    let mut total = Resources::NONE;
    for pool in set.pools.values() {
        let count = u64::from(pool.workers);
        let accelerators = pool.capacity.accelerators.saturating_mul(pool.workers);
        total = total.plus(Resources::new(
            pool.capacity.cpu_milli.saturating_mul(count),
            pool.capacity.memory_mib.saturating_mul(count),
            accelerators,
        ));
    }
    total
}

/// Finds needs that no worker of any pool can hold, even an empty one.
///
/// Nothing is said while no pool is named, since nothing is known then.
fn check_need(
    set: &ObjectSet,
    object: &ObjectId,
    field: &str,
    need: Resources,
    findings: &mut Findings,
) {
    if need == Resources::NONE {
        findings.add(
            object,
            field,
            "it needs nothing",
            "state its processors and memory",
        );
        return;
    }
    let held = set.pools.values().any(|pool| need.fits(pool.capacity));
    if held || set.pools.is_empty() {
        return;
    }
    findings.add(
        object,
        field,
        format!("no worker of any pool holds {need}"),
        "lower it or add a pool of larger workers",
    );
}

/// Finds owners that are only there to hold other teams.
fn check_owner(
    set: &ObjectSet,
    object: &ObjectId,
    team: &kernel::TeamName,
    findings: &mut Findings,
) {
    let mut parts = set
        .teams
        .iter()
        .filter(|(_, t)| t.parent.as_ref() == Some(team));
    let Some((part, _)) = parts.next() else {
        return;
    };
    findings.add(
        object,
        "team",
        format!("the team {team} has parts, so it owns nothing itself"),
        format!("name one of its parts, such as {part}"),
    );
}
