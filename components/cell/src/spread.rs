//! Assignment of the tasks of a new job to cells.

use std::collections::BTreeMap;

use kernel::{CellName, JobSpec, Resources};
use proto::messages::CellCapacity;

use crate::{CellShare, TaskRange};

/// Limit on the cells that a new job is spread over, so that one transaction of the
/// store can accept the job.
const MAX_SHARES: usize = 64;

/// Splits a job over cells in proportion to their free capacity. Tasks beyond the
/// free capacity are spread evenly over the cells whose workers are large enough.
///
/// Returns no shares if no cell is known. If no worker is large enough, the whole
/// job goes to one cell, whose owner reports why the job can't run.
#[must_use]
pub fn spread(spec: &JobSpec, capacities: &BTreeMap<CellName, CellCapacity>) -> Vec<CellShare> {
    let mut cells: Vec<(&CellName, u64)> = Vec::new();
    for (cell, capacity) in capacities {
        if spec.need.fits(capacity.largest) {
            cells.push((cell, free_slots(spec.need, capacity)));
        }
    }
    if cells.is_empty() {
        let least_loaded = capacities
            .iter()
            .min_by_key(|(_, capacity)| capacity.waiting);
        cells.extend(least_loaded.map(|(cell, _)| (cell, 0)));
    }
    cells.sort_by_key(|(cell, slots)| (std::cmp::Reverse(*slots), *cell));
    cells.truncate(MAX_SHARES);
    let counts = task_counts(u64::from(spec.tasks), &cells);
    let mut shares = Vec::new();
    let mut from = 0;
    for ((cell, _), count) in cells.into_iter().zip(counts) {
        let until = from + u32::try_from(count).unwrap_or(0);
        let part = TaskRange { from, until };
        if !part.is_empty() {
            let cell = cell.clone();
            shares.push(CellShare { cell, part });
        }
        from = until;
    }
    shares
}

/// Returns the number of tasks for each cell, in the order of `cells`, which are
/// given with their free slots.
fn task_counts(tasks: u64, cells: &[(&CellName, u64)]) -> Vec<u64> {
    let total_slots: u64 = cells.iter().map(|(_, slots)| slots).sum();
    let placed = tasks.min(total_slots);
    let waiting = tasks - placed;
    let mut counts = Vec::new();
    let mut assigned = 0;
    for (index, (_, slots)) in cells.iter().enumerate() {
        let by_capacity = (placed * slots).checked_div(total_slots).unwrap_or(0);
        let even = even_share(waiting, cells.len(), index);
        counts.push(by_capacity + even);
        assigned += by_capacity + even;
    }
    // Rounding down leaves some tasks unassigned; the first cells, which have the
    // most free slots, get them.
    for count in &mut counts {
        if assigned == tasks {
            break;
        }
        *count += 1;
        assigned += 1;
    }
    counts
}

fn even_share(tasks: u64, cells: usize, index: usize) -> u64 {
    let cells = cells as u64;
    tasks / cells + u64::from((index as u64) < tasks % cells)
}

/// Returns the number of tasks that fit into the free capacity besides those that
/// wait in the cell already.
fn free_slots(need: Resources, capacity: &CellCapacity) -> u64 {
    count_fitting(need, capacity.free).saturating_sub(capacity.waiting)
}

/// Returns how many tasks of size `need` fit into `free`, at most the limit for one
/// job.
pub(crate) fn count_fitting(need: Resources, free: Resources) -> u64 {
    let fit = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::MAX);
    fit(need.cpu_milli, free.cpu_milli)
        .min(fit(need.memory_mib, free.memory_mib))
        .min(fit(
            u64::from(need.accelerators),
            u64::from(free.accelerators),
        ))
        .min(u64::from(kernel::task::MAX_TASKS_PER_JOB))
}

/// Deducts tasks assigned to a cell from its capacity, until the owner of the cell
/// reports its capacity again.
pub fn deduct_capacity(capacity: &mut CellCapacity, need: Resources, tasks: u64) {
    let placed = tasks.min(count_fitting(need, capacity.free));
    for _ in 0..placed {
        capacity.free = capacity.free.minus(need);
    }
    capacity.waiting += tasks - placed;
}
