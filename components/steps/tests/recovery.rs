//! Tasks that are stopped since they seem to be stuck or too slow.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::{
    job,
    session::{JOB, Session, at, ended},
    step, vm,
};
use kernel::{Resources, Time};
use steps::{
    Event, Step,
    message::{ActiveRun, EndedRun, RunEnd, RunKey},
};

const WORKERS: usize = 4;
/// Time after which a task that is not the last of its step is done.
const QUICK_MILLIS: u64 = 300;

/// Workers on which the last task of a step never ends by itself.
struct Workers {
    session: Session,
    last_index: u32,
    /// CPU time that each run reports to use, in thousandths of a core.
    usage: u64,
    running: [Vec<(RunKey, Time)>; WORKERS],
    ended: [Vec<EndedRun>; WORKERS],
}

impl Workers {
    fn new(count: u32, need: Resources, usage: u64) -> Self {
        let mut session = Session::loaded();
        for number in 0..WORKERS {
            session.handle(at(0), Event::Vm(vm(number)));
            session.report(at(0), number, |_| ());
        }
        let step = Step {
            need,
            ..step(count, &[])
        };
        let (job, progress) = (job(JOB, "quick", vec![step]), None);
        session.handle(at(0), Event::Job { job, progress });
        Self {
            session,
            last_index: count - 1,
            usage,
            running: Default::default(),
            ended: Default::default(),
        }
    }

    /// Returns for how many milliseconds each run that was stopped until then had lasted.
    fn play(&mut self, until_millis: u64) -> Vec<u64> {
        let mut lasted = Vec::new();
        for millis in (0..until_millis).step_by(100) {
            let now = at(millis);
            self.session.handle(now, Event::OwnershipProved(now));
            self.session.handle(now, Event::Tick);
            for number in 0..WORKERS {
                self.obey(now, number, &mut lasted);
                self.report(now, number);
            }
        }
        lasted
    }

    fn obey(&mut self, now: Time, number: usize, lasted: &mut Vec<u64>) {
        let Some(orders) = self.session.owner.take_orders(now, &vm(number)) else {
            return;
        };
        for start in &orders.starts {
            self.running[number].push((start.key.clone(), now));
        }
        for key in &orders.stops {
            let since = self.end(number, key, RunEnd::Stopped);
            lasted.push(now.since(since).as_millis() as u64);
        }
        self.session.answer(now, number, orders);
    }

    /// Ends a run; returns when it started.
    fn end(&mut self, number: usize, key: &RunKey, how: RunEnd) -> Time {
        let mut running = self.running[number].iter();
        let place = running.position(|(known, _)| known == key).unwrap();
        let (_, since) = self.running[number].remove(place);
        let end = self.ended[number].len() as u64 + 1;
        self.ended[number].push(ended(end, key, how));
        since
    }

    fn report(&mut self, now: Time, number: usize) {
        for (key, since) in self.running[number].clone() {
            let is_done = now.since(since).as_millis() as u64 >= QUICK_MILLIS;
            if is_done && key.task.index != self.last_index {
                self.end(number, &key, RunEnd::Done);
            }
        }
        let usage = self.usage;
        let running = self.running[number].iter().map(|(key, _)| ActiveRun {
            key: key.clone(),
            checkpoint: None,
            progress_percent: 10,
            measurement: usage,
        });
        let running = running.collect();
        let ended = self.ended[number].clone();
        self.session.report(now, number, |report| {
            report.running = running;
            report.ended = ended;
        });
    }
}

fn assert_lasts_twice_as_long_each_time(lasted: &[u64], first_millis: u64) {
    assert!(lasted.len() >= 3, "{lasted:?}");
    for (number, millis) in lasted.iter().enumerate() {
        assert!(*millis >= first_millis << number, "{lasted:?}");
    }
}

/// A task on an accelerator was stopped after 2 s, again and again, and its worker quarantined.
#[test]
fn a_task_that_needs_no_cpu_time_is_not_stopped_for_using_none() {
    let mut workers = Workers::new(1, Resources::new(0, 1_000, 0), 0);
    assert_eq!(workers.play(20_000), Vec::<u64>::new());
    assert!(workers.running.iter().any(|running| !running.is_empty()));
}

/// A task that waits for something was restarted every 2 s for good, and was never done.
#[test]
fn a_task_that_is_idle_on_each_worker_runs_twice_as_long_each_time() {
    let mut workers = Workers::new(1, Resources::new(1_000, 1_000, 0), 0);
    assert_lasts_twice_as_long_each_time(&workers.play(40_000), 1_800);
}

/// A task that takes longer than others of its step lost its work once on each worker.
#[test]
fn a_task_that_is_slow_on_each_worker_runs_twice_as_long_each_time() {
    let mut workers = Workers::new(4, Resources::new(1_000, 1_000, 0), 900);
    assert_lasts_twice_as_long_each_time(&workers.play(20_000), 3 * QUICK_MILLIS);
}
