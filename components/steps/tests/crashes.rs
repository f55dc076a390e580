//! Tasks that crash each worker that starts them, and innocent tasks beside them.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{
    config, entry, job, job_name, run,
    session::ended,
    simulation::{Faults, LostProcess, Simulation},
    step, vm, worker_info,
};
use kernel::{Resources, Time};
use rstest::rstest;
use steps::{
    Event, Outcome, Owner, Progress, Step, Timing,
    crash::{SuspectRun, WorkerCrash},
    message::{AgentReport, ClockReading, OrderResult, OrdersReply, RunEnd, RunKey},
};

const MACHINE_COUNT: usize = 6;
const JOB_COUNT: u64 = 60;
const START: Time = Time::from_secs(1_000);
/// Jobs with a task that crashes its workers.
const DEADLY_JOBS: [u64; 3] = [8, 20, 23];
const SETTLED: Time = Time::from_secs(1_070);
/// The same where workers stay down for longer than a lease.
const SETTLED_LATE: Time = Time::from_secs(1_110);

fn id(number: u64) -> String {
    format!("{number:016x}")
}

fn simulation(seed: u64, faults_per_second: f64) -> Simulation {
    let faults = Faults {
        fencing: true,
        per_second: faults_per_second,
        until: START + Duration::from_secs(20),
    };
    Simulation::new(seed, MACHINE_COUNT, faults)
}

/// Submits a job every quarter of a second, so that workers always have tasks that they have
/// just started.
fn submit_jobs(simulation: &mut Simulation, deadly: &[u64], settled: Time) {
    for number in 0..JOB_COUNT {
        simulation.run_until(START + Duration::from_millis(2_000 + 250 * number));
        let steps = match number % 10 {
            9 => {
                let watch = Step {
                    long_running: true,
                    ..step(2, &[])
                };
                vec![watch]
            }
            _ => vec![step(4, &[]), step(2, &[0])],
        };
        if deadly.contains(&number) {
            let index = u32::try_from(number % 3).unwrap();
            simulation.make_deadly(run(&id(number), 0, index, 0).task);
        }
        simulation.submit(job(&id(number), "quick", steps), false);
    }
    simulation.run_until(settled);
}

fn check_outcomes(simulation: &Simulation, deadly: &[u64], seed: u64) {
    assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    for number in 0..JOB_COUNT {
        let expected = match number {
            number if deadly.contains(&number) => Some(Outcome::Failed),
            number if number % 10 == 9 => None,
            _ => Some(Outcome::Completed),
        };
        let outcome = simulation.outcome(&job_name(&id(number)));
        assert_eq!(outcome, expected, "seed {seed}: job {number}");
    }
}

fn explore(seed: u64, faults_per_second: f64, lost: LostProcess, down_secs: u64) {
    let mut simulation = simulation(seed, faults_per_second);
    simulation.lost_with_worker = lost;
    simulation.crash_span = Duration::from_secs(down_secs);
    let settled = if down_secs > 3 { SETTLED_LATE } else { SETTLED };
    submit_jobs(&mut simulation, &DEADLY_JOBS, settled);
    check_outcomes(&simulation, &DEADLY_JOBS, seed);
}

/// Lets all machines lose power after the first of the deadly tasks has started.
fn explore_losses_of_power(seed: u64, losses: u64) {
    let mut simulation = simulation(seed, 0.0);
    for number in 0..losses {
        let at = START + Duration::from_millis(4_500 + 900 * number);
        simulation.power_losses.push(at);
    }
    submit_jobs(&mut simulation, &DEADLY_JOBS, SETTLED_LATE);
    check_outcomes(&simulation, &DEADLY_JOBS, seed);
}

fn explore_faulty_worker(seed: u64) {
    let mut simulation = simulation(seed, 0.0);
    simulation.faulty_vm = Some(vm(0));
    submit_jobs(&mut simulation, &[], SETTLED);
    check_outcomes(&simulation, &[], seed);
}

#[rstest]
fn tasks_that_crash_their_workers_are_given_up_and_those_beside_them_complete(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(LostProcess::Nothing, LostProcess::Owner, LostProcess::Agent)] lost: LostProcess,
) {
    explore(seed, 0.0, lost, 3);
}

/// The workers are back only after the leases of their runs have expired.
#[rstest]
fn tasks_whose_workers_stay_down_for_longer_than_a_lease_are_given_up(
    #[values(5, 6)] seed: u64,
    #[values(LostProcess::Nothing, LostProcess::Owner, LostProcess::Agent)] lost: LostProcess,
    #[values(6, 12)] down_secs: u64,
) {
    explore(seed, 0.0, lost, down_secs);
}

/// The worker is back 3 s after its crash; the agent then reports it.
#[rstest]
fn tasks_are_given_up_though_the_owner_is_lost_after_a_crash(
    #[values(7, 8)] seed: u64,
    #[values(1, 2, 3)] crash: u32,
    #[values(0, 400, 3_000, 3_040, 3_100, 3_700)] after_millis: u64,
) {
    let mut simulation = simulation(seed, 0.0);
    simulation.owner_lost_after = Some((crash, Duration::from_millis(after_millis)));
    submit_jobs(&mut simulation, &DEADLY_JOBS, SETTLED_LATE);
    check_outcomes(&simulation, &DEADLY_JOBS, seed);
}

#[rstest]
fn tasks_that_crash_their_workers_are_given_up_among_other_faults(#[values(11, 12)] seed: u64) {
    explore(seed, 0.02, LostProcess::Nothing, 3);
}

#[rstest]
fn no_task_is_given_up_for_a_worker_that_crashes_by_itself(#[values(21, 22)] seed: u64) {
    explore_faulty_worker(seed);
}

/// A job was shown as failed though none of its runs had ended as failed.
#[rstest]
fn a_job_does_not_fail_as_three_workers_crash_by_themselves_under_its_task(
    #[values(51, 52)] seed: u64,
    #[values(LostProcess::Nothing, LostProcess::Owner, LostProcess::Agent)] lost: LostProcess,
) {
    let mut simulation = simulation(seed, 0.0);
    simulation.lost_with_worker = lost;
    simulation.run_until(START + Duration::from_secs(2));
    simulation.make_unlucky(run(&id(1), 0, 0, 0).task, 3);
    simulation.submit(job(&id(1), "quick", vec![step(1, &[])]), false);
    simulation.run_until(SETTLED);
    assert_eq!(simulation.violations, Vec::<String>::new());
    let outcome = simulation.outcome(&job_name(&id(1)));
    assert_eq!(outcome, Some(Outcome::Completed));
}

const POWER_LOSS: Duration = Duration::from_millis(500);
/// Time after the last disruption in which each job has to run: the calm that users grant, and
/// the time after which they count a job that does not run as lost.
const RUNS_WITHIN: Duration = Duration::from_secs(4 + 3);

fn no_faults() -> Faults {
    Faults {
        fencing: true,
        per_second: 0.0,
        until: START,
    }
}

/// Submits jobs of 15 small tasks within as many times 10 ms.
fn submit_small_jobs(simulation: &mut Simulation, jobs: u64) {
    let start = simulation.now;
    for number in 0..jobs {
        let small = Step {
            need: Resources::new(20, 20, 0),
            ..step(15, &[])
        };
        simulation.submit(job(&id(number), "quick", vec![small]), false);
        simulation.run_until(start + Duration::from_millis(10 * number));
    }
}

/// Submits small jobs, then crashes all workers several times within seconds. Returns the time of
/// the last crash.
fn crash_all_workers_repeatedly(
    simulation: &mut Simulation,
    jobs: u64,
    crashes: u32,
    are_agents_lost: bool,
) -> Time {
    simulation.run_until(START + Duration::from_secs(2));
    submit_small_jobs(simulation, jobs);
    for _ in 0..crashes {
        simulation.crash_all_workers(POWER_LOSS, are_agents_lost);
        let now = simulation.now;
        simulation.run_until(now + POWER_LOSS + Duration::from_millis(250));
    }
    simulation.now
}

/// Tasks that had just started on workers that crashed were started again one by one, on workers
/// that took nothing else meanwhile.
#[rstest]
fn crashes_of_all_workers_hold_up_no_start_for_longer_than_users_bear(
    #[values(2, 7, 20)] machines: usize,
    #[values(20, 60)] jobs: u64,
    #[values(1, 2, 5)] crashes: u32,
    #[values(true, false)] are_agents_lost: bool,
    #[values(true, false)] is_owner_lost: bool,
) {
    let mut simulation = Simulation::new(31, machines, no_faults());
    let crashed_at = crash_all_workers_repeatedly(&mut simulation, jobs, crashes, are_agents_lost);
    if is_owner_lost {
        simulation.crash_owner();
    }
    simulation.run_until(crashed_at + RUNS_WITHIN);
    assert_eq!(simulation.violations, Vec::<String>::new());
    for number in 0..jobs {
        let outcome = simulation.outcome(&job_name(&id(number)));
        assert_eq!(outcome, Some(Outcome::Completed), "job {number}");
    }
}

/// All workers tested suspects at the same time and took nothing else.
#[rstest]
fn suspects_start_on_half_of_the_workers_at_most(#[values(3, 5, 6, 12)] workers: usize) {
    let mut session = common::session::Session::loaded();
    let now = START + Duration::from_secs(1);
    for number in 0..workers {
        session.handle(now, Event::Vm(vm(number)));
        session.report(now, number, |report| report.in_doubt = Some(Vec::new()));
    }
    let tasks = step(24, &[]);
    let need = Resources::new(100, 100, 0);
    let (job, progress) = (job(&id(1), "quick", vec![Step { need, ..tasks }]), None);
    session.handle(now, Event::Job { job, progress });
    let started = take_starts(&mut session, now, workers);
    let now = now + Duration::from_millis(100);
    for (number, suspects) in started {
        // More crashes would be a mass loss.
        if number >= workers / 2 {
            let ends = (1..).zip(&suspects);
            let ends = ends.map(|(end, run)| ended(end, &run.key, RunEnd::Done));
            session.report(now, number, |report| report.ended = ends.collect());
            continue;
        }
        let crash = WorkerCrash {
            number: 1,
            incarnation: worker_info(&format!("w-{number}"), 1).incarnation,
            suspects,
        };
        session.report(now, number, |report| {
            let worker = worker_info(&format!("w-{number}-later"), 2);
            report.clock_reading.as_mut().unwrap().incarnation = worker.incarnation.clone();
            report.worker = Some(worker);
            report.crashes = vec![crash];
        });
    }
    let last_change = session.owner.last_change();
    drop(session.owner.take_changes());
    session.owner.confirm_durable(last_change);
    let now = now + Duration::from_millis(300);
    session.handle(now, Event::Tick);
    let used = take_starts(&mut session, now, workers).len();
    assert!((1..=workers / 2).contains(&used), "{used} workers");
}

/// Takes and confirms the starts of all workers; returns them by worker.
fn take_starts(
    session: &mut common::session::Session,
    now: Time,
    workers: usize,
) -> Vec<(usize, Vec<SuspectRun>)> {
    let mut started = Vec::new();
    for number in 0..workers {
        let Some(orders) = session.owner.take_orders(now, &vm(number)) else {
            continue;
        };
        if orders.starts.is_empty() {
            continue;
        }
        let starts = orders.starts.iter().map(|start| SuspectRun {
            key: start.key.clone(),
            is_confirmed: true,
        });
        started.push((number, starts.collect()));
        session.answer(now, number, orders);
    }
    started
}

/// The crash of a worker under such a task counts also if its machine loses power before anyone
/// has told of it.
#[rstest]
fn tasks_that_crash_their_workers_are_given_up_among_losses_of_power(
    #[values(41, 42, 43, 44)] seed: u64,
    #[values(1, 2)] losses: u64,
) {
    explore_losses_of_power(seed, losses);
}

const VM_COUNT: usize = 5;

/// An owner of VMs that have room for one task each.
struct Session {
    owner: Owner,
    version: u64,
    worker_starts: [u64; VM_COUNT],
}

impl Session {
    fn new(epoch: u64, progress: Option<(Progress, i64)>) -> Self {
        let mut owner = Owner::new(entry(1), epoch, Timing::default(), START);
        owner.handle(START, START, Event::Config(config()));
        let gang = Step {
            gang: true,
            need: Resources::new(3_000, 1_000, 0),
            ..step(2, &[])
        };
        let job = job(&id(1), "quick", vec![gang]);
        owner.handle(START, START, Event::Job { job, progress });
        let mut session = Self {
            owner,
            version: 0,
            worker_starts: [1; VM_COUNT],
        };
        for number in 0..VM_COUNT {
            let event = Event::Vm(vm(number));
            session.owner.handle(START, START, event);
        }
        for number in 0..VM_COUNT {
            session.report(START, number, Vec::new());
        }
        session
    }

    fn report(&mut self, now: Time, number: usize, crashes: Vec<WorkerCrash>) {
        self.version += 1;
        let worker = worker_info(&format!("w-{number}"), self.worker_starts[number]);
        let report = Box::new(AgentReport {
            agent_incarnation: 1,
            version: self.version,
            epoch: self.owner.epoch(),
            confirmed_epoch: self.owner.epoch(),
            clock_reading: Some(ClockReading {
                incarnation: worker.incarnation.clone(),
                millis: 10_000,
            }),
            worker: Some(worker),
            worker_responsive: true,
            poll: self.version,
            in_doubt: Some(Vec::new()),
            crashes,
            ..AgentReport::default()
        });
        let vm = vm(number);
        self.owner.handle(now, now, Event::Report { vm, report });
    }

    /// Takes and confirms the starts of the gang; returns its runs with their VMs.
    fn start_gang(&mut self, now: Time) -> Vec<(usize, RunKey)> {
        let mut started = Vec::new();
        for number in 0..VM_COUNT {
            let Some(orders) = self.owner.take_orders(now, &vm(number)) else {
                continue;
            };
            for start in &orders.starts {
                started.push((number, start.key.clone()));
            }
            let reply = Some(OrdersReply {
                agent_incarnation: 1,
                epoch: self.owner.epoch(),
                poll: self.version,
                starts: vec![OrderResult::Done; orders.starts.len()],
                stops: vec![OrderResult::Done; orders.stops.len()],
            });
            let (vm, orders) = (vm(number), Box::new(orders));
            let event = Event::OrdersAnswered { vm, orders, reply };
            self.owner.handle(now, now, event);
        }
        started
    }

    /// Crashes the workers of the gang's runs, and makes the records durable.
    fn crash(&mut self, now: Time, started: Vec<(usize, RunKey)>) -> Option<Progress> {
        for (number, key) in started {
            self.worker_starts[number] += 1;
            let crash = WorkerCrash {
                number: self.worker_starts[number],
                incarnation: worker_info(&format!("w-{number}"), 1).incarnation,
                suspects: vec![SuspectRun {
                    key,
                    is_confirmed: true,
                }],
            };
            self.report(now, number, vec![crash]);
        }
        let last_change = self.owner.last_change();
        let change = self.owner.take_changes().pop();
        self.owner.confirm_durable(last_change);
        for number in 0..VM_COUNT {
            self.report(now, number, Vec::new());
        }
        change.map(|change| change.progress)
    }
}

#[test]
fn a_gang_that_crashes_its_workers_is_given_up_also_by_a_later_owner() {
    let mut progress = None;
    for epoch in 3..7 {
        let outcome = progress
            .as_ref()
            .map(|progress: &Progress| progress.outcome);
        assert_eq!(outcome.flatten(), None, "epoch {epoch}");
        let mut session = Session::new(epoch, progress.map(|progress| (progress, 1)));
        let started = session.start_gang(START);
        assert_eq!(started.len(), 2, "epoch {epoch}");
        progress = session.crash(START + Duration::from_secs(3), started[..1].to_vec());
    }
    assert_eq!(progress.unwrap().outcome, Some(Outcome::Failed));
}

/// Runs more seeds on demand: `STEPS_SEEDS=100 cargo test -p steps --test crashes`.
#[rstest]
fn additional_seeds(
    #[values(LostProcess::Nothing, LostProcess::Owner, LostProcess::Agent)] lost: LostProcess,
    #[values(3, 6, 12)] down_secs: u64,
) {
    play_additional_seeds(|seed| explore(seed, 0.0, lost, down_secs));
}

/// The same with other faults, with a worker that crashes by itself, and with losses of power.
#[test]
fn additional_seeds_of_other_faults() {
    play_additional_seeds(|seed| explore(seed, 0.02, LostProcess::Nothing, 3));
    play_additional_seeds(explore_faulty_worker);
    play_additional_seeds(|seed| explore_losses_of_power(seed, 1));
    play_additional_seeds(|seed| explore_losses_of_power(seed, 2));
}

fn play_additional_seeds(play: impl Fn(u64) + std::panic::RefUnwindSafe) {
    let count = std::env::var("STEPS_SEEDS").ok();
    let count: u64 = count.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut failed = Vec::new();
    for seed in 10_000..10_000 + count {
        if std::panic::catch_unwind(|| play(seed)).is_err() {
            failed.push(seed);
        }
    }
    assert_eq!(failed, Vec::<u64>::new(), "seeds of {count}");
}
