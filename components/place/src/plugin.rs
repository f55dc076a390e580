//! Filters and scores for placement, which register themselves.
//!
//! The capacity check is not a plug-in, because it must not be possible to
//! switch it off. See `docs/PLACEMENT.md` for the purpose of each rule.

use kernel::{
    Resources, TaskClass,
    plugin::{Plugin, inventory},
};

use crate::{
    decision::{PlacementRequest, UnplacedReason},
    worker::Worker,
};

/// A worker with enough capacity that passed all filters, as input to the
/// scores.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// The capacity that stays free if the task is placed here.
    pub remaining: Resources,
    /// The fraction of the service's replicas that run in the worker's
    /// availability zone.
    pub zone_fraction: f64,
    /// The fraction of the service's replicas that run in the worker's rack.
    pub rack_fraction: f64,
    /// The expected relative increase of the tail latencies, summed over the
    /// services on the worker's VM.
    pub interference: f64,
}

/// A rule that excludes workers for a task.
#[derive(Debug)]
pub struct Filter {
    /// The unique name of the filter.
    pub name: &'static str,
    /// Returns the reason if the task must not run on the worker. The second
    /// argument is the capacity that would stay free.
    pub reject: fn(&Worker, Resources, &PlacementRequest) -> Option<UnplacedReason>,
}

impl Plugin for Filter {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(Filter);

/// A rule that prefers some workers. The worker with the least weighted sum of
/// costs is chosen.
#[derive(Debug)]
pub struct Score {
    /// The unique name of the score.
    pub name: &'static str,
    /// The factor on the cost in the weighted sum.
    pub weight: f64,
    /// Returns the cost of placing the task on the candidate, about 0 to 1.
    pub cost: fn(&Candidate<'_>, &PlacementRequest) -> f64,
}

impl Plugin for Score {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(Score);

inventory::submit! {
    Filter {
        name: "open",
        reject: |worker, _, _| (!worker.open).then_some(UnplacedReason::NoWorker),
    }
}

inventory::submit! {
    Filter {
        name: "avoid",
        reject: |worker, _, request| {
            request
                .avoid
                .contains(&worker.vm)
                .then_some(UnplacedReason::Avoided)
        },
    }
}

inventory::submit! {
    Filter {
        name: "accelerators",
        reject: |worker, remaining, request| {
            let kept = keeps_accelerators_usable(worker, remaining, request);
            (!kept).then_some(UnplacedReason::AcceleratorsKept)
        },
    }
}

/// A task that needs no accelerator must leave free, for each free accelerator,
/// its proportional part of the worker's CPU and memory divided by this number.
const ACCELERATOR_RESERVE_DIVISOR: u64 = 2;

fn keeps_accelerators_usable(
    worker: &Worker,
    remaining: Resources,
    request: &PlacementRequest,
) -> bool {
    let all = u64::from(worker.capacity.accelerators);
    let free = u64::from(remaining.accelerators);
    if request.need.accelerators > 0 || free == 0 {
        return true;
    }
    let part = |whole: u64| whole * free / (all * ACCELERATOR_RESERVE_DIVISOR);
    remaining.cpu_milli >= part(worker.capacity.cpu_milli)
        && remaining.memory_mib >= part(worker.capacity.memory_mib)
}

inventory::submit! {
    Score {
        name: "best-fit",
        weight: 1.0,
        cost: |at, _| at.remaining.dominant_share(at.worker.capacity),
    }
}

inventory::submit! {
    Score {
        name: "accelerators",
        weight: 2.0,
        cost: |at, request| {
            let wasted = request.need.accelerators == 0 && at.remaining.accelerators > 0;
            f64::from(u8::from(wasted))
        },
    }
}

inventory::submit! {
    Score {
        name: "spread",
        weight: 8.0,
        cost: |at, request| match request.class {
            TaskClass::LatencyCritical => at.zone_fraction + at.rack_fraction / 2.0,
            TaskClass::Batch => 0.0,
        },
    }
}

inventory::submit! {
    Score {
        name: "harm",
        weight: 16.0,
        cost: |at, request| match request.class {
            TaskClass::LatencyCritical => 0.0,
            TaskClass::Batch => at.interference,
        },
    }
}
