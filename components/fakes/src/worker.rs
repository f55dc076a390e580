//! A stand-in for the platform's worker on one VM.
//!
//! [`FakeWorker`] is a state machine that takes the time as an argument; [`serve`]
//! serves the worker's HTTP interface. A program is a line such as
//! `run=2000 use=500 fail`: its run time at full speed in milliseconds, the processor
//! time that it uses in thousandths of a core, and whether it fails.

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

/// Interval at which the served stand-in ends expired leases and finishes programs.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(20);
/// Factor by which a throttled program runs slower.
const THROTTLE_DIVISOR: u64 = 4;

/// The worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// The attempt doesn't fit on the VM in addition to the running ones.
    #[error("the free capacity is too small for the attempt")]
    InsufficientCapacity,
    /// The latest start time or the lease had passed.
    #[error("the latest start time or the lease has passed")]
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
struct RunState {
    reported: WorkerRun,
    program: Program,
    /// Run time at full speed that the program has completed, including the work in the
    /// checkpoint.
    work_done: Duration,
    /// Time up to which `work_done` is computed.
    advanced_to: Time,
}

/// The state of the stand-in.
#[derive(Debug)]
pub struct FakeWorker {
    vm: VmName,
    capacity: Resources,
    usage_lag: Duration,
    all_fail: bool,
    runs: BTreeMap<TaskRun, RunState>,
    history: History,
}

impl FakeWorker {
    /// Creates a worker on `vm` that records starts and stops in `history`.
    #[must_use]
    pub fn new(vm: VmName, capacity: Resources, history: History) -> Self {
        Self {
            vm,
            capacity,
            usage_lag: Duration::from_secs(5),
            all_fail: false,
            runs: BTreeMap::new(),
            history,
        }
    }

    /// Sets whether every program fails immediately.
    pub fn set_all_fail(&mut self, on: bool) {
        self.all_fail = on;
    }

    /// Sets the age of the measured usage that the worker reports.
    pub fn set_usage_lag(&mut self, lag: Duration) {
        self.usage_lag = lag;
    }

    /// Stops and forgets all runs, as when the VM is replaced.
    pub fn lose_all_runs(&mut self, now: Time) {
        self.advance(now);
        let lost: Vec<TaskRun> = self
            .live_runs()
            .map(|state| state.reported.run.clone())
            .collect();
        for run in lost {
            self.end(&run, TaskPhase::Stopped, now);
        }
        self.runs.clear();
    }

    fn live_runs(&self) -> impl Iterator<Item = &RunState> {
        self.runs
            .values()
            .filter(|state| is_live(state.reported.phase))
    }

    fn reserved_sum(&self) -> Resources {
        self.live_runs().fold(Resources::NONE, |sum, state| {
            sum.plus(state.reported.reserved)
        })
    }

    /// Starts an attempt; does nothing if the worker already has it.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if the attempt doesn't fit or its start is too late.
    pub fn start(&mut self, now: Time, run: &TaskRun, start: StartRun) -> Result<(), StartError> {
        self.advance(now);
        if self.runs.contains_key(run) {
            return Ok(());
        }
        if start.start_until.passed(now) || start.lease_until.passed(now) {
            return Err(StartError::TooLate);
        }
        if !self.reserved_sum().plus(start.reserved).fits(self.capacity) {
            return Err(StartError::InsufficientCapacity);
        }
        let done_millis = start
            .checkpoint
            .as_ref()
            .and_then(|checkpoint| checkpoint.0.parse().ok())
            .unwrap_or(0);
        let state = RunState {
            reported: WorkerRun {
                run: run.clone(),
                phase: TaskPhase::Running,
                reserved: start.reserved,
                checkpoint: start.checkpoint,
                lease_until: start.lease_until,
                used: None,
                measured_at: now,
            },
            program: Program::parse(&start.program),
            work_done: Duration::from_millis(done_millis),
            advanced_to: now,
        };
        self.runs.insert(run.clone(), state);
        self.history.add(Record::Started {
            at: now,
            run: run.clone(),
            vm: self.vm.clone(),
            reserved: start.reserved,
            resumed_millis: done_millis,
        });
        Ok(())
    }

    /// Extends the lease of an attempt; never shortens it.
    pub fn renew(&mut self, now: Time, run: &TaskRun, renew: RenewRun) {
        self.advance(now);
        if let Some(state) = self.runs.get_mut(run) {
            state.reported.lease_until = state.reported.lease_until.max(renew.lease_until);
        }
    }

    /// Throttles an attempt, or ends its throttling.
    pub fn throttle(&mut self, now: Time, run: &TaskRun, throttle: ThrottleRun) {
        self.advance(now);
        let Some(state) = self.runs.get_mut(run) else {
            return;
        };
        match (state.reported.phase, throttle.on) {
            (TaskPhase::Running, true) => state.reported.phase = TaskPhase::Throttled,
            (TaskPhase::Throttled, false) => state.reported.phase = TaskPhase::Running,
            _ => {}
        }
    }

    /// Checkpoints and stops an attempt. Returns its state, `None` if it is unknown.
    pub fn evict(&mut self, now: Time, run: &TaskRun) -> Option<WorkerRun> {
        self.advance(now);
        let state = self.runs.get_mut(run)?;
        if is_live(state.reported.phase) {
            let work_done = state.work_done.as_millis().to_string();
            state.reported.checkpoint = Some(Checkpoint(work_done));
            self.end(run, TaskPhase::Stopped, now);
        }
        self.runs.get(run).map(|state| state.reported.clone())
    }

    /// Stops an attempt without a checkpoint. Returns its state, `None` if it is unknown.
    pub fn stop(&mut self, now: Time, run: &TaskRun) -> Option<WorkerRun> {
        self.advance(now);
        if is_live(self.runs.get(run)?.reported.phase) {
            self.end(run, TaskPhase::Stopped, now);
        }
        self.runs.get(run).map(|state| state.reported.clone())
    }

    /// Forgets an ended attempt.
    pub fn forget(&mut self, run: &TaskRun) {
        let ended = self
            .runs
            .get(run)
            .is_some_and(|state| !is_live(state.reported.phase));
        if ended {
            self.runs.remove(run);
        }
    }

    /// Returns the live attempts and the ended ones that are not forgotten.
    pub fn list(&mut self, now: Time) -> Vec<WorkerRun> {
        self.advance(now);
        let lag = self.usage_lag;
        let to_report = |state: &RunState| {
            let mut reported = state.reported.clone();
            if is_live(reported.phase) {
                reported.used = Some(Resources {
                    cpu_milli: state.program.used_milli,
                    ..reported.reserved
                });
                reported.measured_at = now - lag;
            }
            reported
        };
        self.runs.values().map(to_report).collect()
    }

    /// Advances programs and ends expired leases up to `now`.
    pub fn advance(&mut self, now: Time) {
        let mut ended = Vec::new();
        for (run, state) in &mut self.runs {
            if !is_live(state.reported.phase) {
                continue;
            }
            if let Some(end) = advance_run(state, now, self.all_fail) {
                ended.push((run.clone(), end));
            }
        }
        for (run, (phase, at)) in ended {
            self.end(&run, phase, at);
        }
    }

    fn end(&mut self, run: &TaskRun, phase: TaskPhase, at: Time) {
        let Some(state) = self.runs.get_mut(run) else {
            return;
        };
        state.reported.phase = phase;
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

/// Advances a run to `now` or to the end of its lease. Returns the phase and time of
/// its end, `None` if it goes on.
fn advance_run(state: &mut RunState, now: Time, fails: bool) -> Option<(TaskPhase, Time)> {
    let until = now.min(state.reported.lease_until);
    let elapsed = until.since(state.advanced_to);
    let divisor = match state.reported.phase {
        TaskPhase::Throttled => THROTTLE_DIVISOR,
        _ => 1,
    };
    let remaining = state.program.run.saturating_sub(state.work_done);
    let needed = remaining * u32::try_from(divisor).unwrap_or(1);
    if fails || needed <= elapsed {
        let at = if fails {
            until
        } else {
            state.advanced_to + needed
        };
        let failed = fails || state.program.fails;
        let phase = if failed {
            TaskPhase::Failed
        } else {
            TaskPhase::Succeeded
        };
        return Some((phase, at));
    }
    state.work_done += elapsed / u32::try_from(divisor).unwrap_or(1);
    state.advanced_to = until;
    state
        .reported
        .lease_until
        .passed(now)
        .then_some((TaskPhase::Stopped, until))
}

/// A stand-in shared between a test and the server of its interface.
#[derive(Clone, Debug)]
pub struct SharedWorker {
    worker: Arc<Mutex<FakeWorker>>,
    clock: Clock,
}

impl SharedWorker {
    /// Shares `worker`, which takes its time from `clock`.
    #[must_use]
    pub fn new(worker: FakeWorker, clock: Clock) -> Self {
        Self {
            worker: Arc::new(Mutex::new(worker)),
            clock,
        }
    }

    /// Locks the state, to inspect it or to inject faults.
    pub fn lock(&self) -> MutexGuard<'_, FakeWorker> {
        self.worker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current time of the worker's clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }
}

/// Serves the worker's HTTP interface on `listener` until the future is dropped.
pub fn serve(listener: TcpListener, worker: SharedWorker) -> impl Future<Output = ()> + Send {
    let advancing = worker.clone();
    let advance_loop = async move {
        loop {
            smol::Timer::after(ADVANCE_INTERVAL).await;
            let now = advancing.now();
            advancing.lock().advance(now);
        }
    };
    let server = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_prebound_server(listener)
        .run_async(move |conn: Conn| {
            let worker = worker.clone();
            async move { handle_request(conn, &worker).await }
        });
    futures_lite::future::or(server, advance_loop)
}

async fn handle_request(mut conn: Conn, worker: &SharedWorker) -> Conn {
    let path = conn.path().to_owned();
    let method = conn.method().as_str().to_owned();
    let Ok(body) = conn.request_body_string().await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    if path == "/v1/runs" {
        let list = worker.lock().list(worker.now());
        return json_response(conn, &list);
    }
    let Some((run, verb)) = parse_path(&path) else {
        return conn.with_status(Status::NotFound).halt();
    };
    handle_run_request(conn, worker, &method, &run, verb, &body)
}

fn handle_run_request(
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
        ("POST", "evict") => run_response(conn, worker.evict(now, run)),
        ("POST", "stop") => run_response(conn, worker.stop(now, run)),
        ("DELETE", "") => {
            worker.forget(run);
            conn.with_status(Status::Ok).halt()
        }
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn run_response(conn: Conn, run: Option<WorkerRun>) -> Conn {
    match run {
        Some(run) => json_response(conn, &run),
        None => conn.with_status(Status::NotFound).halt(),
    }
}

fn json_response(conn: Conn, value: &impl serde::Serialize) -> Conn {
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
