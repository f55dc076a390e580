//! The workers of a cell and what is reserved on them.

use std::{collections::BTreeMap, time::Duration};

use kernel::{
    AvailabilityZoneName, RackName, Resources, ServiceName, TaskClass, TaskId, TaskRun, TeamName,
    Time, Urgency, VmName,
};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::decision::{Decision, Want, Why};

/// How long the largest worker must have been the largest before a task that
/// exceeds it is refused, since after a change of the cell's owner the workers
/// report one by one.
pub const NEVER_AFTER: Duration = Duration::from_secs(30);

/// How long room made by eviction is kept for the task that it was made for.
pub const CLAIM_SPAN: Duration = Duration::from_secs(20);

/// The facts of a worker that placement needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: AvailabilityZoneName,
    /// Its rack.
    pub rack: RackName,
    /// What it holds for tasks.
    pub capacity: Resources,
    /// The services with an endpoint beside it.
    pub services: Vec<ServiceName>,
    /// Whether it takes new work.
    pub open: bool,
}

/// What is known of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The team that pays.
    pub team: TeamName,
    /// Whether callers wait on it.
    pub class: TaskClass,
    /// How soon it had to start.
    pub urgency: Urgency,
    /// What is reserved.
    pub reserved: Resources,
    /// When it started.
    pub started: Time,
}

/// A reservation that does not fit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Full {
    /// The worker is not known.
    #[error("the worker on {0} is not known")]
    Unknown(VmName),
    /// The room left is too small.
    #[error("{run} needs {need}, but {vm} has only {free} left")]
    NoRoom {
        /// The attempt.
        run: TaskRun,
        /// The worker's VM.
        vm: VmName,
        /// What it needs.
        need: Resources,
        /// What is left.
        free: Resources,
    },
}

#[derive(Clone, Debug)]
struct Slot {
    worker: Worker,
    free: Resources,
    claimed: Resources,
    held: BTreeMap<TaskRun, Holding>,
}

impl Slot {
    fn room(&self) -> Resources {
        self.free.minus(self.claimed)
    }
}

/// Room kept for a task while its victims stop.
#[derive(Clone, Debug)]
struct Claim {
    vm: VmName,
    need: Resources,
    victims: Vec<TaskRun>,
    until: Time,
}

/// The workers of a cell with their reservations.
///
/// The sum of the reservations on a worker never exceeds its capacity:
/// [`Fleet::reserve`] refuses what does not fit.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    slots: BTreeMap<VmName, Slot>,
    homes: BTreeMap<TaskRun, VmName>,
    teams: BTreeMap<TeamName, Resources>,
    claims: BTreeMap<TaskId, Claim>,
    total: Resources,
    shapes_changed: bool,
    shapes_since: Time,
}

impl Fleet {
    /// A fleet without workers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a worker or replaces its facts; its reservations stay.
    pub fn upsert(&mut self, worker: Worker) {
        let larger = |slot: &Slot| worker.capacity.fits(slot.worker.capacity);
        if !self.slots.values().any(larger) {
            self.shapes_changed = true;
        }
        self.total = self.total.plus(worker.capacity);
        let Some(slot) = self.slots.get_mut(&worker.vm) else {
            let slot = Slot {
                free: worker.capacity,
                claimed: Resources::default(),
                held: BTreeMap::new(),
                worker,
            };
            self.slots.insert(slot.worker.vm.clone(), slot);
            return;
        };
        self.total = self.total.minus(slot.worker.capacity);
        let used = sum(slot.held.values().map(|holding| holding.reserved));
        slot.free = worker.capacity.minus(used);
        slot.worker = worker;
    }

    /// Forgets a worker and its reservations.
    pub fn remove(&mut self, vm: &VmName) {
        let Some(slot) = self.slots.remove(vm) else {
            return;
        };
        self.total = self.total.minus(slot.worker.capacity);
        for (run, holding) in slot.held {
            self.homes.remove(&run);
            self.credit(&holding);
        }
        self.claims.retain(|_, claim| claim.vm != *vm);
    }

    /// Reserves room on a worker for an attempt; repeating it changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if the worker is unknown or the room left is too small
    /// in any dimension; nothing is reserved then.
    pub fn reserve(&mut self, run: &TaskRun, vm: &VmName, holding: Holding) -> Result<(), Full> {
        let Some(slot) = self.slots.get(vm) else {
            return Err(Full::Unknown(vm.clone()));
        };
        if slot.held.contains_key(run) {
            return Ok(());
        }
        if !holding.reserved.fits(slot.free) {
            return Err(Full::NoRoom {
                run: run.clone(),
                vm: vm.clone(),
                need: holding.reserved,
                free: slot.free,
            });
        }
        self.release(run);
        self.drop_claim(&run.task);
        if holding.class == TaskClass::Batch {
            let used = self.teams.entry(holding.team.clone()).or_default();
            *used = used.plus(holding.reserved);
        }
        if let Some(slot) = self.slots.get_mut(vm) {
            slot.free = slot.free.minus(holding.reserved);
            slot.held.insert(run.clone(), holding);
        }
        self.homes.insert(run.clone(), vm.clone());
        Ok(())
    }

    /// Gives back what an attempt reserved, if it did.
    pub fn release(&mut self, run: &TaskRun) {
        let Some(vm) = self.homes.remove(run) else {
            return;
        };
        let Some(slot) = self.slots.get_mut(&vm) else {
            return;
        };
        let Some(holding) = slot.held.remove(run) else {
            return;
        };
        let used = sum(slot.held.values().map(|holding| holding.reserved));
        slot.free = slot.worker.capacity.minus(used);
        self.credit(&holding);
    }

    /// What the batch tasks of a team hold in this cell.
    #[must_use]
    pub fn held_by(&self, team: &TeamName) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// The sum of the capacities of all workers.
    #[must_use]
    pub const fn total(&self) -> Resources {
        self.total
    }

    /// What is free on a worker, if it is known.
    #[must_use]
    pub fn free_on(&self, vm: &VmName) -> Option<Resources> {
        self.slots.get(vm).map(|slot| slot.free)
    }

    /// Decides where an attempt goes.
    pub fn place(&mut self, now: Time, want: &Want, rng: &mut impl Rng) -> Decision {
        self.expire_claims(now);
        if let Some(decision) = self.place_claimed(want) {
            return decision;
        }
        if let Some(vm) = self.best_fit(want, rng) {
            return Decision::Bind(vm);
        }
        if self.too_large(now, want.need) {
            return Decision::Never(Why::TooLarge);
        }
        if may_evict(want)
            && let Some((vm, victims)) = self.cheapest_victims(want)
        {
            self.claim(now, want, &vm, &victims);
            return Decision::Evict { vm, victims };
        }
        Decision::Wait(self.why_waiting(want))
    }

    fn credit(&mut self, holding: &Holding) {
        if holding.class != TaskClass::Batch {
            return;
        }
        let Some(used) = self.teams.get_mut(&holding.team) else {
            return;
        };
        *used = used.minus(holding.reserved);
        if *used == Resources::default() {
            self.teams.remove(&holding.team);
        }
    }

    fn best_fit(&self, want: &Want, rng: &mut impl Rng) -> Option<VmName> {
        let mut best: Option<(f64, u32, &VmName)> = None;
        for (vm, slot) in &self.slots {
            if !admits(slot, want) || !want.need.fits(slot.room()) {
                continue;
            }
            let left = slot.room().minus(want.need);
            let waste = left.dominant_share(slot.worker.capacity);
            let tie = rng.random::<u32>();
            if best.is_none_or(|(least, other, _)| (waste, tie) < (least, other)) {
                best = Some((waste, tie, vm));
            }
        }
        best.map(|(_, _, vm)| vm.clone())
    }

    fn too_large(&mut self, now: Time, need: Resources) -> bool {
        if self.shapes_changed || self.shapes_since == Time::ZERO {
            self.shapes_changed = false;
            self.shapes_since = now;
        }
        if self.slots.is_empty() || self.can_ever_fit(need) {
            return false;
        }
        now.since(self.shapes_since) >= NEVER_AFTER
    }

    fn can_ever_fit(&self, need: Resources) -> bool {
        let fits = |slot: &Slot| need.fits(slot.worker.capacity);
        self.slots.values().any(fits)
    }

    fn why_waiting(&self, want: &Want) -> Why {
        if !self.slots.values().any(|slot| slot.worker.open) {
            return Why::NoWorker;
        }
        if !self.can_ever_fit(want.need) {
            return Why::TooLarge;
        }
        let elsewhere = |slot: &Slot| {
            slot.worker.open && want.avoid.contains(&slot.worker.vm) && want.need.fits(slot.room())
        };
        if self.slots.values().any(elsewhere) {
            return Why::Avoided;
        }
        Why::NoRoom
    }

    /// The fewest and youngest normal batch tasks of one worker that make room.
    fn cheapest_victims(&self, want: &Want) -> Option<(VmName, Vec<TaskRun>)> {
        let mut best: Option<(usize, Duration, VmName, Vec<TaskRun>)> = None;
        for (vm, slot) in &self.slots {
            if !admits(slot, want) {
                continue;
            }
            let Some((victims, oldest)) = self.victims_on(slot, want.need) else {
                continue;
            };
            let lost = Time::MAX.since(oldest);
            let better = best
                .as_ref()
                .is_none_or(|(count, least, _, _)| (victims.len(), lost) < (*count, *least));
            if better {
                best = Some((victims.len(), lost, vm.clone(), victims));
            }
        }
        best.map(|(_, _, vm, victims)| (vm, victims))
    }

    fn victims_on(&self, slot: &Slot, need: Resources) -> Option<(Vec<TaskRun>, Time)> {
        let mut candidates: Vec<(&TaskRun, &Holding)> = slot
            .held
            .iter()
            .filter(|(run, holding)| evictable(holding) && !self.is_victim(run))
            .collect();
        candidates.sort_by_key(|(run, holding)| (std::cmp::Reverse(holding.started), *run));
        let single = candidates
            .iter()
            .find(|(_, holding)| need.fits(slot.room().plus(holding.reserved)));
        if let Some((run, holding)) = single {
            return Some((vec![(*run).clone()], holding.started));
        }
        let mut room = slot.room();
        let mut victims = Vec::new();
        for (run, holding) in candidates {
            room = room.plus(holding.reserved);
            victims.push(run.clone());
            if need.fits(room) {
                return Some((victims, holding.started));
            }
        }
        None
    }

    fn is_victim(&self, run: &TaskRun) -> bool {
        self.claims
            .values()
            .any(|claim| claim.victims.contains(run))
    }

    fn claim(&mut self, now: Time, want: &Want, vm: &VmName, victims: &[TaskRun]) {
        let Some(slot) = self.slots.get_mut(vm) else {
            return;
        };
        slot.claimed = slot.claimed.plus(want.need);
        let claim = Claim {
            vm: vm.clone(),
            need: want.need,
            victims: victims.to_vec(),
            until: now + CLAIM_SPAN,
        };
        self.claims.insert(want.run.task.clone(), claim);
    }

    fn drop_claim(&mut self, task: &TaskId) {
        let Some(claim) = self.claims.remove(task) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&claim.vm) {
            slot.claimed = slot.claimed.minus(claim.need);
        }
    }

    fn expire_claims(&mut self, now: Time) {
        let expired: Vec<TaskId> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.until.passed(now))
            .map(|(task, _)| task.clone())
            .collect();
        for task in expired {
            self.drop_claim(&task);
        }
    }

    fn place_claimed(&mut self, want: &Want) -> Option<Decision> {
        let claim = self.claims.get(&want.run.task)?;
        let slot = self.slots.get(&claim.vm)?;
        if !admits(slot, want) {
            self.drop_claim(&want.run.task);
            return None;
        }
        if want.need.fits(slot.free) {
            return Some(Decision::Bind(claim.vm.clone()));
        }
        Some(Decision::Wait(Why::Evicting))
    }
}

fn admits(slot: &Slot, want: &Want) -> bool {
    slot.worker.open && !want.avoid.contains(&slot.worker.vm)
}

fn may_evict(want: &Want) -> bool {
    want.urgency == Urgency::Urgent || want.class == TaskClass::LatencyCritical
}

fn evictable(holding: &Holding) -> bool {
    holding.class == TaskClass::Batch && holding.urgency == Urgency::Normal
}

fn sum(parts: impl Iterator<Item = Resources>) -> Resources {
    parts.fold(Resources::default(), Resources::plus)
}
