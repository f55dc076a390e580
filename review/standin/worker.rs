//! Workers on the users' machines, as PROTOCOL.md describes them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Request},
    json::{Json, object, text},
    record::Record,
};

/// Longest lease, `hold_max_ms`.
const HOLD_MAX_MS: u64 = 6_000;
/// Ended runs on a list.
const LISTED_ENDS: usize = 500;

/// The machine of a worker.
#[derive(Clone)]
pub struct Machine {
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: i64,
    pub mem_mb: i64,
    pub heartbeat: Duration,
    /// Where the worker serves calls of its machine.
    pub app: SocketAddr,
    /// Where the agent takes heartbeats.
    pub control: SocketAddr,
}

/// What a worker did.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    Started,
    Ended(String),
}

/// A run on a worker that started or ended.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub worker: String,
    pub task: String,
    pub run: i64,
    pub deed: Deed,
}

/// What all workers did, and which ends have been taken note of.
#[derive(Default)]
pub struct History {
    events: Mutex<Vec<Event>>,
    noted: Mutex<BTreeSet<(String, i64)>>,
}

impl History {
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().expect("history").clone()
    }

    /// Whether the end of a run has been taken note of, and the worker's lease had not lapsed
    /// since the end.
    pub fn is_noted(&self, task: &str, run: i64) -> bool {
        let noted = self.noted.lock().expect("history");
        noted.contains(&(task.to_owned(), run))
    }

    /// Tasks of a job that have started at or after a time.
    pub fn starts_of(&self, job: &str, from: Duration) -> usize {
        let events = self.events();
        let starts = events.iter().filter(|event| {
            event.deed == Deed::Started && event.task.starts_with(job) && event.at >= from
        });
        starts.count()
    }

    pub fn ends_of(&self, job: &str, how: &str) -> usize {
        let events = self.events();
        let ends = events.iter().filter(|event| {
            event.deed == Deed::Ended(how.to_owned()) && event.task.starts_with(job)
        });
        ends.count()
    }
}

struct Run {
    run: i64,
    cpu: i64,
    mem_mb: i64,
    started_at: Instant,
    /// How long it works; `None` for a task that lasts.
    length: Option<Duration>,
    fails: bool,
}

/// Leaves a share of the orders unanswered; they are carried out later, by the worker that then
/// has the address and the name.
#[derive(Default)]
pub struct LateOrders {
    state: Mutex<LateState>,
}

#[derive(Default)]
struct LateState {
    share: f64,
    until: Option<Instant>,
    random: u64,
    workers: BTreeMap<SocketAddr, Arc<Worker>>,
}

impl LateOrders {
    pub fn start(&self, share: f64, length: Duration) {
        let mut state = self.state.lock().expect("late orders");
        state.share = share;
        state.until = Some(Instant::now() + length);
    }

    /// After which time an order that arrives now is carried out; `None` if at once. 2 to 12 s.
    fn draw(&self) -> Option<Duration> {
        let mut state = self.state.lock().expect("late orders");
        state.until.filter(|until| Instant::now() < *until)?;
        let mut number = || {
            state.random = state
                .random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (state.random >> 11) as f64 / (1_u64 << 53) as f64
        };
        let (drawn, length) = (number(), number());
        (drawn < state.share).then(|| Duration::from_secs_f64(2.0 + 10.0 * length))
    }
}

#[derive(Default)]
struct State {
    sequence: i64,
    fence: i64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of a task that was stopped or ended.
    over: BTreeMap<String, i64>,
    ended: Vec<(i64, String, i64, String)>,
    end_count: i64,
    /// Number of the last end before the lease last lapsed.
    lapsed_after: i64,
    is_draining: bool,
}

/// One life of a worker.
pub struct Worker {
    pub id: String,
    machine: Machine,
    born_ms: i64,
    started_at: Instant,
    state: Mutex<State>,
    changed: Condvar,
    is_down: Arc<AtomicBool>,
    record: Arc<Record>,
    history: Arc<History>,
    late_orders: Arc<LateOrders>,
}

/// The value of a word such as `ms=800` of a task's description.
fn word(spec: &str, name: &str) -> Option<i64> {
    let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(known, _)| *known == name)?.1.parse().ok()
}

impl Worker {
    pub fn start(
        machine: &Machine,
        id: &str,
        record: &Arc<Record>,
        history: &Arc<History>,
        late_orders: &Arc<LateOrders>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(machine.app).expect("the worker's port");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("time");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            machine: machine.clone(),
            born_ms: since_epoch.as_millis() as i64,
            started_at: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            is_down: Arc::default(),
            record: Arc::clone(record),
            history: Arc::clone(history),
            late_orders: Arc::clone(late_orders),
        });
        let mut late = late_orders.state.lock().expect("late orders");
        late.workers.insert(machine.app, Arc::clone(&worker));
        drop(late);
        let serving = Arc::clone(&worker);
        http::serve(listener, Arc::clone(&worker.is_down), move |request| {
            serving.answer(request)
        });
        let advancing = Arc::clone(&worker);
        thread::spawn(move || {
            while !advancing.is_down.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                advancing.advance();
            }
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            while !beating.is_down.load(Ordering::SeqCst) {
                let wait = match beating.beat() {
                    true => beating.machine.heartbeat,
                    false => Duration::from_millis(200),
                };
                thread::sleep(wait);
            }
        });
        worker
    }

    /// Ends without notice, with all that runs.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        let mut state = self.state();
        let lost: Vec<(String, i64)> = state
            .running
            .iter()
            .map(|(task, run)| (task.clone(), run.run))
            .collect();
        state.running.clear();
        drop(state);
        self.record
            .line(&format!("{}: crashed with {} runs", self.id, lost.len()));
        for (task, run) in lost {
            self.note(&task, run, Deed::Ended("lost".to_owned()));
        }
        self.changed.notify_all();
    }

    /// Number of runs.
    pub fn run_count(&self) -> usize {
        self.state().running.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("worker")
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn note(&self, task: &str, run: i64, deed: Deed) {
        let line = match &deed {
            Deed::Started => format!("{}: started {task}/{run}", self.id),
            Deed::Ended(how) => format!("{}: ended {task}/{run} {how}", self.id),
        };
        self.record.line(&line);
        let event = Event {
            at: self.record.elapsed(),
            worker: self.id.clone(),
            task: task.to_owned(),
            run,
            deed,
        };
        self.history.events.lock().expect("history").push(event);
    }

    fn beat(&self) -> bool {
        let machine = &self.machine;
        let (sequence, is_draining) = {
            let mut state = self.state();
            state.sequence += 1;
            (state.sequence, state.is_draining)
        };
        let room = object(&[
            ("cpu", Json::Int(machine.cpu)),
            ("mem_mb", Json::Int(machine.mem_mb)),
            ("gpu", Json::Int(0)),
        ]);
        let labels = machine.labels.iter().map(text).collect();
        let body = object(&[
            ("service", text(&machine.service)),
            ("address", text(machine.app.to_string())),
            ("zone", text(&machine.zone)),
            ("version", text("v1")),
            ("slots", Json::Int(8)),
            (
                "state",
                text(if is_draining { "draining" } else { "ready" }),
            ),
            ("cold_remaining_ms", Json::Int(0)),
            ("room", room),
            ("labels", Json::List(labels)),
            ("clock_ms", Json::Int(self.clock_ms() as i64)),
            ("born", Json::Int(self.born_ms)),
            ("sequence", Json::Int(sequence)),
        ]);
        let answer = http::call(
            machine.control,
            "PUT",
            &format!("/instances/{}", self.id),
            &[],
            &body.to_string(),
            Duration::from_secs(1),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    fn end(&self, state: &mut State, task: &str, how: &str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.end_count += 1;
        let number = state.end_count;
        state
            .ended
            .push((number, task.to_owned(), run.run, how.to_owned()));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = run.run.max(*over);
        self.note(task, run.run, Deed::Ended(how.to_owned()));
        self.changed.notify_all();
    }

    fn advance(&self) {
        let clock = self.clock_ms();
        let mut state = self.state();
        let lapsed = clock > state.lease_until_ms;
        if lapsed {
            state.lapsed_after = state.end_count;
        }
        let due: Vec<(String, &str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                if lapsed {
                    return Some((task.clone(), "lapsed"));
                }
                let is_over = run
                    .length
                    .is_some_and(|length| run.started_at.elapsed() >= length);
                let how = if run.fails { "failed" } else { "done" };
                is_over.then(|| (task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            self.end(&mut state, &task, how);
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        let is_order = matches!(request.path.as_str(), "/run-start" | "/run-stop");
        let Some(delay) = self.late_orders.draw().filter(|_| is_order) else {
            return self.carry_out(request);
        };
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let order = format!(
            "{} {}/{}",
            request.path,
            body.get("task").text(),
            body.get("run").int().unwrap_or(0)
        );
        self.record.line(&format!(
            "{}: order not answered, carried out in {} ms: {order}",
            self.id,
            delay.as_millis()
        ));
        let (late_orders, address) = (Arc::clone(&self.late_orders), self.machine.app);
        let (record, request) = (Arc::clone(&self.record), request.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            let state = late_orders.state.lock().expect("late orders");
            let worker = state.workers.get(&address).cloned();
            drop(state);
            if let Some(worker) = worker
                && !worker.is_down.load(Ordering::SeqCst)
            {
                let status = match worker.carry_out(&request) {
                    Answer::Reply(status, body) => format!("{status} {body}"),
                    Answer::Silence => "no answer".to_owned(),
                };
                record.line(&format!(
                    "{}: carried out late: {order}: {status}",
                    worker.id
                ));
            }
        });
        Answer::Silence
    }

    fn carry_out(&self, request: &Request) -> Answer {
        let named = request.header("X-Expected-Instance");
        if !named.is_empty() && named != self.id {
            return self.reply(421, &[]);
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if request.method == "GET" && request.path == "/health" {
            return self.reply(200, &[]);
        }
        let mut state = self.state();
        let token = body.get("fencing_token").int().unwrap_or(0);
        if token < state.fence {
            return self.reply(409, &[("reason", text("fence"))]);
        }
        state.fence = token;
        match request.path.as_str() {
            "/run-start" => self.run_start(&mut state, &body),
            "/run-stop" => {
                let task = body.get("task").text();
                let run = body.get("run").int().unwrap_or(0);
                let is_here = state
                    .running
                    .get(task)
                    .is_some_and(|known| known.run <= run);
                if is_here {
                    self.end(&mut state, task, "stopped");
                }
                let over = state.over.entry(task.to_owned()).or_default();
                *over = run.max(*over);
                self.reply(200, &[])
            }
            "/hold" => self.hold(state, &body),
            "/pace" => self.reply(200, &[]),
            _ => self.reply(400, &[]),
        }
    }

    fn reply(&self, status: u16, fields: &[(&str, Json)]) -> Answer {
        let mut all = vec![
            ("clock_ms", Json::Int(self.clock_ms() as i64)),
            ("born", Json::Int(self.born_ms)),
        ];
        all.extend_from_slice(fields);
        Answer::Reply(status, object(&all).to_string())
    }

    /// Extends the lease of all runs.
    fn extend(&self, state: &mut State, until: Option<i64>) {
        let most = self.clock_ms() + HOLD_MAX_MS;
        let until = (until.unwrap_or(0).max(0) as u64).min(most);
        state.lease_until_ms = state.lease_until_ms.max(until);
    }

    fn run_start(&self, state: &mut State, body: &Json) -> Answer {
        let (task, spec) = (body.get("task").text(), body.get("spec").text());
        let run = body.get("run").int().unwrap_or(0);
        let until = body.get("until_ms").int();
        if until.unwrap_or(0) as u64 <= self.clock_ms() {
            return self.reply(409, &[("reason", text("late"))]);
        }
        self.extend(state, until);
        if state
            .running
            .get(task)
            .is_some_and(|known| known.run == run)
        {
            return self.reply(200, &[]);
        }
        let highest = state.over.get(task).copied().unwrap_or(0);
        let is_running = state.running.contains_key(task);
        if run <= highest || is_running {
            return self.reply(409, &[("reason", text("old"))]);
        }
        let (cpu, mem_mb) = (
            word(spec, "cpu").unwrap_or(0),
            word(spec, "mem").unwrap_or(0),
        );
        let used: (i64, i64) = state
            .running
            .values()
            .fold((0, 0), |used, run| (used.0 + run.cpu, used.1 + run.mem_mb));
        if used.0 + cpu > self.machine.cpu || used.1 + mem_mb > self.machine.mem_mb {
            return self.reply(409, &[("reason", text("room"))]);
        }
        let started = Run {
            run,
            cpu,
            mem_mb,
            started_at: Instant::now(),
            length: word(spec, "ms").map(|ms| Duration::from_millis(ms as u64)),
            fails: spec.split(' ').any(|word| word == "fails"),
        };
        state.running.insert(task.to_owned(), started);
        self.note(task, run, Deed::Started);
        self.reply(200, &[])
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Answer {
        let last_seen = body.get("last_seen").int().unwrap_or(0);
        let lapsed_after = state.lapsed_after;
        state.ended.retain(|(number, task, run, _)| {
            if *number <= last_seen && *number > lapsed_after {
                let mut noted = self.history.noted.lock().expect("history");
                noted.insert((task.clone(), *run));
            }
            *number > last_seen
        });
        self.extend(&mut state, body.get("until_ms").int());
        let wait = body.get("wait_ms").int().unwrap_or(0).clamp(0, 2_000);
        let until = Instant::now() + Duration::from_millis(wait as u64);
        while state.ended.is_empty() && !self.is_down.load(Ordering::SeqCst) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).expect("worker").0;
        }
        let running = state.running.iter().map(|(task, run)| {
            let percent = run.length.map_or(100, |length| {
                (run.started_at.elapsed().as_millis() * 100 / length.as_millis().max(1)).min(100)
            });
            Json::List(vec![
                text(task),
                Json::Int(run.run),
                text(""),
                Json::Int(percent as i64),
                Json::Int(run.cpu.max(1)),
            ])
        });
        let running = Json::List(running.collect());
        let ended = state.ended.iter().take(LISTED_ENDS);
        let ended = ended.map(|(number, task, run, how)| {
            Json::List(vec![
                Json::Int(*number),
                text(task),
                Json::Int(*run),
                text(how),
                text(""),
            ])
        });
        let ended = Json::List(ended.collect());
        self.reply(200, &[("running", running), ("ended", ended)])
    }
}
