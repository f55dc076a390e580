//! The workers of a cell and what is reserved on them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use kernel::{JobName, Resources, ServiceName, TaskClass, TaskId, TaskRun, TeamName, Time, VmName};

use crate::{
    claims::{Claim, Claims},
    interference_table::InterferenceTable,
    plugin::{Filter, Score},
    spread::Spread,
    worker::{Reservation, ReserveError, Slot, Worker},
};

/// How long the largest worker must have been the largest before a task that
/// exceeds it is refused, since after a change of the cell's owner the workers
/// report one by one.
pub const REJECT_TOO_LARGE_AFTER: Duration = Duration::from_secs(30);

/// How many changes of teams' holdings are remembered for the queue.
const TEAM_CHANGES_KEPT: usize = 4096;

/// The workers of a cell with their reservations.
///
/// The sum of the reservations on a worker never exceeds its capacity:
/// [`Fleet::reserve`] refuses what does not fit.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) slots: Vec<Slot>,
    /// What tasks without a claim may take on each slot that takes new work,
    /// kept close together because every placement reads all of it.
    pub(crate) rooms: Vec<Option<Resources>>,
    numbers: BTreeMap<VmName, usize>,
    homes: BTreeMap<TaskRun, VmName>,
    teams: BTreeMap<TeamName, Resources>,
    changed_teams: VecDeque<TeamName>,
    changes: u64,
    pub(crate) claims: Claims,
    pub(crate) spread: Spread,
    pub(crate) harms: InterferenceTable,
    pub(crate) filters: Vec<&'static Filter>,
    pub(crate) scores: Vec<&'static Score>,
    total: Resources,
    capacity_version: u64,
    largest_changed: bool,
    largest_since: Time,
}

impl Default for Fleet {
    fn default() -> Self {
        Self::new()
    }
}

impl Fleet {
    /// A fleet without workers, with all registered filters and scores.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slots: Vec::new(),
            rooms: Vec::new(),
            numbers: BTreeMap::new(),
            homes: BTreeMap::new(),
            teams: BTreeMap::new(),
            changed_teams: VecDeque::new(),
            changes: 0,
            claims: Claims::default(),
            spread: Spread::default(),
            harms: InterferenceTable::default(),
            filters: kernel::plugin::registered(),
            scores: kernel::plugin::registered(),
            total: Resources::default(),
            capacity_version: 0,
            largest_changed: true,
            largest_since: Time::ZERO,
        }
    }

    /// A fleet with other scores, to measure what the registered ones are worth.
    /// With none, a task goes to a random worker with room.
    #[must_use]
    pub fn with_scores(scores: Vec<&'static Score>) -> Self {
        Self {
            scores,
            ..Self::new()
        }
    }

    /// Adds a worker or replaces its facts; its reservations stay.
    pub fn upsert(&mut self, worker: Worker) {
        self.capacity_version += 1;
        self.note_largest(worker.capacity);
        self.total = self.total.plus(worker.capacity);
        let Some(&number) = self.numbers.get(&worker.vm) else {
            self.numbers.insert(worker.vm.clone(), self.slots.len());
            self.slots.push(Slot::new(worker));
            self.rooms.push(None);
            self.refresh_room(self.slots.len() - 1);
            return;
        };
        let slot = &mut self.slots[number];
        self.total = self.total.minus(slot.worker.capacity);
        slot.worker = worker;
        slot.recount();
        slot.repress(&self.harms);
        self.refresh_room(number);
    }

    /// Forgets a worker and its reservations.
    pub fn remove(&mut self, vm: &VmName) {
        let Some(number) = self.numbers.remove(vm) else {
            return;
        };
        for task in self.claims.on(vm) {
            self.claims.remove(&task);
        }
        let slot = self.slots.swap_remove(number);
        self.rooms.swap_remove(number);
        if let Some(moved) = self.slots.get(number) {
            self.numbers.insert(moved.worker.vm.clone(), number);
        }
        self.total = self.total.minus(slot.worker.capacity);
        for (run, holding) in &slot.held {
            self.homes.remove(run);
            self.forget(run, holding, &slot.worker);
        }
    }

    /// Reserves room on a worker for an attempt; repeating it changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`ReserveError`] if the worker is unknown or the room left is too small
    /// in any dimension; nothing is reserved then.
    pub fn reserve(
        &mut self,
        run: &TaskRun,
        vm: &VmName,
        holding: Reservation,
    ) -> Result<(), ReserveError> {
        let Some(&number) = self.numbers.get(vm) else {
            return Err(ReserveError::UnknownWorker(vm.clone()));
        };
        let slot = &self.slots[number];
        if slot.held.contains_key(run) {
            return Ok(());
        }
        if !holding.reserved.fits(slot.free) {
            return Err(ReserveError::InsufficientCapacity {
                run: run.clone(),
                vm: vm.clone(),
                need: holding.reserved,
                free: slot.free,
            });
        }
        self.release(run);
        self.drop_claim(&run.task);
        self.remember(run, &holding, number);
        self.homes.insert(run.clone(), vm.clone());
        let slot = &mut self.slots[number];
        slot.free = slot.free.minus(holding.reserved);
        slot.held.insert(run.clone(), holding);
        self.refresh_room(number);
        Ok(())
    }

    /// Gives back what an attempt reserved, if it did.
    pub fn release(&mut self, run: &TaskRun) {
        let Some(vm) = self.homes.remove(run) else {
            return;
        };
        let Some(&number) = self.numbers.get(&vm) else {
            return;
        };
        let slot = &mut self.slots[number];
        let Some(holding) = slot.held.remove(run) else {
            return;
        };
        slot.recount();
        if holding.class == TaskClass::Batch {
            slot.repress(&self.harms);
        }
        let worker = slot.worker.clone();
        self.capacity_version += 1;
        self.forget(run, &holding, &worker);
        self.refresh_room(number);
    }

    /// Takes in a new estimate of how much a family of jobs slows a service.
    pub fn set_interference(&mut self, service: &ServiceName, job: &JobName, slowdown: f64) {
        self.harms.set(service, job, slowdown);
    }

    /// Applies new estimates to what already runs; costs one pass over all
    /// reservations, so call it every few seconds at most.
    pub fn refresh_interference(&mut self) {
        for slot in &mut self.slots {
            slot.repress(&self.harms);
        }
    }

    /// What the batch tasks of a team hold in this cell.
    #[must_use]
    pub fn held_by(&self, team: &TeamName) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// What a team holds, with what is promised to it and without what is
    /// being evicted from it.
    #[must_use]
    pub fn committed_to(&self, team: &TeamName) -> Resources {
        let mut leaving = Resources::default();
        for run in self.claims.victims() {
            let Some(holding) = self.reservation(run) else {
                continue;
            };
            if holding.team == *team {
                leaving = leaving.plus(holding.reserved);
            }
        }
        let promised = self.claims.promised_to(team);
        self.held_by(team).plus(promised).minus(leaving)
    }

    /// The teams that hold something, with what their batch tasks hold.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, Resources)> {
        self.teams.iter().map(|(team, held)| (team, *held))
    }

    /// The sum of the capacities of all workers.
    #[must_use]
    pub const fn total(&self) -> Resources {
        self.total
    }

    /// What is free on a worker, if it is known.
    #[must_use]
    pub fn free_on(&self, vm: &VmName) -> Option<Resources> {
        self.slot(vm).map(|slot| slot.free)
    }

    /// The facts of a worker, if it is known.
    #[must_use]
    pub fn worker(&self, vm: &VmName) -> Option<&Worker> {
        self.slot(vm).map(|slot| &slot.worker)
    }

    /// What an attempt holds, if it does.
    #[must_use]
    pub fn reservation(&self, run: &TaskRun) -> Option<&Reservation> {
        self.slot(self.homes.get(run)?)?.held.get(run)
    }

    /// Whether a worker that takes new work has room for `need` now.
    #[must_use]
    pub fn has_capacity_for(&self, need: Resources) -> bool {
        let fits = |room: &Resources| need.fits(*room);
        self.rooms.iter().flatten().any(fits)
    }

    /// The tasks whose evictions have made their room, or failed to in time;
    /// they are to be placed before all others.
    pub(crate) fn claims_due(&self, now: Time) -> impl Iterator<Item = &TaskId> {
        let due = move |(_, claim): &(&TaskId, &Claim)| {
            let slot = self.slot(&claim.vm);
            claim.until.passed(now) || slot.is_some_and(|slot| slot.has_claimed_room(claim.need))
        };
        self.claims.iter().filter(due).map(|(task, _)| task)
    }

    /// A number that changes whenever room may have been gained.
    #[must_use]
    pub const fn capacity_version(&self) -> u64 {
        self.capacity_version
    }

    /// The teams whose holdings changed after change `since`, or nothing if
    /// that is too long ago to be known.
    pub(crate) fn changed_since(&self, since: u64) -> Option<impl Iterator<Item = &TeamName>> {
        let count = usize::try_from(self.changes.checked_sub(since)?).ok()?;
        let from = self.changed_teams.len().checked_sub(count)?;
        Some(self.changed_teams.range(from..))
    }

    pub(crate) const fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn slot(&self, vm: &VmName) -> Option<&Slot> {
        self.numbers.get(vm).map(|number| &self.slots[*number])
    }

    pub(crate) fn is_too_large(&mut self, now: Time, need: Resources) -> bool {
        if self.largest_changed {
            self.largest_changed = false;
            self.largest_since = now;
        }
        if self.slots.is_empty() || self.can_ever_fit(need) {
            return false;
        }
        now.since(self.largest_since) >= REJECT_TOO_LARGE_AFTER
    }

    pub(crate) fn can_ever_fit(&self, need: Resources) -> bool {
        let fits = |slot: &Slot| need.fits(slot.worker.capacity);
        self.slots.iter().any(fits)
    }

    pub(crate) fn add_claim(&mut self, task: TaskId, claim: Claim) {
        if let Some(&number) = self.numbers.get(&claim.vm) {
            let slot = &mut self.slots[number];
            slot.claimed = slot.claimed.plus(claim.need);
            self.refresh_room(number);
        }
        self.claims.insert(task, claim);
    }

    /// Gives up the room kept for a task, for one that is cancelled meanwhile.
    pub fn drop_claim(&mut self, task: &TaskId) {
        let Some(claim) = self.claims.remove(task) else {
            return;
        };
        let Some(&number) = self.numbers.get(&claim.vm) else {
            return;
        };
        let slot = &mut self.slots[number];
        slot.claimed = slot.claimed.minus(claim.need);
        self.capacity_version += 1;
        self.refresh_room(number);
    }

    fn refresh_room(&mut self, number: usize) {
        let slot = &self.slots[number];
        self.rooms[number] = slot.worker.open.then(|| slot.room());
    }

    fn note_largest(&mut self, capacity: Resources) {
        let as_large = |slot: &Slot| capacity.fits(slot.worker.capacity);
        if !self.slots.iter().any(as_large) {
            self.largest_changed = true;
        }
    }

    fn remember(&mut self, run: &TaskRun, holding: &Reservation, number: usize) {
        let slot = &mut self.slots[number];
        if holding.class == TaskClass::LatencyCritical {
            self.spread.add(&run.task.job, &slot.worker);
            return;
        }
        slot.press(&run.task.job, holding.reserved, &self.harms);
        let held = self.teams.entry(holding.team.clone()).or_default();
        *held = held.plus(holding.reserved);
        self.note_team(&holding.team);
    }

    fn forget(&mut self, run: &TaskRun, holding: &Reservation, worker: &Worker) {
        if holding.class == TaskClass::LatencyCritical {
            self.spread.remove(&run.task.job, worker);
            return;
        }
        let Some(held) = self.teams.get_mut(&holding.team) else {
            return;
        };
        *held = held.minus(holding.reserved);
        if *held == Resources::default() {
            self.teams.remove(&holding.team);
        }
        self.note_team(&holding.team);
    }

    fn note_team(&mut self, team: &TeamName) {
        if self.changed_teams.len() == TEAM_CHANGES_KEPT {
            self.changed_teams.pop_front();
        }
        self.changed_teams.push_back(team.clone());
        self.changes += 1;
    }
}
