//! What the owner knows of the workers of its cell.

use std::{collections::BTreeMap, sync::Arc};

use kernel::{Cause, Incarnation, ObjectSet, Revision, ServiceName, Time, VmInfo, VmName};

use super::Owner;

/// What is known of one worker; all of it is learnt from heartbeats.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) info: VmInfo,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) heard: Time,
    /// Its agent has obeyed an answer of this term, so it obeys no earlier one.
    pub(super) obeys: bool,
    pub(super) leaving: bool,
    /// The last latency told of each endpoint, in microseconds.
    pub(super) latencies: BTreeMap<ServiceName, u64>,
    /// Whether the fleet believes it open.
    open: bool,
}

impl Worker {
    pub(super) fn new(info: VmInfo, now: Time) -> Self {
        Self {
            incarnation: info.incarnation,
            info,
            sequence: 0,
            heard: now,
            obeys: false,
            leaving: false,
            latencies: BTreeMap::new(),
            open: false,
        }
    }

    /// Whether new tasks may be bound to it.
    pub(super) const fn is_open(&self) -> bool {
        self.open
    }
}

impl Owner {
    pub(super) fn take_config(
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
        self.forget_allowances();
        self.placement_due = true;
        for vm in self.worker_names() {
            self.review(now, &vm);
        }
    }

    /// Tells the fleet whether a worker takes new work, and evicts what must go.
    pub(super) fn review(&mut self, now: Time, vm: &VmName) {
        let Some(worker) = self.workers.get(vm) else {
            return;
        };
        let reason = self.reason_to_leave(now, worker);
        let silent = (worker.heard + self.timing.suspect_after).passed(now);
        let overfull = self
            .runs_on(vm)
            .iter()
            .any(|run| self.live.get(run).is_some_and(|live| !live.reserved));
        let open = reason.is_none() && !silent && !overfull && worker.obeys;
        if open != worker.open {
            self.set_open(vm, open);
        }
        if let Some(cause) = reason {
            self.evict_all(now, vm, cause);
        }
    }

    /// Why tasks have to leave a worker.
    fn reason_to_leave(&self, now: Time, worker: &Worker) -> Option<Cause> {
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
        let until = self.state.quarantined.get(&info.vm);
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

    /// Takes in a worker that is new here, or new facts of a known one.
    pub(super) fn learn_worker(&mut self, now: Time, info: VmInfo) {
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
        self.reserve_homes(&vm);
    }

    /// Reserves the room of everything bound to `vm` before anything new is.
    fn reserve_homes(&mut self, vm: &VmName) {
        for run in self.runs_on(vm) {
            let Some((_, binding)) = self.state.binding(&run) else {
                continue;
            };
            let (reserved, at) = (binding.reserved, binding.at);
            let Some(holding) = self.holding(&run, reserved, at) else {
                continue;
            };
            let fits = self.fleet.reserve(&run, vm, holding).is_ok();
            if let Some(live) = self.live.get_mut(&run) {
                live.reserved = fits;
            }
        }
    }

    pub(super) fn worker_names(&self) -> Vec<VmName> {
        self.workers.keys().cloned().collect()
    }

    /// Closes silent workers, ends what they can no longer run, and forgets
    /// those that hold nothing.
    pub(super) fn sweep_workers(&mut self, now: Time) {
        for vm in self.worker_names() {
            self.review(now, &vm);
            let Some(worker) = self.workers.get(&vm) else {
                continue;
            };
            if !(worker.heard + self.timing.suspect_after).passed(now) {
                continue;
            }
            let forget = (worker.heard + self.timing.forget_after).passed(now);
            self.end_lapsed(now, &vm);
            if forget && !self.homes.contains_key(&vm) {
                self.workers.remove(&vm);
                self.fleet.remove(&vm);
                self.unlearn(&vm);
            }
        }
        self.end_unheard(now);
    }

    /// Ends what is bound to workers that this owner never heard of.
    fn end_unheard(&mut self, now: Time) {
        if !self.earlier_leases_end.passed(now) {
            return;
        }
        let unheard: Vec<VmName> = self
            .homes
            .keys()
            .filter(|vm| !self.workers.contains_key(*vm))
            .cloned()
            .collect();
        for vm in unheard {
            self.end_lapsed(now, &vm);
        }
    }
}

fn services(info: &VmInfo) -> Vec<ServiceName> {
    info.endpoints
        .iter()
        .map(|endpoint| endpoint.service.clone())
        .collect()
}
