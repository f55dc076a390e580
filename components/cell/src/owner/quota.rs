//! The teams' quotas, cut down to what each may hold in this cell.
//!
//! See "Quotas over cells" in `docs/PLACEMENT.md`.

use std::{collections::BTreeMap, sync::Arc};

use kernel::{CellName, ObjectSet, TeamSums};
use place::quota::QuotaSplit;

use super::Owner;

/// What each team may hold in this cell.
#[derive(Debug, Default)]
pub(super) struct Allowances {
    split: QuotaSplit,
    told: BTreeMap<CellName, Arc<TeamSums>>,
    /// This cell's sums that the other owners know by now: those before the
    /// newest, so that two cells do not both take what is left.
    own: Arc<TeamSums>,
    computed: bool,
    /// Only the teams of the configuration, with their allowances as quotas.
    pub(super) teams: ObjectSet,
}

impl Owner {
    /// What the teams hold and want here, for the owners of the other cells.
    #[must_use]
    pub fn team_sums(&self) -> TeamSums {
        let mut sums = self.queue.demand_by_team();
        for (team, held) in self.fleet.teams() {
            sums.entry(team.clone()).or_default().held = held;
        }
        sums
    }

    /// Takes in what teams hold and want in all cells, as the owners tell one
    /// another.
    pub(super) fn take_team_sums(&mut self, sums: BTreeMap<CellName, Arc<TeamSums>>) {
        let allowances = &mut self.allowances;
        if sums == allowances.told {
            return;
        }
        let own = std::mem::take(&mut allowances.own);
        allowances
            .split
            .update_cell(&self.cell, Arc::unwrap_or_clone(own));
        for (cell, teams) in &sums {
            if *cell != self.cell {
                allowances.split.update_cell(cell, TeamSums::clone(teams));
            }
        }
        allowances.own = sums.get(&self.cell).cloned().unwrap_or_default();
        allowances.told = sums;
        allowances.computed = false;
    }

    /// Has the allowances computed afresh, for other quotas.
    pub(super) fn forget_allowances(&mut self) {
        self.allowances.computed = false;
    }

    /// Computes the allowances if something changed.
    pub(super) fn allow(&mut self) {
        let allowances = &mut self.allowances;
        if allowances.computed {
            return;
        }
        allowances.computed = true;
        allowances.teams.teams.clone_from(&self.objects.teams);
        if allowances.told.len() > 1 {
            for (name, team) in &mut allowances.teams.teams {
                team.quota = allowances.split.allowance(&self.cell, name, team.quota);
            }
        }
        self.placement_due = true;
    }
}
