//! Which worker a task goes to.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{ServiceName, Time, VmName};

use super::{
    Owner,
    vm::{Vm, VmStatus},
};
use crate::{Step, interference::Weights};

/// The cost of running far from the data, against a full worker at 1.
const FAR_COST: f64 = 2.0;
/// The cost of a task that fills where it would stand still, against one where
/// it takes all that is scarce at 1.
const SLOWED_COST: f64 = 4.0;
/// Below this part of its full speed a task that fills waits for a better place:
/// its job is in time at twice its shortest time, of which some is spent waiting.
const LEAST_SPEED: f64 = 0.8;
/// The cost of a worker at twice the usual time of tasks.
const SLOW_COST: f64 = 1.5;

/// What a task asks of its worker.
pub(super) struct Wish<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) step: &'a Step,
    /// Workers where it failed before.
    pub(super) avoid: &'a BTreeSet<VmName>,
    /// How many tasks of the step are on each worker.
    pub(super) beside: &'a BTreeMap<VmName, u32>,
    /// The rack that all tasks of the step have to share.
    pub(super) rack: Option<&'a str>,
    /// Whether any place is better than none.
    pub(super) is_urgent: bool,
}

impl Owner {
    /// The cheapest worker with room; one where the task failed before only if
    /// there is no other.
    pub(super) fn choose(&mut self, now: Time, wish: &Wish<'_>) -> Option<VmName> {
        let mut best: Option<(f64, VmName)> = None;
        let mut fallback: Option<(f64, VmName)> = None;
        for (name, vm) in &mut self.vms {
            if !admits(vm, now, wish, &self.zones_out) {
                continue;
            }
            if wish
                .step
                .per_worker
                .is_some_and(|most| wish.beside.get(name).copied().unwrap_or_default() >= most)
            {
                continue;
            }
            let Some(cost) = cost(vm, now, wish, self.harm.weights()) else {
                continue;
            };
            let slot = match wish.avoid.contains(name) {
                true => &mut fallback,
                false => &mut best,
            };
            if slot.as_ref().is_none_or(|(least, _)| cost < *least) {
                *slot = Some((cost, name.clone()));
            }
        }
        best.or(fallback).map(|(_, name)| name)
    }

    /// The racks with workers of a service that take work.
    pub(super) fn racks(&self, service: &ServiceName) -> BTreeSet<String> {
        let mut racks = BTreeSet::new();
        for vm in self.vms.values() {
            let Some(info) = &vm.info else {
                continue;
            };
            if info.service == *service
                && let Some(rack) = info.labels.get(RACK_LABEL)
            {
                racks.insert(rack.to_string());
            }
        }
        racks
    }
}

/// The place of the rack among a worker's labels, after its kind.
pub(super) const RACK_LABEL: usize = 1;

fn admits(
    vm: &mut Vm,
    now: Time,
    wish: &Wish<'_>,
    zones_out: &BTreeSet<kernel::AvailabilityZoneName>,
) -> bool {
    if vm.status() != VmStatus::Ready || !vm.full_until.passed(now) {
        return false;
    }
    let Some(info) = &vm.info else {
        return false;
    };
    if info.service != *wish.service || zones_out.contains(&info.zone) {
        return false;
    }
    let has = |label: &str| info.labels.iter().any(|own| own.as_ref() == label);
    if wish.step.label.as_ref().is_some_and(|label| !has(label)) {
        return false;
    }
    if wish.rack.is_some_and(|rack| !has(rack)) {
        return false;
    }
    if !wish.step.reserved().fits(vm.room()) {
        return false;
    }
    let holds = vm.held.len();
    vm.health.admits(now, holds)
}

/// The cost of a place; none for a task that fills and had better wait.
fn cost(vm: &Vm, now: Time, wish: &Wish<'_>, weights: &Weights) -> Option<f64> {
    let info = vm.info.as_ref()?;
    let step = wish.step;
    let after = vm.used.plus(step.reserved());
    let mut cost = after.dominant_share(info.capacity);
    if step.best_effort {
        let prospect = vm.prospect(step.image.as_ref(), step.need.cpu_milli, weights);
        if prospect.speed < LEAST_SPEED && !wish.is_urgent {
            return None;
        }
        cost = (1.0 - prospect.speed) * SLOWED_COST + prospect.strain;
    } else if step.target_millis.is_some() {
        // Close together, so that tasks that fill find workers of their own.
        cost = 1.0 - cost;
    }
    cost += (vm.health.slowness(now) - 1.0) * SLOW_COST;
    let is_far = step
        .data_rack
        .as_ref()
        .is_some_and(|rack| !info.labels.contains(rack));
    if is_far {
        cost += FAR_COST;
    }
    Some(cost)
}
