//! The filters and scores of placement, which register themselves.
//!
//! Whether a task fits is no plug-in, since the limit on reservations must not
//! be possible to switch off. See `docs/PLACEMENT.md` for what each rule is for.

use kernel::{
    Resources, TaskClass,
    plugin::{Plugin, inventory},
};

use crate::{
    decision::{PlacementRequest, UnplacedReason},
    worker::Worker,
};

/// A worker with room for a task that no filter refused, as scores see it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// What stays free if the task comes here.
    pub remaining: Resources,
    /// The replicas of the same service in the worker's availability zone, as
    /// a part of all of them.
    pub zone_fraction: f64,
    /// The replicas of the same service in the worker's rack, as a part of all.
    pub rack_fraction: f64,
    /// The expected relative growth of the tail latency of the services beside
    /// the worker.
    pub interference: f64,
}

/// A rule that keeps a task away from some workers.
#[derive(Debug)]
pub struct Filter {
    /// Its unique name.
    pub name: &'static str,
    /// The reason if the task must not come to the worker and leave so much free.
    pub reject: fn(&Worker, Resources, &PlacementRequest) -> Option<UnplacedReason>,
}

impl Plugin for Filter {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(Filter);

/// A rule that prefers some workers; the least weighted sum wins.
#[derive(Debug)]
pub struct Score {
    /// Its unique name.
    pub name: &'static str,
    /// How much it counts against the others.
    pub weight: f64,
    /// The cost of the task's coming here, about 0 to 1.
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
        reject: |worker, _, want| want.avoid.contains(&worker.vm).then_some(UnplacedReason::Avoided),
    }
}

inventory::submit! {
    Filter {
        name: "accelerators",
        reject: |worker, remaining, want| {
            let kept = keeps_accelerators_usable(worker, remaining, want);
            (!kept).then_some(UnplacedReason::AcceleratorsKept)
        },
    }
}

/// Of the processors and memory that go with an accelerator, a task without
/// need for accelerators must leave one part in this many.
const ACCELERATOR_KEEPS_ONE_IN: u64 = 2;

fn keeps_accelerators_usable(
    worker: &Worker,
    remaining: Resources,
    want: &PlacementRequest,
) -> bool {
    let all = u64::from(worker.capacity.accelerators);
    let free = u64::from(remaining.accelerators);
    if want.need.accelerators > 0 || free == 0 {
        return true;
    }
    let part = |whole: u64| whole * free / (all * ACCELERATOR_KEEPS_ONE_IN);
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
        cost: |at, want| {
            let wasted = want.need.accelerators == 0 && at.remaining.accelerators > 0;
            f64::from(u8::from(wasted))
        },
    }
}

inventory::submit! {
    Score {
        name: "spread",
        weight: 8.0,
        cost: |at, want| match want.class {
            TaskClass::LatencyCritical => at.zone_fraction + at.rack_fraction / 2.0,
            TaskClass::Batch => 0.0,
        },
    }
}

inventory::submit! {
    Score {
        name: "harm",
        weight: 16.0,
        cost: |at, want| match want.class {
            TaskClass::LatencyCritical => 0.0,
            TaskClass::Batch => at.interference,
        },
    }
}
