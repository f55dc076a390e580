//! Answers of the platform's store are lost, and the writes are carried out later. A client whose
//! job may or may not have been stored (504) gives it up and cancels it, and is told that there
//! is no such job. None of its tasks may start later than `cancel_ms` after that answer.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, is_trouble,
    json::Json,
    store::LostAnswers,
    system::{Plan, Route, SECOND, System, job, step},
};

const QUEUE: Route = ("r-3hwrr6x", "/lohu930/", 0, 2);
const JOBS: usize = 300;
const STEPS: i64 = 16;
const CANCEL: Duration = Duration::from_secs(3);
const CONTACT: Duration = Duration::from_secs(3);
/// The longest time after which a write whose answer was lost is carried out.
const LATEST_MS: u64 = 6_000;

fn submit_and_cancel(system: &System, index: usize) -> Option<(String, Duration)> {
    let name = format!("5c0e7a21d94b{index:04x}");
    let steps = (0..STEPS).map(|number| {
        let after: Vec<Json> = (number > 0)
            .then(|| Json::Int(number - 1))
            .into_iter()
            .collect();
        step(1, 100, 64, 1_500, &[("after", Json::List(after))])
    });
    let body = job("ms=1500 cpu=100 mem=64", steps.collect(), &[]);
    let path = format!("{}{name}", QUEUE.1);
    let (status, _) = system.client(index % 3, "POST", &path, &body);
    // Some clients cancel a job that was accepted, so that this is played without the
    // disruption too.
    let is_given_up = match status {
        200 => index % 20 == 0,
        0 | 504 => true,
        _ => false,
    };
    if !is_given_up {
        return None;
    }
    for attempt in 1..20 {
        let (status, _) = system.client((index + attempt) % 3, "DELETE", &path, "");
        if status == 200 || status == 410 {
            return Some((name, system.record.elapsed()));
        }
        thread::sleep(Duration::from_millis(500));
    }
    None
}

pub fn play(record: &Path) -> Verdict {
    let plan = Plan {
        entries: 3,
        workers: 6,
        cpu: 16_000,
        mem_mb: 64_000,
    };
    let system = Arc::new(System::start(&plan, &[QUEUE], record));
    if !system.is_ready() {
        return Verdict::CouldNotRun("the system did not become ready".to_owned());
    }
    let length = Duration::from_millis(4_500);
    if is_trouble() {
        system
            .record
            .say("for 4.5 s, 0.35 of the writes are not answered and carried out 1 to 6 s later");
        system.store.lose_answers(LostAnswers {
            share: 0.35,
            until: Instant::now() + length,
            late_ms: (1_000, LATEST_MS),
        });
    }
    let calm_at = system.record.elapsed() + length + Duration::from_millis(LATEST_MS) + CONTACT;
    let mut clients = Vec::new();
    for index in 0..JOBS {
        let system = Arc::clone(&system);
        clients.push(thread::spawn(move || submit_and_cancel(&system, index)));
        thread::sleep(Duration::from_millis(10));
    }
    let answers = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten());
    let cancelled: Vec<(String, Duration)> = answers.collect();
    thread::sleep((calm_at + 12 * SECOND).saturating_sub(system.record.elapsed()));
    let mut broken = 0;
    for (name, answered_at) in &cancelled {
        // Only what was started while all machines were in touch.
        let from = (*answered_at + CANCEL).max(calm_at);
        let late = system.history.starts_of(name, from);
        if late > 0 {
            broken += 1;
            system.client(0, "GET", &format!("{}{name}", QUEUE.1), "");
            system.record.say(&format!(
                "{name}: cancelling answered at {} ms; {late} tasks started after {} ms",
                answered_at.as_millis(),
                from.as_millis()
            ));
        }
    }
    system.record.say(&format!(
        "{} jobs, {} cancelled with an answer, {broken} of them started tasks later",
        JOBS,
        cancelled.len()
    ));
    match broken {
        0 if cancelled.is_empty() => Verdict::CouldNotRun("no job was cancelled".to_owned()),
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
