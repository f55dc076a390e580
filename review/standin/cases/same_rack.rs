//! A step with `same_rack` has more tasks than the workers can run at once, since one worker has
//! been lost for good. It must run in waves.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict, is_trouble,
    json::Json,
    system::{Plan, Route, SECOND, System, job, step},
};

const QUEUE: Route = ("r-3hwrr6x", "/lohu930/", 0, 2);
const JOB: &str = "5c0e7a21d94b36f8";
const TASKS: i64 = 84;

pub fn play(record: &Path) -> Verdict {
    // 11 workers as on a small site; 88 tasks of a core fit.
    let plan = Plan {
        entries: 3,
        workers: 11,
        cpu: 8_000,
        mem_mb: 32_000,
    };
    let mut system = System::start(&plan, &[QUEUE], record);
    if !system.is_ready() {
        return Verdict::CouldNotRun("the system did not become ready".to_owned());
    }
    if is_trouble() {
        system
            .record
            .say("a worker is lost for good, with its machine");
        system.workers[3].crash();
        system.agents[3].kill();
        // All leases there have ended, and the machines have been calm for longer than
        // `contact_ms`.
        thread::sleep(12 * SECOND);
    }
    let steps = vec![step(
        TASKS,
        1_000,
        256,
        1_000,
        &[("same_rack", Json::Bool(true))],
    )];
    let spec = "ms=1000 cpu=1000 mem=256";
    let path = format!("{}{JOB}", QUEUE.1);
    let (status, _) = system.client(0, "POST", &path, &job(spec, steps, &[]));
    if status != 200 {
        return Verdict::CouldNotRun(format!("the job was not accepted: {status}"));
    }
    let submitted_at = system.record.elapsed();
    let mut first_start = None;
    for _ in 0..400 {
        thread::sleep(Duration::from_millis(100));
        if first_start.is_none() && system.history.starts_of(JOB, Duration::ZERO) > 0 {
            first_start = Some(system.record.elapsed() - submitted_at);
        }
        if system.history.ends_of(JOB, "done") as i64 >= TASKS {
            break;
        }
    }
    let done = system.history.ends_of(JOB, "done") as i64;
    system.client(1, "GET", &path, "");
    system.record.say(&format!(
        "{done} of {TASKS} tasks done; first start after {first_start:?}"
    ));
    match first_start {
        None => Verdict::Broken,
        Some(_) if done == TASKS => Verdict::Held,
        Some(_) => Verdict::CouldNotRun("not all tasks have ended".to_owned()),
    }
}
