//! Volatile data about the workers of the cell.

use std::{collections::BTreeMap, sync::Arc};

use kernel::{Cause, Incarnation, ObjectSet, Revision, ServiceName, Time, VmInfo, VmName};

use super::Owner;

/// A worker as described by its heartbeats.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) info: VmInfo,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) last_heartbeat: Time,
    /// Whether the agent has confirmed the epoch of this term. From then on
    /// the agent rejects replies of earlier owners.
    pub(super) follows_term: bool,
    /// Whether the agent has announced that it shuts down and takes no new work.
    pub(super) leaving: bool,
    /// The last reported latency of each endpoint, in microseconds.
    pub(super) latencies: BTreeMap<ServiceName, u64>,
    /// Whether the fleet has the worker as open for new tasks.
    open: bool,
}

impl Worker {
    pub(super) fn new(info: VmInfo, now: Time) -> Self {
        Self {
            incarnation: info.incarnation,
            info,
            sequence: 0,
            last_heartbeat: now,
            follows_term: false,
            leaving: false,
            latencies: BTreeMap::new(),
            open: false,
        }
    }

    /// Returns whether new tasks may be bound to the worker.
    pub(super) const fn is_open(&self) -> bool {
        self.open
    }
}

impl Owner {
    pub(super) fn handle_config(
        &mut self,
        now: Time,
        objects: Arc<ObjectSet>,
        revision: Revision,
        proved_at: Option<Time>,
    ) {
        if revision < self.revision {
            return;
        }
        self.config_proved = self.config_proved.max(proved_at);
        if revision == self.revision {
            return;
        }
        self.revision = revision;
        self.objects = objects;
        self.invalidate_allowances();
        self.placement_due = true;
        for vm in self.worker_names() {
            self.update_availability(now, &vm);
        }
    }

    /// Updates in the fleet whether a worker takes new tasks, and evicts its tasks if
    /// the worker must be emptied.
    pub(super) fn update_availability(&mut self, now: Time, vm: &VmName) {
        let Some(worker) = self.workers.get(vm) else {
            return;
        };
        let reason = self.eviction_cause(now, worker);
        let unresponsive = (worker.last_heartbeat + self.timing.suspect_after).passed(now);
        let overbooked = self.runs_on(vm).iter().any(|run| {
            self.bound_runs
                .get(run)
                .is_some_and(|bound_run| !bound_run.reserved)
        });
        let open = reason.is_none() && !unresponsive && !overbooked && worker.follows_term;
        if open != worker.open {
            self.set_open(vm, open);
        }
        if let Some(cause) = reason {
            self.evict_all(now, vm, cause);
        }
    }

    /// Returns the reason for which all tasks of a worker must be evicted, or `None`.
    fn eviction_cause(&self, now: Time, worker: &Worker) -> Option<Cause> {
        let info = &worker.info;
        if worker.leaving {
            return Some(Cause::Drain);
        }
        if !self.objects.takes_work(&info.zone, &info.vm) {
            let out = self
                .objects
                .zones
                .get(&info.zone)
                .is_some_and(|zone| zone.state == kernel::object::ZoneState::Out);
            return Some(if out { Cause::ZoneOut } else { Cause::Drain });
        }
        let until = self.state.quarantined_until.get(&info.vm);
        if until.is_some_and(|until| !until.passed(now)) {
            return Some(Cause::Quarantine);
        }
        None
    }

    fn set_open(&mut self, vm: &VmName, open: bool) {
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        worker.open = open;
        let worker = place::Worker {
            vm: vm.clone(),
            zone: worker.info.zone.clone(),
            rack: worker.info.rack.clone(),
            capacity: worker.info.capacity,
            services: services(&worker.info),
            open,
        };
        self.fleet.upsert(worker);
        self.placement_due |= open;
    }

    /// Adds a worker, or updates the static information of a known one.
    pub(super) fn register_worker(&mut self, now: Time, info: VmInfo) {
        let vm = info.vm.clone();
        self.learner.on_worker(&vm, info.capacity);
        match self.workers.get_mut(&vm) {
            Some(worker) => {
                worker.incarnation = info.incarnation;
                worker.info = info;
            }
            None => {
                self.workers.insert(vm.clone(), Worker::new(info, now));
            }
        }
        self.set_open(&vm, false);
        self.reserve_bound_runs(&vm);
    }

    /// Reserves the resources of all attempts bound to `vm`, before new tasks can
    /// be placed there.
    fn reserve_bound_runs(&mut self, vm: &VmName) {
        for run in self.runs_on(vm) {
            let Some((_, binding)) = self.state.binding(&run) else {
                continue;
            };
            let (reserved, at) = (binding.reserved, binding.at);
            let Some(reservation) = self.reservation(&run, reserved, at) else {
                continue;
            };
            let fits = self.fleet.reserve(&run, vm, reservation).is_ok();
            if let Some(bound_run) = self.bound_runs.get_mut(&run) {
                bound_run.reserved = fits;
            }
        }
    }

    pub(super) fn worker_names(&self) -> Vec<VmName> {
        self.workers.keys().cloned().collect()
    }

    /// Closes unresponsive workers for new tasks, ends their attempts once the
    /// leases have expired, and removes those without attempts.
    pub(super) fn sweep_workers(&mut self, now: Time) {
        for vm in self.worker_names() {
            self.update_availability(now, &vm);
            let Some(worker) = self.workers.get(&vm) else {
                continue;
            };
            if !(worker.last_heartbeat + self.timing.suspect_after).passed(now) {
                continue;
            }
            let forget = (worker.last_heartbeat + self.timing.forget_after).passed(now);
            self.end_expired(now, &vm);
            if forget && !self.runs_by_vm.contains_key(&vm) {
                self.workers.remove(&vm);
                self.fleet.remove(&vm);
                self.forget_usage(&vm);
            }
        }
        self.end_runs_on_unknown_vms(now);
    }

    /// Ends attempts bound to workers that have sent no heartbeat in this term, once
    /// the leases of earlier owners have expired.
    fn end_runs_on_unknown_vms(&mut self, now: Time) {
        if !self.earlier_leases_end.passed(now) {
            return;
        }
        let unknown: Vec<VmName> = self
            .runs_by_vm
            .keys()
            .filter(|vm| !self.workers.contains_key(*vm))
            .cloned()
            .collect();
        for vm in unknown {
            self.end_expired(now, &vm);
        }
    }
}

fn services(info: &VmInfo) -> Vec<ServiceName> {
    info.endpoints
        .iter()
        .map(|endpoint| endpoint.service.clone())
        .collect()
}
