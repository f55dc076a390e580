//! A stand-in for a worker with the interface of the pages: runs under one lease, a fencing
//! token, a list of runs and of ends, and heartbeats to the agent on its machine.
//!
//! A task's `spec` says what it does: `ms=800 cpu=500 mem=256`, or `lasts` for a task that runs
//! until it is stopped. The task of a job that lasts is at work [`STARTUP`] after its start.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Request, Server},
    json::{quote, Json},
    record::Record,
};

/// How long a task that lasts takes until it is at work.
const STARTUP: Duration = Duration::from_millis(400);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The longest lease that a worker grants, `hold_max_ms`.
const LONGEST_LEASE_MS: i64 = 6_000;

#[derive(Clone)]
pub struct Place {
    pub machine: String,
    pub app: SocketAddr,
    pub control: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
    pub service: String,
    pub cpu: i64,
    pub mem: i64,
}

struct Run {
    run: i64,
    cpu: i64,
    mem: i64,
    started_at: Instant,
    /// When the run is done; `None` for a task that lasts.
    done_at: Option<Instant>,
}

struct Ended {
    number: i64,
    task: String,
    run: i64,
    how: &'static str,
}

/// One life of the worker.
struct Life {
    id: String,
    born_ms: i64,
    started_at: Instant,
    fencing_token: i64,
    /// On the worker's clock.
    lease_until: i64,
    runs: BTreeMap<String, Run>,
    ended: Vec<Ended>,
    last_end: i64,
    /// The highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, i64>,
    sequence: i64,
}

impl Life {
    fn clock(&self) -> i64 {
        self.started_at.elapsed().as_millis() as i64
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<i64> {
        let run = self.runs.remove(task)?;
        self.last_end += 1;
        self.ended.push(Ended {
            number: self.last_end,
            task: task.to_owned(),
            run: run.run,
            how,
        });
        self.note_over(task, run.run);
        Some(run.run)
    }

    fn note_over(&mut self, task: &str, run: i64) {
        let highest = self.over.entry(task.to_owned()).or_insert(run);
        *highest = run.max(*highest);
    }
}

struct Shared {
    place: Place,
    record: Arc<Record>,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    /// How many lives there have been.
    lives: Mutex<u32>,
    server: Mutex<Option<Server>>,
    /// What is called as a run begins.
    on_start: Mutex<Option<Box<dyn FnMut(&str) + Send>>>,
}

#[derive(Clone)]
pub struct Worker(Arc<Shared>);

/// How a worker begins a life.
pub enum Name {
    /// Under a name of its own.
    New,
    /// Under the name that it had, with a time of day that is off by so many milliseconds.
    Same { clock_off_ms: i64 },
}

impl Worker {
    pub fn new(place: Place, record: Arc<Record>) -> Worker {
        let worker = Worker(Arc::new(Shared {
            place,
            record,
            life: Mutex::new(None),
            changed: Condvar::new(),
            lives: Mutex::new(0),
            server: Mutex::new(None),
            on_start: Mutex::new(None),
        }));
        let ticking = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(4));
            ticking.tick();
        });
        let beating = worker.clone();
        thread::spawn(move || beating.beat());
        worker
    }

    pub fn machine(&self) -> &str {
        &self.0.place.machine
    }

    pub fn zone(&self) -> &str {
        &self.0.place.zone
    }

    /// Calls this as a run begins, with the name of its task.
    pub fn on_start(&self, hook: impl FnMut(&str) + Send + 'static) {
        *self.0.on_start.lock().unwrap() = Some(Box::new(hook));
    }

    /// Begins a life, which knows nothing of an earlier one.
    pub fn start(&self, name: Name, earlier_id: Option<String>) {
        let lives = {
            let mut lives = self.0.lives.lock().unwrap();
            *lives += 1;
            *lives
        };
        let machine = self.machine();
        let (id, off) = match (name, earlier_id) {
            (Name::Same { clock_off_ms }, Some(id)) => (id, clock_off_ms),
            _ => (format!("i-{machine}-{lives}"), 0),
        };
        let born_ms = wall_ms() + off;
        self.0.record.line(&format!(
            "worker {machine} starts as {id}, born {born_ms}{}",
            if off == 0 {
                String::new()
            } else {
                format!(" (its time of day is off by {off} ms)")
            }
        ));
        *self.0.life.lock().unwrap() = Some(Life {
            id,
            born_ms,
            started_at: Instant::now(),
            fencing_token: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            over: BTreeMap::new(),
            sequence: 0,
        });
        let serving = self.clone();
        let handler = Arc::new(move |request: &Request| serving.answer(request));
        *self.0.server.lock().unwrap() = Some(Server::start(self.0.place.app, handler));
    }

    /// Ends the life without notice; returns the name that it had.
    pub fn crash(&self) -> Option<String> {
        let life = self.0.life.lock().unwrap().take()?;
        if let Some(server) = self.0.server.lock().unwrap().take() {
            server.stop();
        }
        self.0.changed.notify_all();
        let lost: Vec<&str> = life.runs.keys().map(String::as_str).collect();
        self.0.record.line(&format!(
            "worker {} ({}) crashes with {}",
            self.machine(),
            life.id,
            if lost.is_empty() {
                "nothing running".to_owned()
            } else {
                lost.join(" ")
            }
        ));
        Some(life.id)
    }

    /// The tasks that run.
    pub fn running(&self) -> Vec<String> {
        let life = self.0.life.lock().unwrap();
        let life = life.as_ref();
        life.map_or_else(Vec::new, |life| life.runs.keys().cloned().collect())
    }

    /// The tasks that are at work.
    pub fn at_work(&self) -> Vec<String> {
        let life = self.0.life.lock().unwrap();
        let Some(life) = life.as_ref() else {
            return Vec::new();
        };
        let runs = life.runs.iter();
        runs.filter(|(_, run)| run.done_at.is_some() || run.started_at.elapsed() >= STARTUP)
            .map(|(task, _)| task.clone())
            .collect()
    }

    fn tick(&self) {
        let mut guard = self.0.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let (now, clock) = (Instant::now(), life.clock());
        let has_lapsed = clock > life.lease_until;
        let mut over = Vec::new();
        for (task, run) in &life.runs {
            if run.done_at.is_some_and(|at| at <= now) {
                over.push((task.clone(), "done"));
            } else if has_lapsed {
                over.push((task.clone(), "lapsed"));
            }
        }
        for (task, how) in over {
            let run = life.end(&task, how);
            self.0.record.line(&format!(
                "run {task}/{} on {} ends {how}",
                run.unwrap_or(0),
                self.machine()
            ));
            self.0.changed.notify_all();
        }
    }

    fn beat(&self) {
        let mut known_born = 0;
        let mut last = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(10));
            let beat = {
                let mut guard = self.0.life.lock().unwrap();
                let Some(life) = guard.as_mut() else { continue };
                if life.born_ms == known_born && last.elapsed() < HEARTBEAT {
                    continue;
                }
                known_born = life.born_ms;
                life.sequence += 1;
                let place = &self.0.place;
                let labels: Vec<String> = place.labels.iter().map(|label| quote(label)).collect();
                let body = format!(
                    "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\
                     \"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"room\":{{\"cpu\":{},\
                     \"mem_mb\":{},\"gpu\":0}},\"labels\":[{}],\"clock_ms\":{},\"sequence\":{},\
                     \"born\":{}}}",
                    quote(&place.service),
                    place.app,
                    quote(&place.zone),
                    place.cpu,
                    place.mem,
                    labels.join(","),
                    life.clock(),
                    life.sequence,
                    life.born_ms
                );
                (format!("/instances/{}", life.id), body)
            };
            last = Instant::now();
            let (path, body) = beat;
            let second = Duration::from_secs(1);
            let answer = http::call(self.0.place.control, "PUT", &path, "side", &body, second);
            if !matches!(answer, Ok((200..=299, _))) {
                // Tries again soon, as no other node takes this heartbeat.
                last -= HEARTBEAT - Duration::from_millis(300);
            }
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body)?;
        let mut guard = self.0.life.lock().unwrap();
        let life = guard.as_mut()?;
        let expected = request.headers.get("x-expected-instance");
        if expected.is_some_and(|expected| *expected != life.id) {
            return Some((421, format!("{{\"clock_ms\":{}}}", life.clock())));
        }
        let token = body.get("fencing_token").int().unwrap_or(0);
        if token < life.fencing_token {
            return Some(conflict(life, "fence"));
        }
        life.fencing_token = token;
        match request.path.as_str() {
            "/run-start" => {
                let (answer, is_new) = self.run_start(life, &body);
                drop(guard);
                if let (true, Some(hook)) = (is_new, self.0.on_start.lock().unwrap().as_mut()) {
                    hook(body.get("task").text());
                }
                Some(answer)
            }
            "/run-stop" => Some(self.run_stop(life, &body)),
            "/pace" => Some((200, format!("{{\"clock_ms\":{}}}", life.clock()))),
            "/hold" => {
                let born_ms = life.born_ms;
                extend(life, &body);
                let last_seen = body.get("last_seen").int().unwrap_or(0);
                life.ended.retain(|end| end.number > last_seen);
                let wait = body.get("wait_ms").int().unwrap_or(0).clamp(0, 2_000);
                let until = Instant::now() + Duration::from_millis(wait as u64);
                loop {
                    let life = guard.as_ref().filter(|life| life.born_ms == born_ms)?;
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() || !life.ended.is_empty() {
                        return Some((200, lists(life)));
                    }
                    guard = self.0.changed.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Returns the answer and whether a run has begun.
    fn run_start(&self, life: &mut Life, body: &Json) -> ((u16, String), bool) {
        let (task, run) = (body.get("task").text(), body.get("run").int().unwrap_or(0));
        let spec = body.get("spec").text();
        let number = |name: &str, default: i64| {
            let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
            let found = words.find(|(known, _)| *known == name);
            found
                .and_then(|(_, text)| text.parse().ok())
                .unwrap_or(default)
        };
        let ok = (200, format!("{{\"clock_ms\":{}}}", life.clock()));
        if life.runs.get(task).is_some_and(|known| known.run == run) {
            extend(life, body);
            return (ok, false);
        }
        let is_old = life.over.get(task).is_some_and(|over| run <= *over);
        if is_old || life.runs.get(task).is_some_and(|known| known.run > run) {
            extend(life, body);
            return (conflict(life, "old"), false);
        }
        if body.get("until_ms").int().unwrap_or(0) <= life.clock() {
            return (conflict(life, "late"), false);
        }
        extend(life, body);
        let (cpu, mem) = (number("cpu", 500), number("mem", 256));
        let used = |need: fn(&Run) -> i64| life.runs.values().map(need).sum::<i64>();
        let place = &self.0.place;
        if used(|run| run.cpu) + cpu > place.cpu || used(|run| run.mem) + mem > place.mem {
            return (conflict(life, "room"), false);
        }
        let now = Instant::now();
        let lasts = spec.split(' ').any(|word| word == "lasts");
        let work = Duration::from_millis(number("ms", 800) as u64);
        life.runs.insert(
            task.to_owned(),
            Run {
                run,
                cpu,
                mem,
                started_at: now,
                done_at: (!lasts).then(|| now + work),
            },
        );
        self.0
            .record
            .line(&format!("run {task}/{run} starts on {}", self.machine()));
        (ok, true)
    }

    fn run_stop(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let (task, run) = (body.get("task").text(), body.get("run").int().unwrap_or(0));
        if life.runs.get(task).is_some_and(|known| known.run == run) {
            life.end(task, "stopped");
            self.0.record.line(&format!(
                "run {task}/{run} on {} is stopped",
                self.machine()
            ));
            self.0.changed.notify_all();
        } else {
            life.note_over(task, run);
        }
        (200, format!("{{\"clock_ms\":{}}}", life.clock()))
    }
}

fn conflict(life: &Life, reason: &str) -> (u16, String) {
    (
        409,
        format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", life.clock()),
    )
}

/// Extends the lease; it is never shortened, and a longer one than allowed is.
fn extend(life: &mut Life, body: &Json) {
    if let Some(until) = body.get("until_ms").int() {
        let until = until.min(life.clock() + LONGEST_LEASE_MS);
        life.lease_until = life.lease_until.max(until);
    }
}

fn lists(life: &Life) -> String {
    let mut running = Vec::new();
    for (task, run) in &life.runs {
        let elapsed = run.started_at.elapsed();
        let percent = match run.done_at {
            Some(at) => {
                let whole = at.duration_since(run.started_at).as_millis().max(1);
                (elapsed.as_millis() * 100 / whole).min(99)
            }
            None if elapsed >= STARTUP => 100,
            None => 0,
        };
        running.push(format!(
            "[{},{},\"\",{percent},{}]",
            quote(task),
            run.run,
            run.cpu
        ));
    }
    let mut ended = Vec::new();
    for end in life.ended.iter().take(500) {
        let task = quote(&end.task);
        ended.push(format!(
            "[{},{task},{},\"{}\",\"\"]",
            end.number, end.run, end.how
        ));
    }
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        life.clock(),
        life.born_ms,
        running.join(","),
        ended.join(",")
    )
}

pub fn wall_ms() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as i64)
}
