//! A team's quota over several cells.
//!
//! See "Quotas over cells" in `docs/PLACEMENT.md`.

use std::collections::BTreeMap;

use kernel::{CellName, Resources, TeamName};
use serde::{Deserialize, Serialize};

/// What a team holds and wants in one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamSum {
    /// What its batch tasks hold.
    pub held: Resources,
    /// What its waiting tasks need.
    pub wanted: Resources,
}

/// The sums that the owners of cells tell one another.
///
/// Each cell may fill the team's quota up to what it holds itself and its part
/// of what is left over everywhere, by what waits in each cell. Owners with the
/// same sums come to parts that never exceed the quota together; what changed
/// since the last exchange is the most by which it can be exceeded.
#[derive(Clone, Debug, Default)]
pub struct Split {
    cells: BTreeMap<CellName, BTreeMap<TeamName, TeamSum>>,
}

impl Split {
    /// No sum known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the sums of one cell; they replace its earlier ones.
    pub fn on_sums(&mut self, cell: &CellName, sums: BTreeMap<TeamName, TeamSum>) {
        self.cells.insert(cell.clone(), sums);
    }

    /// Forgets a cell that no longer exists. A cell whose owner is silent stays,
    /// since its tasks go on holding what they hold.
    pub fn remove(&mut self, cell: &CellName) {
        self.cells.remove(cell);
    }

    /// What a team may hold in `cell` at most.
    #[must_use]
    pub fn allowance(&self, cell: &CellName, team: &TeamName, quota: Resources) -> Resources {
        let mut held = Resources::default();
        let mut wanted = Resources::default();
        for sums in self.cells.values() {
            let sum = sums.get(team).copied().unwrap_or_default();
            held = held.plus(sum.held);
            wanted = wanted.plus(sum.wanted);
        }
        let own = self.sum(cell, team);
        let left = quota.minus(held);
        let cells = self.cells.len().max(1) as u64;
        let part = |left: u64, own: u64, all: u64| match all {
            0 => left / cells,
            all => (u128::from(left) * u128::from(own) / u128::from(all)) as u64,
        };
        let more = Resources::new(
            part(left.cpu_milli, own.wanted.cpu_milli, wanted.cpu_milli),
            part(left.memory_mib, own.wanted.memory_mib, wanted.memory_mib),
            part(
                u64::from(left.accelerators),
                u64::from(own.wanted.accelerators),
                u64::from(wanted.accelerators),
            ) as u32,
        );
        own.held.plus(more)
    }

    fn sum(&self, cell: &CellName, team: &TeamName) -> TeamSum {
        let sums = self.cells.get(cell).and_then(|sums| sums.get(team));
        sums.copied().unwrap_or_default()
    }
}
