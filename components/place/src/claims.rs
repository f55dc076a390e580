//! Capacity that evictions free, kept for the task that caused them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kernel::{Resources, TaskId, TaskRun, TeamName, Time, VmName};

/// How long freed capacity is kept for the task that caused the eviction. After
/// this time the victims are assumed not to stop. The time is longer than an
/// owner waits for a checkpoint.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(45);

/// Capacity kept for a task while its victims stop.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) vm: VmName,
    pub(crate) team: TeamName,
    pub(crate) need: Resources,
    /// The attempts that are evicted to free `need`.
    pub(crate) victims: Vec<TaskRun>,
    /// When the claim expires.
    pub(crate) until: Time,
}

/// All claims of a fleet, by task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    by_task: BTreeMap<TaskId, Claim>,
    victims: BTreeSet<TaskRun>,
}

impl Claims {
    pub(crate) fn get(&self, task: &TaskId) -> Option<&Claim> {
        self.by_task.get(task)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&TaskId, &Claim)> {
        self.by_task.iter()
    }

    pub(crate) fn insert(&mut self, task: TaskId, claim: Claim) {
        self.victims.extend(claim.victims.iter().cloned());
        self.by_task.insert(task, claim);
    }

    pub(crate) fn remove(&mut self, task: &TaskId) -> Option<Claim> {
        let claim = self.by_task.remove(task)?;
        for victim in &claim.victims {
            self.victims.remove(victim);
        }
        Some(claim)
    }

    /// Whether an attempt is already being evicted for a claim.
    pub(crate) fn is_victim(&self, run: &TaskRun) -> bool {
        self.victims.contains(run)
    }

    pub(crate) fn expired(&self, now: Time) -> Vec<TaskId> {
        let is_expired = |(_, claim): &(&TaskId, &Claim)| claim.until.passed(now);
        let tasks = self.by_task.iter().filter(is_expired);
        tasks.map(|(task, _)| task.clone()).collect()
    }

    pub(crate) fn on_vm(&self, vm: &VmName) -> Vec<TaskId> {
        let is_there = |(_, claim): &(&TaskId, &Claim)| claim.vm == *vm;
        let tasks = self.by_task.iter().filter(is_there);
        tasks.map(|(task, _)| task.clone()).collect()
    }

    /// Returns the capacity claimed for tasks of a team, in addition to what
    /// the team holds.
    pub(crate) fn promised_to(&self, team: &TeamName) -> Resources {
        self.by_task
            .values()
            .filter(|claim| claim.team == *team)
            .fold(Resources::default(), |sum, claim| sum.plus(claim.need))
    }

    /// The attempts that are being evicted.
    pub(crate) fn victims(&self) -> impl Iterator<Item = &TaskRun> {
        self.victims.iter()
    }
}
