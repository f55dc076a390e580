//! Waiting tasks of one priority, by team and need.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{Resources, TaskId, TeamName, Time};

use crate::share::{Rank, Shares};

/// Sort key of a waiting task within its team: by deadline, then by waiting
/// time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) finish_by: Time,
    pub(crate) waiting_since: Time,
    pub(crate) task: TaskId,
}

/// Tasks of one team with the same need, the next one first.
#[derive(Clone, Debug)]
struct NeedGroup {
    need: Resources,
    keys: BTreeSet<QueueKey>,
}

#[derive(Clone, Debug)]
struct TeamGroups {
    rank: Rank,
    /// Few entries, since all tasks of a job have the same need.
    by_need: Vec<NeedGroup>,
}

/// Waiting tasks of one priority, by team and need.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamQueue {
    teams: BTreeMap<TeamName, TeamGroups>,
    order: BTreeSet<(Rank, TeamName)>,
}

impl TeamQueue {
    pub(crate) fn insert(&mut self, team: &TeamName, need: Resources, key: QueueKey, rank: Rank) {
        let team_groups = self.teams.entry(team.clone()).or_insert_with(|| {
            self.order.insert((rank, team.clone()));
            TeamGroups {
                rank,
                by_need: Vec::new(),
            }
        });
        let group = team_groups
            .by_need
            .iter_mut()
            .find(|group| group.need == need);
        if let Some(group) = group {
            group.keys.insert(key);
            return;
        }
        team_groups.by_need.push(NeedGroup {
            need,
            keys: BTreeSet::from([key]),
        });
    }

    pub(crate) fn remove(&mut self, team: &TeamName, need: Resources, key: &QueueKey) {
        let Some(team_groups) = self.teams.get_mut(team) else {
            return;
        };
        for group in &mut team_groups.by_need {
            if group.need == need {
                group.keys.remove(key);
            }
        }
        team_groups.by_need.retain(|group| !group.keys.is_empty());
        if team_groups.by_need.is_empty() {
            self.order.remove(&(team_groups.rank, team.clone()));
            self.teams.remove(team);
        }
    }

    /// Moves a team to the position of its new rank.
    pub(crate) fn reorder(&mut self, team: &TeamName, rank: Rank) {
        let Some(team_groups) = self.teams.get_mut(team) else {
            return;
        };
        if team_groups.rank == rank {
            return;
        }
        self.order.remove(&(team_groups.rank, team.clone()));
        team_groups.rank = rank;
        self.order.insert((rank, team.clone()));
    }

    pub(crate) fn reorder_all(&mut self, shares: &Shares) {
        self.order.clear();
        for (team, team_groups) in &mut self.teams {
            team_groups.rank = shares.of(team);
            self.order.insert((team_groups.rank, team.clone()));
        }
    }

    /// The teams with waiting tasks.
    pub(crate) fn teams(&self) -> impl Iterator<Item = &TeamName> {
        self.teams.keys()
    }

    /// The teams with waiting tasks, in the order of their ranks.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = &TeamName> {
        self.order.iter().map(|(_, team)| team)
    }

    /// Returns the first task of each need of a team, ordered by their keys.
    pub(crate) fn heads(&self, team: &TeamName) -> Vec<(Resources, &QueueKey)> {
        let Some(team_groups) = self.teams.get(team) else {
            return Vec::new();
        };
        let mut heads: Vec<(Resources, &QueueKey)> = team_groups
            .by_need
            .iter()
            .filter_map(|group| Some((group.need, group.keys.first()?)))
            .collect();
        heads.sort_by_key(|(_, key)| *key);
        heads
    }
}
