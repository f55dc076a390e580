//! Room that is being made by evictions, kept for the task it is made for.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kernel::{Resources, TaskId, TaskRun, TeamName, Time, VmName};

/// How long room made by eviction is kept for the task that it was made for,
/// after which the victims are taken to have stayed; longer than an owner waits
/// for a checkpoint.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(45);

/// Room kept for a task while its victims stop.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) vm: VmName,
    pub(crate) team: TeamName,
    pub(crate) need: Resources,
    pub(crate) victims: Vec<TaskRun>,
    pub(crate) until: Time,
}

/// All claims by task.
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

    /// Whether an attempt is already being evicted for someone.
    pub(crate) fn is_victim(&self, run: &TaskRun) -> bool {
        self.victims.contains(run)
    }

    pub(crate) fn expired(&self, now: Time) -> Vec<TaskId> {
        let expired = |(_, claim): &(&TaskId, &Claim)| claim.until.passed(now);
        let tasks = self.by_task.iter().filter(expired);
        tasks.map(|(task, _)| task.clone()).collect()
    }

    pub(crate) fn on(&self, vm: &VmName) -> Vec<TaskId> {
        let there = |(_, claim): &(&TaskId, &Claim)| claim.vm == *vm;
        let tasks = self.by_task.iter().filter(there);
        tasks.map(|(task, _)| task.clone()).collect()
    }

    /// What is promised to a team beside what it holds.
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
