//! The workers of a cell and the reservations on them.

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
/// exceeds it is rejected. After a change of the cell's owner the workers
/// report one by one.
pub const REJECT_TOO_LARGE_AFTER: Duration = Duration::from_secs(30);

/// The most changes of teams' reservations that are kept for the queue.
const TEAM_CHANGES_KEPT: usize = 4096;

/// The workers of a cell with their reservations.
///
/// The sum of the reservations on a worker never exceeds its capacity:
/// [`Fleet::reserve`] rejects a reservation that does not fit.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) slots: Vec<Slot>,
    /// Capacity of each slot that is free for tasks without a claim; `None` if
    /// the worker accepts no new tasks. Kept in one vector because every
    /// placement reads all of it.
    pub(crate) available: Vec<Option<Resources>>,
    slot_by_vm: BTreeMap<VmName, usize>,
    vm_by_run: BTreeMap<TaskRun, VmName>,
    held_by_team: BTreeMap<TeamName, Resources>,
    /// The teams of the last changes of reservations, the newest last.
    changed_teams: VecDeque<TeamName>,
    /// The number of all changes of teams' reservations so far.
    team_changes: u64,
    pub(crate) claims: Claims,
    pub(crate) spread: Spread,
    pub(crate) interference: InterferenceTable,
    pub(crate) filters: Vec<&'static Filter>,
    pub(crate) scores: Vec<&'static Score>,
    /// The sum of the capacities of all workers.
    total: Resources,
    capacity_version: u64,
    /// Whether the largest worker may have changed since `largest_since` was set.
    largest_changed: bool,
    /// When a change of the largest worker was last noticed.
    largest_since: Time,
}

impl Default for Fleet {
    fn default() -> Self {
        Self::new()
    }
}

impl Fleet {
    /// Creates a fleet without workers, with all registered filters and scores.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slots: Vec::new(),
            available: Vec::new(),
            slot_by_vm: BTreeMap::new(),
            vm_by_run: BTreeMap::new(),
            held_by_team: BTreeMap::new(),
            changed_teams: VecDeque::new(),
            team_changes: 0,
            claims: Claims::default(),
            spread: Spread::default(),
            interference: InterferenceTable::default(),
            filters: kernel::plugin::registered(),
            scores: kernel::plugin::registered(),
            total: Resources::default(),
            capacity_version: 0,
            largest_changed: true,
            largest_since: Time::ZERO,
        }
    }

    /// Creates a fleet with the given scores, to measure the effect of the
    /// registered ones. Without scores, a task goes to a random worker with
    /// enough capacity.
    #[must_use]
    pub fn with_scores(scores: Vec<&'static Score>) -> Self {
        Self {
            scores,
            ..Self::new()
        }
    }

    /// Adds a worker or replaces its attributes; its reservations stay.
    pub fn upsert(&mut self, worker: Worker) {
        self.capacity_version += 1;
        self.note_largest(worker.capacity);
        self.total = self.total.plus(worker.capacity);
        let Some(&index) = self.slot_by_vm.get(&worker.vm) else {
            self.slot_by_vm.insert(worker.vm.clone(), self.slots.len());
            self.slots.push(Slot::new(worker));
            self.available.push(None);
            self.refresh_available(self.slots.len() - 1);
            return;
        };
        let slot = &mut self.slots[index];
        self.total = self.total.minus(slot.worker.capacity);
        slot.worker = worker;
        slot.recount();
        slot.recompute_interference(&self.interference);
        self.refresh_available(index);
    }

    /// Removes a worker and its reservations.
    pub fn remove(&mut self, vm: &VmName) {
        let Some(index) = self.slot_by_vm.remove(vm) else {
            return;
        };
        for task in self.claims.on_vm(vm) {
            self.claims.remove(&task);
        }
        let slot = self.slots.swap_remove(index);
        self.available.swap_remove(index);
        if let Some(moved) = self.slots.get(index) {
            self.slot_by_vm.insert(moved.worker.vm.clone(), index);
        }
        self.total = self.total.minus(slot.worker.capacity);
        for (run, reservation) in &slot.reservations {
            self.vm_by_run.remove(run);
            self.unrecord_reservation(run, reservation, &slot.worker);
        }
    }

    /// Reserves capacity on a worker for an attempt. Repeating the call changes
    /// nothing.
    ///
    /// # Errors
    ///
    /// Returns a [`ReserveError`] if the worker is unknown or its free capacity
    /// is too small in any dimension; nothing is reserved then.
    pub fn reserve(
        &mut self,
        run: &TaskRun,
        vm: &VmName,
        reservation: Reservation,
    ) -> Result<(), ReserveError> {
        let Some(&index) = self.slot_by_vm.get(vm) else {
            return Err(ReserveError::UnknownWorker(vm.clone()));
        };
        let slot = &self.slots[index];
        if slot.reservations.contains_key(run) {
            return Ok(());
        }
        if !reservation.reserved.fits(slot.free) {
            return Err(ReserveError::InsufficientCapacity {
                run: run.clone(),
                vm: vm.clone(),
                need: reservation.reserved,
                free: slot.free,
            });
        }
        self.release(run);
        self.drop_claim(&run.task);
        self.record_reservation(run, &reservation, index);
        self.vm_by_run.insert(run.clone(), vm.clone());
        let slot = &mut self.slots[index];
        slot.free = slot.free.minus(reservation.reserved);
        slot.reservations.insert(run.clone(), reservation);
        self.refresh_available(index);
        Ok(())
    }

    /// Releases the reservation of an attempt, if it has one.
    pub fn release(&mut self, run: &TaskRun) {
        let Some(vm) = self.vm_by_run.remove(run) else {
            return;
        };
        let Some(&index) = self.slot_by_vm.get(&vm) else {
            return;
        };
        let slot = &mut self.slots[index];
        let Some(reservation) = slot.reservations.remove(run) else {
            return;
        };
        slot.recount();
        if reservation.class == TaskClass::Batch {
            slot.recompute_interference(&self.interference);
        }
        let worker = slot.worker.clone();
        self.capacity_version += 1;
        self.unrecord_reservation(run, &reservation, &worker);
        self.refresh_available(index);
    }

    /// Sets the estimated slowdown of a service by a family of jobs.
    pub fn set_interference(&mut self, service: &ServiceName, job: &JobName, slowdown: f64) {
        self.interference.set(service, job, slowdown);
    }

    /// Applies new estimates to running tasks. The call iterates over all
    /// reservations, so call it every few seconds at most.
    pub fn refresh_interference(&mut self) {
        for slot in &mut self.slots {
            slot.recompute_interference(&self.interference);
        }
    }

    /// Returns the resources that the batch tasks of a team hold in this cell.
    #[must_use]
    pub fn held_by(&self, team: &TeamName) -> Resources {
        self.held_by_team.get(team).copied().unwrap_or_default()
    }

    /// Returns the resources that a team holds, plus those claimed for its
    /// tasks, minus those that are being evicted.
    #[must_use]
    pub fn committed_to(&self, team: &TeamName) -> Resources {
        let mut leaving = Resources::default();
        for run in self.claims.victims() {
            let Some(reservation) = self.reservation(run) else {
                continue;
            };
            if reservation.team == *team {
                leaving = leaving.plus(reservation.reserved);
            }
        }
        let promised = self.claims.promised_to(team);
        self.held_by(team).plus(promised).minus(leaving)
    }

    /// Returns the teams whose batch tasks hold resources, with these
    /// resources.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, Resources)> {
        self.held_by_team.iter().map(|(team, held)| (team, *held))
    }

    /// The sum of the capacities of all workers.
    #[must_use]
    pub const fn total(&self) -> Resources {
        self.total
    }

    /// Returns the free capacity of a worker, or `None` if the worker is
    /// unknown.
    #[must_use]
    pub fn free_on(&self, vm: &VmName) -> Option<Resources> {
        self.slot(vm).map(|slot| slot.free)
    }

    /// Returns the attributes of a worker, or `None` if the worker is unknown.
    #[must_use]
    pub fn worker(&self, vm: &VmName) -> Option<&Worker> {
        self.slot(vm).map(|slot| &slot.worker)
    }

    /// Returns the reservation of an attempt, if it has one.
    #[must_use]
    pub fn reservation(&self, run: &TaskRun) -> Option<&Reservation> {
        self.slot(self.vm_by_run.get(run)?)?.reservations.get(run)
    }

    /// Whether a worker that accepts new tasks has enough capacity for `need`
    /// now.
    #[must_use]
    pub fn has_capacity_for(&self, need: Resources) -> bool {
        let fits = |available: &Resources| need.fits(*available);
        self.available.iter().flatten().any(fits)
    }

    /// Returns the tasks whose claims can be fulfilled or have expired. They
    /// are placed before all others.
    pub(crate) fn claims_due(&self, now: Time) -> impl Iterator<Item = &TaskId> {
        let due = move |(_, claim): &(&TaskId, &Claim)| {
            let slot = self.slot(&claim.vm);
            claim.until.passed(now) || slot.is_some_and(|slot| slot.can_fulfil_claim(claim.need))
        };
        self.claims.iter().filter(due).map(|(task, _)| task)
    }

    /// Returns a counter that changes whenever capacity may have become
    /// available.
    #[must_use]
    pub const fn capacity_version(&self) -> u64 {
        self.capacity_version
    }

    /// Returns the teams whose reservations changed after change `since`, or
    /// `None` if the changes since then are no longer kept.
    pub(crate) fn changed_since(&self, since: u64) -> Option<impl Iterator<Item = &TeamName>> {
        let count = usize::try_from(self.team_changes.checked_sub(since)?).ok()?;
        let from = self.changed_teams.len().checked_sub(count)?;
        Some(self.changed_teams.range(from..))
    }

    pub(crate) const fn team_changes(&self) -> u64 {
        self.team_changes
    }

    pub(crate) fn slot(&self, vm: &VmName) -> Option<&Slot> {
        self.slot_by_vm.get(vm).map(|index| &self.slots[*index])
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
        if let Some(&index) = self.slot_by_vm.get(&claim.vm) {
            let slot = &mut self.slots[index];
            slot.claimed = slot.claimed.plus(claim.need);
            self.refresh_available(index);
        }
        self.claims.insert(task, claim);
    }

    /// Drops the claim of a task, for a task that is cancelled before it is
    /// bound.
    pub fn drop_claim(&mut self, task: &TaskId) {
        let Some(claim) = self.claims.remove(task) else {
            return;
        };
        let Some(&index) = self.slot_by_vm.get(&claim.vm) else {
            return;
        };
        let slot = &mut self.slots[index];
        slot.claimed = slot.claimed.minus(claim.need);
        self.capacity_version += 1;
        self.refresh_available(index);
    }

    fn refresh_available(&mut self, index: usize) {
        let slot = &self.slots[index];
        self.available[index] = slot.worker.open.then(|| slot.available());
    }

    fn note_largest(&mut self, capacity: Resources) {
        let as_large = |slot: &Slot| capacity.fits(slot.worker.capacity);
        if !self.slots.iter().any(as_large) {
            self.largest_changed = true;
        }
    }

    fn record_reservation(&mut self, run: &TaskRun, reservation: &Reservation, index: usize) {
        let slot = &mut self.slots[index];
        if reservation.class == TaskClass::LatencyCritical {
            self.spread.add(&run.task.job, &slot.worker);
            return;
        }
        slot.add_interference(&run.task.job, reservation.reserved, &self.interference);
        let held = self
            .held_by_team
            .entry(reservation.team.clone())
            .or_default();
        *held = held.plus(reservation.reserved);
        self.log_team_change(&reservation.team);
    }

    fn unrecord_reservation(&mut self, run: &TaskRun, reservation: &Reservation, worker: &Worker) {
        if reservation.class == TaskClass::LatencyCritical {
            self.spread.remove(&run.task.job, worker);
            return;
        }
        let Some(held) = self.held_by_team.get_mut(&reservation.team) else {
            return;
        };
        *held = held.minus(reservation.reserved);
        if *held == Resources::default() {
            self.held_by_team.remove(&reservation.team);
        }
        self.log_team_change(&reservation.team);
    }

    fn log_team_change(&mut self, team: &TeamName) {
        if self.changed_teams.len() == TEAM_CHANGES_KEPT {
            self.changed_teams.pop_front();
        }
        self.changed_teams.push_back(team.clone());
        self.team_changes += 1;
    }
}
