//! Simulation of entry processes, VMs and a store in virtual time. A seed determines
//! the faults.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use agent::runs::{Action, Event};
use cell::{
    AcceptedJob, CellShare, Group, Record as JournalRecord, SnapshotHead, TaskRange, Timing, keys,
    recover,
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
    process::{CALL_TIMEOUT_MILLIS, Call, CellContent, Process, Reply},
    vm_info, zone_name,
};

/// How long an agent waits for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
const OWNERSHIP_LEASE: Duration = Duration::from_secs(3);

pub(crate) const ZONES: [&str; 2] = ["plateau", "yoff"];

/// Returns the cells of every simulation.
pub(crate) fn cells() -> [CellName; 2] {
    [cell_name("cell-a"), cell_name("cell-b")]
}

/// Returns the timing for simulations: shorter owner grace and quarantine and a
/// longer transfer delay than the defaults.
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
    StoreCall(Box<StoreCall>),
    StoreReply(Box<StoreCall>, Reply),
    Heartbeat {
        machine: usize,
        process: usize,
        id: u64,
        beat: Box<Heartbeat>,
    },
    HeartbeatReply {
        machine: usize,
        id: u64,
        reply: Box<HeartbeatReply>,
        /// The owner of the sender's cell known to the replying process.
        owner: Option<usize>,
    },
    /// An action for a worker; machine, incarnations of its agent and its worker.
    Action(usize, (u64, u64), Action),
    Event(usize, u64, Box<Event>),
    List(usize, u64, Time),
}

#[derive(Clone)]
struct StoreCall {
    process: usize,
    incarnation: u64,
    call: Call,
    sent: Time,
    sent_local: Time,
    /// When the reply arrives; `None` if it is lost.
    answer_at: Option<Time>,
}

/// Rates of faulty messages, in thousandths.
#[derive(Clone, Copy, Default)]
pub(crate) struct NetworkFaults {
    pub(crate) lost: u32,
    pub(crate) duplicated: u32,
    pub(crate) delayed: u32,
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) store: MemStore,
    pub(crate) processes: Vec<Process>,
    pub(crate) machines: Vec<Machine>,
    pub(crate) history: History,
    pub(crate) network_faults: NetworkFaults,
    pub(crate) store_down_until: Time,
    /// Ends of the partitions between a machine and a process.
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
        let placements = [
            ("vm-a1", "plateau", "cell-a"),
            ("vm-a2", "plateau", "cell-a"),
            ("vm-a3", "yoff", "cell-a"),
            ("vm-b1", "yoff", "cell-b"),
            ("vm-b2", "plateau", "cell-b"),
        ];
        let mut machines = Vec::new();
        for (vm, zone, cell) in placements {
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
            store: MemStore::with_manual_time(),
            processes: (0..processes)
                .map(|index| Process::new(index, timing))
                .collect(),
            machines,
            history,
            network_faults: NetworkFaults::default(),
            store_down_until: Time::ZERO,
            partitions: BTreeMap::new(),
            jobs: Vec::new(),
            configs: Vec::new(),
            zones: ZONES.map(|zone| (zone, ZoneState::In)).into(),
            steps: BTreeMap::new(),
            next_step: 0,
            next_id: 0,
        };
        world.publish_config();
        for process in 0..processes {
            world.schedule_after(0, Step::Process(process));
        }
        for machine in 0..world.machines.len() {
            world.schedule_after(0, Step::Machine(machine));
        }
        world
    }

    fn publish_config(&mut self) {
        let zones: Vec<_> = self.zones.iter().map(|(zone, at)| (*zone, *at)).collect();
        self.configs.push(objects(&zones));
    }

    /// Sets the state of a zone, as an operator does; ignored while the store is down.
    pub(crate) fn set_zone(&mut self, zone: &'static str, state: ZoneState) {
        if self.is_store_down() {
            return;
        }
        self.zones.insert(zone, state);
        self.publish_config();
        self.history.add(Record::Zone {
            at: self.now,
            zone: zone_name(zone),
            open: state == ZoneState::In,
        });
    }

    fn is_store_down(&self) -> bool {
        !self.store_down_until.passed(self.now)
    }

    fn schedule_at(&mut self, at: Time, step: Step) {
        self.next_step += 1;
        self.steps.insert((at, self.next_step), step);
    }

    fn schedule_after(&mut self, millis: u64, step: Step) {
        let at = self.now + Duration::from_millis(millis);
        self.schedule_at(at, step);
    }

    /// Executes all steps scheduled up to `until`.
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

    /// Returns the delay of each delivery of a message, in milliseconds; empty if the
    /// message is lost.
    fn delays(&mut self) -> Vec<u64> {
        let mut delays = vec![self.rng.random_range(1..8)];
        if self.rng.random_range(0..1_000) < self.network_faults.delayed {
            delays[0] = self.rng.random_range(100..4_000);
        }
        if self.rng.random_range(0..1_000) < self.network_faults.duplicated {
            delays.push(self.rng.random_range(1..4_000));
        }
        if self.rng.random_range(0..1_000) < self.network_faults.lost {
            delays.pop();
        }
        delays
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Process(index) => self.process_tick(index),
            Step::Machine(index) => self.machine_tick(index),
            Step::StoreCall(call) => self.store_call(*call),
            Step::StoreReply(call, reply) => self.store_reply(*call, reply),
            Step::Heartbeat {
                machine,
                process,
                id,
                beat,
            } => self.heartbeat(machine, process, id, beat),
            Step::HeartbeatReply {
                machine,
                id,
                reply,
                owner,
            } => self.heartbeat_reply(machine, id, *reply, owner),
            Step::Action(index, incarnation, action) => self.apply(index, incarnation, &action),
            Step::Event(index, incarnation, event) => self.on_event(index, incarnation, *event),
            Step::List(index, incarnation, asked_at) => self.list(index, incarnation, asked_at),
        }
    }

    fn process_tick(&mut self, index: usize) {
        self.schedule_after(100, Step::Process(index));
        let now = self.now;
        let back = self.processes[index]
            .down_until
            .is_some_and(|until| until.passed(now));
        if back {
            self.processes[index].restart();
        }
        if !self.processes[index].is_running_at(now) {
            return;
        }
        let mut capacities = BTreeMap::new();
        for process in &self.processes {
            capacities.extend(process.capacities());
        }
        let configs = self.configs.clone();
        let config = |revision: u64| configs[revision as usize - 1].clone();
        let calls = self.processes[index].tick(now, &capacities, config);
        self.send_calls(index, calls);
    }

    fn send_calls(&mut self, process: usize, calls: Vec<Call>) {
        for call in calls {
            self.send_call(process, call);
        }
    }

    fn send_call(&mut self, process: usize, call: Call) {
        let deadline = self.now + Duration::from_millis(CALL_TIMEOUT_MILLIS);
        let is_cut_off = !self.processes[process].store_cut_off_until.passed(self.now);
        let arrival = if is_cut_off {
            None
        } else {
            self.delays().first().copied()
        };
        let back = self.delays().first().copied();
        let answer_at = match (arrival, back) {
            (Some(there), Some(back)) => {
                let at = self.now + Duration::from_millis(there + back);
                (at < deadline).then_some(at)
            }
            _ => None,
        };
        let call = StoreCall {
            process,
            incarnation: self.processes[process].incarnation,
            call,
            sent: self.now,
            sent_local: self.processes[process].clock(self.now),
            answer_at,
        };
        if answer_at.is_none() {
            self.schedule_at(
                deadline,
                Step::StoreReply(Box::new(call.clone()), Reply::Lost),
            );
        }
        if let Some(there) = arrival {
            self.schedule_after(there, Step::StoreCall(Box::new(call)));
        }
    }

    fn store_call(&mut self, call: StoreCall) {
        if self.is_store_down() {
            let deadline = call.sent + Duration::from_millis(CALL_TIMEOUT_MILLIS);
            if call.answer_at.is_some() {
                self.schedule_at(deadline, Step::StoreReply(Box::new(call), Reply::Lost));
            }
            return;
        }
        let reply = self.execute(&call.call);
        if let Some(at) = call.answer_at {
            self.schedule_at(at, Step::StoreReply(Box::new(call), reply));
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
            Call::Recover(cell, _) => Reply::Cell(Box::new(self.cell_content(cell))),
            Call::Acquire(_, _, txn)
            | Call::Claim(_, _, txn)
            | Call::Commit(_, txn)
            | Call::Compact(_, txn)
            | Call::HandOver(_, txn) => {
                let Ok(reply) = block_on(self.store.txn(txn.clone())) else {
                    return Reply::Txn(false, Vec::new());
                };
                if reply.succeeded && matches!(call, Call::Commit(..)) {
                    self.record_durable_ends(txn);
                }
                Reply::Txn(reply.succeeded, reply.otherwise)
            }
        }
    }

    /// Adds finished tasks of a durable group to the history.
    fn record_durable_ends(&self, txn: &Txn) {
        let Some(Op::Put { value, .. }) = txn.ops.first() else {
            return;
        };
        let group: Group = serde_json::from_slice(value).unwrap();
        for record in group.records {
            if let JournalRecord::Ended {
                run,
                end: cell::RunEnd::Finished,
                ..
            } = record
            {
                self.history.add(Record::Finished { at: self.now, run });
            }
        }
    }

    /// Returns the content of a cell in the store.
    pub(crate) fn cell_content(&self, cell: &CellName) -> CellContent {
        let pairs = |kvs: Vec<KeyValue>| kvs.into_iter().map(|kv| (kv.key, kv.value)).collect();
        let head = self.store.peek(&KeyRange::one(keys::snapshot_head(cell)));
        let head = head.into_iter().next().map(|kv| kv.value);
        let mut content = CellContent {
            groups: pairs(self.store.peek(&keys::journal(cell))),
            ..CellContent::default()
        };
        if let Some(value) = &head {
            let head: SnapshotHead = serde_json::from_slice(value).unwrap();
            let range = keys::snapshot_chunks(cell, head.epoch, head.seq);
            content.chunks = pairs(self.store.peek(&range));
        }
        content.head = head;
        content
    }

    fn store_reply(&mut self, call: StoreCall, reply: Reply) {
        let process = &mut self.processes[call.process];
        if process.incarnation != call.incarnation || process.down_until.is_some() {
            return;
        }
        if !process.paused_until.passed(self.now) {
            let at = process.paused_until;
            self.schedule_at(at, Step::StoreReply(Box::new(call), reply));
            return;
        }
        let calls = process.handle_reply(self.now, call.sent_local, call.call, reply);
        self.send_calls(call.process, calls);
    }

    fn machine_tick(&mut self, index: usize) {
        self.schedule_after(200, Step::Machine(index));
        let now = self.now;
        let machine = &mut self.machines[index];
        machine.worker.advance(now);
        if machine.down_until.is_some_and(|until| until.passed(now)) {
            machine.restart();
        }
        if !machine.is_running_at(now) {
            return;
        }
        let incarnation = machine.info.incarnation.0;
        let actions = machine.runs.handle(now, Event::Tick);
        self.execute_actions(index, actions);
        self.schedule_after(5, Step::List(index, incarnation, now));
        self.send_heartbeat_if_due(index);
    }

    fn send_heartbeat_if_due(&mut self, index: usize) {
        let now = self.now;
        let processes = self.processes.len();
        let machine = &mut self.machines[index];
        let sent_at = machine.pending.as_ref().map(|pending| pending.sent);
        if let Some(sent) = sent_at {
            if !(sent + HEARTBEAT_TIMEOUT).passed(now) {
                return;
            }
            machine.pending = None;
            machine.target_process = (machine.target_process + 1) % processes;
        }
        if !machine.next_heartbeat.passed(now) {
            return;
        }
        machine.next_heartbeat = now + Duration::from_secs(1);
        self.next_id += 1;
        let id = self.next_id;
        let process = machine.target_process;
        let beat = machine.heartbeat(now, id);
        for delay_millis in self.delays() {
            let beat = Box::new(beat.clone());
            self.schedule_after(
                delay_millis,
                Step::Heartbeat {
                    machine: index,
                    process,
                    id,
                    beat,
                },
            );
        }
    }

    fn is_partitioned(&self, machine: usize, process: usize) -> bool {
        let until = self.partitions.get(&(machine, process));
        until.is_some_and(|until| !until.passed(self.now))
    }

    fn heartbeat(&mut self, machine: usize, process: usize, id: u64, beat: Box<Heartbeat>) {
        let now = self.now;
        let receiver = &mut self.processes[process];
        if receiver.down_until.is_some() {
            return;
        }
        if !receiver.paused_until.passed(now) {
            let at = receiver.paused_until;
            self.schedule_at(
                at,
                Step::Heartbeat {
                    machine,
                    process,
                    id,
                    beat,
                },
            );
            return;
        }
        if self.is_partitioned(machine, process) {
            return;
        }
        let answer = self.processes[process].heartbeat(now, &beat);
        let owner = self.processes[process].known_owner(&beat);
        let mut reply = HeartbeatReply::default();
        if let Some(answer) = answer {
            reply.epoch = answer.epoch;
            reply.renewed = answer.renewed;
            reply.orders = answer.orders;
            reply.recorded = answer.recorded;
        }
        for delay_millis in self.delays() {
            let reply = Box::new(reply.clone());
            self.schedule_after(
                delay_millis,
                Step::HeartbeatReply {
                    machine,
                    id,
                    reply,
                    owner,
                },
            );
        }
    }

    fn heartbeat_reply(
        &mut self,
        index: usize,
        id: u64,
        reply: HeartbeatReply,
        known_owner: Option<usize>,
    ) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.down_until.is_some() {
            return;
        }
        if !machine.paused_until.passed(now) {
            let at = machine.paused_until;
            let owner = known_owner;
            let reply = Box::new(reply);
            let machine = index;
            self.schedule_at(
                at,
                Step::HeartbeatReply {
                    machine,
                    id,
                    reply,
                    owner,
                },
            );
            return;
        }
        if reply.epoch.0 == 0 {
            machine.target_process =
                known_owner.unwrap_or((machine.target_process + 1) % self.processes.len());
        }
        let actions = machine.handle_reply(now, id, reply);
        self.execute_actions(index, actions);
    }

    fn execute_actions(&mut self, index: usize, actions: Vec<Action>) {
        let incarnation = self.machines[index].info.incarnation.0;
        for action in actions {
            if action == Action::Report {
                self.machines[index].next_heartbeat = self.now;
                continue;
            }
            let delay = self.machines[index].worker_delay;
            let delay_millis = self.rng.random_range(1..=delay);
            let worker_incarnation = self.machines[index].worker_incarnation;
            self.schedule_after(
                delay_millis,
                Step::Action(index, (incarnation, worker_incarnation), action),
            );
        }
    }

    fn apply(&mut self, index: usize, (incarnation, worker): (u64, u64), action: &Action) {
        let now = self.now;
        if self.machines[index].worker_incarnation != worker {
            return;
        }
        let delay_millis = self.rng.random_range(1..5);
        if let Some(event) = self.machines[index].execute(now, action) {
            self.schedule_after(
                delay_millis,
                Step::Event(index, incarnation, Box::new(event)),
            );
        }
    }

    fn list(&mut self, index: usize, incarnation: u64, asked_at: Time) {
        let runs = self.machines[index].worker.list(self.now);
        let event = Event::Listed { asked_at, runs };
        self.schedule_after(3, Step::Event(index, incarnation, Box::new(event)));
    }

    fn on_event(&mut self, index: usize, incarnation: u64, event: Event) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.info.incarnation.0 != incarnation || machine.down_until.is_some() {
            return;
        }
        if !machine.paused_until.passed(now) {
            let at = machine.paused_until;
            self.schedule_at(at, Step::Event(index, incarnation, Box::new(event)));
            return;
        }
        let actions = machine.runs.handle(now, event);
        self.execute_actions(index, actions);
    }

    /// Submits a job to one cell.
    pub(crate) fn submit(&mut self, cell: &CellName, spec: JobSpec) {
        let part = TaskRange::whole(&spec);
        let cell = cell.clone();
        self.submit_shares(vec![CellShare { cell, part }], spec);
    }

    /// Submits parts of a job to cells; ignored while the store is down.
    pub(crate) fn submit_shares(&mut self, shares: Vec<CellShare>, spec: JobSpec) {
        if self.is_store_down() {
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

    /// Cancels a job; ignored while the store is down.
    pub(crate) fn cancel(&mut self, job: &JobName) {
        if self.is_store_down() {
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

    /// Returns the newest attempts and states of all tasks in the store.
    pub(crate) fn tasks(&self) -> Vec<(TaskRun, TaskState)> {
        let mut tasks = Vec::new();
        for cell in cells() {
            let content = self.cell_content(&cell);
            let head = content
                .head
                .as_ref()
                .map(|value| serde_json::from_slice(value).unwrap());
            let recovered = recover(head, &content.chunks, &content.groups).unwrap();
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

    /// Returns whether every accepted task has a recorded end.
    pub(crate) fn is_done(&self) -> bool {
        let waits = cells()
            .iter()
            .any(|cell| !self.store.peek(&keys::inbox(cell)).is_empty());
        !waits && self.tasks().iter().all(|(_, state)| state.is_final())
    }

    /// Returns the starts of attempts from `from` on.
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

    /// Returns the attempts running on a VM, as its worker lists them.
    pub(crate) fn running_on(&mut self, machine: usize) -> Vec<TaskRun> {
        let now = self.now;
        let reported = self.machines[machine].worker.list(now);
        let is_running = |phase| matches!(phase, TaskPhase::Running | TaskPhase::Throttled);
        reported
            .into_iter()
            .filter(|reported| is_running(reported.phase))
            .map(|reported| reported.run)
            .collect()
    }

    /// Returns the process that owns a cell in the highest term.
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
    pub(crate) fn end_faults(&mut self) {
        self.network_faults = NetworkFaults::default();
        self.store_down_until = self.now;
        self.partitions.clear();
        for process in &mut self.processes {
            process.store_cut_off_until = self.now;
            process.paused_until = self.now;
            if let Some(until) = &mut process.down_until {
                *until = self.now;
            }
        }
        for machine in &mut self.machines {
            machine.worker.set_all_fail(false);
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

    /// Runs until all tasks have ended, at most `span`, and returns violated
    /// invariants.
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
        fakes::history::check(
            &self.history.records(),
            fakes::history::HistoryEnd::Quiescent,
        )
    }
}
