//! Waits of tasks for places near their data, and of steps for one rack.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use common::{config, entry, job, step, vm, worker_info};
use kernel::{AvailabilityZoneName, JobName, Resources, ServiceName, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use steps::{
    Event, Job, Owner, Step, Timing,
    locality::{
        self, Decision, Expectation, Locality, Objective, Rack, Reason, Room, Size, StepKey,
        WaitBegin, Wish,
    },
    message::{
        ActiveRun, AgentReport, ClockReading, EndedRun, OrderResult, OrdersReply, RunEnd, RunKey,
    },
};

const START: Time = Time::from_secs(1_000);
/// How often the owner gets reports, a tick and a proof of its ownership.
const TICK_MILLIS: u64 = 200;

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A worker with its runs and the times at which they end.
struct Worker {
    rack: usize,
    runs: BTreeMap<RunKey, Time>,
    ends: u64,
    version: u64,
    draining: bool,
}

/// An owner and workers in racks, each rack in a zone of its own.
struct Fleet {
    owner: Owner,
    epoch: u64,
    far_factor: f64,
    workers: Vec<Worker>,
    jobs: BTreeMap<JobName, Arc<Job>>,
    /// Durations of tasks by job, where they are not the estimates.
    durations: BTreeMap<JobName, u64>,
    /// Starts by job: the time and the rack of each.
    starts: BTreeMap<JobName, Vec<(Time, usize)>>,
    completed: BTreeMap<JobName, Time>,
}

impl Fleet {
    fn new(racks: usize, workers_per_rack: usize, far_factor: f64, wait_for_near: bool) -> Self {
        let workers = (0..racks * workers_per_rack).map(|number| Worker {
            rack: number / workers_per_rack,
            runs: BTreeMap::new(),
            ends: 0,
            version: 0,
            draining: false,
        });
        let mut fleet = Self {
            owner: Owner::new(entry(1), 1, Timing::default(), START),
            epoch: 0,
            far_factor,
            workers: workers.collect(),
            jobs: BTreeMap::new(),
            durations: BTreeMap::new(),
            starts: BTreeMap::new(),
            completed: BTreeMap::new(),
        };
        fleet.change_owner(START, wait_for_near);
        fleet
    }

    /// Starts a term of a new owner, which learns of all jobs and workers.
    fn change_owner(&mut self, now: Time, wait_for_near: bool) {
        self.epoch += 1;
        let timing = Timing {
            far_factor: self.far_factor,
            wait_for_near,
            ..Timing::default()
        };
        self.owner = Owner::new(entry(self.epoch), self.epoch, timing, now);
        self.handle(now, Event::Config(config()));
        for number in 0..self.workers.len() {
            self.handle(now, Event::Vm(vm(number)));
        }
        let jobs: Vec<Arc<Job>> = self.jobs.values().cloned().collect();
        for job in jobs {
            let progress = None;
            self.handle(now, Event::Job { job, progress });
        }
        self.handle(now, Event::JobsLoaded);
        for number in 0..self.workers.len() {
            self.report(now, number, Vec::new());
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        self.owner.handle(now, now, event);
    }

    fn report(&mut self, now: Time, number: usize, ended: Vec<EndedRun>) {
        let state = &mut self.workers[number];
        state.version += 1;
        let mut worker = worker_info(&format!("w-{number}"), 1);
        worker.labels[1] = rack_name(state.rack);
        worker.zone = zone(state.rack);
        worker.draining = state.draining;
        let running = state.runs.keys().map(|key| ActiveRun {
            key: key.clone(),
            checkpoint: None,
            progress_percent: 10,
            measurement: state.version,
        });
        let report = Box::new(AgentReport {
            agent_incarnation: 1,
            version: state.version,
            epoch: self.epoch,
            confirmed_epoch: self.epoch,
            clock_reading: Some(ClockReading {
                incarnation: worker.incarnation.clone(),
                millis: 10_000,
            }),
            worker: Some(worker),
            worker_responsive: true,
            running: running.collect(),
            ended,
            poll: state.version,
            ..AgentReport::default()
        });
        let vm = vm(number);
        self.handle(now, Event::Report { vm, report });
    }

    fn submit(&mut self, now: Time, id: u64, step: Step) -> JobName {
        self.submit_steps(now, id, vec![step])
    }

    fn submit_steps(&mut self, now: Time, id: u64, steps: Vec<Step>) -> JobName {
        let job = job(&format!("{id:016x}"), "quick", steps);
        let name = job.name.clone();
        self.jobs.insert(name.clone(), Arc::clone(&job));
        let progress = None;
        self.handle(now, Event::Job { job, progress });
        self.settle(now);
        name
    }

    /// Fills `count` places of a rack for `duration` milliseconds.
    fn fill(&mut self, now: Time, id: u64, rack: usize, duration: u64, step: Step) {
        let step = Step {
            label: Some(rack_name(rack)),
            ..step
        };
        let name = JobName::new(format!("{id:016x}")).unwrap();
        self.durations.insert(name, duration);
        let count = step.count as usize;
        let job = self.submit(now, id, step);
        assert_eq!(
            self.starts_of(&job).len(),
            count,
            "the rack has too little room"
        );
    }

    /// Carries the orders out.
    fn settle(&mut self, now: Time) {
        for number in 0..self.workers.len() {
            let Some(orders) = self.owner.take_orders(now, &vm(number)) else {
                continue;
            };
            for start in &orders.starts {
                let duration = self.duration(&start.key, self.workers[number].rack);
                let starts = self.starts.entry(start.key.task.job.clone()).or_default();
                starts.push((now, self.workers[number].rack));
                let worker = &mut self.workers[number];
                worker.runs.insert(start.key.clone(), now + duration);
            }
            let reply = Some(OrdersReply {
                agent_incarnation: 1,
                epoch: self.epoch,
                poll: self.workers[number].version,
                starts: vec![OrderResult::Done; orders.starts.len()],
                stops: vec![OrderResult::Done; orders.stops.len()],
            });
            let (vm, orders) = (vm(number), Box::new(orders));
            self.handle(now, Event::OrdersAnswered { vm, orders, reply });
        }
        for change in self.owner.take_changes() {
            if change.is_end {
                self.completed.entry(change.job.clone()).or_insert(now);
            }
            self.owner.record_written(&change.job, 1);
        }
    }

    fn duration(&self, key: &RunKey, rack: usize) -> Duration {
        let job = &self.jobs[&key.task.job];
        let step = &job.steps[usize::from(key.task.step)];
        let own = self.durations.get(&key.task.job);
        let duration = millis(own.copied().unwrap_or(step.estimate_millis));
        match &step.data_rack {
            Some(near) if *near != rack_name(rack) => duration.mul_f64(self.far_factor),
            _ => duration,
        }
    }

    /// Ends the runs that are due, and lets the owner act on time.
    fn step(&mut self, now: Time) {
        if (now.since(START).as_millis() as u64).is_multiple_of(TICK_MILLIS) {
            self.handle(now, Event::OwnershipProved(now));
            self.handle(now, Event::Tick);
            for number in 0..self.workers.len() {
                self.report(now, number, Vec::new());
            }
        }
        for number in 0..self.workers.len() {
            let worker = &mut self.workers[number];
            let due = worker.runs.iter().filter(|(_, end)| end.passed(now));
            let due: Vec<RunKey> = due.map(|(key, _)| key.clone()).collect();
            let mut ended = Vec::new();
            for key in due {
                worker.runs.remove(&key);
                worker.ends += 1;
                ended.push(EndedRun {
                    number: worker.ends,
                    key,
                    how: RunEnd::Done,
                    checkpoint: None,
                });
            }
            if !ended.is_empty() {
                self.report(now, number, ended);
            }
        }
        if self.owner.next_pass().is_some_and(|at| at.passed(now)) {
            self.handle(now, Event::PassDue);
        }
        self.settle(now);
    }

    /// Lets the time pass in steps of 10 ms, from after `from` until `until`.
    fn run(&mut self, from: u64, until: u64) {
        for now in (from + 10..=until).step_by(10) {
            self.step(at(now));
        }
    }

    fn starts_of(&self, job: &JobName) -> &[(Time, usize)] {
        self.starts.get(job).map(Vec::as_slice).unwrap_or_default()
    }

    /// Number of starts of a job in a rack.
    fn starts_in(&self, job: &JobName, rack: usize) -> usize {
        let starts = self.starts_of(job).iter();
        starts.filter(|(_, used)| *used == rack).count()
    }
}

fn rack_name(number: usize) -> Arc<str> {
    format!("rack-{number}").into()
}

fn zone(rack: usize) -> AvailabilityZoneName {
    AvailabilityZoneName::new(format!("zone-{rack}")).unwrap()
}

/// Tasks of one core and one second near rack 0.
fn near_step(count: u32) -> Step {
    Step {
        estimate_millis: 1_000,
        data_rack: Some(rack_name(0)),
        ..step(count, &[])
    }
}

/// Two racks of eight places; those of rack 0 are taken for `busy` milliseconds.
fn fleet_with_full_rack(busy: u64, wait_for_near: bool) -> Fleet {
    let mut fleet = Fleet::new(2, 2, 3.0, wait_for_near);
    fleet.fill(at(0), 1, 0, busy, step(8, &[]));
    fleet
}

/// Without a wait the tasks would run three times as long on the other rack.
#[test]
fn tasks_wait_for_a_place_near_their_data() {
    let mut fleet = fleet_with_full_rack(300, true);
    let job = fleet.submit(at(0), 2, near_step(2));
    fleet.run(0, 290);
    assert_eq!(fleet.starts_of(&job), []);
    fleet.run(290, 300);
    assert_eq!(fleet.starts_in(&job, 0), 2);
    let work = fleet.owner.work();
    assert_eq!(
        (work.near_waits, work.near_found, work.near_given_up),
        (2, 2, 0)
    );
}

#[test]
fn tasks_take_far_workers_at_once_where_the_wait_is_switched_off() {
    let mut fleet = fleet_with_full_rack(300, false);
    let job = fleet.submit(at(0), 2, near_step(2));
    assert_eq!(fleet.starts_in(&job, 1), 2);
    assert_eq!(fleet.owner.work().near_waits, 0);
}

/// A decision that reserved the far worker, or was taken for a lack of room, would hold up the
/// other job.
#[test]
fn a_far_worker_that_a_task_declines_is_open_to_others_in_the_same_pass() {
    let mut fleet = fleet_with_full_rack(300, true);
    let passes = fleet.owner.work().passes;
    let waiting = fleet.submit(at(0), 2, near_step(2));
    // Its deadline is later, so the pass visits it after the job that waits.
    let later = Step {
        estimate_millis: 2_000,
        ..step(8, &[])
    };
    let other = fleet.submit(at(0), 3, later);
    assert_eq!(fleet.starts_of(&waiting), []);
    assert_eq!(fleet.starts_in(&other, 1), 8);
    assert!(fleet.owner.work().passes >= passes + 2);
}

/// The wait would end only with another event otherwise.
#[test]
fn the_end_of_a_wait_causes_a_pass_by_itself() {
    let mut fleet = fleet_with_full_rack(60_000, true);
    let job = fleet.submit(at(0), 2, near_step(2));
    // Nothing is learnt, so a quarter of the saving of 2 s.
    assert_eq!(fleet.owner.next_pass(), Some(at(500)));
    fleet.handle(at(490), Event::PassDue);
    fleet.settle(at(490));
    assert_eq!(fleet.starts_of(&job), []);
    fleet.handle(at(500), Event::PassDue);
    fleet.settle(at(500));
    assert_eq!(fleet.starts_in(&job, 1), 2);
    assert_eq!(fleet.owner.next_pass(), None);
    let work = fleet.owner.work();
    assert_eq!(
        (work.near_waits, work.near_found, work.near_given_up),
        (2, 0, 2)
    );
}

/// Users take a job that has nothing running for 3 s as lost.
#[test]
fn a_job_with_nothing_running_takes_a_far_worker_after_its_maximum_idle_time() {
    let small = Step {
        need: Resources::new(100, 100, 0),
        ..step(80, &[])
    };
    let mut fleet = Fleet::new(2, 2, 2.0, true);
    fleet.fill(at(0), 1, 0, 60_000, small.clone());
    let long = Step {
        count: 2,
        estimate_millis: 8_000,
        data_rack: Some(rack_name(0)),
        ..small
    };
    let job = fleet.submit(at(0), 2, long);
    fleet.run(0, 1_490);
    assert_eq!(fleet.starts_of(&job), [], "it would wait for 2 s");
    fleet.run(1_490, 1_510);
    assert_eq!(fleet.starts_in(&job, 1), 1);
    fleet.run(1_510, 2_010);
    assert_eq!(fleet.starts_in(&job, 1), 2);
}

/// How the rack that tasks wait for is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Drained,
    ZoneOut,
    Unresponsive,
}

#[rstest]
fn a_wait_ends_with_the_loss_of_its_rack(
    #[values(Loss::Drained, Loss::ZoneOut, Loss::Unresponsive)] loss: Loss,
) {
    let mut fleet = fleet_with_full_rack(60_000, true);
    let job = fleet.submit(at(0), 2, near_step(2));
    fleet.run(0, 100);
    assert_eq!(fleet.starts_of(&job), []);
    match loss {
        Loss::ZoneOut => fleet.handle(at(100), Event::ZonesOut(BTreeSet::from([zone(0)]))),
        Loss::Drained => {
            for number in 0..2 {
                fleet.workers[number].draining = true;
                fleet.report(at(100), number, Vec::new());
            }
        }
        Loss::Unresponsive => {
            for number in 0..2 {
                let failure = steps::owner::PollFailure {
                    waited: Duration::from_secs(2),
                    ..Default::default()
                };
                fleet.handle(at(100), Event::Unreachable(vm(number), failure));
            }
        }
    }
    fleet.handle(at(110), Event::Tick);
    fleet.settle(at(110));
    assert_eq!(fleet.starts_in(&job, 1), 2, "{loss:?}");
}

/// A wait of an earlier owner is unknown to the next one, whose own has to end as well.
#[test]
fn a_wait_starts_anew_with_a_new_owner() {
    let mut fleet = fleet_with_full_rack(60_000, true);
    let job = fleet.submit(at(0), 2, near_step(2));
    fleet.run(0, 300);
    fleet.change_owner(at(300), true);
    fleet.settle(at(300));
    assert_eq!(fleet.owner.next_pass(), Some(at(800)));
    fleet.run(300, 790);
    assert_eq!(fleet.starts_of(&job), []);
    fleet.run(790, 800);
    assert_eq!(fleet.starts_in(&job, 1), 2);
}

/// Without a bound all would wait for the same few places.
#[test]
fn no_more_tasks_wait_for_a_rack_than_places_become_free_there() {
    let mut fleet = Fleet::new(2, 20, 3.0, true);
    fleet.fill(at(0), 1, 0, 60_000, step(80, &[]));
    for id in 0..30 {
        fleet.submit(at(0), 2 + id, near_step(2));
    }
    // 80 places of a second each, over a wait of 0.5 s.
    assert_eq!(fleet.owner.work().near_waits, 40);
    assert_eq!(fleet.owner.work().starts_ordered, 80 + 20);
    let before = fleet.owner.work();
    fleet.handle(at(200), Event::Tick);
    let after = fleet.owner.work();
    assert_eq!(after.passes, before.passes + 1);
    let examined = after.workers_examined - before.workers_examined;
    assert!(examined <= 40, "{examined} workers for 20 jobs that wait");
}

/// Ended and cancelled jobs must not count among those that wait.
#[test]
fn a_cancelled_job_leaves_its_turn_to_others() {
    let mut fleet = fleet_with_full_rack(60_000, true);
    let first = fleet.submit(at(0), 2, near_step(4));
    let second = fleet.submit(at(0), 3, near_step(4));
    assert_eq!(fleet.starts_of(&first), []);
    assert_eq!(fleet.starts_in(&second, 1), 4, "all turns are taken");
    fleet.handle(at(10), Event::Cancelled(first));
    let third = fleet.submit(at(10), 4, near_step(3));
    assert_eq!(fleet.starts_of(&third), []);
    assert_eq!(fleet.owner.next_pass(), Some(at(510)));
}

/// On two racks the step would take three times as long.
#[rstest]
fn a_step_that_belongs_on_one_rack_waits_until_one_has_room(
    #[values(false, true)] gang: bool,
    #[values(false, true)] wait_for_near: bool,
) {
    let mut fleet = Fleet::new(2, 2, 3.0, wait_for_near);
    for rack in 0..2 {
        fleet.fill(at(0), 1 + rack as u64, rack, 300, step(4, &[]));
    }
    let wide = Step {
        gang,
        same_rack: true,
        data_rack: None,
        ..near_step(8)
    };
    let job = fleet.submit(at(0), 9, wide);
    match wait_for_near {
        true => {
            assert_eq!(fleet.starts_of(&job), []);
            fleet.run(0, 300);
            let racks = [fleet.starts_in(&job, 0), fleet.starts_in(&job, 1)];
            assert!(racks == [8, 0] || racks == [0, 8], "{racks:?}");
        }
        false => assert_eq!([fleet.starts_in(&job, 0), fleet.starts_in(&job, 1)], [4, 4]),
    }
}

/// Guards against a wait in vain: the places that become free in a rack were compared with a step
/// that is larger than the rack.
#[rstest]
fn a_step_does_not_wait_for_a_rack_that_can_not_hold_it(#[values(false, true)] gang: bool) {
    let mut fleet = Fleet::new(2, 2, 3.0, true);
    for rack in 0..2 {
        fleet.fill(at(0), 1 + rack as u64, rack, 300, step(4, &[]));
    }
    let wide = |count: u32| Step {
        gang,
        same_rack: true,
        data_rack: None,
        estimate_millis: 2_000,
        ..near_step(count)
    };
    // From this step on the rate of free places is followed.
    let first = fleet.submit(at(0), 9, wide(8));
    fleet.run(0, 2_500);
    assert!(fleet.completed.contains_key(&first));
    let job = fleet.submit(at(2_500), 10, wide(12));
    assert_eq!(fleet.starts_of(&job).len(), 12);
}

/// Members that start elsewhere would slow all of them down.
#[test]
fn a_gang_waits_as_a_whole_for_the_rack_of_its_data() {
    let mut fleet = Fleet::new(2, 2, 3.0, true);
    fleet.fill(at(0), 1, 0, 300, step(4, &[]));
    let gang = Step {
        gang: true,
        ..near_step(6)
    };
    let job = fleet.submit(at(0), 9, gang);
    assert_eq!(fleet.starts_of(&job), []);
    fleet.run(0, 300);
    assert_eq!([fleet.starts_in(&job, 0), fleet.starts_in(&job, 1)], [6, 0]);
}

/// Users would miss the tasks for a gain that they do not have.
#[test]
fn long_running_tasks_do_not_wait_for_a_near_place() {
    let mut fleet = fleet_with_full_rack(300, true);
    let serving = Step {
        long_running: true,
        ..near_step(2)
    };
    let job = fleet.submit(at(0), 2, serving);
    assert_eq!(fleet.starts_in(&job, 1), 2);
}

/// A gang that no rack can ever hold must not wait for one.
#[test]
fn a_gang_that_waits_in_vain_takes_several_racks() {
    let mut fleet = Fleet::new(2, 2, 3.0, true);
    fleet.fill(at(0), 1, 0, 60_000, step(4, &[]));
    fleet.fill(at(0), 2, 1, 60_000, step(4, &[]));
    let gang = Step {
        gang: true,
        same_rack: true,
        data_rack: None,
        ..near_step(8)
    };
    let job = fleet.submit(at(0), 9, gang);
    fleet.run(0, 490);
    assert_eq!(fleet.starts_of(&job), []);
    fleet.run(490, 500);
    assert_eq!(fleet.starts_of(&job).len(), 8);
}

fn wish() -> Wish {
    Wish {
        now: at(0),
        since: at(0),
        tasks: 4,
        free: 0,
        waiting: 0,
        ahead: 0,
        near: millis(1_000),
        far: millis(2_000),
        slack_until: None,
        idle_until: None,
        expectation: Expectation::Learnt(10.0),
    }
}

#[rstest]
#[case::places_are_expected(wish(), 4, 1_000, Reason::Expected)]
#[case::the_saving_is_used_up(Wish { now: at(1_000), ..wish() }, 0, 1_000, Reason::NoSaving)]
#[case::no_slack(Wish { slack_until: Some(at(0)), ..wish() }, 0, 0, Reason::NoSlack)]
#[case::little_slack(Wish { slack_until: Some(at(200)), ..wish() }, 0, 200, Reason::TooSlow)]
#[case::idle(Wish { idle_until: Some(at(0)), ..wish() }, 0, 0, Reason::Idle)]
#[case::others_wait(Wish { ahead: 8, ..wish() }, 0, 1_000, Reason::TooSlow)]
#[case::nothing_becomes_free(Wish { expectation: Expectation::Learnt(0.0), ..wish() }, 0, 1_000, Reason::TooSlow)]
#[case::nothing_learnt(Wish { expectation: Expectation::Unlearnt(20), ..wish() }, 4, 250, Reason::Expected)]
#[case::small_rack(Wish { expectation: Expectation::Unlearnt(8), ..wish() }, 0, 250, Reason::TooSlow)]
#[case::half_of_the_wait_is_over(Wish { now: at(700), waiting: 4, ..wish() }, 4, 1_000, Reason::Expected)]
#[case::the_rate_has_fallen(Wish { now: at(700), waiting: 4, expectation: Expectation::Learnt(2.0), ..wish() }, 0, 1_000, Reason::TooSlow)]
#[case::all_together(Wish { tasks: 14, free: 4, ..wish() }, 14, 1_000, Reason::Expected)]
#[case::too_many_together(Wish { tasks: 15, free: 4, ..wish() }, 0, 1_000, Reason::TooSlow)]
fn a_wait_is_bounded_by_what_it_saves_and_what_is_expected(
    #[case] wish: Wish,
    #[case] tasks: usize,
    #[case] until: u64,
    #[case] reason: Reason,
) {
    let expected = Decision {
        tasks,
        until: at(until),
        reason,
    };
    assert_eq!(locality::decide(&wish), expected);
}

/// An objective of 3.5 s of which 0.5 s are for later steps, or 1 s on far places. The step takes
/// 2 s on a far place, and its start 0.15 s.
#[rstest]
#[case::far_is_in_time(0, Some(350))]
#[case::the_later_steps_must_be_near(400, Some(850))]
#[case::late_but_of_value(900, Some(7_350))]
#[case::late_unless_the_later_steps_are_near(7_400, Some(7_850))]
#[case::no_value(7_900, None)]
fn a_wait_keeps_the_best_outcome_that_is_left(#[case] now: u64, #[case] until: Option<u64>) {
    let objective = Objective {
        since: at(0),
        span: millis(3_500),
        rest: millis(500),
        far_rest: millis(1_000),
    };
    let found = locality::slack_until(at(now), &objective, millis(2_000));
    assert_eq!(found, until.map(at));
}

/// Submitters give the estimates, which have no bound.
#[test]
fn any_estimate_can_be_weighed() {
    let mut fleet = fleet_with_full_rack(300, true);
    let steps = [0, 1].map(|number: u16| Step {
        estimate_millis: u64::MAX,
        after: (0..number).collect(),
        ..near_step(2)
    });
    let job = fleet.submit_steps(at(0), 2, steps.to_vec());
    fleet.run(0, 310);
    assert_eq!(fleet.starts_of(&job).len(), 2);
}

fn rack() -> Rack {
    (ServiceName::new("pool").unwrap(), rack_name(0))
}

fn step_key(id: u64) -> StepKey {
    (JobName::new(format!("{id:016x}")).unwrap(), 0, 0)
}

fn began(at: Time) -> WaitBegin {
    WaitBegin {
        at,
        slack_until: None,
    }
}

fn room(cpu_milli: u64) -> Room {
    Room {
        available: Resources::new(cpu_milli, 16_000, 0),
        headroom_milli: i64::try_from(cpu_milli).unwrap(),
    }
}

#[test]
fn the_rate_follows_the_places_that_become_free_for_a_size() {
    let mut locality = Locality::default();
    let (small, large) = (Size::of(&step(1, &[])), Size::of(&wide_step()));
    assert_eq!(locality.rate(at(0), &rack(), small), None);
    assert_eq!(locality.rate(at(0), &rack(), large), None);
    for now in 1..=20 {
        locality.record_end(at(now * 100), &rack(), &room(900), &room(1_900));
    }
    let rate = locality.rate(at(2_000), &rack(), small).unwrap();
    assert!((9.0..=11.0).contains(&rate), "{rate} places a second");
    assert_eq!(locality.rate(at(2_000), &rack(), large), Some(0.0));
    let later = locality.rate(at(12_000), &rack(), small).unwrap();
    assert!(
        later < 1.0,
        "{later} places a second after 10 s without any"
    );
}

fn wide_step() -> Step {
    Step {
        need: Resources::new(3_000, 1_000, 0),
        ..step(1, &[])
    }
}

/// Those who wait would go on hoping for places that others get.
#[test]
fn places_that_others_take_while_tasks_wait_are_not_expected() {
    let mut locality = Locality::default();
    let size = Size::of(&step(1, &[]));
    locality.rate(at(0), &rack(), size);
    for now in 1..=20 {
        locality.record_end(at(now * 100), &rack(), &room(900), &room(1_900));
        if now == 10 {
            locality.set(
                at(1_000),
                &step_key(1),
                &rack(),
                began(at(1_000)),
                at(5_000),
                1,
            );
        }
        locality.record_other_start(at(now * 100), &rack(), &room(1_900), &room(900));
    }
    let rate = locality.rate(at(2_000), &rack(), size).unwrap();
    assert!((3.0..=6.0).contains(&rate), "{rate} places a second");
}

#[test]
fn waiting_tasks_are_counted_as_they_change() {
    let mut locality = Locality::default();
    locality.set(at(0), &step_key(1), &rack(), began(at(0)), at(500), 3);
    locality.set(at(0), &step_key(2), &rack(), began(at(0)), at(400), 4);
    assert_eq!(locality.waiting(&rack()), 7);
    assert_eq!(locality.ahead(&rack(), &step_key(1)), 4);
    assert_eq!(locality.next_deadline(), Some(at(400)));
    let change = locality.found(at(100), &step_key(2), 1);
    assert_eq!(
        (change.before, change.after, change.waited),
        (4, 3, millis(100))
    );
    assert!(!locality.take_due(at(399)));
    assert!(locality.take_due(at(400)));
    assert!(!locality.take_due(at(400)));
    locality.forget_job(&step_key(1).0);
    assert_eq!(locality.waiting(&rack()), 3);
    locality.end(at(450), &step_key(2));
    assert_eq!(
        (locality.waiting(&rack()), locality.next_deadline()),
        (0, None)
    );
}

/// A job that is in time on the far place must not wait beyond that, though it would still be in
/// time on the near one. The step has 0.25 s of slack, of which a start takes 0.15 s.
#[test]
fn a_wait_does_not_use_up_the_slack_of_a_job() {
    let mut fleet = Fleet::new(2, 10, 1.5, true);
    fleet.fill(at(0), 1, 0, 60_000, step(40, &[]));
    let step = Step {
        estimate_millis: 2_000,
        ..near_step(1)
    };
    let job = fleet.submit(at(0), 2, step);
    assert_eq!(fleet.owner.next_pass(), Some(at(100)));
    fleet.run(0, 100);
    assert_eq!(fleet.starts_in(&job, 1), 1);
}

/// What callers get in a play of waves of quick jobs for one rack.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    jobs: usize,
    /// Value of the jobs: 1 in time, 0.15 up to three times the objective.
    value: f64,
    total_latency: Duration,
}

impl Outcome {
    fn share(&self) -> f64 {
        self.value / self.jobs as f64
    }

    fn mean_millis(&self) -> u64 {
        (self.total_latency / u32::try_from(self.jobs).unwrap()).as_millis() as u64
    }
}

const RACKS: usize = 3;
const WORKERS_PER_RACK: usize = 4;
const WAVE_MILLIS: u64 = 5_500;
const WAVES: u64 = 4;

/// Plays waves in each of which 60% of the quick jobs want one rack. Returns what these callers
/// get, and the others.
fn play_waves(far_factor: f64, load: f64, wait_for_near: bool, seed: u64) -> [Outcome; 2] {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(RACKS, WORKERS_PER_RACK, far_factor, wait_for_near);
    let places = (RACKS * WORKERS_PER_RACK * 4) as f64;
    // 1.6 steps of 5 tasks of 0.85 s each.
    let jobs_per_second = load * places / (1.6 * 5.0 * 0.85);
    let mut submitted: Vec<(Time, JobName, bool)> = Vec::new();
    let end = WAVE_MILLIS * WAVES;
    for now in (10..end + 15_000).step_by(10) {
        fleet.step(at(now));
        if now >= end || !rng.random_bool((jobs_per_second * 0.01).min(1.0)) {
            continue;
        }
        let is_for_rack = rng.random_bool(0.6);
        let rack = (now / WAVE_MILLIS) as usize % RACKS;
        let steps = if rng.random_bool(0.6) { 2 } else { 1 };
        let steps = (0..steps).map(|number: u16| Step {
            estimate_millis: rng.random_range(700..=1_000),
            data_rack: is_for_rack.then(|| rack_name(rack)),
            after: (0..number).collect(),
            ..step(5, &[])
        });
        let steps: Vec<Step> = steps.collect();
        let id = submitted.len() as u64 + 1;
        let name = fleet.submit_steps(at(now), id, steps);
        submitted.push((at(now), name, is_for_rack));
    }
    let mut outcomes = [Outcome::default(); 2];
    for (submitted_at, name, is_for_rack) in submitted {
        let completed = fleet.completed.get(&name);
        let latency = completed.unwrap_or_else(|| panic!("{name} did not complete"));
        let latency = latency.since(submitted_at);
        let job = &fleet.jobs[&name];
        let objective = millis(job.longest_chain_millis()).mul_f64(1.5) + millis(250);
        let outcome = &mut outcomes[usize::from(!is_for_rack)];
        outcome.jobs += 1;
        outcome.total_latency += latency;
        if latency <= objective {
            outcome.value += 1.0;
        } else if latency <= objective * 3 {
            outcome.value += 0.15;
        }
    }
    outcomes
}

/// The wait must help callers whose jobs want one rack, and not at the cost of others.
#[rstest]
fn a_wave_of_jobs_for_one_rack_gets_more_in_time_and_costs_others_nothing(
    #[values(1.5, 2.0, 3.0)] far_factor: f64,
    #[values(0.5, 0.7)] load: f64,
) {
    let mut shares = [[0.0; 2]; 2];
    for (index, wait_for_near) in [false, true].into_iter().enumerate() {
        for seed in 1..=3 {
            let outcomes = play_waves(far_factor, load, wait_for_near, seed);
            for (kind, outcome) in outcomes.iter().enumerate() {
                shares[index][kind] += outcome.share() / 3.0;
            }
            println!(
                "far_factor {far_factor}, load {load}, seed {seed}, wait {wait_for_near}: for the rack {:.3} ({} ms), others {:.3} ({} ms)",
                outcomes[0].share(),
                outcomes[0].mean_millis(),
                outcomes[1].share(),
                outcomes[1].mean_millis(),
            );
        }
    }
    println!("far_factor {far_factor}, load {load}: {shares:.3?}");
    let [[off, others_off], [on, others_on]] = shares;
    // At 1.5 most jobs are in time on far places as well.
    let least = if far_factor >= 2.0 {
        off + 0.05
    } else {
        off - 0.01
    };
    assert!(
        on >= least,
        "for the rack: {off:.3} without, {on:.3} with the wait"
    );
    assert!(
        others_on >= others_off - 0.01,
        "others: {others_off:.3} without, {others_on:.3} with the wait"
    );
}
