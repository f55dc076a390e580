//! A worker, as PROTOCOL.md describes it, with its heartbeats.
//!
//! The `spec` of a job tells what its tasks do: `work=MS` (for good without it), `cpu=MILLI` (in use), `mem=MB`,
//! `fail` (the task ends `failed` after its work), `save=MS` (a checkpoint with each of these
//! spans of work), `gang=N` (the task is one of N that work only together).

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Request, call},
    json::{Json, map},
    record::Record,
};

const ENDS_LISTED: usize = 500;
/// Marks in the list of a gang's members: one has ended done, or otherwise.
const DONE: &str = "(done)";
const OVER: &str = "(over)";

#[derive(Clone)]
pub struct Place {
    pub name: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub service: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    pub app: SocketAddr,
    pub control: SocketAddr,
    /// The longest lease.
    pub hold_max_ms: u64,
}

#[derive(Clone)]
struct Run {
    run: u64,
    spec: String,
    /// Work done up to `at`, in milliseconds.
    done_ms: f64,
    at: Instant,
    percent: f64,
    started: Instant,
    checkpoint: String,
    next_save_ms: f64,
}

struct Life {
    id: String,
    born: u64,
    began: Instant,
    sequence: u64,
    fence: u64,
    until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
}

struct State {
    life: Option<Life>,
    lives: u64,
    names: u64,
    /// By how much the time of day of the machine is behind, in milliseconds.
    behind_ms: u64,
}

#[derive(Clone)]
pub struct Worker {
    pub place: Place,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    gangs: Gangs,
}

/// The gang members that are present at any worker: by job, occurrence, step and run, the
/// checkpoint with which each member has started.
#[derive(Clone, Default)]
pub struct Gangs(Arc<Mutex<BTreeMap<String, BTreeMap<String, String>>>>);

fn word(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split_whitespace();
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn gang_of(task: &str, run: u64) -> String {
    format!(
        "{}/{run}",
        task.rsplit_once('.').map_or(task, |(gang, _)| gang)
    )
}

impl Worker {
    pub fn start(place: Place, record: Record, gangs: Gangs) -> Worker {
        let listener = TcpListener::bind(place.app).expect("port of a worker");
        let state = State {
            life: None,
            lives: 0,
            names: 0,
            behind_ms: 0,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let worker = Worker {
            place,
            state,
            record,
            gangs,
        };
        let serving = worker.clone();
        http::serve(listener, move |request| serving.answer(request));
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ticking.tick();
            }
        });
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                let wait = if beating.beat() { 1_500 } else { 300 };
                let mut life = beating.life_number();
                for _ in 0..wait / 50 {
                    thread::sleep(Duration::from_millis(50));
                    // A new incarnation reports at once.
                    if beating.life_number() != life {
                        life = beating.life_number();
                        break;
                    }
                }
            }
        });
        worker
    }

    fn life_number(&self) -> u64 {
        self.state.0.lock().unwrap().lives
    }

    /// Starts a new incarnation under a new id.
    pub fn begin(&self) {
        self.state.0.lock().unwrap().names += 1;
        self.begin_again();
    }

    /// Starts a new incarnation under the id of the last one.
    pub fn begin_again(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.lives += 1;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let born = now - state.behind_ms;
        let id = format!("i-{}-{}", self.place.name, state.names);
        self.record.note(&format!("worker {id} up, born {born}"));
        state.life = Some(Life {
            id,
            born,
            began: Instant::now(),
            sequence: 0,
            fence: 0,
            until_ms: 0,
            runs: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        });
    }

    /// The worker crashes: it is silent until it begins again.
    pub fn crash(&self) {
        let mut state = self.state.0.lock().unwrap();
        if let Some(life) = state.life.take() {
            self.record.note(&format!(
                "worker {} CRASHES with {} runs",
                life.id,
                life.runs.len()
            ));
            for (task, run) in &life.runs {
                self.leave_gang(task, run.run, "crashed");
                self.record
                    .ended(&self.place.name, task, run.run, "crashed");
            }
        }
        self.state.1.notify_all();
    }

    /// The time of day of the worker's machine steps back.
    pub fn step_clock_back(&self, millis: u64) {
        self.record.note(&format!(
            "time of day of {} steps back by {millis} ms",
            self.place.name
        ));
        self.state.0.lock().unwrap().behind_ms = millis;
    }

    /// Processor time that the present runs use, in thousandths of a core.
    pub fn used_cpu(&self) -> u64 {
        let state = self.state.0.lock().unwrap();
        let runs = state.life.iter().flat_map(|life| life.runs.values());
        runs.map(|run| word(&run.spec, "cpu").unwrap_or(0)).sum()
    }

    /// Tells the other members of a gang that one of them has ended.
    fn leave_gang(&self, task: &str, run: u64, how: &str) {
        let mut gangs = self.gangs.0.lock().unwrap();
        if let Some(members) = gangs.get_mut(&gang_of(task, run)) {
            members.remove(task);
            let over = if how == "done" { DONE } else { OVER };
            members.insert(over.to_owned(), String::new());
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else {
            return;
        };
        self.leave_gang(task, run.run, how);
        life.last_end += 1;
        let over = life.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.run);
        self.record.ended(&self.place.name, task, run.run, how);
        life.ended
            .push((life.last_end, task.to_owned(), run.run, how, run.checkpoint));
        self.state.1.notify_all();
    }

    /// Lets the tasks work up to now.
    fn advance(&self, life: &mut Life) {
        let now = Instant::now();
        let gangs = self.gangs.0.lock().unwrap();
        for (task, run) in &mut life.runs {
            let mut speed = run.percent / 100.0;
            if let Some(size) = word(&run.spec, "gang") {
                let members = gangs.get(&gang_of(task, run.run));
                let is_whole = members.is_some_and(|members| {
                    members.len() as u64 == size
                        && members
                            .values()
                            .all(|value| *value == run.checkpoint_at_start())
                });
                if !is_whole {
                    speed = 0.0;
                }
            }
            run.done_ms += (now - run.at).as_secs_f64() * 1_000.0 * speed;
            run.at = now;
            if let Some(save_ms) = word(&run.spec, "save")
                && run.done_ms >= run.next_save_ms
            {
                // The members of a gang save the same value for the same state.
                run.checkpoint = format!("{:08}", run.next_save_ms as u64);
                run.next_save_ms += save_ms as f64;
            }
        }
    }

    fn tick(&self) {
        let mut state = self.state.0.lock().unwrap();
        let Some(life) = state.life.as_mut() else {
            return;
        };
        self.advance(life);
        let clock = life.began.elapsed().as_millis() as u64;
        if clock > life.until_ms {
            let lapsed: Vec<String> = life.runs.keys().cloned().collect();
            for task in lapsed {
                self.end(life, &task, "lapsed");
            }
        }
        let mut ends = Vec::new();
        for (task, run) in &life.runs {
            let work = word(&run.spec, "work").map_or(f64::MAX, |work| work as f64);
            if let Some(size) = word(&run.spec, "gang") {
                let gangs = self.gangs.0.lock().unwrap();
                let members = gangs.get(&gang_of(task, run.run));
                let is_over = |how: &str| members.is_some_and(|members| members.contains_key(how));
                if is_over(DONE) || is_over(OVER) {
                    ends.push((task.clone(), if is_over(DONE) { "done" } else { "broken" }));
                    continue;
                }
                let is_whole = members.is_some_and(|members| {
                    members.len() as u64 == size
                        && members
                            .values()
                            .all(|value| *value == run.checkpoint_at_start())
                });
                if !is_whole && run.started.elapsed() > Duration::from_millis(3_000) {
                    ends.push((task.clone(), "alone"));
                    continue;
                }
            }
            if run.done_ms >= work {
                let fails = run.spec.split_whitespace().any(|word| word == "fail");
                ends.push((task.clone(), if fails { "failed" } else { "done" }));
            }
        }
        for (task, how) in ends {
            self.end(life, &task, how);
        }
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    fn beat(&self) -> bool {
        let (id, body) = {
            let mut state = self.state.0.lock().unwrap();
            let Some(life) = state.life.as_mut() else {
                return false;
            };
            life.sequence += 1;
            let place = &self.place;
            let labels = place.labels.iter().map(|label| Json::from(label.as_str()));
            let room = map(&[
                ("cpu", Json::from(place.cpu)),
                ("mem_mb", Json::from(place.mem_mb)),
                ("gpu", Json::from(place.gpu)),
            ]);
            let body = map(&[
                ("service", Json::from(place.service.as_str())),
                ("address", Json::from(place.app.to_string().as_str())),
                ("zone", Json::from(place.zone.as_str())),
                ("version", Json::from("v1")),
                ("slots", Json::from(8)),
                ("state", Json::from("ready")),
                ("cold_remaining_ms", Json::from(0)),
                ("room", room),
                ("labels", Json::List(labels.collect())),
                (
                    "clock_ms",
                    Json::from(life.began.elapsed().as_millis() as u64),
                ),
                ("sequence", Json::from(life.sequence)),
                ("born", Json::from(life.born)),
            ]);
            (life.id.clone(), body.to_string())
        };
        let path = format!("/instances/{id}");
        let reply = call(
            self.place.control,
            "PUT",
            &path,
            &[],
            &body,
            Duration::from_secs(1),
        );
        reply.is_some_and(|(status, _)| status / 100 == 2)
    }

    fn answer(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        let Some(life) = state.life.as_mut() else {
            return Answer::Drop;
        };
        if request.path == "/health" {
            return Answer::Reply(200, "{}".to_owned());
        }
        if let Some(id) = request.headers.get("x-expected-instance")
            && *id != life.id
        {
            return Answer::Reply(421, "{}".to_owned());
        }
        self.advance(life);
        let clock = life.began.elapsed().as_millis() as u64;
        let refuse = |reason: &str| {
            let reply = map(&[
                ("clock_ms", Json::from(clock)),
                ("reason", Json::from(reason)),
            ]);
            Answer::Reply(409, reply.to_string())
        };
        let token = body.get("fencing_token").int();
        if token < life.fence {
            return refuse("fence");
        }
        life.fence = token;
        let accepted = || Answer::Reply(200, map(&[("clock_ms", Json::from(clock))]).to_string());
        let task = body.get("task").str().to_owned();
        let run = body.get("run").int();
        let until = body
            .get("until_ms")
            .int()
            .min(clock + self.place.hold_max_ms);
        match request.path.as_str() {
            "/run-start" => {
                let spec = body.get("spec").str().to_owned();
                let checkpoint = body.get("checkpoint").str().to_owned();
                let name = &self.place.name;
                if until < clock {
                    self.record.refused(name, &task, run, "late");
                    return refuse("late");
                }
                life.until_ms = life.until_ms.max(until);
                if life.runs.get(&task).is_some_and(|known| known.run == run) {
                    return accepted();
                }
                if life.over.get(&task).is_some_and(|over| run <= *over) {
                    self.record.refused(name, &task, run, "old");
                    return refuse("old");
                }
                let sum = |name: &str| -> u64 {
                    let runs = life.runs.values();
                    runs.map(|run| word(&run.spec, name).unwrap_or(0)).sum()
                };
                let need = |name: &str| word(&spec, name).unwrap_or(0);
                if sum("cpu") + need("cpu") > self.place.cpu
                    || sum("mem") + need("mem") > self.place.mem_mb
                    || sum("gpu") + need("gpu") > self.place.gpu
                {
                    self.record.refused(name, &task, run, "room");
                    return refuse("room");
                }
                if word(&spec, "gang").is_some() {
                    let mut gangs = self.gangs.0.lock().unwrap();
                    let members = gangs.entry(gang_of(&task, run)).or_default();
                    members.insert(task.clone(), checkpoint.clone());
                }
                self.record.started(name, &task, run, &checkpoint);
                let done_ms: f64 = checkpoint.parse().unwrap_or(0.0);
                let now = Instant::now();
                let save = word(&spec, "save").unwrap_or(u64::MAX) as f64;
                life.runs.insert(
                    task,
                    Run {
                        run,
                        spec,
                        done_ms,
                        at: now,
                        percent: 100.0,
                        started: now,
                        next_save_ms: done_ms + save,
                        checkpoint: checkpoint.clone(),
                    }
                    .with_start(&checkpoint),
                );
                accepted()
            }
            "/run-stop" => {
                let over = life.over.entry(task.clone()).or_default();
                *over = (*over).max(run);
                if life.runs.get(&task).is_some_and(|known| known.run == run) {
                    self.end(life, &task, "stopped");
                }
                accepted()
            }
            "/pace" => {
                if let Some(known) = life.runs.get_mut(&task) {
                    known.percent = body.get("percent").num();
                }
                accepted()
            }
            "/hold" => {
                if !body.get("until_ms").is_null() {
                    life.until_ms = life.until_ms.max(until);
                }
                let last_seen = body.get("last_seen").int();
                life.ended.retain(|end| end.0 > last_seen);
                let wait = Duration::from_millis(body.get("wait_ms").int().min(2_000));
                let (id, until) = (life.id.clone(), Instant::now() + wait);
                loop {
                    let Some(life) = state.life.as_ref().filter(|life| life.id == id) else {
                        return Answer::Drop;
                    };
                    let now = Instant::now();
                    if !life.ended.is_empty() || now >= until {
                        return Answer::Reply(200, lists(life));
                    }
                    state = self.state.1.wait_timeout(state, until - now).unwrap().0;
                }
            }
            _ => Answer::Reply(404, "{}".to_owned()),
        }
    }
}

impl Run {
    /// Keeps the checkpoint with which the run has started in front of its spec.
    fn with_start(mut self, checkpoint: &str) -> Run {
        self.spec = format!("{} start:{checkpoint}", self.spec);
        self
    }

    fn checkpoint_at_start(&self) -> String {
        let start = self.spec.rsplit_once(" start:");
        start.map_or_else(String::new, |(_, checkpoint)| checkpoint.to_owned())
    }
}

fn lists(life: &Life) -> String {
    let text = |text: &str| Json::from(text);
    let running = life.runs.iter().map(|(task, run)| {
        let figure = word(&run.spec, "cpu").unwrap_or(0);
        // A task that lasts is at work after its start.
        let work = word(&run.spec, "work").map_or(1.0, |work| work as f64);
        let percent = (run.done_ms * 100.0 / work).min(100.0) as u64;
        Json::List(vec![
            text(task),
            Json::from(run.run),
            text(&run.checkpoint),
            Json::from(percent),
            Json::from(figure),
        ])
    });
    let ended = life.ended.iter().take(ENDS_LISTED);
    let ended = ended.map(|(number, task, run, how, checkpoint)| {
        let number = Json::from(*number);
        Json::List(vec![
            number,
            text(task),
            Json::from(*run),
            text(how),
            text(checkpoint),
        ])
    });
    map(&[
        (
            "clock_ms",
            Json::from(life.began.elapsed().as_millis() as u64),
        ),
        ("born", Json::from(life.born)),
        ("running", Json::List(running.collect())),
        ("ended", Json::List(ended.collect())),
    ])
    .to_string()
}
