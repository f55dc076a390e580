//! The owner learns which images disturb which, and places tasks by it.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::{sync::Arc, time::Duration};

use common::{config, entry, info, job, run, step, vm};
use kernel::Time;
use steps::{
    Event, Owner, Step, Timing,
    interference::{PRIOR_WEIGHT, Weight},
    message::{ActiveRun, AgentReport, ClockReading, RunKey},
};

const BEGIN: Time = Time::from_secs(1_000);
const EPOCH: u64 = 3;
const SERVING: &str = "00000000000000aa";
const HEAVY: &str = "00000000000000bb";
const LIGHT: &str = "00000000000000cc";
/// The latency without disturbance and the target, in milliseconds.
const ALONE: f64 = 20.0;
const TARGET: u64 = 100;
/// What tasks that fill use of each VM: a quarter.
const FILL_MILLI: u64 = 1_000;
const TRUTH: f64 = 4.0;

/// Two VMs, on each a task of one serving job; tasks that fill come and go.
struct Session {
    owner: Owner,
    now: Time,
    version: u64,
    /// The load that both serving tasks share, as a factor on their latency.
    load: f64,
}

fn serving() -> Step {
    Step {
        long_running: true,
        target_millis: Some(TARGET),
        image: Some("serving".into()),
        ..step(2, &[])
    }
}

fn filling(image: &str) -> Step {
    let mut step = step(4, &[]);
    step.best_effort = true;
    step.need.memory_mib = 100;
    step.image = Some(image.into());
    step
}

impl Session {
    fn new() -> Self {
        let mut owner = Owner::new(entry(1), EPOCH, Timing::default(), BEGIN);
        owner.handle(BEGIN, BEGIN, Event::Config(config()));
        let mut session = Self {
            owner,
            now: BEGIN,
            version: 0,
            load: 1.0,
        };
        session.tell(Event::Vm(vm(0)));
        session.tell(Event::Vm(vm(1)));
        let jobs = [
            job(SERVING, "quick", vec![serving()]),
            job(HEAVY, "bulk", vec![filling("heavy")]),
            job(LIGHT, "bulk", vec![filling("light")]),
        ];
        for job in jobs {
            let progress = None;
            session.tell(Event::Job { job, progress });
        }
        session
    }

    fn tell(&mut self, event: Event) {
        self.owner.handle(self.now, self.now, event);
    }

    /// Half a second with these tasks that fill on a VM.
    fn see(&mut self, number: usize, fills: &[RunKey]) {
        self.version += 1;
        let heavy = fills.iter().filter(|key| key.task.job.as_ref() == HEAVY);
        let part = heavy.count() as f64 * FILL_MILLI as f64 / 4_000.0;
        let latency = ALONE * self.load * (TRUTH * part).exp();
        let mut running = vec![row(run(SERVING, 0, number as u32, 1), latency as u64)];
        running.extend(fills.iter().map(|key| row(key.clone(), FILL_MILLI)));
        let worker = info(&format!("w-{number}"), 1);
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
            ..AgentReport::default()
        };
        self.tell(Event::Report {
            vm: vm(number),
            report: Box::new(report),
        });
    }

    /// The weights that keepers are told, of the heavy and of the light image.
    fn weights(&mut self) -> (f64, f64) {
        let told = self
            .owner
            .next_report_poll(self.now, &vm(0))
            .unwrap()
            .weights;
        let of = |fills: &str| {
            let found: Option<&Weight> = told
                .iter()
                .find(|told| told.best_effort_image.as_ref() == fills);
            found.map_or(PRIOR_WEIGHT, |told| told.weight)
        };
        (of("heavy"), of("light"))
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

/// The load of the serving job rises to three times its latency and falls again
/// while tasks of both images come and go: only the heavy image is blamed.
#[test]
fn weights_are_told_from_the_load() {
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
        session.see(0, &first);
        session.see(1, &second);
    }
    let (heavy, light) = session.weights();
    assert!((heavy - TRUTH).abs() < 0.25 * TRUTH, "heavy {heavy}");
    assert!(light < 0.25 * TRUTH, "light {light}");
}

/// With both serving tasks near what they can bear, a heavy task waits.
#[test]
fn a_task_that_would_be_slowed_waits_for_a_better_place() {
    let mut owner = Owner::new(entry(1), EPOCH, Timing::default(), BEGIN);
    owner.handle(BEGIN, BEGIN, Event::Config(config()));
    let mut session = Session {
        owner,
        now: BEGIN,
        version: 0,
        load: 4.0,
    };
    session.tell(Event::Vm(vm(0)));
    let serving = job(SERVING, "quick", vec![serving()]);
    session.tell(Event::Job {
        job: serving,
        progress: None,
    });
    session.see(0, &[]);
    session.owner.take_orders(session.now, &vm(0));
    let heavy = job(HEAVY, "bulk", vec![filling("heavy")]);
    session.tell(Event::Job {
        job: heavy,
        progress: None,
    });
    assert_eq!(
        started(&mut session, HEAVY),
        0,
        "the target would be missed"
    );
    session.now = session.now + Duration::from_secs(2);
    session.tell(Event::Tick);
    assert_eq!(started(&mut session, HEAVY), 1, "a job never stands still");
}

fn started(session: &mut Session, id: &str) -> usize {
    let orders = session.owner.take_orders(session.now, &vm(0));
    let starts = orders.map(|orders| orders.starts).unwrap_or_default();
    let id: Arc<str> = id.into();
    let of_job = starts
        .iter()
        .filter(|start| start.key.task.job.as_ref() == id.as_ref());
    of_job.count()
}
