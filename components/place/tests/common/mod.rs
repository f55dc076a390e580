//! Helpers that create workers and tasks for the tests.

use kernel::{Attempt, JobName, Resources, TaskClass, TaskId, TaskRun, TeamName, Time, Urgency};
use place::{PlacementRequest, Reservation, Worker};

/// Creates the worker of `vm-N`, with three workers per rack and four
/// availability zones.
pub(crate) fn worker(number: u32, capacity: Resources) -> Worker {
    Worker {
        vm: format!("vm-{number}").parse().unwrap(),
        zone: format!("zone-{}", number % 4).parse().unwrap(),
        rack: format!("rack-{}", number / 3).parse().unwrap(),
        capacity,
        services: Vec::new(),
        open: true,
    }
}

/// Returns the first attempt of task `index` of job `job`.
pub(crate) fn run(job: &str, index: u32) -> TaskRun {
    TaskRun {
        task: TaskId {
            job: JobName::new(job).unwrap(),
            index,
        },
        attempt: Attempt(1),
    }
}

/// Creates the request of a normal batch task of `team`.
pub(crate) fn batch_request(run: &TaskRun, team: &str, need: Resources) -> PlacementRequest {
    PlacementRequest {
        run: run.clone(),
        team: TeamName::new(team).unwrap(),
        class: TaskClass::Batch,
        urgency: Urgency::Normal,
        need,
        service: None,
        avoid: Vec::new(),
        finish_by: None,
        payers: Vec::new(),
    }
}

/// Creates the reservation of `request` once it is bound.
pub(crate) fn reservation(request: &PlacementRequest, started: Time) -> Reservation {
    Reservation {
        team: request.team.clone(),
        class: request.class,
        urgency: request.urgency,
        reserved: request.need,
        started,
    }
}

/// Returns the VM name of [`worker`] `number`.
pub(crate) fn vm(number: u32) -> kernel::VmName {
    format!("vm-{number}").parse().unwrap()
}
