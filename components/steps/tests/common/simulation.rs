//! Simulation of owners, agents and workers in virtual time, with random faults from a
//! seed.
//!
//! Invariants on tasks are checked when a worker starts a run and when a job
//! completes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kernel::{JobName, Resources, Time, VmName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use steps::{
    AgentState, Event, Job, Outcome, Owner, Progress, Step, TaskKey, Timing,
    agent::{Heartbeat, PollError, PollReply, StartGrant, WorkerPoll},
    message::{AgentReport, OrderResult, Orders, OrdersReply, Refusal, ReportPoll, RunEnd, RunKey},
    owner::{Handover, PollFailure, RecordWrite},
};

use super::{
    config, entry, vm,
    worker::{SimulatedWorker, Token, token},
    worker_info,
};

const TICK: Duration = Duration::from_millis(10);
const POLL_INTERVAL: Duration = Duration::from_millis(40);
const REPORT_POLL_TIMEOUT: Duration = Duration::from_millis(400);
const POWER_LOSS: Duration = Duration::from_millis(500);
/// Time from the start of a task that crashes workers to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(20);
/// Number of starts that break the rule for a task under which `MOST_CRASHES` workers crashed.
const TOO_MANY_STARTS: u32 = 3;
const MOST_CRASHES: u32 = 3;
/// Rate of heartbeats that no worker has sent, to each agent.
const ODD_HEARTBEATS_PER_SECOND: f64 = 0.5;

/// Messages in transit and timers. The first number is the epoch of the owner, except
/// in `DelayedStart`.
enum Message {
    ReportPoll(u64, VmName, Box<ReportPoll>),
    Report(u64, VmName, Box<AgentReport>),
    ReportTimeout(u64, VmName),
    Orders(u64, VmName, Box<Orders>),
    OrdersAnswered(u64, VmName, Box<Orders>, Option<OrdersReply>),
    /// A start order that reaches the worker late: VM, name of the worker, run, fencing
    /// token, end of the lease by the worker's clock.
    DelayedStart(VmName, Arc<str>, RunKey, Token, u64),
    RecordsWritten(u64, u64, Vec<RecordWrite>),
    /// The answer to a write of records, with their revisions.
    WriteAnswered(u64, u64, Vec<(JobName, i64)>),
    /// An owner hears of an accepted job.
    News(u64, JobName),
    /// Admitted orders reach the worker.
    Execute(u64, VmName, Box<Orders>, Admission),
    /// The agent hears of the outcome of orders.
    Settle(u64, VmName, Box<Orders>, Settlement),
    /// A poll reaches the worker late, and its reply is lost.
    LatePoll(VmName, WorkerPoll),
    /// The reply to a poll reaches the agent late. The number is the agent's incarnation.
    LateReply(VmName, u64, WorkerPoll, PollReply),
    /// A worker's departure: its name, and the start of its incarnation if the call names it.
    Departure(VmName, Arc<str>, Option<u64>),
    /// The worker crashes, unless its incarnation has ended before.
    Crash(VmName, u64),
    /// The owner crashes, if it has this epoch.
    LoseOwner(u64),
    Elect,
}

/// The agent's answer to each start of an order, and the agent's incarnation.
struct Admission {
    agent_incarnation: u64,
    is_accepted: bool,
    grants: Vec<Result<StartGrant, Refusal>>,
}

/// Outcome of orders, and the incarnation of the agent that sent them to the worker.
struct Settlement {
    agent_incarnation: u64,
    is_admitted: Vec<bool>,
    starts: Vec<OrderResult>,
    stops: Vec<OrderResult>,
}

/// A successful end: VM, start of the worker's incarnation, number of the end.
type DoneEnd = (VmName, u64, u64);

/// A task that started again after it was done.
struct Restart {
    task: TaskKey,
    at: Time,
    end: DoneEnd,
}

/// What late calls and news may reach.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    /// Whether an owner that is cut off from the store hears of jobs all the same.
    pub(crate) isolated_owner: bool,
    /// Whether a worker may restart under its name, so that calls for the earlier incarnation
    /// reach the next one.
    pub(crate) next_incarnation: bool,
    /// Whether an owner that is cut off from the store is cut off together with one VM, which
    /// it alone reaches.
    pub(crate) zone_of_owner: bool,
}

/// Calls that arrive late or overtake each other, and jobs of which owners hear late.
struct LateCalls {
    rng: ChaCha8Rng,
    /// Times of the successful ends.
    done_at: BTreeMap<DoneEnd, Time>,
    /// Starts that break a rule if the end is taken note of.
    restarts: Vec<Restart>,
    /// Ends that are taken note of.
    noted: BTreeSet<DoneEnd>,
    reach: Reach,
}

impl LateCalls {
    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }
}

/// Process that is lost with each worker that a task crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LostProcess {
    Nothing,
    Owner,
    Agent,
}

/// Content of the store for one job.
#[derive(Clone)]
struct Stored {
    job: Arc<Job>,
    progress: Option<(Progress, i64)>,
    outcome: Option<Outcome>,
    cancelled: bool,
}

struct Machine {
    agent: AgentState,
    worker: SimulatedWorker,
    disconnected_until: Time,
    next_poll: Time,
    next_heartbeat: Time,
    incarnations: u64,
}

/// An owner that is cut off from the store, at first also paused.
struct IsolatedOwner {
    owner: Owner,
    resumes_at: Time,
    until: Time,
    /// By how much its clock is behind, since it stood still during the pause.
    behind: Duration,
}

pub(crate) struct Faults {
    /// Whether workers refuse calls with a lower fencing token than they have seen.
    pub(crate) fencing: bool,
    /// Probability of each kind of fault per second.
    pub(crate) per_second: f64,
    /// Time after which no more faults occur.
    pub(crate) until: Time,
}

impl Faults {
    fn worker(&self, worker: SimulatedWorker) -> SimulatedWorker {
        match self.fencing {
            true => worker,
            false => worker.without_fencing(),
        }
    }
}

pub(crate) struct Simulation {
    rng: ChaCha8Rng,
    pub(crate) now: Time,
    timing: Timing,
    faults: Faults,
    messages: Vec<(Time, Message)>,
    owner: Option<Owner>,
    /// VMs to which a report poll of the owner is in progress.
    polled_vms: BTreeSet<VmName>,
    /// Whether a write of records is in progress.
    writing: bool,
    isolated_owner: Option<IsolatedOwner>,
    /// Note of the last owner that stopped in an orderly way.
    handover: Option<Handover>,
    epoch: u64,
    revision: i64,
    store: BTreeMap<JobName, Stored>,
    store_down_until: Time,
    machines: BTreeMap<VmName, Machine>,
    /// Successful ends by task.
    done: BTreeMap<TaskKey, Vec<DoneEnd>>,
    recorded_done: BTreeSet<TaskKey>,
    /// Jobs whose tasks always fail.
    poison: BTreeSet<JobName>,
    /// Tasks that crash each worker that starts them: crashes so far, and starts after
    /// `MOST_CRASHES` of them.
    deadly: BTreeMap<TaskKey, (u32, u32)>,
    /// Tasks whose workers crash by themselves after this many starts.
    unlucky: BTreeMap<TaskKey, u32>,
    /// Worker that crashes after each start, whichever task it is.
    pub(crate) faulty_vm: Option<VmName>,
    /// How long a crashed worker is down.
    pub(crate) crash_span: Duration,
    pub(crate) lost_with_worker: LostProcess,
    /// When all machines lose power for half a second.
    pub(crate) power_losses: Vec<Time>,
    /// Number of the crash under each task after which the owner is lost, and after what time.
    pub(crate) owner_lost_after: Option<(u32, Duration)>,
    /// Further faults, drawn from a generator of their own; `None` if there are none.
    late: Option<LateCalls>,
    /// Draws the heartbeats that no worker has sent; `None` if there are none.
    other_writer: Option<ChaCha8Rng>,
    pub(crate) violations: Vec<String>,
    pub(crate) starts: usize,
}

impl Simulation {
    pub(crate) fn new(seed: u64, machines: usize, faults: Faults) -> Self {
        let now = Time::from_secs(1_000);
        let timing = Timing::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut machines_by_vm = BTreeMap::new();
        for number in 0..machines {
            let rate = rng.random_range(0.985..=1.0);
            let machine = Machine {
                agent: AgentState::new(timing, now),
                worker: faults.worker(SimulatedWorker::new(
                    worker_info(&format!("w-{number}-0"), 1),
                    now,
                    rate,
                )),
                disconnected_until: Time::ZERO,
                next_poll: now,
                next_heartbeat: now,
                incarnations: 1,
            };
            machines_by_vm.insert(vm(number), machine);
        }
        Self {
            rng,
            now,
            timing,
            faults,
            messages: vec![(now, Message::Elect)],
            owner: None,
            polled_vms: BTreeSet::new(),
            writing: false,
            isolated_owner: None,
            handover: None,
            epoch: 0,
            revision: 0,
            store: BTreeMap::new(),
            store_down_until: Time::ZERO,
            machines: machines_by_vm,
            done: BTreeMap::new(),
            recorded_done: BTreeSet::new(),
            poison: BTreeSet::new(),
            deadly: BTreeMap::new(),
            unlucky: BTreeMap::new(),
            faulty_vm: None,
            crash_span: Duration::from_secs(3),
            lost_with_worker: LostProcess::Nothing,
            power_losses: Vec::new(),
            owner_lost_after: None,
            late: None,
            other_writer: None,
            violations: Vec::new(),
            starts: 0,
        }
    }

    /// Adds late and overtaking calls, and late news of jobs.
    pub(crate) fn with_late_calls(mut self, seed: u64, reach: Reach) -> Self {
        self.late = Some(LateCalls {
            rng: ChaCha8Rng::seed_from_u64(seed),
            done_at: BTreeMap::new(),
            restarts: Vec::new(),
            noted: BTreeSet::new(),
            reach,
        });
        self
    }

    /// Adds heartbeats that no worker has sent.
    pub(crate) fn with_other_writer(mut self, seed: u64) -> Self {
        self.other_writer = Some(ChaCha8Rng::seed_from_u64(seed));
        self
    }

    /// Sends agents heartbeats of incarnations that do not exist.
    fn send_odd_heartbeats(&mut self) {
        let Some(rng) = &mut self.other_writer else {
            return;
        };
        if self.faults.until.passed(self.now) {
            return;
        }
        for machine in self.machines.values_mut() {
            if !rng.random_bool(ODD_HEARTBEATS_PER_SECOND * TICK.as_secs_f64()) {
                continue;
            }
            let mut info = machine.worker.info.clone();
            let incarnation = &mut info.incarnation;
            if rng.random_bool(0.5) {
                incarnation.worker = "w-odd".into();
            }
            incarnation.started_at += rng.random_range(1..40);
            let sequence = rng.random_range(1..1_000);
            machine.agent.apply_heartbeat(Heartbeat { info, sequence });
        }
    }

    pub(crate) fn submit(&mut self, job: Arc<Job>, is_poison: bool) {
        if is_poison {
            self.poison.insert(job.name.clone());
        }
        let stored = Stored {
            job: Arc::clone(&job),
            progress: None,
            outcome: None,
            cancelled: false,
        };
        self.store.insert(job.name.clone(), stored);
        if self.late.is_some() {
            return self.spread_news(&job.name);
        }
        let progress = None;
        self.handle_event(Event::Job { job, progress });
    }

    /// Tells each owner of an accepted job after a delay of its own.
    fn spread_news(&mut self, name: &JobName) {
        let late = self.late.as_ref();
        let reaches_isolated = late.is_some_and(|late| late.reach.isolated_owner);
        let isolated = self.isolated_owner.as_ref().filter(|_| reaches_isolated);
        let isolated = isolated.map(|isolated| &isolated.owner);
        let owners = self.owner.iter().chain(isolated);
        let epochs: Vec<u64> = owners.map(Owner::epoch).collect();
        for epoch in epochs {
            self.send_news(epoch, name);
        }
    }

    fn send_news(&mut self, epoch: u64, name: &JobName) {
        let Some(late) = &mut self.late else {
            return;
        };
        let delay = match late.chance(0.7) {
            true => late.millis(1..60),
            false => late.millis(60..3_000),
        };
        self.send(delay, Message::News(epoch, name.clone()));
    }

    /// Tells an owner of a job as it is in the store now; a cancellation follows.
    fn on_news(&mut self, epoch: u64, name: &JobName) {
        let Some(stored) = self.store.get(name).cloned() else {
            return;
        };
        if let Some(outcome) = stored.outcome {
            return self.handle_event_of(epoch, Event::Ended(name.clone(), outcome));
        }
        let (job, progress) = (stored.job, None);
        self.handle_event_of(epoch, Event::Job { job, progress });
        if stored.cancelled {
            self.handle_event_of(epoch, Event::Cancelled(name.clone()));
        }
    }

    /// Makes a task crash each worker that starts it.
    pub(crate) fn make_deadly(&mut self, task: TaskKey) {
        self.deadly.insert(task, (0, 0));
    }

    /// Lets the worker of each of the first starts of a task crash by itself.
    pub(crate) fn make_unlucky(&mut self, task: TaskKey, crashes: u32) {
        self.unlucky.insert(task, crashes);
    }

    /// Changes the capacity of a worker, of which its next heartbeat tells.
    pub(crate) fn resize(&mut self, name: &VmName, capacity: Resources) {
        let machine = self.machines.get_mut(name).unwrap();
        machine.worker.info.capacity = capacity;
    }

    pub(crate) fn cancel(&mut self, name: &JobName) {
        if let Some(stored) = self.store.get_mut(name) {
            stored.cancelled = true;
        }
        self.handle_event(Event::Cancelled(name.clone()));
    }

    pub(crate) fn outcome(&self, name: &JobName) -> Option<Outcome> {
        self.store.get(name).and_then(|stored| stored.outcome)
    }

    pub(crate) fn run_until(&mut self, end: Time) {
        while !end.passed(self.now) {
            self.now = self.now + TICK;
            self.inject_faults();
            if self.power_losses.contains(&self.now) {
                self.crash_all_workers(POWER_LOSS, true);
            }
            self.deliver();
            self.send_odd_heartbeats();
            self.advance_workers();
            self.handle_event(Event::Tick);
            self.run_owners();
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        if let Some(owner) = &mut self.owner {
            owner.handle(now, now, event);
        }
    }

    fn send(&mut self, after: Duration, message: Message) {
        self.messages.push((self.now + after, message));
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..30))
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// Injects faults at random.
    fn inject_faults(&mut self) {
        if self.faults.until.passed(self.now) {
            return;
        }
        let probability = self.faults.per_second * TICK.as_secs_f64();
        let secs = |rng: &mut ChaCha8Rng, max_secs: f64| {
            Duration::from_secs_f64(rng.random_range(0.2..max_secs))
        };
        if self.chance(probability) {
            self.lose_owner();
        }
        if self.chance(probability) {
            self.store_down_until = self.now + secs(&mut self.rng, 4.0);
        }
        let names: Vec<VmName> = self.machines.keys().cloned().collect();
        let (epoch, store_down_until) = (self.epoch, self.store_down_until);
        for name in names {
            let now = self.now;
            let (disconnect, unresponsive, crash, restart) = (
                self.chance(probability),
                self.chance(probability),
                self.chance(probability),
                self.chance(probability),
            );
            let span = secs(&mut self.rng, 9.0);
            let rate = self.rng.random_range(0.985..=1.0);
            let timing = self.timing;
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            if disconnect {
                machine.disconnected_until = now + span;
            }
            if unresponsive {
                machine.worker.unresponsive_until = now + span;
            }
            if crash {
                self.crash_worker(&name, Duration::ZERO, rate);
            }
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            if restart {
                machine.agent = AgentState::new(timing, now);
                machine.agent.observe_epoch(epoch);
                // An agent reads the epoch before it serves owners.
                machine.disconnected_until = machine.disconnected_until.max(store_down_until);
            }
        }
    }

    /// Replaces the worker of a VM by one that answers after `down`.
    pub(crate) fn crash_worker(&mut self, name: &VmName, down: Duration, rate: f64) {
        let now = self.now;
        let machine = self.machines.get_mut(name).unwrap();
        machine.incarnations += 1;
        let incarnation = machine.incarnations;
        let mut fresh = worker_info(&format!("w-{name}-{incarnation}"), incarnation);
        let earlier = machine.worker.info.incarnation.clone();
        if let Some(late) = &mut self.late
            && late.reach.next_incarnation
            && late.chance(0.5)
        {
            fresh.incarnation.worker = Arc::clone(&earlier.worker);
        }
        let worker = SimulatedWorker::new(fresh, now, rate);
        machine.worker = self.faults.worker(worker);
        machine.worker.unresponsive_until = now + down;
        if let Some(late) = &mut self.late
            && late.chance(0.1)
        {
            let delay = late.millis(1..2_000);
            let started_at = late.chance(0.5).then_some(earlier.started_at);
            let departure = Message::Departure(name.clone(), earlier.worker, started_at);
            self.send(delay, departure);
        }
    }

    /// Plans the crash of a worker that has just started this run.
    fn plan_crash(&mut self, name: &VmName, task: &TaskKey) {
        let crashes_left = self.unlucky.get_mut(task).filter(|crashes| **crashes > 0);
        let is_unlucky = crashes_left.map(|crashes| *crashes -= 1).is_some();
        let is_faulty = is_unlucky || self.faulty_vm.as_ref() == Some(name);
        let deadly = self.deadly.get_mut(task);
        if !is_faulty && deadly.is_none() {
            return;
        }
        let mut crash_number = 0;
        if let Some((crashes, starts)) = deadly {
            *starts += u32::from(*crashes >= MOST_CRASHES);
            *crashes += 1;
            crash_number = *crashes;
            if *starts >= TOO_MANY_STARTS {
                let (at, starts) = (self.now, *starts);
                self.violations.push(format!(
                    "{at}: {task} started {starts} times after {MOST_CRASHES} crashes"
                ));
            }
        }
        let started_at = self.machines[name].worker.info.incarnation.started_at;
        self.send(CRASH_AFTER, Message::Crash(name.clone(), started_at));
        if let Some((number, after)) = self.owner_lost_after
            && number == crash_number
        {
            self.send(CRASH_AFTER + after, Message::LoseOwner(self.epoch));
        }
        match self.lost_with_worker {
            LostProcess::Nothing => {}
            LostProcess::Owner => self.crash_owner(),
            LostProcess::Agent => {
                let machine = self.machines.get_mut(name).unwrap();
                machine.agent = AgentState::new(self.timing, self.now);
                machine.agent.observe_epoch(self.epoch);
            }
        }
    }

    /// Crashes all workers, and with them the agents if `are_agents_lost`, for a while.
    pub(crate) fn crash_all_workers(&mut self, down: Duration, are_agents_lost: bool) {
        let names: Vec<VmName> = self.machines.keys().cloned().collect();
        for name in names {
            self.crash_worker(&name, down, 1.0);
            if !are_agents_lost {
                continue;
            }
            let machine = self.machines.get_mut(&name).unwrap();
            machine.agent = AgentState::new(self.timing, self.now);
            machine.agent.observe_epoch(self.epoch);
            machine.disconnected_until = self.now + down;
        }
    }

    pub(crate) fn crash_owner(&mut self) {
        self.owner = None;
        self.polled_vms.clear();
        self.writing = false;
        self.send(Duration::from_millis(500), Message::Elect);
    }

    /// Removes the owner: it stops in an orderly way, is cut off from the store, or
    /// crashes.
    fn lose_owner(&mut self) {
        let Some(owner) = self.owner.take() else {
            return;
        };
        if self.chance(0.3) {
            // The note leaves out the last records, which the owner may not have had
            // time to write.
            self.handover = Some(owner.handover(self.now));
        } else if self.chance(0.5) {
            let mut pause = Duration::ZERO;
            if self.chance(0.5) {
                pause = Duration::from_millis(self.rng.random_range(300..9_000));
            }
            let behind = [Duration::ZERO, pause][usize::from(self.chance(0.5))];
            self.isolated_owner = Some(IsolatedOwner {
                owner,
                resumes_at: self.now + pause,
                until: self.now + behind + self.timing.ownership,
                behind,
            });
        }
        self.polled_vms.clear();
        self.writing = false;
        let pause = Duration::from_millis(self.rng.random_range(300..3_000));
        self.send(pause, Message::Elect);
    }

    fn elect(&mut self) {
        if !self.store_down_until.passed(self.now) {
            self.send(Duration::from_millis(200), Message::Elect);
            return;
        }
        self.epoch += 1;
        let mut owner = Owner::new(entry(self.epoch), self.epoch, self.timing, self.now);
        let now = self.now;
        owner.handle(now, now, Event::Config(config()));
        if let Some(handover) = self.handover.clone() {
            owner.handle(now, now, Event::HandedOver(handover));
        }
        for (name, stored) in &self.store {
            if let Some(outcome) = stored.outcome {
                owner.handle(now, now, Event::Ended(name.clone(), outcome));
                continue;
            }
            let job = Arc::clone(&stored.job);
            let progress = stored.progress.clone();
            owner.handle(now, now, Event::Job { job, progress });
            if stored.cancelled {
                owner.handle(now, now, Event::Cancelled(name.clone()));
            }
        }
        for name in self.machines.keys() {
            owner.handle(now, now, Event::Vm(name.clone()));
        }
        owner.handle(now, now, Event::JobsLoaded);
        self.owner = Some(owner);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut later = Vec::new();
        for (at, message) in std::mem::take(&mut self.messages) {
            match at.passed(now) {
                true => due.push((at, message)),
                false => later.push((at, message)),
            }
        }
        self.messages = later;
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            self.receive(message);
        }
    }

    fn is_current(&self, epoch: u64) -> bool {
        self.owner
            .as_ref()
            .is_some_and(|owner| owner.epoch() == epoch)
    }

    /// Passes an event to the owner or isolated owner of that epoch.
    fn handle_event_of(&mut self, epoch: u64, event: Event) {
        let now = self.now;
        if self.is_current(epoch) {
            self.handle_event(event);
        } else if let Some(isolated) = &mut self.isolated_owner
            && isolated.owner.epoch() == epoch
            && isolated.resumes_at.passed(now)
        {
            let its_now = Time(now.0 - isolated.behind.as_micros() as u64);
            isolated.owner.handle(its_now, now, event);
        }
    }

    /// Whether a zone that is cut off lies between the owner of this epoch and a VM.
    fn is_cut_off(&self, epoch: u64, name: &VmName) -> bool {
        let late = self.late.as_ref();
        let has_zone = late.is_some_and(|late| late.reach.zone_of_owner);
        let isolated = self.isolated_owner.as_ref().filter(|_| has_zone);
        isolated.is_some_and(|isolated| {
            let is_inside = isolated.owner.epoch() == epoch;
            is_inside != (*name == vm(0))
        })
    }

    fn receive(&mut self, message: Message) {
        let delay = self.delay();
        let is_lost = !self.faults.until.passed(self.now) && self.chance(0.01);
        match message {
            Message::Elect => self.elect(),
            Message::Crash(name, started_at) => {
                if self.machines[&name].worker.info.incarnation.started_at == started_at {
                    self.crash_worker(&name, self.crash_span, 1.0);
                }
            }
            Message::LoseOwner(epoch) => {
                if self.is_current(epoch) {
                    self.crash_owner();
                }
            }
            Message::ReportPoll(epoch, name, poll) => {
                let now = self.now;
                let is_lost = is_lost || self.is_cut_off(epoch, &name);
                let machine = self.machines.get_mut(&name).unwrap();
                if !machine.disconnected_until.passed(now) || is_lost {
                    return self.send(REPORT_POLL_TIMEOUT, Message::ReportTimeout(epoch, name));
                }
                machine.agent.accept_poll(now, &poll);
                let report = Box::new(machine.agent.report_for(now, &poll));
                self.send(delay, Message::Report(epoch, name, report));
            }
            Message::Report(epoch, name, report) => {
                self.polled_vms.remove(&name);
                self.handle_event_of(epoch, Event::Report { vm: name, report });
            }
            Message::ReportTimeout(epoch, name) => {
                self.polled_vms.remove(&name);
                self.handle_event_of(epoch, Event::Unreachable(name, PollFailure::default()));
            }
            Message::Orders(epoch, name, orders) => self.on_orders(epoch, name, orders, is_lost),
            Message::OrdersAnswered(epoch, vm, orders, reply) => {
                self.handle_event_of(epoch, Event::OrdersAnswered { vm, orders, reply });
            }
            Message::DelayedStart(name, worker, key, token, until) => {
                // A worker refuses orders that are meant for another one.
                if self.machines[&name].worker.info.incarnation.worker == worker {
                    self.start_run(&name, &key, token, until);
                }
            }
            Message::RecordsWritten(epoch, last, changes) => self.on_written(epoch, last, changes),
            Message::WriteAnswered(epoch, last, written) => {
                self.on_write_answered(epoch, last, &written);
            }
            Message::News(epoch, name) => self.on_news(epoch, &name),
            Message::Execute(epoch, name, orders, admission) => {
                self.execute(epoch, name, orders, &admission);
            }
            Message::Settle(epoch, name, orders, settlement) => {
                self.settle(epoch, name, orders, settlement, is_lost);
            }
            Message::LatePoll(name, poll) => {
                let now = self.now;
                let machine = self.machines.get_mut(&name).unwrap();
                let _lost = machine.worker.poll(now, &poll);
            }
            Message::LateReply(name, agent_incarnation, poll, reply) => {
                let now = self.now;
                let machine = self.machines.get_mut(&name).unwrap();
                if machine.agent.incarnation() == agent_incarnation {
                    drop(machine.agent.apply_reply(now, &poll, reply));
                }
            }
            Message::Departure(name, worker, started_at) => {
                let machine = self.machines.get_mut(&name).unwrap();
                machine.agent.worker_left(&worker, started_at);
            }
        }
    }

    fn on_orders(&mut self, epoch: u64, name: VmName, orders: Box<Orders>, is_lost: bool) {
        let now = self.now;
        let delay = self.delay();
        if !self.machines[&name].disconnected_until.passed(now) || self.is_cut_off(epoch, &name) {
            return self.send(
                REPORT_POLL_TIMEOUT,
                Message::OrdersAnswered(epoch, name, orders, None),
            );
        }
        let is_accepted = self
            .machines
            .get_mut(&name)
            .unwrap()
            .agent
            .accept_header(now, &orders.header);
        if self.late.as_mut().is_some_and(|late| late.chance(0.4)) {
            return self.admit(epoch, name, orders, is_accepted);
        }
        let fenced = OrderResult::Refused(Refusal::Fenced);
        let mut starts = Vec::new();
        for start in &orders.starts {
            if !is_accepted {
                starts.push(fenced);
                continue;
            }
            let machine = self.machines.get_mut(&name).unwrap();
            let grant = match machine.agent.admit(now, &orders, &start.key) {
                Ok(grant) => grant,
                Err(refusal) => {
                    starts.push(OrderResult::Refused(refusal));
                    continue;
                }
            };
            if machine.worker.info.incarnation.worker != orders.incarnation.worker {
                let result = OrderResult::Refused(Refusal::Worker);
                machine.agent.settle_start(&start.key, result);
                starts.push(result);
                continue;
            }
            let is_unresponsive = !machine.worker.unresponsive_until.passed(now);
            let is_delayed = !self.faults.until.passed(now) && self.rng.random_bool(0.02);
            if is_unresponsive || is_delayed {
                let after = Duration::from_millis(self.rng.random_range(500..6_000));
                let key = start.key.clone();
                let worker = Arc::clone(&orders.incarnation.worker);
                let token = token(&orders.incarnation, grant.epoch);
                let until = grant.until_millis;
                let delayed = Message::DelayedStart(name.clone(), worker, key, token, until);
                self.send(after, delayed);
                starts.push(OrderResult::Unsettled);
                continue;
            }
            let token = token(&orders.incarnation, grant.epoch);
            let result = self.start_run(&name, &start.key, token, grant.until_millis);
            self.check_capacity(&name, &start.key);
            let machine = self.machines.get_mut(&name).unwrap();
            machine.agent.settle_start(&start.key, result);
            starts.push(result);
        }
        let machine = self.machines.get_mut(&name).unwrap();
        let mut stops = Vec::new();
        for key in &orders.stops {
            let is_same = machine.worker.info.incarnation.worker == orders.incarnation.worker;
            let result = match () {
                () if !is_accepted => fenced,
                () if !machine.worker.unresponsive_until.passed(now) => OrderResult::Unsettled,
                () if !is_same => OrderResult::Refused(Refusal::Worker),
                () => {
                    machine
                        .worker
                        .stop(now, key, token(&orders.incarnation, orders.header.epoch))
                }
            };
            machine.agent.settle_stop(key, result);
            stops.push(result);
        }
        let reply = OrdersReply {
            agent_incarnation: machine.agent.incarnation(),
            epoch: machine.agent.epoch(),
            poll: machine.agent.last_poll_number(),
            starts,
            stops,
        };
        let reply = (!is_lost).then_some(reply);
        self.send(delay, Message::OrdersAnswered(epoch, name, orders, reply));
    }

    /// Lets the agent admit orders that reach the worker a little later.
    fn admit(&mut self, epoch: u64, name: VmName, orders: Box<Orders>, is_accepted: bool) {
        let now = self.now;
        let agent = &mut self.machines.get_mut(&name).unwrap().agent;
        let mut grants = Vec::new();
        for start in &orders.starts {
            grants.push(match is_accepted {
                true => agent.admit(now, &orders, &start.key),
                false => Err(Refusal::Fenced),
            });
        }
        let admission = Admission {
            agent_incarnation: agent.incarnation(),
            is_accepted,
            grants,
        };
        let delay = self.slow_delay();
        self.send(delay, Message::Execute(epoch, name, orders, admission));
    }

    fn slow_delay(&mut self) -> Duration {
        let late = self.late.as_mut();
        late.map_or(Duration::ZERO, |late| late.millis(1..150))
    }

    /// Carries out admitted orders.
    fn execute(&mut self, epoch: u64, name: VmName, orders: Box<Orders>, admission: &Admission) {
        let now = self.now;
        let worker = &self.machines[&name].worker;
        let is_same = worker.info.incarnation.worker == orders.incarnation.worker;
        let is_responsive = worker.unresponsive_until.passed(now);
        let mut starts = Vec::new();
        for (start, grant) in orders.starts.iter().zip(&admission.grants) {
            starts.push(match grant {
                Err(refusal) => OrderResult::Refused(*refusal),
                Ok(_) if !is_same => OrderResult::Refused(Refusal::Worker),
                Ok(_) if !is_responsive => OrderResult::Unsettled,
                Ok(grant) => {
                    let token = token(&orders.incarnation, grant.epoch);
                    self.start_run(&name, &start.key, token, grant.until_millis)
                }
            });
        }
        let worker = &mut self.machines.get_mut(&name).unwrap().worker;
        let mut stops = Vec::new();
        for key in &orders.stops {
            stops.push(match () {
                () if !admission.is_accepted => OrderResult::Refused(Refusal::Fenced),
                () if !is_responsive => OrderResult::Unsettled,
                () if !is_same => OrderResult::Refused(Refusal::Worker),
                () => worker.stop(now, key, token(&orders.incarnation, orders.header.epoch)),
            });
        }
        let settlement = Settlement {
            agent_incarnation: admission.agent_incarnation,
            is_admitted: admission.grants.iter().map(Result::is_ok).collect(),
            starts,
            stops,
        };
        let delay = self.slow_delay();
        self.send(delay, Message::Settle(epoch, name, orders, settlement));
    }

    /// Lets the agent that sent orders to the worker answer the owner.
    fn settle(
        &mut self,
        epoch: u64,
        name: VmName,
        orders: Box<Orders>,
        settlement: Settlement,
        is_lost: bool,
    ) {
        let agent = &mut self.machines.get_mut(&name).unwrap().agent;
        let delay = Duration::from_millis(5);
        if agent.incarnation() != settlement.agent_incarnation {
            let answer = Message::OrdersAnswered(epoch, name, orders, None);
            return self.send(REPORT_POLL_TIMEOUT, answer);
        }
        let results = settlement.starts.iter().zip(&settlement.is_admitted);
        for (start, (result, is_admitted)) in orders.starts.iter().zip(results) {
            if *is_admitted {
                agent.settle_start(&start.key, *result);
            }
        }
        for (key, result) in orders.stops.iter().zip(&settlement.stops) {
            agent.settle_stop(key, *result);
        }
        let reply = OrdersReply {
            agent_incarnation: agent.incarnation(),
            epoch: agent.epoch(),
            poll: agent.last_poll_number(),
            starts: settlement.starts,
            stops: settlement.stops,
        };
        let reply = (!is_lost).then_some(reply);
        self.send(delay, Message::OrdersAnswered(epoch, name, orders, reply));
    }

    fn start_run(&mut self, name: &VmName, key: &RunKey, token: Token, until: u64) -> OrderResult {
        let now = self.now;
        let is_poison = self.poison.contains(&key.task.job);
        let step = usize::from(key.task.step);
        let stored = self.store.get(&key.task.job);
        let is_long_running = stored.is_some_and(|stored| stored.job.steps[step].long_running);
        let work = match is_long_running {
            true => 700 + u64::from(key.task.index % 5) * 9_000,
            false => 100 + u64::from(key.task.index % 5) * 120,
        };
        let machine = self.machines.get_mut(name).unwrap();
        let (result, is_new) = machine
            .worker
            .start(now, key, token, until, (work, is_poison));
        if is_new {
            self.starts += 1;
            self.check_start(name, key);
            self.plan_crash(name, &key.task);
        }
        result
    }

    /// Checks that a worker has room for a run that has just started, according to the last
    /// heartbeat.
    fn check_capacity(&mut self, name: &VmName, key: &RunKey) {
        let machine = &self.machines[name];
        let Some(worker) = machine.agent.worker() else {
            return;
        };
        let is_started_now = machine.worker.started_at(key) == Some(self.now);
        if !is_started_now || worker.incarnation != machine.worker.info.incarnation {
            return;
        }
        let need = |key: &RunKey| {
            let stored = self.store.get(&key.task.job);
            let step = stored.map(|stored| &stored.job.steps[usize::from(key.task.step)]);
            step.map(Step::reserved).unwrap_or_default()
        };
        let runs = machine.worker.runs();
        let reserved = runs.fold(Resources::NONE, |sum, key| sum.plus(need(key)));
        if !reserved.fits(worker.capacity) {
            let (at, capacity) = (self.now, worker.capacity);
            self.violations.push(format!(
                "{at}: {} brings {name} over its capacity: {reserved:?} of {capacity:?}",
                key.task
            ));
        }
    }

    /// Checks the invariants on a run that has just started.
    fn check_start(&mut self, name: &VmName, key: &RunKey) {
        let task = &key.task;
        let at = self.now;
        let Some(stored) = self.store.get(&task.job) else {
            self.violations.push(format!(
                "{at}: {task} started, but its job was never submitted"
            ));
            return;
        };
        let step = &stored.job.steps[usize::from(task.step)];
        for &after in &step.after {
            for index in 0..stored.job.steps[usize::from(after)].count {
                let mut before = task.clone();
                (before.step, before.index) = (after, index);
                if !self.done.contains_key(&before) {
                    self.violations
                        .push(format!("{at}: {task} started before {before} was done"));
                }
            }
        }
        if step.copies {
            return;
        }
        if let Some(late) = &mut self.late
            && !step.long_running
        {
            for end in self.done.get(task).into_iter().flatten() {
                late.restarts.push(Restart {
                    task: task.clone(),
                    at,
                    end: end.clone(),
                });
            }
        }
        // A long-running task starts again however it ends.
        if self.recorded_done.contains(task) && !step.long_running {
            self.violations
                .push(format!("{at}: {task} started after it was done"));
        }
        for (other, machine) in &self.machines {
            let mut runs = machine.worker.runs();
            if runs.any(|run| run.task == *task && (other != name || run.run != key.run)) {
                self.violations
                    .push(format!("{at}: {task} runs on {name} and on {other}"));
            }
        }
    }

    /// Lets workers make progress, send heartbeats and answer polls of their agents.
    fn advance_workers(&mut self) {
        let now = self.now;
        let mut calls = Vec::new();
        for (name, machine) in &mut self.machines {
            for end in machine.worker.advance(now) {
                if end.how == RunEnd::Done {
                    let started_at = machine.worker.info.incarnation.started_at;
                    let done = (name.clone(), started_at, end.number);
                    if let Some(late) = &mut self.late {
                        late.done_at.insert(done.clone(), now);
                    }
                    let ends = self.done.entry(end.key.task.clone()).or_default();
                    ends.push(done);
                }
            }
            if machine.next_heartbeat.passed(now) && machine.worker.unresponsive_until.passed(now) {
                machine.next_heartbeat = now + Duration::from_millis(700);
                let beat = machine.worker.heartbeat();
                machine.agent.apply_heartbeat(beat);
            }
            if !machine.next_poll.passed(now) {
                continue;
            }
            machine.next_poll = now + POLL_INTERVAL;
            let Some(poll) = machine.agent.next_poll(now, false) else {
                continue;
            };
            if let Some(late) = &mut self.late
                && late.chance(0.01)
            {
                machine
                    .agent
                    .apply_error(now, &poll, PollError::Unresponsive);
                let delay = late.millis(200..6_000);
                calls.push((delay, Message::LatePoll(name.clone(), poll)));
                continue;
            }
            match machine.worker.poll(now, &poll) {
                Ok(reply) => {
                    if let Some(late) = &mut self.late
                        && late.chance(0.1)
                    {
                        let delay = late.millis(1..300);
                        let agent = machine.agent.incarnation();
                        calls.push((delay, Message::LateReply(name.clone(), agent, poll, reply)));
                        continue;
                    }
                    drop(machine.agent.apply_reply(now, &poll, reply));
                }
                Err(error) => machine.agent.apply_error(now, &poll, error),
            }
        }
        for (delay, call) in calls {
            self.send(delay, call);
        }
        for (task, ends) in &self.done {
            let is_recorded = ends.iter().any(|(name, started_at, number)| {
                let worker = &self.machines[name].worker;
                worker.info.incarnation.started_at == *started_at && worker.is_recorded(*number)
            });
            if is_recorded {
                self.recorded_done.insert(task.clone());
            }
        }
        self.note_ends();
    }

    /// Notes the successful ends that workers may forget. An end counts as taken note of then,
    /// unless its worker's lease has lapsed since.
    fn note_ends(&mut self) {
        let Some(late) = &mut self.late else {
            return;
        };
        let machines = &self.machines;
        let mut settled = Vec::new();
        for (end, at) in &late.done_at {
            let (name, started_at, number) = end;
            let worker = &machines[name].worker;
            let is_gone = worker.info.incarnation.started_at != *started_at;
            let has_lapsed = worker.lapsed_at.is_some_and(|lapsed| lapsed > *at);
            if !is_gone && !has_lapsed && !worker.is_recorded(*number) {
                continue;
            }
            if !is_gone && !has_lapsed {
                late.noted.insert(end.clone());
            }
            settled.push(end.clone());
        }
        for end in settled {
            late.done_at.remove(&end);
        }
        for restart in std::mem::take(&mut late.restarts) {
            if late.noted.contains(&restart.end) {
                let (task, at, end) = (restart.task, restart.at, restart.end);
                self.violations.push(format!(
                    "{at}: {task} started after it was done as {end:?}, which was taken note of"
                ));
            } else if late.done_at.contains_key(&restart.end) {
                late.restarts.push(restart);
            }
        }
    }

    /// Lets owners send calls and write records.
    fn run_owners(&mut self) {
        let now = self.now;
        self.run_isolated_owner();
        let Some(mut owner) = self.owner.take() else {
            return;
        };
        let epoch = owner.epoch();
        if self.store_down_until.passed(now) {
            owner.handle(now, now, Event::OwnershipProved(now));
        }
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            if self.polled_vms.insert(name.clone())
                && let Some(poll) = owner.next_report_poll(now, &name)
            {
                let delay = self.delay();
                self.send(delay, Message::ReportPoll(epoch, name, Box::new(poll)));
            }
        }
        for name in owner.vms_with_orders() {
            if let Some(orders) = owner.take_orders(now, &name) {
                let delay = self.delay();
                self.send(delay, Message::Orders(epoch, name, Box::new(orders)));
            }
        }
        if !self.writing && owner.has_changes() && self.store_down_until.passed(now) {
            self.writing = true;
            let last = owner.last_change();
            let changes = owner.take_changes();
            let delay = self.delay();
            self.send(delay, Message::RecordsWritten(epoch, last, changes));
        }
        self.owner = Some(owner);
    }

    /// Lets an owner that is cut off from the store go on until its term ends by its own
    /// clock or an agent refuses it.
    fn run_isolated_owner(&mut self) {
        let now = self.now;
        let Some(mut isolated) = self.isolated_owner.take() else {
            return;
        };
        if isolated.until.passed(now) || isolated.owner.deposed_by().is_some() {
            return;
        }
        if !isolated.resumes_at.passed(now) {
            self.isolated_owner = Some(isolated);
            return;
        }
        let its_now = Time(now.0 - isolated.behind.as_micros() as u64);
        let epoch = isolated.owner.epoch();
        isolated.owner.handle(its_now, now, Event::Tick);
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            // An isolated owner continues to poll, and its polls let agents renew
            // leases for a while.
            if self.chance(0.05)
                && let Some(poll) = isolated.owner.next_report_poll(its_now, &name)
            {
                let delay = self.delay();
                self.send(delay, Message::ReportPoll(epoch, name, Box::new(poll)));
            }
        }
        for name in isolated.owner.vms_with_orders() {
            if let Some(orders) = isolated.owner.take_orders(its_now, &name) {
                let delay = self.delay();
                self.send(delay, Message::Orders(epoch, name, Box::new(orders)));
            }
        }
        self.isolated_owner = Some(isolated);
    }

    fn on_written(&mut self, epoch: u64, last: u64, changes: Vec<RecordWrite>) {
        // The store compares the epoch, so it rejects writes of an earlier owner.
        if epoch != self.epoch {
            return;
        }
        let mut written = Vec::new();
        for change in &changes {
            self.revision += 1;
            let stored = self.store.get_mut(&change.job).unwrap();
            stored.progress = Some((change.progress.clone(), self.revision));
            if change.progress.outcome.is_some() {
                stored.outcome = change.progress.outcome;
            }
            if change.progress.outcome == Some(Outcome::Completed) {
                let job = Arc::clone(&stored.job);
                self.check_complete(&job);
            }
            written.push((change.job.clone(), self.revision));
        }
        if let Some(late) = &mut self.late
            && late.chance(0.2)
        {
            let delay = late.millis(100..2_000);
            return self.send(delay, Message::WriteAnswered(epoch, last, written));
        }
        self.on_write_answered(epoch, last, &written);
    }

    fn on_write_answered(&mut self, epoch: u64, last: u64, written: &[(JobName, i64)]) {
        let Some(owner) = self.owner.as_mut().filter(|owner| owner.epoch() == epoch) else {
            return;
        };
        for (job, revision) in written {
            owner.record_written(job, *revision);
        }
        self.writing = false;
        owner.confirm_durable(last);
    }

    fn check_complete(&mut self, job: &Job) {
        for (number, step) in (0u16..).zip(&job.steps) {
            for index in 0..step.count {
                let task = TaskKey {
                    job: job.name.clone(),
                    occurrence: 0,
                    step: number,
                    index,
                };
                if !self.done.contains_key(&task) {
                    self.violations.push(format!(
                        "{} ended as completed before {task} was done",
                        job.name
                    ));
                }
            }
        }
    }
}
