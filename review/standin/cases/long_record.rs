//! A scheduled job has run many times. Its owner keeps all of that in one record, which outgrows
//! a value of the platform's store. The jobs of others must go on.

use std::{
    path::Path,
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{
    Verdict, is_trouble,
    json::Json,
    system::{Plan, Route, SECOND, System, job, step},
};

const QUEUE: Route = ("r-3hwrr6x", "/lohu930/", 0, 2);
const SCHEDULED: &str = "5c0e7a21d94b36f8";
const STEPS: i64 = 20;
const INTERVAL_MS: i64 = 35;
/// Jobs of other clients.
const OTHERS: usize = 5;

pub fn play(record: &Path) -> Verdict {
    let plan = Plan {
        entries: 3,
        workers: 6,
        cpu: 32_000,
        mem_mb: 125_000,
    };
    let system = System::start(&plan, &[QUEUE], record);
    if !system.is_ready() {
        return Verdict::CouldNotRun("the system did not become ready".to_owned());
    }
    // 570 starts a second, for 42 s or for 10 s.
    let repetitions = if is_trouble() { 1_200 } else { 300 };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("time");
    let schedule = [
        ("first_run_ms", Json::Int(now.as_millis() as i64)),
        ("interval_ms", Json::Int(INTERVAL_MS)),
        ("repetitions", Json::Int(repetitions)),
    ];
    let steps = (0..STEPS).map(|_| step(1, 200, 100, 30, &[]));
    let body = job("ms=30 cpu=200 mem=100", steps.collect(), &schedule);
    let path = format!("{}{SCHEDULED}", QUEUE.1);
    let (status, _) = system.client(0, "POST", &path, &body);
    if status != 200 {
        return Verdict::CouldNotRun(format!("the job was not accepted: {status}"));
    }
    let mut last = 0;
    for _ in 0..75 {
        thread::sleep(SECOND);
        let done = system.history.ends_of(SCHEDULED, "done");
        if done == last {
            break;
        }
        last = done;
    }
    system.record.say(&format!(
        "{last} of {} tasks of the scheduled job are done, and no more run",
        STEPS * repetitions
    ));
    let after = [("after", Json::List(vec![Json::Int(0)]))];
    let steps = vec![step(1, 200, 100, 300, &[]), step(1, 200, 100, 300, &after)];
    let body = job("ms=300 cpu=200 mem=100", steps, &[]);
    let names = (0..OTHERS).map(|index| format!("00c0ffee0000{index:04x}"));
    let names: Vec<String> = names.collect();
    for (index, name) in names.iter().enumerate() {
        let (status, _) = system.client(index % 3, "POST", &format!("{}{name}", QUEUE.1), &body);
        if status != 200 {
            return Verdict::CouldNotRun(format!("a job was not accepted: {status}"));
        }
    }
    // `finish_s`.
    thread::sleep(14 * SECOND);
    let mut completed = 0;
    let mut idle = 0;
    for (index, name) in names.iter().enumerate() {
        let (_, state) = system.client(index % 3, "GET", &format!("{}{name}", QUEUE.1), "");
        completed += usize::from(state.contains("completed"));
        idle += usize::from(system.history.ends_of(name, "done") < 2);
    }
    let running: usize = system.workers.iter().map(|worker| worker.run_count()).sum();
    system.record.say(&format!(
        "{completed} of {OTHERS} later jobs are completed; {idle} have tasks that wait; {running} tasks run on 6 workers"
    ));
    match (idle, completed) {
        (0, OTHERS) => Verdict::Held,
        (1.., _) if running == 0 => Verdict::Broken,
        _ => Verdict::CouldNotRun("tasks still run".to_owned()),
    }
}
