//! A stand-in for the platform's worker on one VM.
//!
//! [`FakeWorker`] is a plain state machine that takes the time as an argument;
//! [`serve`] speaks its HTTP interface over loopback. A program is a line such
//! as `run=2000 use=500 fail`: how many milliseconds of full processor time it
//! takes, how many thousandths of a core it uses, and whether it fails.

use std::{
    collections::BTreeMap,
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kernel::{Attempt, Checkpoint, Clock, Resources, TaskId, TaskRun, Time, VmName};
use proto::{
    messages::TaskPhase,
    worker::{RenewRun, StartRun, ThrottleRun, WorkerRun},
};
use smol::net::TcpListener;
use trillium::{Conn, Status};

use crate::history::{History, Record};

/// How often the served stand-in ends leases and finishes programs.
const STEP: Duration = Duration::from_millis(20);
/// How much slower a throttled program runs.
const THROTTLE_DIVISOR: u64 = 4;

/// Why the worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// The VM does not hold that much beside what runs.
    #[error("there is no room for the attempt")]
    InsufficientCapacity,
    /// The time to start or the lease had already passed.
    #[error("the start came too late")]
    TooLate,
}

#[derive(Clone, Debug)]
struct Program {
    run: Duration,
    used_milli: u64,
    fails: bool,
}

impl Program {
    fn parse(line: &str) -> Self {
        let mut program = Self {
            run: Duration::from_secs(1),
            used_milli: 1000,
            fails: false,
        };
        for word in line.split_whitespace() {
            match word.split_once('=') {
                Some(("run", millis)) => {
                    program.run = Duration::from_millis(millis.parse().unwrap_or(1000));
                }
                Some(("use", milli)) => program.used_milli = milli.parse().unwrap_or(1000),
                None if word == "fail" => program.fails = true,
                _ => {}
            }
        }
        program
    }
}

#[derive(Clone, Debug)]
struct Running {
    shown: WorkerRun,
    program: Program,
    done: Duration,
    advanced: Time,
}

/// The state of the stand-in.
#[derive(Debug)]
pub struct FakeWorker {
    vm: VmName,
    capacity: Resources,
    usage_lag: Duration,
    fails_everything: bool,
    runs: BTreeMap<TaskRun, Running>,
    history: History,
}

impl FakeWorker {
    /// A worker of `vm` that records starts and stops in `history`.
    #[must_use]
    pub fn new(vm: VmName, capacity: Resources, history: History) -> Self {
        Self {
            vm,
            capacity,
            usage_lag: Duration::from_secs(5),
            fails_everything: false,
            runs: BTreeMap::new(),
            history,
        }
    }

    /// Makes every program fail at once, or ends that.
    pub fn set_all_fail(&mut self, on: bool) {
        self.fails_everything = on;
    }

    /// Sets how old the usage is that the worker shows.
    pub fn set_usage_lag(&mut self, lag: Duration) {
        self.usage_lag = lag;
    }

    /// Loses everything that runs, as when the VM is replaced.
    pub fn lose_all_runs(&mut self, now: Time) {
        self.advance(now);
        let lost: Vec<TaskRun> = self
            .live()
            .map(|running| running.shown.run.clone())
            .collect();
        for run in lost {
            self.end(&run, TaskPhase::Stopped, now);
        }
        self.runs.clear();
    }

    fn live(&self) -> impl Iterator<Item = &Running> {
        self.runs
            .values()
            .filter(|running| is_live(running.shown.phase))
    }

    fn held(&self) -> Resources {
        self.live().fold(Resources::NONE, |sum, running| {
            sum.plus(running.shown.reserved)
        })
    }

    /// Starts an attempt unless the worker already knows it.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if it does not fit or comes too late.
    pub fn start(&mut self, now: Time, run: &TaskRun, start: StartRun) -> Result<(), StartError> {
        self.advance(now);
        if self.runs.contains_key(run) {
            return Ok(());
        }
        if start.start_until.passed(now) || start.lease_until.passed(now) {
            return Err(StartError::TooLate);
        }
        if !self.held().plus(start.reserved).fits(self.capacity) {
            return Err(StartError::InsufficientCapacity);
        }
        let done_millis = start
            .checkpoint
            .as_ref()
            .and_then(|checkpoint| checkpoint.0.parse().ok())
            .unwrap_or(0);
        let running = Running {
            shown: WorkerRun {
                run: run.clone(),
                phase: TaskPhase::Running,
                reserved: start.reserved,
                checkpoint: start.checkpoint,
                lease_until: start.lease_until,
                used: None,
                measured_at: now,
            },
            program: Program::parse(&start.program),
            done: Duration::from_millis(done_millis),
            advanced: now,
        };
        self.runs.insert(run.clone(), running);
        self.history.add(Record::Started {
            at: now,
            run: run.clone(),
            vm: self.vm.clone(),
            reserved: start.reserved,
            resumed_millis: done_millis,
        });
        Ok(())
    }

    /// Moves the end of an attempt's lease.
    pub fn renew(&mut self, now: Time, run: &TaskRun, renew: RenewRun) {
        self.advance(now);
        if let Some(running) = self.runs.get_mut(run) {
            running.shown.lease_until = running.shown.lease_until.max(renew.lease_until);
        }
    }

    /// Throttles an attempt or gives it its full processor time again.
    pub fn throttle(&mut self, now: Time, run: &TaskRun, throttle: ThrottleRun) {
        self.advance(now);
        let Some(running) = self.runs.get_mut(run) else {
            return;
        };
        match (running.shown.phase, throttle.on) {
            (TaskPhase::Running, true) => running.shown.phase = TaskPhase::Throttled,
            (TaskPhase::Throttled, false) => running.shown.phase = TaskPhase::Running,
            _ => {}
        }
    }

    /// Checkpoints and stops an attempt.
    pub fn evict(&mut self, now: Time, run: &TaskRun) -> Option<WorkerRun> {
        self.advance(now);
        let running = self.runs.get_mut(run)?;
        if is_live(running.shown.phase) {
            let done = running.done.as_millis().to_string();
            running.shown.checkpoint = Some(Checkpoint(done));
            self.end(run, TaskPhase::Stopped, now);
        }
        self.runs.get(run).map(|running| running.shown.clone())
    }

    /// Stops an attempt without a checkpoint.
    pub fn stop(&mut self, now: Time, run: &TaskRun) -> Option<WorkerRun> {
        self.advance(now);
        if is_live(self.runs.get(run)?.shown.phase) {
            self.end(run, TaskPhase::Stopped, now);
        }
        self.runs.get(run).map(|running| running.shown.clone())
    }

    /// Forgets an ended attempt.
    pub fn forget(&mut self, run: &TaskRun) {
        let ended = self
            .runs
            .get(run)
            .is_some_and(|running| !is_live(running.shown.phase));
        if ended {
            self.runs.remove(run);
        }
    }

    /// Every attempt that the worker remembers.
    pub fn list(&mut self, now: Time) -> Vec<WorkerRun> {
        self.advance(now);
        let lag = self.usage_lag;
        let show = |running: &Running| {
            let mut shown = running.shown.clone();
            if is_live(shown.phase) {
                shown.used = Some(Resources {
                    cpu_milli: running.program.used_milli,
                    ..shown.reserved
                });
                shown.measured_at = now - lag;
            }
            shown
        };
        self.runs.values().map(show).collect()
    }

    /// Lets programs work and leases end up to `now`.
    pub fn advance(&mut self, now: Time) {
        let mut ended = Vec::new();
        for (run, running) in &mut self.runs {
            if !is_live(running.shown.phase) {
                continue;
            }
            if let Some(end) = work(running, now, self.fails_everything) {
                ended.push((run.clone(), end));
            }
        }
        for (run, (phase, at)) in ended {
            self.end(&run, phase, at);
        }
    }

    fn end(&mut self, run: &TaskRun, phase: TaskPhase, at: Time) {
        let Some(running) = self.runs.get_mut(run) else {
            return;
        };
        running.shown.phase = phase;
        self.history.add(Record::Stopped {
            at,
            run: run.clone(),
            vm: self.vm.clone(),
            succeeded: phase == TaskPhase::Succeeded,
        });
    }
}

const fn is_live(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Running | TaskPhase::Throttled)
}

/// Works up to `now` or the end of the lease; says how and when it ended.
fn work(running: &mut Running, now: Time, fails: bool) -> Option<(TaskPhase, Time)> {
    let until = now.min(running.shown.lease_until);
    let span = until.since(running.advanced);
    let divisor = match running.shown.phase {
        TaskPhase::Throttled => THROTTLE_DIVISOR,
        _ => 1,
    };
    let left = running.program.run.saturating_sub(running.done);
    let needed = left * u32::try_from(divisor).unwrap_or(1);
    if fails || needed <= span {
        let at = if fails {
            until
        } else {
            running.advanced + needed
        };
        let failed = fails || running.program.fails;
        let phase = if failed {
            TaskPhase::Failed
        } else {
            TaskPhase::Succeeded
        };
        return Some((phase, at));
    }
    running.done += span / u32::try_from(divisor).unwrap_or(1);
    running.advanced = until;
    running
        .shown
        .lease_until
        .passed(now)
        .then_some((TaskPhase::Stopped, until))
}

/// A stand-in that can be shared with the server of its interface.
#[derive(Clone, Debug)]
pub struct SharedWorker {
    worker: Arc<Mutex<FakeWorker>>,
    clock: Clock,
}

impl SharedWorker {
    /// Shares `worker`, which goes by `clock`.
    #[must_use]
    pub fn new(worker: FakeWorker, clock: Clock) -> Self {
        Self {
            worker: Arc::new(Mutex::new(worker)),
            clock,
        }
    }

    /// The state, to inject faults.
    pub fn lock(&self) -> MutexGuard<'_, FakeWorker> {
        self.worker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current time of the worker.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }
}

/// Speaks the worker's HTTP interface on `listener` until dropped.
pub fn serve(listener: TcpListener, worker: SharedWorker) -> impl Future<Output = ()> + Send {
    let stepping = worker.clone();
    let step = async move {
        loop {
            smol::Timer::after(STEP).await;
            let now = stepping.now();
            stepping.lock().advance(now);
        }
    };
    let server = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_prebound_server(listener)
        .run_async(move |conn: Conn| {
            let worker = worker.clone();
            async move { answer(conn, &worker).await }
        });
    futures_lite::future::or(server, step)
}

async fn answer(mut conn: Conn, worker: &SharedWorker) -> Conn {
    let path = conn.path().to_owned();
    let method = conn.method().as_str().to_owned();
    let Ok(body) = conn.request_body_string().await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    if path == "/v1/runs" {
        let list = worker.lock().list(worker.now());
        return json(conn, &list);
    }
    let Some((run, verb)) = parse_path(&path) else {
        return conn.with_status(Status::NotFound).halt();
    };
    act(conn, worker, &method, &run, verb, &body)
}

fn act(
    conn: Conn,
    worker: &SharedWorker,
    method: &str,
    run: &TaskRun,
    verb: &str,
    body: &str,
) -> Conn {
    let now = worker.now();
    let mut worker = worker.lock();
    match (method, verb) {
        ("PUT", "") => match serde_json::from_str(body) {
            Ok(start) => match worker.start(now, run, start) {
                Ok(()) => conn.with_status(Status::Ok).halt(),
                Err(error) => conn
                    .with_status(Status::Conflict)
                    .with_body(error.to_string())
                    .halt(),
            },
            Err(_) => conn.with_status(Status::BadRequest).halt(),
        },
        ("POST", "lease") => match serde_json::from_str(body) {
            Ok(renew) => {
                worker.renew(now, run, renew);
                conn.with_status(Status::Ok).halt()
            }
            Err(_) => conn.with_status(Status::BadRequest).halt(),
        },
        ("POST", "throttle") => match serde_json::from_str(body) {
            Ok(throttle) => {
                worker.throttle(now, run, throttle);
                conn.with_status(Status::Ok).halt()
            }
            Err(_) => conn.with_status(Status::BadRequest).halt(),
        },
        ("POST", "evict") => shown(conn, worker.evict(now, run)),
        ("POST", "stop") => shown(conn, worker.stop(now, run)),
        ("DELETE", "") => {
            worker.forget(run);
            conn.with_status(Status::Ok).halt()
        }
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn shown(conn: Conn, run: Option<WorkerRun>) -> Conn {
    match run {
        Some(run) => json(conn, &run),
        None => conn.with_status(Status::NotFound).halt(),
    }
}

fn json(conn: Conn, value: &impl serde::Serialize) -> Conn {
    match serde_json::to_string(value) {
        Ok(body) => conn.with_status(Status::Ok).with_body(body).halt(),
        Err(_) => conn.with_status(Status::InternalServerError).halt(),
    }
}

fn parse_path(path: &str) -> Option<(TaskRun, &str)> {
    let rest = path.strip_prefix("/v1/runs/")?;
    let mut parts = rest.split('/');
    let job = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    let attempt = Attempt(parts.next()?.parse().ok()?);
    let verb = parts.next().unwrap_or_default();
    let task = TaskId { job, index };
    Some((TaskRun { task, attempt }, verb))
}
