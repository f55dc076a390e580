//! Which submits are refused under overload, and what callers get.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use common::{
    config, job,
    processor::{Departure, Simulation},
    step,
};
use kernel::{JobName, Resources, ServiceName, Time};
use rstest::rstest;
use steps::{
    Job, Outcome, Schedule, Step,
    admission::{
        AcceptReason, Decision, Drain, LineLimit, LoadSummary, QueueLoad, ServiceLoad, WaitingWork,
        Work, decide,
    },
};

/// Objective of a job of one step of 300 ms in the queues of the tests: 1.5 times that, and
/// 250 ms. Three times this less the step is the longest wait of a job that is accepted.
const LONGEST_WAIT: Duration = Duration::from_millis(3 * 700 - 300);
const RATE_MILLI: u64 = 10_000;
const SPAN_MILLIS: u64 = 3_000;

fn queue_load(queue: &str, priority: u32, wait: Duration) -> QueueLoad {
    let mut load = QueueLoad::new(queue.into(), priority);
    load.in_time.add(None, work(wait));
    load
}

/// Work that drains in a time.
fn work(wait: Duration) -> Work {
    Work::new(
        Resources::new(RATE_MILLI, RATE_MILLI, 0),
        wait.as_millis() as u64,
    )
}

fn summary(queues: Vec<QueueLoad>) -> LoadSummary {
    LoadSummary {
        epoch: 1,
        is_recovering: false,
        services: vec![ServiceLoad {
            service: ServiceName::new("pool").unwrap(),
            queues,
            drain: Some(Drain {
                span_millis: SPAN_MILLIS,
                work: work(Duration::from_millis(SPAN_MILLIS)),
                free: Resources::new(900, 10_000, 0),
                headroom_milli: 900,
            }),
        }],
    }
}

fn overloaded() -> LoadSummary {
    summary(vec![queue_load("quick", 0, Duration::from_secs(60))])
}

fn job_of(queue: &str, step: Step) -> Arc<Job> {
    job("00000000000000aa", queue, vec![step])
}

fn decide_on(job: &Job, summary: &LoadSummary) -> Decision {
    let config = config();
    let queue = config.queue(&job.queue).unwrap();
    decide(job, queue, Some((summary, Duration::ZERO)))
}

#[rstest]
#[case::at_the_limit(LONGEST_WAIT, None)]
#[case::just_beyond_it(LONGEST_WAIT + Duration::from_millis(1), Some(1))]
#[case::whole_seconds_are_rounded_up(LONGEST_WAIT + Duration::from_millis(4_100), Some(5))]
#[case::never_more_than_the_most(LONGEST_WAIT + Duration::from_secs(300), Some(30))]
fn a_job_is_refused_once_it_can_not_end_within_three_objectives(
    #[case] wait: Duration,
    #[case] retry_after_secs: Option<u64>,
) {
    let decision = decide_on(
        &job_of("quick", step(1, &[])),
        &summary(vec![queue_load("quick", 0, wait)]),
    );
    let retry_after = match decision {
        Decision::Refuse { retry_after, .. } => Some(retry_after.as_secs()),
        Decision::Accept(..) => None,
    };
    assert_eq!(retry_after, retry_after_secs);
}

/// Work of late jobs by itself, and beside work of jobs that can be in time.
#[rstest]
#[case::can_be_in_time(0, false)]
#[case::will_be_late(500, true)]
fn late_work_is_ahead_only_of_a_job_that_will_be_late(
    #[case] in_time_millis: u64,
    #[case] is_refused: bool,
) {
    let mut load = queue_load("quick", 0, Duration::from_millis(in_time_millis));
    load.late.add(None, work(Duration::from_secs(60)));
    let decision = decide_on(&job_of("quick", step(1, &[])), &summary(vec![load]));
    assert_eq!(decision.is_refusal(), is_refused, "{decision:?}");
}

#[test]
fn work_of_a_lower_priority_is_not_ahead() {
    let bulk = vec![queue_load("bulk", 2, Duration::from_secs(60))];
    let decision = decide_on(&job_of("quick", step(1, &[])), &summary(bulk));
    assert!(!decision.is_refusal(), "{decision:?}");
}

#[test]
fn work_of_a_higher_priority_is_ahead() {
    assert!(decide_on(&job_of("bulk", step(1, &[])), &overloaded()).is_refusal());
}

#[test]
fn work_for_workers_with_another_label_is_not_ahead() {
    let mut load = QueueLoad::new("quick".into(), 0);
    load.in_time
        .add(Some(&"x".into()), work(Duration::from_secs(60)));
    let load = summary(vec![load]);
    let with_label = |label: &str| Step {
        label: Some(label.into()),
        ..step(1, &[])
    };
    assert!(!decide_on(&job_of("quick", step(1, &[])), &load).is_refusal());
    assert!(!decide_on(&job_of("quick", with_label("y")), &load).is_refusal());
    assert!(decide_on(&job_of("quick", with_label("x")), &load).is_refusal());
}

/// Clients choose the labels, so their number must not grow without a bound.
#[test]
fn a_queue_tells_a_limited_number_of_labels_apart() {
    let mut load = WaitingWork::default();
    for number in 0..1_000 {
        load.add(
            Some(&format!("label-{number}").into()),
            work(Duration::from_secs(1)),
        );
    }
    assert_eq!(load.labelled.len(), 32);
}

/// One queue fills the service; the other has little waiting.
#[test]
fn a_queue_below_its_share_is_not_refused_because_of_another() {
    let load = summary(vec![
        queue_load("quick", 0, Duration::from_secs(60)),
        queue_load("rival", 0, Duration::from_secs(1)),
    ]);
    assert!(decide_on(&job_of("quick", step(1, &[])), &load).is_refusal());
    assert!(!decide_on(&job_of("rival", step(1, &[])), &load).is_refusal());
}

#[test]
fn a_queue_below_its_share_is_refused_if_its_own_work_takes_too_long() {
    let load = summary(vec![
        queue_load("quick", 0, Duration::from_secs(60)),
        queue_load("rival", 0, Duration::from_secs(10)),
    ]);
    assert!(decide_on(&job_of("rival", step(1, &[])), &load).is_refusal());
}

#[derive(Clone, Copy, Debug)]
enum Exempt {
    LongRunning,
    Scheduled,
}

#[rstest]
fn long_running_and_scheduled_jobs_are_accepted(
    #[values(Exempt::LongRunning, Exempt::Scheduled)] exempt: Exempt,
) {
    let mut job = Job::clone(&job_of("quick", step(1, &[])));
    match exempt {
        Exempt::LongRunning => job.steps[0].long_running = true,
        Exempt::Scheduled => {
            job.schedule = Some(Schedule {
                first: Time::from_secs(1),
                interval_millis: 1_000,
                repetitions: 2,
            });
        }
    }
    let decision = decide_on(&job, &overloaded());
    assert_eq!(decision, Decision::Accept(AcceptReason::Exempt, None));
}

#[derive(Clone, Copy, Debug)]
enum Gap {
    OwnerNotReached,
    SummaryTooOld,
    Recovering,
    NoRate,
    RateTooRecent,
    NothingDrained,
    UnknownService,
}

/// What an entry that has no evidence does in an overload: it accepts.
#[rstest]
#[case(Gap::OwnerNotReached, AcceptReason::NoSummary)]
#[case(Gap::SummaryTooOld, AcceptReason::NoSummary)]
#[case(Gap::Recovering, AcceptReason::Recovering)]
#[case(Gap::NoRate, AcceptReason::NoRate)]
#[case(Gap::RateTooRecent, AcceptReason::NoRate)]
#[case(Gap::NothingDrained, AcceptReason::NoRate)]
#[case(Gap::UnknownService, AcceptReason::NoRate)]
fn a_job_is_accepted_without_evidence(#[case] gap: Gap, #[case] reason: AcceptReason) {
    let mut load = overloaded();
    let mut age = Duration::from_millis(1_999);
    let drain = load.services[0].drain.as_mut().unwrap();
    match gap {
        Gap::OwnerNotReached => {}
        Gap::SummaryTooOld => age = Duration::from_secs(2),
        Gap::Recovering => load.is_recovering = true,
        Gap::NoRate => load.services[0].drain = None,
        Gap::RateTooRecent => drain.span_millis = SPAN_MILLIS - 1,
        Gap::NothingDrained => drain.work = Work::default(),
        Gap::UnknownService => load.services.clear(),
    }
    let job = job_of("quick", step(1, &[]));
    let config = config();
    let queue = config.queue("quick").unwrap();
    let known = (!matches!(gap, Gap::OwnerNotReached)).then_some((&load, age));
    assert_eq!(decide(&job, queue, known), Decision::Accept(reason, None));
}

#[rstest]
#[case::small_task(Step { need: Resources::new(900, 100, 0), ..step(1, &[]) })]
#[case::best_effort_task(Step { need: Resources::new(900, 100, 0), best_effort: true, ..step(1, &[]) })]
fn a_job_is_accepted_while_a_worker_has_room_for_one_of_its_tasks(#[case] step: Step) {
    let decision = decide_on(&job_of("quick", step), &overloaded());
    let expected = Decision::Accept(AcceptReason::FreeCapacity, None);
    assert_eq!(decision, expected);
}

#[test]
fn refusals_are_logged_ten_times_a_second_with_a_count_of_the_others() {
    let mut limit = LineLimit::default();
    let start = Time::from_secs(1_000);
    let admitted = (0..50).filter(|_| limit.admit(start).is_some()).count();
    assert_eq!(admitted, 10);
    assert_eq!(limit.admit(start + Duration::from_secs(1)), Some(40));
    assert_eq!(limit.admit(start + Duration::from_secs(1)), Some(0));
}

const VMS: usize = 8;
const CORES: f64 = VMS as f64 * 4.0;
/// Core time of the tasks of [`quick_step`], which take up to 180 ms longer than estimated.
const CORE_SECS_OF_JOB: f64 = 10.0 * 0.49;
const STEP: Duration = Duration::from_millis(50);

fn quick_step() -> Step {
    Step {
        estimate_millis: 400,
        ..step(10, &[])
    }
}

/// Clients that submit jobs to an owner by way of an entry.
struct Play {
    simulation: Simulation,
    is_admission_on: bool,
    /// Accepted jobs with the time of the call.
    open: BTreeMap<JobName, (Time, Arc<str>)>,
    submitted: usize,
    counts: BTreeMap<Arc<str>, Counts>,
}

/// What the clients of one queue got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    /// Completed within the objective.
    in_time: usize,
    /// Completed within three times the objective.
    late: usize,
    /// Completed later.
    worthless: usize,
    refused: usize,
    /// Not completed at the end.
    lost: usize,
}

impl Play {
    fn new(is_admission_on: bool) -> Self {
        Self {
            simulation: Simulation::new(5, VMS, 1.0),
            is_admission_on,
            open: BTreeMap::new(),
            submitted: 0,
            counts: BTreeMap::new(),
        }
    }

    fn counts(&mut self, queue: &str) -> &mut Counts {
        self.counts.entry(queue.into()).or_default()
    }

    fn submit(&mut self, queue: &str) -> bool {
        self.submitted += 1;
        let job = job(
            &format!("{:016x}", self.submitted),
            queue,
            vec![quick_step()],
        );
        let summary = self.simulation.load_summary();
        let known = summary.as_ref().map(|(summary, age)| (&**summary, *age));
        let config = config();
        let decision = decide(&job, config.queue(queue).unwrap(), known);
        if self.is_admission_on && decision.is_refusal() {
            self.counts(queue).refused += 1;
            return false;
        }
        let now = self.simulation.now;
        self.open.insert(job.name.clone(), (now, queue.into()));
        self.simulation.submit(now, job);
        true
    }

    /// Lets each queue submit jobs for a time, at a share of what the workers can do.
    fn run(&mut self, span: Duration, loads: &[(&str, f64)]) {
        let steps = span.as_millis() / STEP.as_millis();
        let mut due = vec![0.0; loads.len()];
        for _ in 0..steps {
            for ((queue, load), due) in loads.iter().zip(&mut due) {
                *due += load * CORES / CORE_SECS_OF_JOB * STEP.as_secs_f64();
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.submit(queue);
                }
            }
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.simulation.run_until(self.simulation.now + STEP);
        assert_eq!(self.simulation.violation, None);
        let now = self.simulation.now;
        let config = config();
        let mut open = std::mem::take(&mut self.open);
        open.retain(|name, (since, queue)| {
            if self.simulation.outcome(name) != Some(Outcome::Completed) {
                return true;
            }
            let job = job(name.as_str(), queue, vec![quick_step()]);
            let objective = config.queue(queue).unwrap().objective(&job);
            let took = now.since(*since);
            let counts = self.counts(queue);
            match took {
                _ if took <= objective => counts.in_time += 1,
                _ if took <= 3 * objective => counts.late += 1,
                _ => counts.worthless += 1,
            }
            false
        });
        self.open = open;
    }

    /// Waits until all accepted jobs have ended, for a minute at most.
    fn finish(&mut self) {
        let end = self.simulation.now + Duration::from_secs(60);
        while !self.open.is_empty() && !end.passed(self.simulation.now) {
            self.advance();
        }
        for (_, queue) in std::mem::take(&mut self.open).into_values() {
            self.counts(&queue).lost += 1;
        }
    }
}

/// Guards against accepting what can only end long after it is worth anything, and against an
/// accepted job that is dropped.
#[test]
fn an_overload_is_refused_at_once_and_completes_no_fewer_jobs_in_time() {
    let played = [false, true].map(|is_admission_on| {
        let mut play = Play::new(is_admission_on);
        play.run(Duration::from_secs(10), &[("quick", 5.0)]);
        play.finish();
        *play.counts("quick")
    });
    println!("without and with admission: {played:?}");
    let [without, with] = played;
    assert_eq!((without.refused, without.lost, with.lost), (0, 0, 0));
    assert!(with.refused > 0);
    assert!(with.in_time >= without.in_time);
    assert!(with.worthless < without.worthless);
}

/// A burst that the workers can take, and a load near their limit.
#[rstest]
fn no_job_is_refused_while_capacity_is_free(#[values(0.3, 0.7)] load: f64) {
    let mut play = Play::new(true);
    play.run(Duration::from_secs(15), &[("quick", load)]);
    play.finish();
    let counts = *play.counts("quick");
    assert_eq!((counts.refused, counts.lost), (0, 0), "{counts:?}");
}

/// A caller with little to do must not be refused because another one floods the service.
#[test]
fn a_modest_queue_is_served_beside_a_greedy_one() {
    let mut play = Play::new(true);
    play.run(Duration::from_secs(15), &[("quick", 6.0), ("rival", 0.2)]);
    play.finish();
    let (greedy, modest) = (*play.counts("quick"), *play.counts("rival"));
    println!("greedy: {greedy:?}, modest: {modest:?}");
    assert!(greedy.refused > 0, "{greedy:?}");
    assert_eq!((modest.refused, modest.lost, greedy.lost), (0, 0, 0));
}

/// A new owner has not measured anything, so nothing shows that a job can't be served.
#[test]
fn jobs_are_accepted_after_a_change_of_owner_until_the_rate_is_known() {
    let mut play = Play::new(true);
    play.run(Duration::from_secs(10), &[("quick", 5.0)]);
    let refused = play.counts("quick").refused;
    assert!(refused > 0);
    play.simulation.end_term(Departure::Killed);
    play.simulation.start_term(1.0);
    play.run(Duration::from_secs(3), &[("quick", 5.0)]);
    assert_eq!(play.counts("quick").refused, refused);
    play.finish();
    assert_eq!(play.counts("quick").lost, 0);
}

/// Guards against one job with an estimate that is far too long, by which all others were refused.
/// It yields to them, since its deadline is far off.
#[rstest]
#[case::far_off(3_600_000, false)]
#[case::near(400, true)]
fn work_with_a_deadline_that_is_far_off_is_not_ahead(
    #[case] estimate_millis: u64,
    #[case] is_ahead: bool,
) {
    let mut play = Play::new(true);
    let step = Step {
        estimate_millis,
        ..step(1_000, &[])
    };
    let now = play.simulation.now;
    let name = format!("{:016x}", 1);
    play.simulation.submit(now, job(&name, "quick", vec![step]));
    play.simulation.run_until(now + Duration::from_millis(800));
    let (summary, _) = play.simulation.load_summary().unwrap();
    let queues = &summary.services[0].queues;
    let load = queues.iter().find(|load| load.queue.as_ref() == "quick");
    let ahead = load.map(|load| load.in_time.unlabelled).unwrap_or_default();
    assert_eq!(ahead != Work::default(), is_ahead, "{ahead:?}");
}

/// The load is summed up by time, not by event: a report or a submit costs the owner no sweep.
#[test]
fn the_load_is_sampled_at_most_twice_a_second() {
    let mut play = Play::new(true);
    play.run(Duration::from_secs(5), &[("quick", 3.0)]);
    let work = play.simulation.work().unwrap();
    assert!(work.events > 500, "{work:?}");
    assert!(work.load_samples <= 11, "{work:?}");
}
