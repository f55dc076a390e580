//! Workers leave some orders unanswered and carry them out later; meanwhile a zone loses power,
//! and its workers start again under their names. No task may run twice.

use std::{
    collections::BTreeMap,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, is_trouble,
    system::{Plan, Route, SECOND, System, ZONES, job, step},
    worker::Deed,
};

const QUEUE: Route = ("r-3hwrr6x", "/lohu930/", 0, 2);
/// Jobs of six tasks.
const JOBS: usize = 480;
/// Between two jobs.
const PAUSE: Duration = Duration::from_millis(25);

pub fn play(record: &Path) -> Verdict {
    let plan = Plan {
        entries: 3,
        workers: 9,
        cpu: 32_000,
        mem_mb: 125_000,
    };
    let mut system = System::start(&plan, &[QUEUE], record);
    if !system.is_ready() {
        return Verdict::CouldNotRun("the system did not become ready".to_owned());
    }
    let Some(owner) = system.owner() else {
        return Verdict::CouldNotRun("no entry owns the jobs".to_owned());
    };
    // Another zone than that of the owner, so that no new owner fences the late orders off.
    let zone = ZONES[(owner + 1) % 3];
    let clients = (owner, (owner + 2) % 3);
    let started_at = Instant::now();
    let mut is_late = false;
    let mut is_lost = false;
    let mut accepted = 0;
    for index in 0..JOBS {
        let elapsed = started_at.elapsed();
        if is_trouble() && !is_late && elapsed > 2 * SECOND {
            is_late = true;
            system.record.say(
                "for 5.5 s, 0.055 of the orders are not answered and carried out 2 to 12 s later",
            );
            system
                .late_orders
                .start(0.055, Duration::from_millis(5_500));
        }
        if is_trouble() && !is_lost && elapsed > 6 * SECOND {
            is_lost = true;
            system.lose_zone(zone, Duration::from_millis(1_500));
        }
        let name = format!("5c0e7a21d94b{index:04x}");
        let body = job(
            "ms=3000 cpu=200 mem=128",
            vec![step(6, 200, 128, 3_000, &[])],
            &[],
        );
        let entry = if index % 2 == 0 { clients.0 } else { clients.1 };
        let (status, _) = system.client(entry, "POST", &format!("{}{name}", QUEUE.1), &body);
        accepted += usize::from(status == 200);
        thread::sleep(PAUSE);
    }
    if is_trouble() && !is_lost {
        return Verdict::CouldNotRun("the zone was not lost in time".to_owned());
    }
    // The latest order is carried out 12 s after the last one that was not answered.
    thread::sleep(20 * SECOND);
    let mut twice = 0;
    let mut running: BTreeMap<String, Vec<(String, i64)>> = BTreeMap::new();
    let mut done: BTreeMap<String, Vec<i64>> = BTreeMap::new();
    for event in system.history.events() {
        let runs = running.entry(event.task.clone()).or_default();
        match &event.deed {
            Deed::Started => {
                let at = event.at.as_millis();
                let (task, run) = (&event.task, event.run);
                if let Some((worker, other)) = runs.first() {
                    twice += 1;
                    system.record.say(&format!(
                        "{task}: run {run} started at {at} ms on {} beside run {other} on {worker}",
                        event.worker
                    ));
                }
                let ends = done.get(task).into_iter().flatten();
                if let Some(other) = ends
                    .into_iter()
                    .find(|end| system.history.is_noted(task, **end))
                {
                    twice += 1;
                    system.record.say(&format!(
                        "{task}: run {run} started at {at} ms on {} after run {other} had ended done",
                        event.worker
                    ));
                }
                runs.push((event.worker.clone(), run));
            }
            Deed::Ended(how) => {
                runs.retain(|(worker, run)| (worker, *run) != (&event.worker, event.run));
                if how == "done" {
                    done.entry(event.task.clone()).or_default().push(event.run);
                }
            }
        }
    }
    system.record.say(&format!(
        "{accepted} jobs accepted; {twice} starts of a task that ran or was done"
    ));
    match twice {
        0 if accepted < JOBS / 2 => Verdict::CouldNotRun("too few jobs were accepted".to_owned()),
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
