//! Processes, VMs and a store in virtual time, with faults from a seed.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use agent::runs::{Action, Event};
use cell::{
    AcceptedJob, CellShare, Group, Record as Fact, SnapshotHead, TaskRange, Timing, keys, recover,
};
use fakes::{
    history::{History, Record},
    store::MemStore,
};
use kernel::{
    CellName, JobName, JobSpec, ObjectSet, TaskId, TaskRun, TaskState, Time, VmName,
    object::ZoneState,
};
use proto::messages::{Heartbeat, HeartbeatReply, TaskPhase};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::future::block_on;
use store::{KeyRange, KeyValue, Op, Store, Txn, keys as store_keys};

use super::{
    cell_name,
    machine::Machine,
    objects,
    process::{CALL_TIMEOUT_MILLIS, Call, Held, Process, Reply},
    vm_info, zone_name,
};

/// How long an agent waits for the answer to a heartbeat.
const BEAT_TIMEOUT: Duration = Duration::from_secs(2);
const OWNERSHIP_LEASE: Duration = Duration::from_secs(3);

pub(crate) const ZONES: [&str; 2] = ["plateau", "yoff"];

/// The cells of every world.
pub(crate) fn cells() -> [CellName; 2] {
    [cell_name("cell-a"), cell_name("cell-b")]
}

/// Spans for exploration: as in production but for a short grace.
pub(crate) fn timing() -> Timing {
    Timing {
        owner_grace: Duration::from_secs(20),
        transfer_after: Duration::from_secs(5),
        quarantine_period: Duration::from_secs(60),
        ..Timing::default()
    }
}

enum Step {
    Process(usize),
    Machine(usize),
    Arrive(Box<StoreCall>),
    Answer(Box<StoreCall>, Reply),
    Beat {
        machine: usize,
        process: usize,
        id: u64,
        beat: Box<Heartbeat>,
    },
    BeatReply {
        machine: usize,
        id: u64,
        reply: Box<HeartbeatReply>,
        /// The owner that the asked process knows of.
        owner: Option<usize>,
    },
    Work(usize, (u64, u64), Action),
    Worked(usize, u64, Box<Event>),
    List(usize, u64, Time),
}

#[derive(Clone)]
struct StoreCall {
    process: usize,
    life: u64,
    call: Call,
    sent: Time,
    sent_local: Time,
    /// When the answer comes; never, if it is lost.
    answer_at: Option<Time>,
}

/// How unreliable messages are, in thousandths.
#[derive(Clone, Copy, Default)]
pub(crate) struct Unreliable {
    pub(crate) lost: u32,
    pub(crate) doubled: u32,
    pub(crate) late: u32,
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) store: MemStore,
    pub(crate) processes: Vec<Process>,
    pub(crate) machines: Vec<Machine>,
    pub(crate) history: History,
    pub(crate) unreliable: Unreliable,
    pub(crate) outage_until: Time,
    /// Machines and processes that don't hear one another, until when.
    pub(crate) partitions: BTreeMap<(usize, usize), Time>,
    pub(crate) jobs: Vec<JobName>,
    configs: Vec<Arc<ObjectSet>>,
    zones: BTreeMap<&'static str, ZoneState>,
    steps: BTreeMap<(Time, u64), Step>,
    next_step: u64,
    next_id: u64,
}

impl World {
    pub(crate) fn new(seed: u64, processes: usize) -> Self {
        Self::with_timing(seed, processes, timing())
    }

    pub(crate) fn with_timing(seed: u64, processes: usize, timing: Timing) -> Self {
        let history = History::new();
        let places = [
            ("vm-a1", "plateau", "cell-a"),
            ("vm-a2", "plateau", "cell-a"),
            ("vm-a3", "yoff", "cell-a"),
            ("vm-b1", "yoff", "cell-b"),
            ("vm-b2", "plateau", "cell-b"),
        ];
        let mut machines = Vec::new();
        for (vm, zone, cell) in places {
            let info = vm_info(vm, zone, cell, 2);
            history.add(Record::Vm {
                vm: info.vm.clone(),
                zone: info.zone.clone(),
                capacity: info.capacity,
            });
            machines.push(Machine::new(info, history.clone()));
        }
        let mut world = Self {
            now: Time::from_secs(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: MemStore::manual(),
            processes: (0..processes)
                .map(|index| Process::new(index, timing))
                .collect(),
            machines,
            history,
            unreliable: Unreliable::default(),
            outage_until: Time::ZERO,
            partitions: BTreeMap::new(),
            jobs: Vec::new(),
            configs: Vec::new(),
            zones: ZONES.map(|zone| (zone, ZoneState::In)).into(),
            steps: BTreeMap::new(),
            next_step: 0,
            next_id: 0,
        };
        world.publish();
        for process in 0..processes {
            world.after(0, Step::Process(process));
        }
        for machine in 0..world.machines.len() {
            world.after(0, Step::Machine(machine));
        }
        world
    }

    fn publish(&mut self) {
        let zones: Vec<_> = self.zones.iter().map(|(zone, at)| (*zone, *at)).collect();
        self.configs.push(objects(&zones));
    }

    /// Operators take a zone out or bring it back.
    pub(crate) fn set_zone(&mut self, zone: &'static str, state: ZoneState) {
        if self.store_is_out() {
            return;
        }
        self.zones.insert(zone, state);
        self.publish();
        self.history.add(Record::Zone {
            at: self.now,
            zone: zone_name(zone),
            open: state == ZoneState::In,
        });
    }

    fn store_is_out(&self) -> bool {
        !self.outage_until.passed(self.now)
    }

    fn at(&mut self, at: Time, step: Step) {
        self.next_step += 1;
        self.steps.insert((at, self.next_step), step);
    }

    fn after(&mut self, millis: u64, step: Step) {
        let at = self.now + Duration::from_millis(millis);
        self.at(at, step);
    }

    /// Lets time pass until `until`.
    pub(crate) fn run_until(&mut self, until: Time) {
        while let Some(entry) = self.steps.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                break;
            }
            let step = entry.remove();
            self.now = at;
            self.step(step);
        }
        self.now = until;
    }

    pub(crate) fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    /// A message's way: its delays, none if it is lost.
    fn ways(&mut self) -> Vec<u64> {
        let mut ways = vec![self.rng.random_range(1..8)];
        if self.rng.random_range(0..1_000) < self.unreliable.late {
            ways[0] = self.rng.random_range(100..4_000);
        }
        if self.rng.random_range(0..1_000) < self.unreliable.doubled {
            ways.push(self.rng.random_range(1..4_000));
        }
        if self.rng.random_range(0..1_000) < self.unreliable.lost {
            ways.pop();
        }
        ways
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Process(index) => self.process_tick(index),
            Step::Machine(index) => self.machine_tick(index),
            Step::Arrive(call) => self.arrive(*call),
            Step::Answer(call, reply) => self.answer(*call, reply),
            Step::Beat {
                machine,
                process,
                id,
                beat,
            } => self.beat(machine, process, id, beat),
            Step::BeatReply {
                machine,
                id,
                reply,
                owner,
            } => self.beat_reply(machine, id, *reply, owner),
            Step::Work(index, life, action) => self.work(index, life, &action),
            Step::Worked(index, life, event) => self.worked(index, life, *event),
            Step::List(index, life, asked_at) => self.list(index, life, asked_at),
        }
    }

    fn process_tick(&mut self, index: usize) {
        self.after(100, Step::Process(index));
        let now = self.now;
        let back = self.processes[index]
            .down_until
            .is_some_and(|until| until.passed(now));
        if back {
            self.processes[index].restart();
        }
        if !self.processes[index].runs_at(now) {
            return;
        }
        let mut rooms = BTreeMap::new();
        for process in &self.processes {
            rooms.extend(process.rooms());
        }
        let configs = self.configs.clone();
        let config = |revision: u64| configs[revision as usize - 1].clone();
        let calls = self.processes[index].tick(now, &rooms, config);
        self.send_calls(index, calls);
    }

    fn send_calls(&mut self, process: usize, calls: Vec<Call>) {
        for call in calls {
            self.send_call(process, call);
        }
    }

    fn send_call(&mut self, process: usize, call: Call) {
        let deadline = self.now + Duration::from_millis(CALL_TIMEOUT_MILLIS);
        let cut = !self.processes[process].cut_until.passed(self.now);
        let arrival = if cut {
            None
        } else {
            self.ways().first().copied()
        };
        let back = self.ways().first().copied();
        let answer_at = match (arrival, back) {
            (Some(there), Some(back)) => {
                let at = self.now + Duration::from_millis(there + back);
                (at < deadline).then_some(at)
            }
            _ => None,
        };
        let call = StoreCall {
            process,
            life: self.processes[process].life,
            call,
            sent: self.now,
            sent_local: self.processes[process].clock(self.now),
            answer_at,
        };
        if answer_at.is_none() {
            self.at(deadline, Step::Answer(Box::new(call.clone()), Reply::Lost));
        }
        if let Some(there) = arrival {
            self.after(there, Step::Arrive(Box::new(call)));
        }
    }

    fn arrive(&mut self, call: StoreCall) {
        if self.store_is_out() {
            let deadline = call.sent + Duration::from_millis(CALL_TIMEOUT_MILLIS);
            if call.answer_at.is_some() {
                self.at(deadline, Step::Answer(Box::new(call), Reply::Lost));
            }
            return;
        }
        let reply = self.execute(&call.call);
        if let Some(at) = call.answer_at {
            self.at(at, Step::Answer(Box::new(call), reply));
        }
    }

    fn execute(&mut self, call: &Call) -> Reply {
        self.store.set_time(self.now);
        let range = |range: KeyRange| block_on(self.store.range(range, 0)).unwrap().kvs;
        match call {
            Call::Proof => Reply::Proof(self.configs.len() as u64),
            Call::Grant => Reply::Lease(block_on(self.store.grant(OWNERSHIP_LEASE)).unwrap()),
            Call::KeepAlive(lease) => {
                Reply::Alive(block_on(self.store.keep_alive(*lease)).unwrap())
            }
            Call::Owners => Reply::Range(range(KeyRange::prefix(keys::OWNERS))),
            Call::Inbox(cell) => Reply::Range(range(keys::inbox(cell))),
            Call::Recover(cell, _) => Reply::Cell(Box::new(self.held(cell))),
            Call::Take(_, _, txn)
            | Call::Claim(_, _, txn)
            | Call::Commit(_, txn)
            | Call::Fold(_, txn)
            | Call::HandOver(_, txn) => {
                let Ok(reply) = block_on(self.store.txn(txn.clone())) else {
                    return Reply::Txn(false, Vec::new());
                };
                if reply.succeeded && matches!(call, Call::Commit(..)) {
                    self.note_group(txn);
                }
                Reply::Txn(reply.succeeded, reply.otherwise)
            }
        }
    }

    /// Writes ends that have become durable into the history.
    fn note_group(&self, txn: &Txn) {
        let Some(Op::Put { value, .. }) = txn.ops.first() else {
            return;
        };
        let group: Group = serde_json::from_slice(value).unwrap();
        for fact in group.records {
            if let Fact::Ended {
                run,
                end: cell::RunEnd::Finished,
                ..
            } = fact
            {
                self.history.add(Record::Finished { at: self.now, run });
            }
        }
    }

    /// What the store holds of a cell.
    pub(crate) fn held(&self, cell: &CellName) -> Held {
        let pairs = |kvs: Vec<KeyValue>| kvs.into_iter().map(|kv| (kv.key, kv.value)).collect();
        let head = self.store.peek(&KeyRange::one(keys::snapshot_head(cell)));
        let head = head.into_iter().next().map(|kv| kv.value);
        let mut held = Held {
            groups: pairs(self.store.peek(&keys::journal(cell))),
            ..Held::default()
        };
        if let Some(value) = &head {
            let head: SnapshotHead = serde_json::from_slice(value).unwrap();
            let range = keys::snapshot_chunks(cell, head.epoch, head.seq);
            held.chunks = pairs(self.store.peek(&range));
        }
        held.head = head;
        held
    }

    fn answer(&mut self, call: StoreCall, reply: Reply) {
        let process = &mut self.processes[call.process];
        if process.life != call.life || process.down_until.is_some() {
            return;
        }
        if !process.paused_until.passed(self.now) {
            let at = process.paused_until;
            self.at(at, Step::Answer(Box::new(call), reply));
            return;
        }
        let calls = process.settle(self.now, call.sent_local, call.call, reply);
        self.send_calls(call.process, calls);
    }

    fn machine_tick(&mut self, index: usize) {
        self.after(200, Step::Machine(index));
        let now = self.now;
        let machine = &mut self.machines[index];
        machine.worker.advance(now);
        if machine.down_until.is_some_and(|until| until.passed(now)) {
            machine.restart();
        }
        if !machine.runs_at(now) {
            return;
        }
        let life = machine.info.incarnation.0;
        let actions = machine.runs.handle(now, Event::Tick);
        self.act(index, actions);
        self.after(5, Step::List(index, life, now));
        self.beat_if_due(index);
    }

    fn beat_if_due(&mut self, index: usize) {
        let now = self.now;
        let processes = self.processes.len();
        let machine = &mut self.machines[index];
        let waiting = machine.waiting.as_ref().map(|waiting| waiting.sent);
        if let Some(sent) = waiting {
            if !(sent + BEAT_TIMEOUT).passed(now) {
                return;
            }
            machine.waiting = None;
            machine.target = (machine.target + 1) % processes;
        }
        if !machine.next_beat.passed(now) {
            return;
        }
        machine.next_beat = now + Duration::from_secs(1);
        self.next_id += 1;
        let id = self.next_id;
        let process = machine.target;
        let beat = machine.heartbeat(now, id);
        for way in self.ways() {
            let beat = Box::new(beat.clone());
            self.after(
                way,
                Step::Beat {
                    machine: index,
                    process,
                    id,
                    beat,
                },
            );
        }
    }

    fn is_parted(&self, machine: usize, process: usize) -> bool {
        let until = self.partitions.get(&(machine, process));
        until.is_some_and(|until| !until.passed(self.now))
    }

    fn beat(&mut self, machine: usize, process: usize, id: u64, beat: Box<Heartbeat>) {
        let now = self.now;
        let asked = &mut self.processes[process];
        if asked.down_until.is_some() {
            return;
        }
        if !asked.paused_until.passed(now) {
            let at = asked.paused_until;
            self.at(
                at,
                Step::Beat {
                    machine,
                    process,
                    id,
                    beat,
                },
            );
            return;
        }
        if self.is_parted(machine, process) {
            return;
        }
        let answer = self.processes[process].heartbeat(now, &beat);
        let owner = self.processes[process].owner_seen(&beat);
        let mut reply = HeartbeatReply::default();
        if let Some(answer) = answer {
            reply.epoch = answer.epoch;
            reply.renewed = answer.renewed;
            reply.orders = answer.orders;
            reply.recorded = answer.recorded;
        }
        for way in self.ways() {
            let reply = Box::new(reply.clone());
            self.after(
                way,
                Step::BeatReply {
                    machine,
                    id,
                    reply,
                    owner,
                },
            );
        }
    }

    fn beat_reply(
        &mut self,
        index: usize,
        id: u64,
        reply: HeartbeatReply,
        owner_seen: Option<usize>,
    ) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.down_until.is_some() {
            return;
        }
        if !machine.paused_until.passed(now) {
            let at = machine.paused_until;
            let owner = owner_seen;
            let reply = Box::new(reply);
            let machine = index;
            self.at(
                at,
                Step::BeatReply {
                    machine,
                    id,
                    reply,
                    owner,
                },
            );
            return;
        }
        if reply.epoch.0 == 0 {
            machine.target = owner_seen.unwrap_or((machine.target + 1) % self.processes.len());
        }
        let actions = machine.obey(now, id, reply);
        self.act(index, actions);
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        let life = self.machines[index].info.incarnation.0;
        for action in actions {
            if action == Action::Report {
                self.machines[index].next_beat = self.now;
                continue;
            }
            let delay = self.machines[index].worker_delay;
            let way = self.rng.random_range(1..=delay);
            let worker_life = self.machines[index].worker_life;
            self.after(way, Step::Work(index, (life, worker_life), action));
        }
    }

    fn work(&mut self, index: usize, (life, worker): (u64, u64), action: &Action) {
        let now = self.now;
        if self.machines[index].worker_life != worker {
            return;
        }
        let way = self.rng.random_range(1..5);
        if let Some(event) = self.machines[index].work(now, action) {
            self.after(way, Step::Worked(index, life, Box::new(event)));
        }
    }

    fn list(&mut self, index: usize, life: u64, asked_at: Time) {
        let runs = self.machines[index].worker.list(self.now);
        let event = Event::Listed { asked_at, runs };
        self.after(3, Step::Worked(index, life, Box::new(event)));
    }

    fn worked(&mut self, index: usize, life: u64, event: Event) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.info.incarnation.0 != life || machine.down_until.is_some() {
            return;
        }
        if !machine.paused_until.passed(now) {
            let at = machine.paused_until;
            self.at(at, Step::Worked(index, life, Box::new(event)));
            return;
        }
        let actions = machine.runs.handle(now, event);
        self.act(index, actions);
    }

    /// A submitter gives a job to a cell.
    pub(crate) fn submit(&mut self, cell: &CellName, spec: JobSpec) {
        let part = TaskRange::whole(&spec);
        let cell = cell.clone();
        self.submit_shares(vec![CellShare { cell, part }], spec);
    }

    /// A submitter gives parts of a job to cells.
    pub(crate) fn submit_shares(&mut self, shares: Vec<CellShare>, spec: JobSpec) {
        if self.store_is_out() {
            return;
        }
        let key = AcceptedJob {
            shares,
            spec,
            at: self.now,
        };
        assert!(
            block_on(self.store.txn(key.accept_txn()))
                .unwrap()
                .succeeded
        );
        for index in 0..key.spec.tasks {
            let job = key.spec.name.clone();
            self.history.add(Record::Accepted {
                at: self.now,
                task: TaskId { job, index },
            });
        }
        self.jobs.push(key.spec.name);
    }

    /// A submitter cancels a job.
    pub(crate) fn cancel(&mut self, job: &JobName) {
        if self.store_is_out() {
            return;
        }
        let range = KeyRange::one(store_keys::job(job));
        let Some(kv) = self.store.peek(&range).into_iter().next() else {
            return;
        };
        let key: AcceptedJob = serde_json::from_slice(&kv.value).unwrap();
        let txn = key.cancel_txn(self.now);
        block_on(self.store.txn(txn)).unwrap();
    }

    /// The tasks of all cells as the store holds them.
    pub(crate) fn tasks(&self) -> Vec<(TaskRun, TaskState)> {
        let mut tasks = Vec::new();
        for cell in cells() {
            let held = self.held(&cell);
            let head = held
                .head
                .as_ref()
                .map(|value| serde_json::from_slice(value).unwrap());
            let recovered = recover(head, &held.chunks, &held.groups).unwrap();
            for (name, job) in &recovered.state.jobs {
                for (index, task) in job.all_tasks() {
                    let job = name.clone();
                    let run = TaskRun {
                        task: TaskId { job, index },
                        attempt: task.attempt,
                    };
                    tasks.push((run, task.state));
                }
            }
        }
        tasks
    }

    /// Whether every accepted task is recorded as ended.
    pub(crate) fn is_done(&self) -> bool {
        let waits = cells()
            .iter()
            .any(|cell| !self.store.peek(&keys::inbox(cell)).is_empty());
        !waits && self.tasks().iter().all(|(_, state)| state.is_final())
    }

    /// The starts of attempts from `from` on.
    pub(crate) fn starts_since(&self, from: Time) -> Vec<(Time, TaskRun, VmName)> {
        let mut starts = Vec::new();
        for record in self.history.records() {
            if let Record::Started { at, run, vm, .. } = record
                && at >= from
            {
                starts.push((at, run, vm));
            }
        }
        starts
    }

    /// The attempts that run on a VM, as its worker says.
    pub(crate) fn running_on(&mut self, machine: usize) -> Vec<TaskRun> {
        let now = self.now;
        let shown = self.machines[machine].worker.list(now);
        let live = |phase| matches!(phase, TaskPhase::Running | TaskPhase::Throttled);
        shown
            .into_iter()
            .filter(|shown| live(shown.phase))
            .map(|shown| shown.run)
            .collect()
    }

    /// The process that owns each cell in the highest term.
    pub(crate) fn owner_of(&self, cell: &CellName) -> Option<usize> {
        let owners = self.processes.iter().flat_map(|process| {
            let index = process.index;
            process.owners().map(move |owner| (index, owner))
        });
        owners
            .filter(|(_, owner)| owner.cell() == cell && !owner.has_ended())
            .max_by_key(|(_, owner)| owner.epoch())
            .map(|(index, _)| index)
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        self.unreliable = Unreliable::default();
        self.outage_until = self.now;
        self.partitions.clear();
        for process in &mut self.processes {
            process.cut_until = self.now;
            process.paused_until = self.now;
            if let Some(until) = &mut process.down_until {
                *until = self.now;
            }
        }
        for machine in &mut self.machines {
            machine.worker.fail_everything(false);
            machine.worker_delay = 5;
            machine.paused_until = self.now;
            if let Some(until) = &mut machine.down_until {
                *until = self.now;
            }
        }
        for zone in ZONES {
            if self.zones[zone] == ZoneState::Out {
                self.set_zone(zone, ZoneState::In);
            }
        }
    }

    /// Runs until all work is done, at most `span`; then the broken invariants.
    pub(crate) fn finish(&mut self, span: Duration) -> Vec<String> {
        let until = self.now + span;
        while self.now < until && !self.is_done() {
            self.run_for(Duration::from_secs(1));
        }
        for (run, state) in self.tasks() {
            if matches!(state, TaskState::Failed | TaskState::Cancelled) {
                let at = self.now;
                self.history.add(Record::GivenUp { at, task: run.task });
            }
        }
        fakes::history::check(&self.history.records(), fakes::history::End::Quiet)
    }
}
