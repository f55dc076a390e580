//! Which cells take which tasks of a new job.

use std::collections::BTreeMap;

use kernel::{CellName, JobSpec, Resources};
use proto::messages::CellCapacity;

use crate::{CellShare, TaskRange};

/// The most cells that one job is spread over at first, so that one
/// transaction of the store accepts it.
const MAX_SHARES: usize = 64;

/// Splits a job over cells by the room they have now; what no cell has room
/// for is spread evenly over the cells whose workers are large enough.
///
/// Nothing is given if no cell is known. If no worker is large enough, the
/// whole job goes to one cell, which will say why it can't run.
#[must_use]
pub fn spread(spec: &JobSpec, rooms: &BTreeMap<CellName, CellCapacity>) -> Vec<CellShare> {
    let mut cells: Vec<(&CellName, u64)> = Vec::new();
    for (cell, room) in rooms {
        if spec.need.fits(room.largest) {
            cells.push((cell, fits_now(spec.need, room)));
        }
    }
    if cells.is_empty() {
        let least = rooms.iter().min_by_key(|(_, room)| room.waiting);
        cells.extend(least.map(|(cell, _)| (cell, 0)));
    }
    cells.sort_by_key(|(cell, fits)| (std::cmp::Reverse(*fits), *cell));
    cells.truncate(MAX_SHARES);
    let counts = divide(u64::from(spec.tasks), &cells);
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

/// How many tasks each cell takes, in the order given.
fn divide(tasks: u64, cells: &[(&CellName, u64)]) -> Vec<u64> {
    let room: u64 = cells.iter().map(|(_, fits)| fits).sum();
    let placed = tasks.min(room);
    let waiting = tasks - placed;
    let mut counts = Vec::new();
    let mut given = 0;
    for (index, (_, fits)) in cells.iter().enumerate() {
        let by_room = (placed * fits).checked_div(room).unwrap_or(0);
        let even = share_of(waiting, cells.len(), index);
        counts.push(by_room + even);
        given += by_room + even;
    }
    // What rounding left over goes to the cells with the most room.
    for count in &mut counts {
        if given == tasks {
            break;
        }
        *count += 1;
        given += 1;
    }
    counts
}

fn share_of(tasks: u64, cells: usize, index: usize) -> u64 {
    let cells = cells as u64;
    tasks / cells + u64::from((index as u64) < tasks % cells)
}

/// How many tasks find room at once, beside those that wait there already.
fn fits_now(need: Resources, room: &CellCapacity) -> u64 {
    how_many(need, room.free).saturating_sub(room.waiting)
}

/// How many times `need` goes into `free`, at most the tasks of one job.
pub(crate) fn how_many(need: Resources, free: Resources) -> u64 {
    let fit = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::MAX);
    fit(need.cpu_milli, free.cpu_milli)
        .min(fit(need.memory_mib, free.memory_mib))
        .min(fit(
            u64::from(need.accelerators),
            u64::from(free.accelerators),
        ))
        .min(u64::from(kernel::task::MAX_TASKS_PER_JOB))
}

/// Counts tasks that a cell was given against its room, until it tells more.
pub fn deduct_capacity(room: &mut CellCapacity, need: Resources, tasks: u64) {
    let placed = tasks.min(how_many(need, room.free));
    for _ in 0..placed {
        room.free = room.free.minus(need);
    }
    room.waiting += tasks - placed;
}
