//! The cases.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    record::{Record, Seen},
    world::{LATE, World},
};

/// As `finish_s` of the sites.
const FINISH_S: f64 = 14.0;
/// How long all has to be calm before a span counts.
const CALM_S: f64 = 4.0;

pub fn play(case: &str, record: Record, trouble: bool) -> Verdict {
    match case {
        "crash" => crash(record, trouble),
        "poison" => poison(record, trouble),
        "idle" => idle(record, trouble),
        "clock" => clock(record, trouble),
        "gang" => gang(record, trouble),
        "power" => power(record, trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    }
}

fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

fn start(record: &Record, kinds: &[&str], gpus: &[u64]) -> Option<World> {
    let mut world = World::start(record.clone(), 3, kinds, gpus);
    if world.warm_up() { Some(world) } else { None }
}

fn open_run(runs: &[Seen]) -> Option<Seen> {
    runs.iter().rev().find(|run| run.ended.is_none()).cloned()
}

fn failed(runs: &[Seen]) -> usize {
    let ends = runs.iter().filter_map(|run| run.ended.as_ref());
    ends.filter(|(_, how)| how == "failed").count()
}

/// One of seven workers crashes, three times, and is back after 1.5 s.
fn crash(record: Record, trouble: bool) -> Verdict {
    let Some(mut world) = start(&record, &["a"; 7], &[]) else {
        return Verdict::NotRun("the system did not get ready".to_owned());
    };
    let job = "00000000c0ffee01";
    let steps = r#"[{"count":1,"cpu":500,"mem_mb":900,"estimate_ms":3000}]"#;
    if !world.submit(1, job, "work=3000 cpu=500 mem=900", steps) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let mut crashes = 0;
    let mut down = Vec::new();
    for round in 0..400 {
        pause(100);
        let runs = record.runs_of(job);
        if let Some(run) = open_run(&runs)
            && trouble
            && crashes < 3
            && record.now_s() - run.started_s >= 0.2
        {
            let at = world
                .workers
                .iter()
                .position(|worker| worker.place.name == run.worker);
            let at = at.expect("the worker of the run");
            world.workers[at].crash();
            crashes += 1;
            down.push((record.now_s() + 1.5, at));
        }
        down.retain(|(until, at)| {
            let is_back = record.now_s() >= *until;
            if is_back {
                world.workers[*at].begin();
            }
            !is_back
        });
        if round % 10 != 0 {
            continue;
        }
        let state = world.state(1, job);
        let runs = record.runs_of(job);
        match state.as_str() {
            "failed" => {
                let text = format!(
                    "the job is shown as failed after {} runs, {} of which ended failed; {crashes} workers crashed",
                    runs.len(),
                    failed(&runs)
                );
                let has_cause = failed(&runs) >= 3;
                return if has_cause {
                    Verdict::Held(text)
                } else {
                    Verdict::Broken(text)
                };
            }
            "completed" => return Verdict::Held(format!("completed after {} runs", runs.len())),
            _ => {}
        }
    }
    Verdict::NotRun("the job has not ended in 40 s".to_owned())
}

/// Longest span, from `from_s` to `until_s`, in which no run of the job was there.
fn longest_gap(runs: &[Seen], from_s: f64, until_s: f64) -> f64 {
    let mut at = from_s;
    let mut longest: f64 = 0.0;
    let mut spans: Vec<(f64, f64)> = Vec::new();
    for run in runs {
        let end = run.ended.as_ref().map_or(until_s, |(at, _)| *at);
        spans.push((run.started_s, end));
    }
    spans.sort_by(|one, other| one.0.total_cmp(&other.0));
    for (start, end) in spans {
        longest = longest.max(start - at);
        at = at.max(end);
    }
    longest.max(until_s - at)
}

/// Two of forty jobs that last can never be done.
fn poison(record: Record, trouble: bool) -> Verdict {
    let Some(mut world) = start(&record, &["a"; 7], &[]) else {
        return Verdict::NotRun("the system did not get ready".to_owned());
    };
    let one = r#"[{"count":1,"cpu":300,"mem_mb":900,"estimate_ms":500,"long_running":true}]"#;
    let wide = r#"[{"count":8,"cpu":300,"mem_mb":900,"estimate_ms":500,"long_running":true}]"#;
    for n in 0..40 {
        let job = format!("{:016x}", 0xbb00_0000_u64 + n);
        let is_wide = n == 10 || n == 30;
        let spec = match is_wide && trouble {
            true => "work=400 cpu=300 mem=900 fail",
            false => "cpu=300 mem=900",
        };
        world.submit(2, &job, spec, if is_wide { wide } else { one });
        pause(350);
    }
    pause(2_000);
    let job = "00000000c0ffee02";
    let short = r#"[{"count":1,"cpu":500,"mem_mb":900,"estimate_ms":1000}]"#;
    if !world.submit(0, job, "work=1000 cpu=500 mem=900", short) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    // The rule counts from `finish_s` after the end of the traffic.
    let from_s = record.now_s() + FINISH_S;
    let mut most_used: f64 = 0.0;
    while record.now_s() < from_s + 20.0 {
        pause(100);
        most_used = most_used.max(world.used_share());
        if record.runs_of(job).iter().any(|run| run.ended.is_some()) {
            break;
        }
    }
    let state = world.state(0, job);
    let runs = record.runs_of(job);
    if state == "completed" && runs[0].started_s < from_s {
        return Verdict::Held(format!("the job is completed after {} runs", runs.len()));
    }
    let until_s = runs.first().map_or(record.now_s(), |run| run.started_s);
    let gap = until_s - from_s;
    let text = format!(
        "from {FINISH_S} s after the end of the traffic the job had nothing running for {gap:.1} s, and is {state}; at most {:.0}% of the capacity was in use",
        most_used * 100.0
    );
    match gap > 3.0 && most_used < 0.5 {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}

/// Tasks that ask for a GPU and no processor.
fn idle(record: Record, trouble: bool) -> Verdict {
    let kinds = ["a", "a", "a", "a", "a", "a", "g"];
    let Some(mut world) = start(&record, &kinds, &[0, 0, 0, 0, 0, 0, 4]) else {
        return Verdict::NotRun("the system did not get ready".to_owned());
    };
    let job = "00000000c0ffee03";
    let (cpu, spec) = match trouble {
        true => ("", "work=5000 mem=900 gpu=1"),
        false => (r#""cpu":500,"#, "work=5000 cpu=500 mem=900 gpu=1"),
    };
    let steps = format!(
        r#"[{{"count":1,{cpu}"mem_mb":900,"gpu":1,"estimate_ms":5000,"requirements":"g"}}]"#
    );
    if !world.submit(0, job, spec, &steps) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let from_s = record.now_s();
    let mut state = String::new();
    while record.now_s() < from_s + 50.0 && state != "completed" {
        pause(1_000);
        state = world.state(0, job);
    }
    let runs = record.runs_of(job);
    let gap = longest_gap(&runs, from_s + FINISH_S, record.now_s());
    let stopped = runs.iter().filter_map(|run| run.ended.as_ref());
    let stopped = stopped.filter(|(_, how)| how == "stopped").count();
    let text = format!(
        "of {} runs {stopped} were stopped; from {FINISH_S} s after the end of the traffic the job had nothing running for {gap:.1} s on end; after {:.0} s it is {state}",
        runs.len(),
        record.now_s() - from_s
    );
    match state != "completed" && gap > 3.0 {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}

/// A worker that has just started crashes while the time of day of its machine is back.
fn clock(record: Record, trouble: bool) -> Verdict {
    let kinds = ["a", "a", "a", "a", "a", "a", LATE];
    let Some(mut world) = start(&record, &kinds, &[]) else {
        return Verdict::NotRun("the system did not get ready".to_owned());
    };
    world.workers[6].begin();
    pause(600);
    if trouble {
        world.workers[6].step_clock_back(2_000);
    }
    pause(400);
    world.workers[6].crash();
    pause(500);
    world.workers[6].begin_again();
    pause(4_500);
    world.workers[6].step_clock_back(0);
    let job = "00000000c0ffee05";
    let steps = r#"[{"count":2,"cpu":500,"mem_mb":900,"estimate_ms":1000,"requirements":"h"}]"#;
    if !world.submit(0, job, "work=1000 cpu=500 mem=900", steps) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let from_s = record.now_s();
    let mut state = String::new();
    while record.now_s() < from_s + 45.0 && state != "completed" {
        pause(1_000);
        state = world.state(0, job);
    }
    let runs = record.runs_of(job);
    let gap = longest_gap(&runs, from_s + FINISH_S, record.now_s());
    let text = format!(
        "from {FINISH_S} s after the end of the traffic the job had nothing running for {gap:.1} s on end; after {:.0} s it is {state}",
        record.now_s() - from_s
    );
    match state != "completed" && gap > 3.0 {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}

/// A worker with a member of a gang crashes.
fn gang(record: Record, trouble: bool) -> Verdict {
    let Some(mut world) = start(&record, &["a"; 7], &[]) else {
        return Verdict::NotRun("the system did not get ready".to_owned());
    };
    let job = "00000000c0ffee04";
    let steps = r#"[{"count":3,"cpu":500,"mem_mb":900,"estimate_ms":9000,"gang":true,"checkpointing":true,"anti_affinity":1}]"#;
    if !world.submit(0, job, "work=9000 cpu=500 mem=900 save=500 gang=3", steps) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    pause(4_300);
    if trouble {
        let run = open_run(&record.runs_of(job)).expect("a member of the gang");
        let at = world
            .workers
            .iter()
            .position(|worker| worker.place.name == run.worker);
        let at = at.expect("its worker");
        world.workers[at].crash();
        pause(2_000);
        world.workers[at].begin();
    }
    let crashed_s = record.now_s();
    while record.now_s() < crashed_s + 45.0 {
        pause(500);
        let runs = record.runs_of(job);
        if runs
            .iter()
            .any(|run| run.ended.as_ref().is_some_and(|(_, how)| how == "done"))
        {
            break;
        }
    }
    let runs = record.runs_of(job);
    // A run of a gang whose members carry different values.
    let mut odd = Vec::new();
    for run in &runs {
        let others = runs.iter().filter(|other| other.run == run.run);
        let values: Vec<&str> = others.map(|other| other.checkpoint.as_str()).collect();
        if values.iter().any(|value| *value != values[0]) && !odd.contains(&run.run) {
            odd.push(run.run);
        }
    }
    let alone = runs.iter().filter(|run| {
        run.ended
            .as_ref()
            .is_some_and(|(at, how)| how == "alone" && *at > crashed_s + 6.0)
    });
    let alone = alone.count();
    let state = world.state(0, job);
    let text = format!(
        "{} runs of the gang were started with different checkpoints; {alone} members ended alone later than 6 s after the trouble; the job is {state}",
        odd.len()
    );
    match odd.is_empty() && alone == 0 && state == "completed" {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}

/// All side machines lose power once, while 300 tasks have just started.
fn power(record: Record, trouble: bool) -> Verdict {
    let Some(mut world) = start(&record, &["a"; 7], &[]) else {
        return Verdict::NotRun("the system did not get ready".to_owned());
    };
    let steps = r#"[{"count":15,"cpu":200,"mem_mb":300,"estimate_ms":6000}]"#;
    let name = |n: u64| format!("{:016x}", 0xcc00_0000_u64 + n);
    for n in 0..20 {
        if !world.submit(1, &name(n), "work=6000 cpu=200 mem=300", steps) {
            return Verdict::NotRun("a job was not accepted".to_owned());
        }
        pause(90);
    }
    pause(200);
    if trouble {
        world.lose_power(Duration::from_millis(500));
    }
    // The rule counts once the 4 s before a span of 3 s are calm.
    let from_s = record.now_s() + CALM_S;
    let mut most_used: f64 = 0.0;
    while record.now_s() < from_s + 30.0 {
        pause(100);
        if record.now_s() >= from_s {
            most_used = most_used.max(world.used_share());
        }
    }
    let mut longest: f64 = 0.0;
    let mut waiting = 0;
    for n in 0..20 {
        let runs = record.runs_of(&name(n));
        let later = runs.iter().filter(|run| run.started_s > from_s - CALM_S);
        let first = later.map(|run| run.started_s).fold(f64::MAX, f64::min);
        let is_done = runs.iter().all(|run| run.started_s < from_s - CALM_S)
            && runs
                .iter()
                .all(|run| run.ended.as_ref().is_some_and(|end| end.1 == "done"));
        let gap = first.min(record.now_s()) - from_s;
        if !is_done && gap > 3.0 {
            waiting += 1;
            longest = longest.max(gap);
        }
    }
    let text = format!(
        "{waiting} of 20 jobs had nothing running for more than 3 s, {longest:.1} s at most, from {CALM_S} s after the power was back; at most {:.0}% of the capacity was in use then",
        most_used * 100.0
    );
    match waiting > 0 && most_used < 0.5 {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
