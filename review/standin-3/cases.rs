//! The cases.

use std::{
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{record::Record, system::System, worker::Name, Verdict};

pub fn play(case: &str, record: Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    record.line(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    match case {
        "crashes" => crashes(record, has_trouble),
        "machine-and-owner" => machine_and_owner(record, has_trouble),
        "clock-back" => clock_back(record, has_trouble),
        _ => Err(format!("no such case: {case}")),
    }
}

/// The only worker with the label that a job needs crashes four times, a moment after it has
/// started the task, and is sound then. The job has to be done in the end.
fn crashes(record: Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    const CRASHES: u32 = 4;
    let kinds = ["a", "a", "a", "a", "a", "a", "a", "b"];
    let system = System::start(Arc::clone(&record), 3, &kinds);
    system.warm_up()?;
    let job = "5c0e7a21d94b36f8";
    let crashes = Arc::new(AtomicU32::new(0));
    if has_trouble {
        let unsound = system.workers[7].clone();
        let crashed = Arc::clone(&crashes);
        system.workers[7].on_start(move |task| {
            if !task.starts_with(job) || crashed.load(Ordering::SeqCst) >= CRASHES {
                return;
            }
            crashed.fetch_add(1, Ordering::SeqCst);
            let unsound = unsound.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(300));
                let id = unsound.crash();
                thread::sleep(Duration::from_millis(1_500));
                unsound.start(Name::New, id);
            });
        });
    }
    let steps =
        "[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":800,\"requirements\":\"b\"}]";
    system.submit(0, job, "ms=800 cpu=500 mem=256", steps)?;
    let state = system.wait_for(job, Duration::from_secs(60));
    // A task that goes on after all shows that the job could be done.
    thread::sleep(Duration::from_secs(3));
    let last = system.state(1, job);
    let crashed = crashes.load(Ordering::SeqCst);
    system.end();
    match (state.as_str(), last.as_str()) {
        ("failed", _) | (_, "failed") => Ok(Verdict::Broken(format!(
            "the job is shown as failed, though no run of its task has ended failed; its worker had crashed {crashed} times"
        ))),
        ("completed", "completed") => Ok(Verdict::Held(format!(
            "the job is completed after {crashed} crashes of its worker"
        ))),
        _ => Err(format!("the job is {state}, then {last}")),
    }
}

/// The entry that owns the jobs and a machine with a task that lasts are lost for good at the same
/// moment. The task has to run elsewhere in time.
fn machine_and_owner(record: Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let system = System::start(Arc::clone(&record), 3, &["a"; 8]);
    system.warm_up()?;
    let job = "7d1f0b32ea5c4709";
    let steps = "[{\"count\":6,\"cpu\":6400,\"mem_mb\":13000,\"estimate_ms\":500,\"anti_affinity\":1,\"long_running\":true,\"may_miss\":1}]";
    system.submit(0, job, "lasts cpu=6400 mem=13000", steps)?;
    let until = Instant::now() + Duration::from_secs(12);
    let count = |system: &System| {
        let workers = system.workers.iter();
        workers.map(|worker| worker.at_work().len()).sum::<usize>()
    };
    while count(&system) < 6 {
        if Instant::now() > until {
            return Err("the tasks that last are not at work".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line("all 6 tasks are at work");
    thread::sleep(Duration::from_secs(6));
    if count(&system) < 6 {
        return Err("the tasks that last do not stay at work".to_owned());
    }
    let owner = system.owner().ok_or("no entry owns the jobs")?;
    let zone = system
        .entries
        .iter()
        .find(|entry| entry.name == owner)
        .map(|entry| entry.zone);
    let with_task = |worker: &&crate::worker::Worker| !worker.at_work().is_empty();
    let in_zone = |worker: &&crate::worker::Worker| Some(worker.zone()) == zone;
    let lost = system.workers.iter().filter(with_task).find(in_zone);
    let lost = lost.ok_or("no machine of the zone has a task")?.clone();
    let task = lost.at_work()[0].clone();
    let lost_at = Instant::now();
    if has_trouble {
        record.line(&format!(
            "{owner} and {} are removed for good",
            lost.machine()
        ));
        lost.crash();
        system.kill(lost.machine());
        system.kill(&owner);
    }
    let until = lost_at + Duration::from_secs(30);
    let mut down = None;
    while Instant::now() < until {
        let mut workers = system.workers.iter();
        let is_running = workers.any(|worker| worker.running().contains(&task));
        if is_running {
            down = Some(lost_at.elapsed());
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    let state = system.state(0, job);
    system.end();
    let secs = down.map_or(30.0, |down| down.as_secs_f64());
    record.line(&format!(
        "task {task} was away for {secs:.2} s; its job is {state}"
    ));
    match secs > 9.0 {
        true => Ok(Verdict::Broken(format!(
            "task {task}, which lasts, had nothing running for {secs:.1} s, and nothing had happened since its machine was lost"
        ))),
        false => Ok(Verdict::Held(format!("task {task} was away for {secs:.1} s"))),
    }
}

/// The only worker with the label that a job needs starts again twice within two seconds under its
/// name, and the time of day of its machine goes back by two seconds between the two. The job has
/// to run on it in the end.
fn clock_back(record: Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let kinds = ["a", "a", "a", "a", "a", "a", "a", "b"];
    let system = System::start(Arc::clone(&record), 3, &kinds);
    system.warm_up()?;
    let worker = system.workers[7].clone();
    if has_trouble {
        let id = worker.crash();
        thread::sleep(Duration::from_millis(400));
        worker.start(Name::Same { clock_off_ms: 0 }, id);
        thread::sleep(Duration::from_millis(700));
        let id = worker.crash();
        thread::sleep(Duration::from_millis(400));
        worker.start(
            Name::Same {
                clock_off_ms: -2_000,
            },
            id,
        );
    }
    // All is calm from here on.
    thread::sleep(Duration::from_secs(10));
    let job = "1b9c44d07e3f5a62";
    let steps =
        "[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":800,\"requirements\":\"b\"}]";
    system.submit(0, job, "ms=800 cpu=500 mem=256", steps)?;
    let state = system.wait_for(job, Duration::from_secs(30));
    let running: usize = system
        .workers
        .iter()
        .map(|worker| worker.at_work().len())
        .sum();
    system.end();
    match state.as_str() {
        "completed" => Ok(Verdict::Held("the job is completed".to_owned())),
        "queued" | "running" if running == 0 => Ok(Verdict::Broken(format!(
            "the job is {state} and has had nothing running for 30 s, though all is calm and the worker that it needs is up, idle and sound"
        ))),
        _ => Err(format!("the job is {state}, {running} tasks run")),
    }
}
