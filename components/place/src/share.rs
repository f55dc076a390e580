//! Fair shares of the teams and the parts of the fleet that they hold.
//!
//! A team's part is its largest part of any one resource (dominant resource
//! fairness), so a team with much memory and few cores is measured by its
//! memory.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{ObjectSet, Resources, TeamName, Time};

use crate::fleet::Fleet;

/// The weight of a team without a published object.
const DEFAULT_WEIGHT: u32 = 1;

/// The most teams whose tasks may be evicted for one starved task.
const MAX_PAYERS: usize = 8;

/// Shares are compared as integers; this value stands for the whole fleet.
const SHARE_UNITS: f64 = 1e12;

/// Sort key of a team in the queue; the least comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// The part of the fleet held, divided by the team's weight, in
    /// `SHARE_UNITS`.
    share: u64,
    /// When a task of the team was last taken from the queue, so that teams
    /// with equal shares take turns.
    last_served: Time,
}

/// The shares of the teams that hold resources or have waiting tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    weights: BTreeMap<TeamName, u32>,
    ranks: BTreeMap<TeamName, Rank>,
    /// The sum of `weights`.
    total_weight: f64,
    /// When [`Shares::recompute`] last ran.
    computed_at: Time,
}

impl Shares {
    pub(crate) const fn computed_at(&self) -> Time {
        self.computed_at
    }

    pub(crate) fn of(&self, team: &TeamName) -> Rank {
        self.ranks.get(team).copied().unwrap_or_default()
    }

    /// Recomputes the weights and ranks of all teams that hold resources or
    /// have waiting tasks.
    pub(crate) fn recompute<'a>(
        &mut self,
        now: Time,
        objects: &ObjectSet,
        fleet: &'a Fleet,
        waiting: impl Iterator<Item = &'a TeamName>,
    ) {
        let mut active: BTreeSet<&TeamName> = waiting.collect();
        active.extend(fleet.teams().map(|(team, _)| team));
        let served = std::mem::take(&mut self.ranks);
        self.weights.clear();
        self.total_weight = 0.0;
        self.computed_at = now;
        for team in active {
            let object = objects.teams.get(team);
            let weight = object.map_or(DEFAULT_WEIGHT, |object| object.weight.max(1));
            self.weights.insert(team.clone(), weight);
            self.total_weight += f64::from(weight);
            if let Some(rank) = served.get(team) {
                self.ranks.insert(team.clone(), *rank);
            }
            self.update(team, fleet);
        }
    }

    /// Updates the rank of a team from what it holds now.
    pub(crate) fn update(&mut self, team: &TeamName, fleet: &Fleet) -> Rank {
        let held = fleet.held_by(team).dominant_share(fleet.total());
        let share = held / f64::from(self.weight(team));
        let rank = self.ranks.entry(team.clone()).or_default();
        rank.share = (share * SHARE_UNITS) as u64;
        *rank
    }

    /// Records that a task of the team was taken from the queue.
    pub(crate) fn record_dequeue(&mut self, team: &TeamName, now: Time) -> Rank {
        let rank = self.ranks.entry(team.clone()).or_default();
        rank.last_served = now;
        *rank
    }

    /// Whether the team stays within its fair share if it gets `need` more.
    pub(crate) fn is_within_share(&self, team: &TeamName, need: Resources, fleet: &Fleet) -> bool {
        let held = fleet.committed_to(team).plus(need);
        held.dominant_share(fleet.total()) <= self.fair_share(team)
    }

    /// Returns the teams furthest above their fair share, at most `MAX_PAYERS`.
    pub(crate) fn teams_above_share(&self, fleet: &Fleet) -> Vec<TeamName> {
        let mut above: Vec<(f64, &TeamName)> = Vec::new();
        for (team, _) in fleet.teams() {
            let held = fleet.committed_to(team).dominant_share(fleet.total());
            let excess = held - self.fair_share(team);
            if excess > 0.0 {
                above.push((excess, team));
            }
        }
        above.sort_by(|(left_excess, left_team), (right_excess, right_team)| {
            right_excess
                .total_cmp(left_excess)
                .then(left_team.cmp(right_team))
        });
        above.truncate(MAX_PAYERS);
        above.into_iter().map(|(_, team)| team.clone()).collect()
    }

    fn fair_share(&self, team: &TeamName) -> f64 {
        f64::from(self.weight(team)) / self.total_weight.max(1.0)
    }

    fn weight(&self, team: &TeamName) -> u32 {
        self.weights.get(team).copied().unwrap_or(DEFAULT_WEIGHT)
    }
}
