//! A team's quota over several cells.
//!
//! See "Quotas over cells" in `docs/PLACEMENT.md`.

use std::collections::BTreeMap;

use kernel::{CellName, Resources, TeamName, TeamSum, TeamSums};

/// The sums that the owners of cells tell one another.
///
/// Each cell may fill the team's quota up to what it holds itself and its part
/// of what is left over everywhere, by what waits in each cell. Owners with the
/// same sums come to parts that never exceed the quota together; what changed
/// since the last exchange is the most by which it can be exceeded.
#[derive(Clone, Debug, Default)]
pub struct QuotaSplit {
    cells: BTreeMap<CellName, TeamSums>,
}

impl QuotaSplit {
    /// No sum known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the sums of one cell; they replace its earlier ones. A cell
    /// whose owner is silent stays as it was, since its tasks hold on.
    pub fn update_cell(&mut self, cell: &CellName, sums: TeamSums) {
        self.cells.insert(cell.clone(), sums);
    }

    /// What a team may hold in `cell` at most.
    #[must_use]
    pub fn allowance(&self, cell: &CellName, team: &TeamName, quota: Resources) -> Resources {
        let sums: Vec<(&CellName, TeamSum)> = self
            .cells
            .iter()
            .map(|(cell, sums)| (cell, sums.get(team).copied().unwrap_or_default()))
            .collect();
        let held = total(sums.iter().map(|(_, sum)| sum.held));
        let left = quota.minus(held);
        let Some(own) = sums.iter().position(|(name, _)| *name == cell) else {
            return Resources::NONE;
        };
        let wanting: Vec<usize> = (0..sums.len())
            .filter(|number| sums[*number].1.wanted != Resources::NONE)
            .collect();
        let more = match wanting.iter().position(|number| *number == own) {
            Some(place) => {
                let wants: Vec<TeamSum> = wanting.iter().map(|number| sums[*number].1).collect();
                parts(left, &wants)[place]
            }
            None if wanting.is_empty() => part(left, 1, sums.len() as u64),
            None => Resources::NONE,
        };
        sums[own].1.held.plus(more)
    }
}

/// Splits `left` among cells that want some: first whole tasks of the largest
/// size in proportion to what each wants, then one more task each in turn, then
/// what is too little for any of those to the first.
fn parts(left: Resources, wants: &[TeamSum]) -> Vec<Resources> {
    let wanted = total(wants.iter().map(|sum| sum.wanted));
    let mut parts: Vec<Resources> = wants
        .iter()
        .map(|sum| whole_tasks(proportional(left, sum.wanted, wanted), sum.largest))
        .collect();
    let mut rest = left.minus(total(parts.iter().copied()));
    for (part, sum) in parts.iter_mut().zip(wants) {
        let wants_more = !sum.wanted.fits(*part);
        if wants_more && sum.largest.fits(rest) {
            *part = part.plus(sum.largest);
            rest = rest.minus(sum.largest);
        }
    }
    if let Some(first) = parts.first_mut() {
        *first = first.plus(rest);
    }
    parts
}

/// As many tasks of the given size as fit into `room`.
fn whole_tasks(room: Resources, size: Resources) -> Resources {
    let times = |room: u64, size: u64| room.checked_div(size).unwrap_or(u64::MAX);
    let count = times(room.cpu_milli, size.cpu_milli)
        .min(times(room.memory_mib, size.memory_mib))
        .min(times(room.accelerators.into(), size.accelerators.into()));
    if count == u64::MAX {
        return Resources::NONE;
    }
    let many = |size: u64| size.saturating_mul(count);
    Resources::new(
        many(size.cpu_milli),
        many(size.memory_mib),
        u32::try_from(many(size.accelerators.into())).unwrap_or(u32::MAX),
    )
}

fn proportional(left: Resources, own: Resources, all: Resources) -> Resources {
    Resources::new(
        share(left.cpu_milli, own.cpu_milli, all.cpu_milli),
        share(left.memory_mib, own.memory_mib, all.memory_mib),
        share(
            left.accelerators.into(),
            own.accelerators.into(),
            all.accelerators.into(),
        ) as u32,
    )
}

fn part(left: Resources, own: u64, all: u64) -> Resources {
    Resources::new(
        share(left.cpu_milli, own, all),
        share(left.memory_mib, own, all),
        share(left.accelerators.into(), own, all) as u32,
    )
}

fn share(left: u64, own: u64, all: u64) -> u64 {
    let product = u128::from(left) * u128::from(own);
    product.checked_div(u128::from(all)).unwrap_or_default() as u64
}

fn total(parts: impl Iterator<Item = Resources>) -> Resources {
    parts.fold(Resources::NONE, Resources::plus)
}
