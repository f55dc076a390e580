//! The operator removes a route whose accepted jobs still have work to do, then the entry that
//! owns the jobs is stopped as planned. The next owner must finish them.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict, is_trouble,
    json::Json,
    system::{Plan, Route, SECOND, System, config, job, step},
};

const KEPT: Route = ("r-3hwrr6x", "/lohu930/", 0, 2);
const REMOVED: Route = ("r-73d3zji", "/pufi791/", 2, 3);
const JOB: &str = "5c0e7a21d94b36f8";

pub fn play(record: &Path) -> Verdict {
    let plan = Plan {
        entries: 3,
        workers: 4,
        cpu: 8_000,
        mem_mb: 32_000,
    };
    let mut system = System::start(&plan, &[KEPT, REMOVED], record);
    if !system.is_ready() {
        return Verdict::CouldNotRun("the system did not become ready".to_owned());
    }
    let spec = "ms=5000 cpu=500 mem=256";
    let steps = vec![
        step(4, 500, 256, 5_000, &[]),
        step(
            4,
            500,
            256,
            5_000,
            &[("after", Json::List(vec![Json::Int(0)]))],
        ),
    ];
    let (status, _) = system.client(
        0,
        "POST",
        &format!("{}{JOB}", REMOVED.1),
        &job(spec, steps, &[]),
    );
    if status != 200 {
        return Verdict::CouldNotRun(format!("the job was not accepted: {status}"));
    }
    thread::sleep(SECOND);
    if is_trouble() {
        system.store.operator_puts("op/config", &config(2, &[KEPT]));
        // Longer than `config_apply_ms`.
        thread::sleep(Duration::from_millis(2_500));
        let Some(owner) = system.owner() else {
            return Verdict::CouldNotRun("no entry owns the jobs".to_owned());
        };
        let name = system.entries[owner].name.clone();
        system.record.say(&format!("SIGTERM to {name}"));
        system.entries[owner].stop(6 * SECOND);
        system
            .record
            .say(&format!("{name} has stopped; it starts again"));
        system.entries[owner].start();
    }
    // The first step ends 5 s after its start. From then on a task's turn has come, and all
    // workers are free.
    let mut idle = Duration::ZERO;
    let mut longest_idle = Duration::ZERO;
    let tick = Duration::from_millis(100);
    for _ in 0..350 {
        thread::sleep(tick);
        if system.history.ends_of(JOB, "done") >= 8 {
            break;
        }
        let running: usize = system.workers.iter().map(|worker| worker.run_count()).sum();
        idle = if running == 0 {
            idle + tick
        } else {
            Duration::ZERO
        };
        longest_idle = longest_idle.max(idle);
    }
    let done = system.history.ends_of(JOB, "done");
    for entry in 0..system.entries.len() {
        system.client(entry, "GET", &format!("{}{JOB}", KEPT.1), "");
    }
    system.record.say(&format!(
        "{done} of 8 tasks done; nothing ran for {} ms while all workers were free",
        longest_idle.as_millis()
    ));
    // 3 s, and the 4 s before them calm.
    match done < 8 && longest_idle > 7 * SECOND {
        true => Verdict::Broken,
        false if done == 8 => Verdict::Held,
        false => Verdict::CouldNotRun("tasks still run".to_owned()),
    }
}
