//! The tasks that wait for a worker, and whose turn it is.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{ObjectSet, TaskClass, TaskId, TeamName, Time, Urgency};

use crate::{decision::Want, fleet::Fleet};

/// The order of the tasks of one team: urgent first, then by deadline, then by
/// how long they wait.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    normal: bool,
    finish_by: Time,
    since: Time,
    task: TaskId,
}

#[derive(Clone, Debug)]
struct Entry {
    want: Want,
    turn: Turn,
}

/// The tasks that wait for a worker.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: BTreeMap<TaskId, Entry>,
    teams: BTreeMap<TeamName, BTreeSet<Turn>>,
}

impl Queue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a task that waits since `since`; a task that is there is replaced.
    pub fn push(&mut self, want: Want, since: Time) {
        let task = want.run.task.clone();
        self.remove(&task);
        let turn = Turn {
            normal: want.urgency == Urgency::Normal && want.class == TaskClass::Batch,
            finish_by: want.finish_by.unwrap_or(Time::MAX),
            since,
            task: task.clone(),
        };
        let turns = self.teams.entry(want.team.clone()).or_default();
        turns.insert(turn.clone());
        self.entries.insert(task, Entry { want, turn });
    }

    /// Takes a task out, if it is there.
    pub fn remove(&mut self, task: &TaskId) -> Option<Want> {
        let entry = self.entries.remove(task)?;
        if let Some(turns) = self.teams.get_mut(&entry.want.team) {
            turns.remove(&entry.turn);
            if turns.is_empty() {
                self.teams.remove(&entry.want.team);
            }
        }
        Some(entry.want)
    }

    /// The number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes out the task whose turn it is; push it again if it can't be bound.
    ///
    /// Urgent and latency-critical tasks come first, then the team that holds
    /// the smallest part of its share. A team at its quota is passed over.
    pub fn next(&mut self, _now: Time, objects: &ObjectSet, fleet: &Fleet) -> Option<Want> {
        let mut best: Option<(bool, f64, &Turn)> = None;
        for (team, turns) in &self.teams {
            let Some(turn) = turns.first() else {
                continue;
            };
            let Some(share) = self.share_after(team, turn, objects, fleet) else {
                continue;
            };
            let sooner = best.is_none_or(|(normal, least, other)| {
                (turn.normal, share, turn) < (normal, least, other)
            });
            if sooner {
                best = Some((turn.normal, share, turn));
            }
        }
        let task = best.map(|(_, _, turn)| turn.task.clone())?;
        self.remove(&task)
    }

    /// The part of its share that `team` holds; nothing if its quota is used up.
    fn share_after(
        &self,
        team: &TeamName,
        turn: &Turn,
        objects: &ObjectSet,
        fleet: &Fleet,
    ) -> Option<f64> {
        let held = fleet.held_by(team);
        let Some(object) = objects.teams.get(team) else {
            return Some(held.dominant_share(fleet.total()));
        };
        let want = &self.entries.get(&turn.task)?.want;
        let counted = want.class == TaskClass::Batch;
        if counted && !held.plus(want.need).fits(object.quota) {
            return None;
        }
        Some(held.dominant_share(fleet.total()) / f64::from(object.weight.max(1)))
    }
}
