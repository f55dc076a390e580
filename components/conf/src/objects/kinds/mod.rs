//! Kinds of objects. Each module registers one kind.

mod job;
mod limit;
mod pool;
mod service;
mod team;
mod zone;

use kernel::{ObjectSet, Resources};

use super::{Findings, ObjectId};

/// Returns the sum of the capacities of all workers in all pools.
fn total_capacity(set: &ObjectSet) -> Resources {
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

/// Finds needs that exceed the capacity of every worker.
///
/// Skips the comparison while the set has no pools, since capacities are unknown then.
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
    let fits_worker = set.pools.values().any(|pool| need.fits(pool.capacity));
    if fits_worker || set.pools.is_empty() {
        return;
    }
    findings.add(
        object,
        field,
        format!("no worker of any pool holds {need}"),
        "lower it or add a pool of larger workers",
    );
}

/// Finds objects assigned to a team that has child teams, since such a team only groups
/// others.
fn check_team(
    set: &ObjectSet,
    object: &ObjectId,
    team: &kernel::TeamName,
    findings: &mut Findings,
) {
    let mut children = set
        .teams
        .iter()
        .filter(|(_, t)| t.parent.as_ref() == Some(team));
    let Some((child, _)) = children.next() else {
        return;
    };
    findings.add(
        object,
        "team",
        format!("the team {team} has parts, so it owns nothing itself"),
        format!("name one of its parts, such as {child}"),
    );
}
