//! Waiting tasks of one kind, by team and size.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{Resources, TaskId, TeamName, Time};

use crate::share::{Rank, Shares};

/// The order of the tasks of one team: by deadline, then by how long they wait.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    pub(crate) finish_by: Time,
    pub(crate) since: Time,
    pub(crate) task: TaskId,
}

/// Tasks of one team that need the same, the one whose turn it is first.
#[derive(Clone, Debug)]
struct SameNeed {
    need: Resources,
    turns: BTreeSet<Turn>,
}

#[derive(Clone, Debug)]
struct TeamTurns {
    rank: Rank,
    /// Few, since the tasks of a job are equal.
    needs: Vec<SameNeed>,
}

/// Waiting tasks of one kind, by team and size.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    teams: BTreeMap<TeamName, TeamTurns>,
    order: BTreeSet<(Rank, TeamName)>,
}

impl Lane {
    pub(crate) fn insert(&mut self, team: &TeamName, need: Resources, turn: Turn, rank: Rank) {
        let turns = self.teams.entry(team.clone()).or_insert_with(|| {
            self.order.insert((rank, team.clone()));
            TeamTurns {
                rank,
                needs: Vec::new(),
            }
        });
        let same = turns.needs.iter_mut().find(|same| same.need == need);
        if let Some(same) = same {
            same.turns.insert(turn);
            return;
        }
        turns.needs.push(SameNeed {
            need,
            turns: BTreeSet::from([turn]),
        });
    }

    pub(crate) fn remove(&mut self, team: &TeamName, need: Resources, turn: &Turn) {
        let Some(turns) = self.teams.get_mut(team) else {
            return;
        };
        for same in &mut turns.needs {
            if same.need == need {
                same.turns.remove(turn);
            }
        }
        turns.needs.retain(|same| !same.turns.is_empty());
        if turns.needs.is_empty() {
            self.order.remove(&(turns.rank, team.clone()));
            self.teams.remove(team);
        }
    }

    /// Moves a team to the place of its new rank.
    pub(crate) fn reorder(&mut self, team: &TeamName, rank: Rank) {
        let Some(turns) = self.teams.get_mut(team) else {
            return;
        };
        if turns.rank == rank {
            return;
        }
        self.order.remove(&(turns.rank, team.clone()));
        turns.rank = rank;
        self.order.insert((rank, team.clone()));
    }

    pub(crate) fn reorder_all(&mut self, shares: &Shares) {
        self.order.clear();
        for (team, turns) in &mut self.teams {
            turns.rank = shares.of(team);
            self.order.insert((turns.rank, team.clone()));
        }
    }

    /// The teams with waiting tasks.
    pub(crate) fn teams(&self) -> impl Iterator<Item = &TeamName> {
        self.teams.keys()
    }

    /// The teams with waiting tasks, the one whose turn it is first.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = &TeamName> {
        self.order.iter().map(|(_, team)| team)
    }

    /// The first task of each size of a team, in the order of their turns.
    pub(crate) fn heads(&self, team: &TeamName) -> Vec<(Resources, &Turn)> {
        let Some(turns) = self.teams.get(team) else {
            return Vec::new();
        };
        let mut heads: Vec<(Resources, &Turn)> = turns
            .needs
            .iter()
            .filter_map(|same| Some((same.need, same.turns.first()?)))
            .collect();
        heads.sort_by_key(|(_, turn)| *turn);
        heads
    }
}
