//! The share of each team's quota that the team may use in this cell.
//!
//! See "Quotas over cells" in `docs/PLACEMENT.md`.

use std::{collections::BTreeMap, sync::Arc};

use kernel::{CellName, ObjectSet, TeamSums};
use place::quota::QuotaSplit;

use super::Owner;

/// The allowance of each team in this cell.
#[derive(Debug, Default)]
pub(super) struct Allowances {
    split: QuotaSplit,
    /// The sums that the owners of all cells, including this one, reported last.
    reported: BTreeMap<CellName, Arc<TeamSums>>,
    /// The sums of this cell that the other owners have received: those before the
    /// newest. With the newest sums two cells could both claim the remaining quota.
    published: Arc<TeamSums>,
    /// Whether `teams` reflects the newest quotas and sums.
    is_current: bool,
    /// The configured teams with their allowances as quotas; other objects are
    /// absent.
    pub(super) teams: ObjectSet,
}

impl Owner {
    /// Returns the resources that teams hold and request here, for the owners of the
    /// other cells.
    #[must_use]
    pub fn team_sums(&self) -> TeamSums {
        let mut sums = self.queue.demand_by_team();
        for (team, held) in self.fleet.teams() {
            sums.entry(team.clone()).or_default().held = held;
        }
        sums
    }

    /// Handles the sums that the owners of all cells reported.
    pub(super) fn handle_team_sums(&mut self, sums: BTreeMap<CellName, Arc<TeamSums>>) {
        let allowances = &mut self.allowances;
        if sums == allowances.reported {
            return;
        }
        let published = std::mem::take(&mut allowances.published);
        allowances
            .split
            .update_cell(&self.cell, Arc::unwrap_or_clone(published));
        for (cell, teams) in &sums {
            if *cell != self.cell {
                allowances.split.update_cell(cell, TeamSums::clone(teams));
            }
        }
        allowances.published = sums.get(&self.cell).cloned().unwrap_or_default();
        allowances.reported = sums;
        allowances.is_current = false;
    }

    /// Marks the allowances for recomputation, after the quotas changed.
    pub(super) fn invalidate_allowances(&mut self) {
        self.allowances.is_current = false;
    }

    /// Recomputes the allowances if the quotas or the sums changed.
    pub(super) fn update_allowances(&mut self) {
        let allowances = &mut self.allowances;
        if allowances.is_current {
            return;
        }
        allowances.is_current = true;
        allowances.teams.teams.clone_from(&self.objects.teams);
        if allowances.reported.len() > 1 {
            for (name, team) in &mut allowances.teams.teams {
                team.quota = allowances.split.allowance(&self.cell, name, team.quota);
            }
        }
        self.placement_due = true;
    }
}
