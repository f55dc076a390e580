//! Which worker a task goes to.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{ServiceName, Time, VmName};

use super::{
    Owner,
    harm::Harm,
    vm::{Vm, VmStatus},
};
use crate::Step;

/// The cost of running far from the data, against a full worker at 1.
const FAR_COST: f64 = 2.0;
/// The cost for a task that fills beside tasks that serve, for each unit of the
/// logarithm of the factor that is expected on their latency.
const PRESSURE_COST: f64 = 2.0;
/// The same for a task that serves beside tasks that fill; those end within
/// seconds.
const BESIDE_FILLING_COST: f64 = 0.3;
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
            let cost = cost(vm, now, wish, &self.harm);
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

fn cost(vm: &Vm, now: Time, wish: &Wish<'_>, harm: &Harm) -> f64 {
    let Some(info) = &vm.info else {
        return f64::INFINITY;
    };
    let step = wish.step;
    let weight = harm.weight(step.image.as_ref());
    let after = vm.used.plus(step.reserved());
    let mut cost = after.dominant_share(info.room);
    let capacity = info.room.cpu_milli.max(1) as f64;
    if step.fills {
        let free = info.room.cpu_milli.saturating_sub(vm.used.cpu_milli).max(1);
        cost = (vm.filling_cpu() + step.need.cpu_milli) as f64 / free as f64;
        if vm.serving() > 0 {
            let part = step.need.cpu_milli as f64 / capacity;
            cost += (vm.pressure(harm) + weight * part) * PRESSURE_COST * weight;
        }
    } else if step.target_millis.is_some() {
        // Close together, so that tasks that fill find workers of their own.
        cost = 1.0 - cost + vm.pressure(harm) * BESIDE_FILLING_COST;
    }
    cost += (vm.health.slowness(now) - 1.0) * SLOW_COST;
    let is_far = step
        .rack
        .as_ref()
        .is_some_and(|rack| !info.labels.contains(rack));
    if is_far {
        cost += FAR_COST;
    }
    cost
}
