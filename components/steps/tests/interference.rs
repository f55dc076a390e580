//! The owner learns the interference between images and uses it in placement.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::{sync::Arc, time::Duration};

use common::{config, entry, job, run, step, vm, worker_info};
use kernel::Time;
use rstest::rstest;
use steps::{
    Event, Owner, Step, Timing,
    interference::{KnownPairs, PRIOR_WEIGHT, Weight, WeightEstimate},
    message::{ActiveRun, AgentReport, ClockReading, EndedRun, Role, RunEnd, RunKey},
    owner::{InterferenceRecord, PairRecord, PollFailure},
};

const START: Time = Time::from_secs(1_000);
const EPOCH: u64 = 3;
const SERVING: &str = "00000000000000aa";
const HEAVY: &str = "00000000000000bb";
const LIGHT: &str = "00000000000000cc";
/// Latency without best-effort tasks, in milliseconds.
const BASELINE_MILLIS: f64 = 20.0;
const TARGET_MILLIS: u64 = 100;
/// CPU time that a best-effort task uses: a quarter of a VM.
const BEST_EFFORT_MILLI: u64 = 1_000;
const TRUE_WEIGHT: f64 = 4.0;

/// An owner with up to two VMs that each run a task of one serving job and
/// changing best-effort tasks.
struct Session {
    owner: Owner,
    now: Time,
    version: u64,
    /// Load that both serving tasks share, as a factor on their latency.
    load: f64,
}

fn serving_step() -> Step {
    Step {
        long_running: true,
        target_millis: Some(TARGET_MILLIS),
        image: Some("serving".into()),
        ..step(2, &[])
    }
}

fn best_effort_step(image: &str) -> Step {
    let mut step = step(4, &[]);
    step.best_effort = true;
    step.need.memory_mib = 100;
    step.image = Some(image.into());
    step
}

impl Session {
    /// An owner without VMs and jobs.
    fn empty() -> Self {
        let mut owner = Owner::new(entry(1), EPOCH, Timing::default(), START);
        owner.handle(START, START, Event::Config(config()));
        Self {
            owner,
            now: START,
            version: 0,
            load: 1.0,
        }
    }

    fn new() -> Self {
        let mut session = Self::empty();
        session.handle(Event::Vm(vm(0)));
        session.handle(Event::Vm(vm(1)));
        let jobs = [
            job(SERVING, "quick", vec![serving_step()]),
            job(HEAVY, "bulk", vec![best_effort_step("heavy")]),
            job(LIGHT, "bulk", vec![best_effort_step("light")]),
        ];
        for job in jobs {
            let progress = None;
            session.handle(Event::Job { job, progress });
        }
        session
    }

    fn handle(&mut self, event: Event) {
        self.owner.handle(self.now, self.now, event);
    }

    /// Reports half a second with the given best-effort runs on a VM.
    fn report(&mut self, number: usize, best_effort_runs: &[RunKey]) {
        let heavy = best_effort_runs
            .iter()
            .filter(|key| key.task.job.as_ref() == HEAVY);
        let share = heavy.count() as f64 * BEST_EFFORT_MILLI as f64 / 4_000.0;
        let latency = BASELINE_MILLIS * self.load * (TRUE_WEIGHT * share).exp();
        let mut running = vec![row(run(SERVING, 0, number as u32, 1), latency as u64)];
        running.extend(
            best_effort_runs
                .iter()
                .map(|key| row(key.clone(), BEST_EFFORT_MILLI)),
        );
        self.report_rows(number, running);
    }

    fn report_rows(&mut self, number: usize, running: Vec<ActiveRun>) {
        self.report_lists(number, running, Vec::new());
    }

    fn report_lists(&mut self, number: usize, running: Vec<ActiveRun>, ended: Vec<EndedRun>) {
        self.version += 1;
        let worker = worker_info(&format!("w-{number}"), 1);
        let report = AgentReport {
            agent_incarnation: 1,
            version: self.version,
            epoch: EPOCH,
            confirmed_epoch: EPOCH,
            clock_reading: Some(ClockReading {
                incarnation: worker.incarnation.clone(),
                millis: 10_000,
            }),
            worker: Some(worker),
            worker_responsive: true,
            poll: self.version,
            running,
            ended,
            ..AgentReport::default()
        };
        self.handle(Event::Report {
            vm: vm(number),
            report: Box::new(report),
        });
    }

    /// Published weights of the heavy and of the light image.
    fn weights(&mut self) -> (f64, f64) {
        let published = self
            .owner
            .next_report_poll(self.now, &vm(0))
            .unwrap()
            .weights;
        let weight_of = |image: &str| {
            let found: Option<&Weight> = published
                .iter()
                .find(|published| published.best_effort_image.as_ref() == image);
            found.map_or(PRIOR_WEIGHT, |published| published.weight)
        };
        (weight_of("heavy"), weight_of("light"))
    }
}

fn row(key: RunKey, measurement: u64) -> ActiveRun {
    ActiveRun {
        key,
        checkpoint: None,
        progress_percent: 100,
        measurement,
    }
}

/// The load of the serving job triples its latency and falls again while tasks of both
/// images start and stop. Only the heavy image may get a high weight.
#[test]
fn load_changes_are_not_attributed_to_neighbours() {
    let mut session = Session::new();
    for round in 0..40_u32 {
        session.now = session.now + Duration::from_millis(600);
        session.load = 1.0 + f64::from(round % 20) / 10.0;
        let heavy = run(HEAVY, 0, 0, 1);
        let light = run(LIGHT, 0, 0, 1);
        let (first, second): (Vec<RunKey>, Vec<RunKey>) = match round / 4 % 4 {
            0 => (vec![heavy], vec![light]),
            1 => (vec![light], vec![]),
            2 => (vec![], vec![heavy]),
            _ => (vec![], vec![]),
        };
        session.report(0, &first);
        session.report(1, &second);
    }
    let (heavy, light) = session.weights();
    assert!(
        (heavy - TRUE_WEIGHT).abs() < 0.25 * TRUE_WEIGHT,
        "heavy {heavy}"
    );
    assert!(light < 0.25 * TRUE_WEIGHT, "light {light}");
}

/// On a site of 300 machines, each poll held the weights of all pairs after any of them had
/// changed, so the owner's link carried 7.8 MB a second.
#[test]
fn an_agent_gets_only_the_weights_that_it_lacks() {
    let mut session = Session::new();
    let polled = |session: &mut Session, number: usize| {
        let poll = session.owner.next_report_poll(session.now, &vm(number));
        poll.unwrap().weights.len()
    };
    session.report(0, &[]);
    session.report(1, &[]);
    session.now = session.now + Duration::from_millis(600);
    session.report(0, &[run(HEAVY, 0, 0, 1)]);
    session.report(1, &[]);
    let published = polled(&mut session, 0);
    assert!(published > 0, "the heavy image has a weight");
    assert_eq!(polled(&mut session, 0), 0, "nothing has changed since");
    let failure = PollFailure::default();
    session.handle(Event::Unreachable(vm(0), failure));
    assert_eq!(polled(&mut session, 0), published, "the poll may be lost");

    session.now = session.now + Duration::from_millis(600);
    session.report(0, &[run(LIGHT, 0, 0, 1)]);
    session.report(1, &[]);
    assert_eq!(
        polled(&mut session, 0),
        1,
        "only the light image has changed"
    );
    let failure = PollFailure::default();
    session.handle(Event::Unreachable(vm(0), failure));
    let published = polled(&mut session, 0);
    assert_eq!(published, 2, "both images have a weight");

    session.handle(Event::Vm(vm(2)));
    session.handle(Event::Report {
        vm: vm(2),
        report: Box::default(),
    });
    assert_eq!(polled(&mut session, 2), 0, "no serving task runs there");
    assert_eq!(polled(&mut session, 1), published);
}

/// A heavy task waits while the serving task on the only VM is close to its target,
/// but not so long that its job makes no progress.
#[test]
fn a_best_effort_task_waits_for_a_faster_worker() {
    let mut session = Session::empty();
    session.load = 4.0;
    session.handle(Event::Vm(vm(0)));
    let serving = job(SERVING, "quick", vec![serving_step()]);
    session.handle(Event::Job {
        job: serving,
        progress: None,
    });
    session.report(0, &[]);
    session.owner.take_orders(session.now, &vm(0));
    let heavy = job(HEAVY, "bulk", vec![best_effort_step("heavy")]);
    session.handle(Event::Job {
        job: heavy,
        progress: None,
    });
    assert_eq!(
        start_count(&mut session, HEAVY),
        0,
        "the serving task would miss its target"
    );
    session.now = session.now + Duration::from_secs(2);
    session.handle(Event::Tick);
    assert_eq!(
        start_count(&mut session, HEAVY),
        1,
        "the job must make progress"
    );
}

/// Images of the serving tasks that each of the VMs is ordered to start.
fn serving_images(session: &mut Session, vms: usize) -> Vec<Vec<Arc<str>>> {
    let mut images = Vec::new();
    for number in 0..vms {
        let orders = session.owner.take_orders(session.now, &vm(number));
        let starts = orders.map(|orders| orders.starts).unwrap_or_default();
        let of_vm = starts.into_iter().filter_map(|start| match start.role {
            Role::Serving { image, .. } => image,
            _ => None,
        });
        images.push(of_vm.collect());
    }
    images
}

/// Packed by size alone, serving tasks of several images shared each worker, so that hardly any
/// worker was left that suited a best-effort image that interferes with one of them.
#[test]
fn serving_tasks_of_one_image_share_workers() {
    let mut session = Session::empty();
    for number in 0..2 {
        session.handle(Event::Vm(vm(number)));
        session.report_rows(number, Vec::new());
    }
    for (id, image) in [(SERVING, "catalogue"), (HEAVY, "search"), (LIGHT, "search")] {
        let serving = Step {
            count: 1,
            image: Some(image.into()),
            ..serving_step()
        };
        let job = job(id, "quick", vec![serving]);
        let progress = None;
        session.handle(Event::Job { job, progress });
    }
    let mut images = serving_images(&mut session, 2);
    images.sort();
    assert_eq!(images, [vec!["catalogue".into()], vec!["search".into(); 2]]);
}

/// Guards against serving tasks that wait for a worker of their image while another has room.
#[test]
fn serving_tasks_of_several_images_share_the_only_worker() {
    let mut session = Session::empty();
    session.handle(Event::Vm(vm(0)));
    session.report_rows(0, Vec::new());
    for (id, image) in [(SERVING, "catalogue"), (HEAVY, "search")] {
        let serving = Step {
            image: Some(image.into()),
            ..serving_step()
        };
        let job = job(id, "quick", vec![serving]);
        let progress = None;
        session.handle(Event::Job { job, progress });
    }
    assert_eq!(serving_images(&mut session, 1)[0].len(), 4);
}

/// Two VMs, the second of which is idle; a best-effort task on the first one gets a tenth of
/// the CPU time that it needs.
fn slowed_session(step: Step) -> (Session, RunKey) {
    let mut session = Session::empty();
    session.handle(Event::Vm(vm(0)));
    session.handle(Event::Vm(vm(1)));
    let serving = Step {
        count: 1,
        ..serving_step()
    };
    for job in [
        job(SERVING, "quick", vec![serving]),
        job(HEAVY, "bulk", vec![step]),
    ] {
        let progress = None;
        session.handle(Event::Job { job, progress });
    }
    session.handle(Event::JobsLoaded);
    (session, run(HEAVY, 0, 0, 1))
}

/// Reports both VMs every 0.5 s; the run on the first one has `measurement` and `progress`.
fn report_slowed(session: &mut Session, key: &RunKey, measurement: u64, progress: u32) {
    let mut slowed = row(key.clone(), measurement);
    slowed.progress_percent = progress;
    slowed.checkpoint = Some("saved-1".into());
    let serving = row(run(SERVING, 0, 0, 1), TARGET_MILLIS);
    session.report_rows(0, vec![serving, slowed]);
    session.report_rows(1, Vec::new());
    session.handle(Event::Tick);
    session.now = session.now + Duration::from_millis(500);
}

fn stops_of(session: &mut Session, number: usize) -> Vec<RunKey> {
    let orders = session.owner.take_orders(session.now, &vm(number));
    orders.map(|orders| orders.stops).unwrap_or_default()
}

fn saving_step() -> Step {
    Step {
        count: 1,
        checkpoints: true,
        ..best_effort_step("heavy")
    }
}

#[test]
fn a_paced_down_task_stays_where_it_is_while_another_worker_is_idle() {
    let (mut session, key) = slowed_session(saving_step());
    let mut stops = Vec::new();
    for _ in 0..6 {
        report_slowed(&mut session, &key, BEST_EFFORT_MILLI / 10, 20);
        stops.extend(stops_of(&mut session, 0));
    }
    assert_eq!(stops, vec![key.clone()]);
    let end = EndedRun {
        number: 1,
        key,
        how: RunEnd::Stopped,
        checkpoint: Some("saved-2".into()),
    };
    let serving = row(run(SERVING, 0, 0, 1), TARGET_MILLIS);
    session.report_lists(0, vec![serving], vec![end]);
    let orders = session.owner.take_orders(session.now, &vm(1)).unwrap();
    let checkpoints: Vec<_> = orders.starts.iter().map(|s| s.checkpoint.clone()).collect();
    assert_eq!(checkpoints, vec![Some("saved-2".into())]);
}

#[test]
fn a_task_is_not_moved_for_a_short_slowdown_or_without_a_checkpoint() {
    let without_checkpoints = Step {
        checkpoints: false,
        ..saving_step()
    };
    let tenth = BEST_EFFORT_MILLI / 10;
    let cases = [
        (saving_step(), [tenth, tenth, BEST_EFFORT_MILLI], 20),
        (saving_step(), [tenth, tenth, tenth], 95),
        (without_checkpoints, [tenth, tenth, tenth], 20),
    ];
    for (step, measurements, progress) in cases {
        let (mut session, key) = slowed_session(step);
        for _ in 0..3 {
            for measurement in measurements {
                report_slowed(&mut session, &key, measurement, progress);
                assert!(stops_of(&mut session, 0).is_empty());
            }
        }
    }
}

fn start_count(session: &mut Session, id: &str) -> usize {
    let orders = session.owner.take_orders(session.now, &vm(0));
    let starts = orders.map(|orders| orders.starts).unwrap_or_default();
    let id: Arc<str> = id.into();
    let of_job = starts
        .iter()
        .filter(|start| start.key.task.job.as_ref() == id.as_ref());
    of_job.count()
}

/// Returns the comparisons for one report of a serving job with a task on each of the VMs.
fn comparisons_for_a_report(vms: usize) -> u64 {
    let mut session = Session::empty();
    for number in 0..vms {
        session.handle(Event::Vm(vm(number)));
    }
    let step = Step {
        count: vms as u32,
        ..serving_step()
    };
    let job = job(SERVING, "quick", vec![step]);
    let progress = None;
    session.handle(Event::Job { job, progress });
    for number in 0..vms {
        session.report(number, &[]);
    }
    let before = session.owner.work().samples_compared;
    session.now = session.now + Duration::from_millis(600);
    session.report(0, &[]);
    session.owner.work().samples_compared - before
}

#[test]
fn each_report_is_compared_with_each_task_of_the_job() {
    let (few, many) = (comparisons_for_a_report(3), comparisons_for_a_report(48));
    assert!(few > 0);
    assert_eq!(many, few, "with 48 and with 3 tasks");
}

/// Every pair that had not run together yet started from 2.0, whatever was known of its images:
/// a new best-effort image was held back beside a serving image that nothing slows.
#[test]
fn an_unknown_pair_starts_from_the_known_pairs_of_its_images() {
    let prior = KnownPairs::default().estimate();
    assert_eq!(prior, WeightEstimate::PRIOR, "nothing is known");
    let estimate_from = |weights: &[f64], degree: f64| {
        let mut known = KnownPairs::default();
        for &weight in weights {
            known.add(degree, weight);
        }
        known.estimate()
    };
    let harmless = estimate_from(&[0.0; 6], 1.0);
    assert!(harmless.weight < 0.3 * PRIOR_WEIGHT, "{harmless:?}");
    let heavy = estimate_from(&[4.0; 6], 1.0);
    assert!(heavy.weight > 1.7 * PRIOR_WEIGHT, "{heavy:?}");
    let one = estimate_from(&[0.0], 1.0);
    assert!(one.weight > harmless.weight, "one pair says less");
    let unsure = estimate_from(&[0.0; 6], 0.1);
    assert!(
        unsure.weight > harmless.weight,
        "pairs hardly known say less"
    );
    let mixed = estimate_from(&[0.0, 4.0, 0.0, 4.0], 1.0);
    assert!(
        mixed.error > heavy.error,
        "pairs that differ leave more open"
    );
}

/// The owner places by the prior and publishes it, so that agents pace by the same weights.
#[test]
fn agents_get_the_prior_of_an_unknown_pair() {
    let mut session = Session::new();
    for round in 0..40 {
        session.now = session.now + Duration::from_millis(600);
        // An image that does not interfere runs every other time.
        let harmless = run(LIGHT, 0, 0, 1);
        match round % 2 {
            0 => session.report(0, std::slice::from_ref(&harmless)),
            _ => session.report(0, &[]),
        }
        session.report(1, &[]);
    }
    let (heavy, light) = session.weights();
    assert!(light < 0.25, "light {light}");
    assert_eq!(heavy, PRIOR_WEIGHT, "no task of the image has run");
    // A task of the other image is listed, and uses no CPU time yet.
    session.now = session.now + Duration::from_millis(600);
    let mut running = vec![row(run(SERVING, 0, 0, 1), BASELINE_MILLIS as u64)];
    running.push(row(run(HEAVY, 0, 0, 1), 0));
    session.report_rows(0, running);
    let (heavy, _) = session.weights();
    assert!(heavy < 0.8 * PRIOR_WEIGHT, "heavy {heavy}");
}

/// A session in which the owner has learnt the weights of both images.
fn learnt_session() -> Session {
    let mut session = Session::new();
    for round in 0..40_u32 {
        session.now = session.now + Duration::from_millis(600);
        match round % 3 {
            0 => session.report(0, &[run(HEAVY, 0, 0, 1)]),
            1 => session.report(0, &[run(LIGHT, 0, 0, 1)]),
            _ => session.report(0, &[]),
        }
        session.report(1, &[]);
    }
    session
}

impl Session {
    fn take_record(&mut self) -> Option<InterferenceRecord> {
        self.owner.take_interference_record(self.now, self.now)
    }

    /// Record of what has been learnt.
    fn record(&mut self) -> InterferenceRecord {
        let _ = self.take_record();
        self.now = self.now + Duration::from_secs(5);
        self.take_record().unwrap()
    }

    /// A new owner that starts from this record after `age`.
    fn next_owner(record: InterferenceRecord, age: Duration) -> Self {
        let mut next = Self::new();
        next.now = Time::from_millis(record.taken_at_millis) + age;
        next.handle(Event::InterferenceRecord(record));
        next.report(0, &[]);
        next.report(1, &[]);
        next
    }
}

/// Each new owner started from the constant weight and learnt all pairs again.
#[test]
fn a_new_owner_starts_from_the_record() {
    let mut session = learnt_session();
    let (heavy, light) = session.weights();
    assert!(heavy > 3.0 && light < 0.5, "heavy {heavy}, light {light}");
    let record = session.record();
    let mut next = Session::next_owner(record, Duration::from_secs(9));
    let (next_heavy, next_light) = next.weights();
    assert!((next_heavy - heavy).abs() < 0.4, "heavy {next_heavy}");
    assert!((next_light - light).abs() < 0.4, "light {next_light}");
    let mut without = Session::new();
    without.report(0, &[]);
    without.report(1, &[]);
    assert_eq!(without.weights(), (PRIOR_WEIGHT, PRIOR_WEIGHT));
}

/// Images may have changed since an old record was taken.
#[test]
fn an_old_record_counts_less() {
    let record = learnt_session().record();
    let weight_after = |secs: u64| {
        let age = Duration::from_secs(secs);
        let (heavy, _) = Session::next_owner(record.clone(), age).weights();
        heavy
    };
    let (new, old, ancient) = (weight_after(1), weight_after(720), weight_after(86_400));
    assert!(new - 0.3 > old, "{new} {old}");
    assert_eq!(ancient, PRIOR_WEIGHT);
}

/// Writes are priced, and all processes together may write 400 times a second.
#[test]
fn the_record_is_taken_once_in_5_s_and_only_after_a_notable_change() {
    let mut session = Session::new();
    let mut taken_at: Vec<Time> = Vec::new();
    for round in 0..200_u32 {
        session.now = session.now + Duration::from_millis(200);
        match round % 8 {
            0..4 => session.report(0, &[run(HEAVY, 0, 0, 1)]),
            _ => session.report(0, &[]),
        }
        session.report(1, &[]);
        if let Some(record) = session.take_record() {
            session
                .owner
                .interference_record_written(session.now, &record);
            taken_at.push(session.now);
        }
    }
    assert!(!taken_at.is_empty());
    for pair in taken_at.windows(2) {
        assert!(pair[1].since(pair[0]) >= Duration::from_secs(5));
    }
    for _ in 0..20 {
        session.now = session.now + Duration::from_secs(5);
        assert_eq!(session.take_record(), None, "nothing new is known");
    }
    let record = learnt_session().record();
    let mut next = Session::next_owner(record, Duration::ZERO);
    for _ in 0..4 {
        next.now = next.now + Duration::from_secs(5);
        assert_eq!(next.take_record(), None, "the store holds the record");
    }
}

/// A write that failed is repeated, after 5 s like any other.
#[test]
fn a_record_that_was_not_written_is_taken_again() {
    let mut session = learnt_session();
    let lost = session.record();
    session.now = session.now + Duration::from_secs(4);
    assert_eq!(session.take_record(), None);
    session.now = session.now + Duration::from_secs(1);
    let again = session.take_record().unwrap();
    assert_eq!(again.pairs.len(), lost.pairs.len());
    session
        .owner
        .interference_record_written(session.now, &again);
    session.now = session.now + Duration::from_secs(5);
    assert_eq!(session.take_record(), None);
}

/// Another writer, or a fault, may leave any numbers in the store.
#[test]
fn unusable_pairs_of_a_record_are_left_out() {
    let mut record = learnt_session().record();
    record.taken_at_millis = u64::MAX;
    for (weight, information) in [(f64::NAN, 1.0), (-1.0, 1.0), (1e9, 1.0), (1.0, 1e300)] {
        let pair = PairRecord {
            serving_image: "serving".into(),
            best_effort_image: "other".into(),
            weight,
            information,
        };
        record.pairs.insert(0, pair);
    }
    let mut next = Session::new();
    next.handle(Event::InterferenceRecord(record));
    next.report(0, &[]);
    let (heavy, _) = next.weights();
    assert!(heavy > 3.0 && heavy < 5.0, "{heavy}");
}

/// Best-effort tasks were placed beside a serving task whose load was about to rise as readily as
/// beside a steady one.
#[rstest]
#[case::first_swings(0)]
#[case::second_swings(1)]
fn a_best_effort_task_goes_beside_the_steady_serving_task(#[case] swinging: usize) {
    let mut session = Session::empty();
    for number in 0..2 {
        session.handle(Event::Vm(vm(number)));
    }
    let serving = job(SERVING, "quick", vec![serving_step()]);
    let progress = None;
    session.handle(Event::Job {
        job: serving,
        progress,
    });
    session.handle(Event::JobsLoaded);
    for round in 0..60_u32 {
        session.now = session.now + Duration::from_millis(500);
        session.handle(Event::OwnershipProved(session.now));
        for number in 0..2 {
            let periods = f64::from(60 - round) / 28.0;
            let swing = match number == swinging {
                true => -(std::f64::consts::TAU * periods).sin(),
                false => 0.0,
            };
            let latency = BASELINE_MILLIS * (0.5 * swing).exp();
            let key = run(SERVING, 0, number as u32, 1);
            session.report_rows(number, vec![row(key, latency as u64)]);
        }
    }
    for number in 0..2 {
        session.owner.take_orders(session.now, &vm(number));
    }
    let step = Step {
        count: 1,
        estimate_millis: 4_000,
        ..best_effort_step("heavy")
    };
    let job = job(HEAVY, "bulk", vec![step]);
    session.handle(Event::Job {
        job,
        progress: None,
    });
    let starts_on = |session: &mut Session, number: usize| {
        let orders = session.owner.take_orders(session.now, &vm(number));
        orders.map_or(0, |orders| orders.starts.len())
    };
    assert_eq!(starts_on(&mut session, swinging), 0);
    assert_eq!(starts_on(&mut session, 1 - swinging), 1);
}
