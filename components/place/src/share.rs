//! What part of the fleet each team is due, and what part it holds.
//!
//! The part is that of the resource of which a team holds most (dominant
//! resource fairness), so a team can't hide a hoard of memory behind few cores.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{ObjectSet, Resources, TeamName, Time};

use crate::fleet::Fleet;

/// The weight of a team that no object names.
const DEFAULT_WEIGHT: u32 = 1;

/// How many teams are named as payers for one starving task.
const MAX_PAYERS: usize = 8;

/// Held shares are compared as whole numbers, this many to the whole fleet.
const SHARE_UNITS: f64 = 1e12;

/// The place of a team in the order of turns; the least is first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// The part of the fleet held, divided by the weight.
    share: u64,
    /// When a task of the team was taken last, so that among teams that hold
    /// as much none is passed over again and again.
    served: Time,
}

/// The shares of the teams that hold or wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    weights: BTreeMap<TeamName, u32>,
    ranks: BTreeMap<TeamName, Rank>,
    total_weight: f64,
    computed_at: Time,
}

impl Shares {
    pub(crate) const fn computed_at(&self) -> Time {
        self.computed_at
    }

    pub(crate) fn of(&self, team: &TeamName) -> Rank {
        self.ranks.get(team).copied().unwrap_or_default()
    }

    /// Computes everything afresh, for the teams that hold or wait.
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

    /// Takes in what a team holds now.
    pub(crate) fn update(&mut self, team: &TeamName, fleet: &Fleet) -> Rank {
        let held = fleet.held_by(team).dominant_share(fleet.total());
        let share = held / f64::from(self.weight(team));
        let rank = self.ranks.entry(team.clone()).or_default();
        rank.share = (share * SHARE_UNITS) as u64;
        *rank
    }

    /// Notes that a task of the team was taken.
    pub(crate) fn served(&mut self, team: &TeamName, now: Time) -> Rank {
        let rank = self.ranks.entry(team.clone()).or_default();
        rank.served = now;
        *rank
    }

    /// Whether the team would still be within its share with `need` more.
    pub(crate) fn is_below(&self, team: &TeamName, need: Resources, fleet: &Fleet) -> bool {
        let held = fleet.committed_to(team).plus(need);
        held.dominant_share(fleet.total()) <= self.due(team)
    }

    /// The teams furthest above their share.
    pub(crate) fn above(&self, fleet: &Fleet) -> Vec<TeamName> {
        let mut above: Vec<(f64, &TeamName)> = Vec::new();
        for (team, _) in fleet.teams() {
            let held = fleet.committed_to(team).dominant_share(fleet.total());
            let excess = held - self.due(team);
            if excess > 0.0 {
                above.push((excess, team));
            }
        }
        above.sort_by(|(one, a), (other, b)| other.total_cmp(one).then(a.cmp(b)));
        above.truncate(MAX_PAYERS);
        above.into_iter().map(|(_, team)| team.clone()).collect()
    }

    fn due(&self, team: &TeamName) -> f64 {
        f64::from(self.weight(team)) / self.total_weight.max(1.0)
    }

    fn weight(&self, team: &TeamName) -> u32 {
        self.weights.get(team).copied().unwrap_or(DEFAULT_WEIGHT)
    }
}
