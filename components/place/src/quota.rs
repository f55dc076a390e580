//! Division of a team's quota among cells.
//!
//! See "Quotas over cells" in `docs/PLACEMENT.md`.

use std::collections::BTreeMap;

use kernel::{CellName, Resources, TeamName, TeamSum, TeamSums};

/// The team sums of all cells, as their owners exchange them.
///
/// In each cell a team may hold what it holds there already plus a part of the
/// unused quota, divided by the demand that waits in each cell. Owners with the
/// same sums compute parts that together never exceed the quota. The changes
/// since the last exchange bound the amount by which it can be exceeded.
#[derive(Clone, Debug, Default)]
pub struct QuotaSplit {
    cells: BTreeMap<CellName, TeamSums>,
}

impl QuotaSplit {
    /// Creates a split without sums.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the sums of one cell. A cell whose owner is unresponsive keeps
    /// its last sums, because its tasks keep their reservations.
    pub fn update_cell(&mut self, cell: &CellName, sums: TeamSums) {
        self.cells.insert(cell.clone(), sums);
    }

    /// Returns the most that a team may hold in `cell`.
    #[must_use]
    pub fn allowance(&self, cell: &CellName, team: &TeamName, quota: Resources) -> Resources {
        let sums: Vec<(&CellName, TeamSum)> = self
            .cells
            .iter()
            .map(|(cell, sums)| (cell, sums.get(team).copied().unwrap_or_default()))
            .collect();
        let held = total(sums.iter().map(|(_, sum)| sum.held));
        let remaining = quota.minus(held);
        let Some(own) = sums.iter().position(|(name, _)| *name == cell) else {
            return Resources::NONE;
        };
        let cells_with_demand: Vec<usize> = (0..sums.len())
            .filter(|number| sums[*number].1.wanted != Resources::NONE)
            .collect();
        let more = match cells_with_demand.iter().position(|number| *number == own) {
            Some(position) => {
                let demands: Vec<TeamSum> = cells_with_demand
                    .iter()
                    .map(|number| sums[*number].1)
                    .collect();
                split_by_demand(remaining, &demands)[position]
            }
            None if cells_with_demand.is_empty() => equal_fraction(remaining, 1, sums.len() as u64),
            None => Resources::NONE,
        };
        sums[own].1.held.plus(more)
    }
}

/// Divides `remaining` among cells with demand. Each cell gets as many whole
/// tasks of its largest size as its proportional part holds. Then each cell in
/// turn that needs more gets one more task if it fits. The first cell gets the
/// rest.
fn split_by_demand(remaining: Resources, demands: &[TeamSum]) -> Vec<Resources> {
    let wanted = total(demands.iter().map(|sum| sum.wanted));
    let mut allotted: Vec<Resources> = demands
        .iter()
        .map(|sum| whole_tasks(proportional(remaining, sum.wanted, wanted), sum.largest))
        .collect();
    let mut rest = remaining.minus(total(allotted.iter().copied()));
    for (allotment, sum) in allotted.iter_mut().zip(demands) {
        let needs_more = !sum.wanted.fits(*allotment);
        if needs_more && sum.largest.fits(rest) {
            *allotment = allotment.plus(sum.largest);
            rest = rest.minus(sum.largest);
        }
    }
    if let Some(first) = allotted.first_mut() {
        *first = first.plus(rest);
    }
    allotted
}

/// Returns the total size of as many tasks of `size` as fit into `available`.
fn whole_tasks(available: Resources, size: Resources) -> Resources {
    let times = |available: u64, size: u64| available.checked_div(size).unwrap_or(u64::MAX);
    let count = times(available.cpu_milli, size.cpu_milli)
        .min(times(available.memory_mib, size.memory_mib))
        .min(times(
            available.accelerators.into(),
            size.accelerators.into(),
        ));
    if count == u64::MAX {
        return Resources::NONE;
    }
    let multiply = |size: u64| size.saturating_mul(count);
    Resources::new(
        multiply(size.cpu_milli),
        multiply(size.memory_mib),
        u32::try_from(multiply(size.accelerators.into())).unwrap_or(u32::MAX),
    )
}

fn proportional(remaining: Resources, own: Resources, all: Resources) -> Resources {
    Resources::new(
        proportion(remaining.cpu_milli, own.cpu_milli, all.cpu_milli),
        proportion(remaining.memory_mib, own.memory_mib, all.memory_mib),
        proportion(
            remaining.accelerators.into(),
            own.accelerators.into(),
            all.accelerators.into(),
        ) as u32,
    )
}

fn equal_fraction(remaining: Resources, own: u64, all: u64) -> Resources {
    Resources::new(
        proportion(remaining.cpu_milli, own, all),
        proportion(remaining.memory_mib, own, all),
        proportion(remaining.accelerators.into(), own, all) as u32,
    )
}

fn proportion(remaining: u64, own: u64, all: u64) -> u64 {
    let product = u128::from(remaining) * u128::from(own);
    product.checked_div(u128::from(all)).unwrap_or_default() as u64
}

fn total(amounts: impl Iterator<Item = Resources>) -> Resources {
    amounts.fold(Resources::NONE, Resources::plus)
}
