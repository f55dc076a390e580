//! Jobs that can never be done beside others.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{
    job, job_name,
    simulation::{Faults, Simulation},
    step,
};
use kernel::Time;
use rstest::rstest;
use steps::{Outcome, Step};

const START: Time = Time::from_secs(1_000);
/// Time after which users count a job with nothing running as lost, and twice its work.
const DONE_WITHIN: Duration = Duration::from_millis(3_000 + 2 * 100);

/// Two long-running jobs that always failed kept all workers in quarantine.
#[rstest]
fn failing_jobs_leave_workers_to_others(
    #[values(2, 7)] machines: usize,
    #[values(2, 4, 12)] failing_jobs: u64,
    #[values(true, false)] is_long_running: bool,
) {
    let faults = Faults {
        fencing: true,
        per_second: 0.0,
        until: START,
    };
    let mut simulation = Simulation::new(5, machines, faults);
    for number in 0..failing_jobs {
        simulation.run_until(START + Duration::from_millis(2_000 + 300 * number));
        let failing = Step {
            long_running: is_long_running,
            need: kernel::Resources::new(20, 20, 0),
            ..step(8, &[])
        };
        let id = format!("{number:016x}");
        simulation.submit(job(&id, "quick", vec![failing]), true);
    }
    for number in 0..8 {
        simulation.run_until(START + Duration::from_millis(6_000 + 900 * number));
        let id = format!("{:016x}", 0xc0ff_ee00 + number);
        simulation.submit(job(&id, "quick", vec![step(1, &[])]), false);
        let accepted = simulation.now;
        simulation.run_until(accepted + DONE_WITHIN);
        assert_eq!(
            simulation.outcome(&job_name(&id)),
            Some(Outcome::Completed),
            "{number}"
        );
    }
    assert_eq!(simulation.violations, Vec::<String>::new());
}
