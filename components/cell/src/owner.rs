//! The owner of a cell binds tasks to workers and grants their leases.
//!
//! [`Owner`] separates durable from volatile data. [`State`] is durable: records
//! in the journal change it. Workers, leases and the newest checkpoints are
//! volatile: a new owner learns them again from heartbeats. A record changes the
//! state immediately, but the owner sends nothing that relies on the record
//! before its group is durable. See `docs/CELLS.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kernel::{CellName, Epoch, JobName, ObjectSet, Revision, TaskRun, TeamSums, Time, VmName};
use place::{Fleet, Learner, Queue};
use proto::messages::{CellCapacity, Heartbeat, Order, Renewal};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::{Group, InboxItem, Recovered, State, Timing};

mod beat;
mod health;
mod inbox;
mod journal;
mod learn;
mod lists;
mod quota;
mod recover;
mod runs;
mod schedule;
mod transfer;
mod worker;

use health::WorkerHealth;
use journal::Journal;
use quota::Allowances;
use runs::BoundRun;
use schedule::JobBacklog;
use worker::Worker;

/// The term of a new owner and the recovered content of its cell.
#[derive(Clone, Debug)]
pub struct Ownership {
    /// The owned cell.
    pub cell: CellName,
    /// The epoch of the new term.
    pub epoch: Epoch,
    /// When the call that acquired the cell was sent; the first proof of
    /// ownership.
    pub acquired_at: Time,
    /// When every lease that earlier owners may have granted has expired. Until
    /// then the owner keeps attempts whose workers have not reported.
    pub earlier_leases_end: Time,
    /// The content of the cell, read from the store.
    pub recovered: Recovered,
}

/// An input of the owner's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Items read from the inbox, with their store keys.
    Inbox(Vec<(String, InboxItem)>),
    /// A heartbeat arrived from a worker of the cell.
    Heartbeat(Box<Heartbeat>),
    /// The configuration in force.
    Config {
        /// The configured objects.
        objects: Arc<ObjectSet>,
        /// The revision of the objects.
        revision: Revision,
        /// When the last read was sent that showed no newer revision; `None`
        /// before the first such read.
        proved_at: Option<Time>,
    },
    /// The free capacity of all cells, including this one.
    CellCapacities(BTreeMap<CellName, CellCapacity>),
    /// The resources that teams hold and request in all cells, including this
    /// one.
    TeamSums(BTreeMap<CellName, Arc<TeamSums>>),
    /// The group in flight is durable. The time is when the call that
    /// confirmed this was sent.
    Committed(Time),
    /// A write was rejected because another term has started. A group in flight
    /// is not durable and never will be.
    TermLost,
    /// A call sent at this time proved that the term continues.
    OwnershipProved(Time),
    /// Time has passed; sent periodically.
    Tick,
    /// The owner must hand the cell over, because its process stops or another
    /// entry is preferred.
    Stop,
}

/// An output of the owner's state machine, executed by the driver of the cell.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write a group durably; the driver writes nothing else until the outcome
    /// is known.
    Commit {
        /// The records and key changes to write in one transaction.
        group: Group,
        /// The state after the group, in chunks; `Some` when the journal is to
        /// be compacted into a snapshot.
        snapshot: Option<Vec<Vec<u8>>>,
    },
    /// Answer the heartbeat that was just handled.
    Answer(Answer),
    /// Drop the cell: another owner has started a later term.
    StepDown,
    /// Record the orderly end of the term: all groups are durable and the owner
    /// grants no more leases.
    HandOver,
    /// End the term as in a handover, but leave no record of it: an owner before this one may
    /// still grant leases, so the next one has to wait as after an owner that was killed.
    Release,
}

/// The owner's part of the reply to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// Whether the next heartbeat must include the VM's static information.
    pub need_info: bool,
    /// The owner's epoch; leases and orders are valid only under it.
    pub epoch: Epoch,
    /// The leases that the owner renewed.
    pub renewed: Vec<Renewal>,
    /// Instructions that the agent executes.
    pub orders: Vec<Order>,
    /// Ended attempts whose end is durable, so the agent can drop them.
    pub recorded: Vec<TaskRun>,
}

/// The state machine of a cell's owner.
#[derive(Debug)]
pub struct Owner {
    cell: CellName,
    epoch: Epoch,
    timing: Timing,
    rng: ChaCha8Rng,

    state: State,
    journal: Journal,

    objects: Arc<ObjectSet>,
    revision: Revision,
    /// When the last read of the configuration was sent that showed no newer
    /// revision; `None` before the first such read.
    config_proved: Option<Time>,
    /// When the last call was sent that proved that the term continues.
    ownership_proved: Time,
    /// When every lease that earlier owners may have granted has expired.
    earlier_leases_end: Time,
    stopping: bool,
    ended: bool,

    fleet: Fleet,
    learner: Learner,
    queue: Queue,
    backlogs: BTreeMap<JobName, JobBacklog>,
    workers: BTreeMap<VmName, Worker>,
    runs_by_vm: BTreeMap<VmName, BTreeSet<TaskRun>>,
    bound_runs: BTreeMap<TaskRun, BoundRun>,
    health: WorkerHealth,
    cell_capacities: BTreeMap<CellName, CellCapacity>,
    allowances: Allowances,
    placement_due: bool,
    next_sweep: Time,
}

impl Owner {
    /// Creates an owner at the start of its term. `seed` makes placement
    /// reproducible.
    #[must_use]
    pub fn new(ownership: Ownership, timing: Timing, seed: u64) -> Self {
        let mut owner = Self {
            cell: ownership.cell,
            epoch: ownership.epoch,
            timing,
            rng: ChaCha8Rng::seed_from_u64(seed ^ ownership.epoch.0),
            journal: Journal::new(&ownership.recovered),
            state: ownership.recovered.state,
            objects: Arc::default(),
            revision: Revision::default(),
            config_proved: None,
            ownership_proved: ownership.acquired_at,
            earlier_leases_end: ownership.earlier_leases_end,
            stopping: false,
            ended: false,
            fleet: Fleet::new(),
            learner: Learner::default(),
            queue: Queue::new(),
            backlogs: BTreeMap::new(),
            workers: BTreeMap::new(),
            runs_by_vm: BTreeMap::new(),
            bound_runs: BTreeMap::new(),
            health: WorkerHealth::default(),
            cell_capacities: BTreeMap::new(),
            allowances: Allowances::default(),
            placement_due: true,
            next_sweep: Time::ZERO,
        };
        owner.index_recovered();
        owner
    }

    /// Returns the owned cell.
    #[must_use]
    pub const fn cell(&self) -> &CellName {
        &self.cell
    }

    /// Returns the epoch of the owner's term.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether the term has ended; an ended owner ignores all events.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the state, including the effect of records that are not durable
    /// yet.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Handles one event and returns the actions to execute, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.ended {
            return actions;
        }
        match event {
            Event::Inbox(items) => self.handle_inbox(now, items),
            Event::Heartbeat(beat) => actions.extend(self.handle_heartbeat(now, &beat)),
            Event::Config {
                objects,
                revision,
                proved_at,
            } => self.handle_config(now, objects, revision, proved_at),
            Event::CellCapacities(cell_capacities) => self.cell_capacities = cell_capacities,
            Event::TeamSums(sums) => self.handle_team_sums(sums),
            Event::Committed(sent) => self.handle_committed(sent),
            Event::TermLost => actions.push(self.step_down()),
            Event::OwnershipProved(sent) => self.ownership_proved = self.ownership_proved.max(sent),
            Event::Tick => self.tick(now),
            Event::Stop => self.stopping = true,
        }
        if !self.ended {
            actions.extend(self.flush(now));
        }
        actions
    }

    /// Returns whether the owner may still grant leases.
    fn may_grant(&self, now: Time) -> bool {
        !self.stopping && now < self.ownership_proved + self.timing.owner_grace
    }

    /// Returns the time at which the proof of the configuration gets too old for
    /// starting tasks.
    fn start_until(&self) -> Option<Time> {
        Some(self.config_proved? + self.timing.proof_max_age)
    }

    /// Returns whether the owner may start tasks: it may grant leases and the
    /// proof of the configuration is recent enough.
    fn may_start(&self, now: Time) -> bool {
        self.may_grant(now) && self.start_until().is_some_and(|until| now < until)
    }

    fn step_down(&mut self) -> Action {
        self.ended = true;
        Action::StepDown
    }

    fn tick(&mut self, now: Time) {
        if self.next_sweep.passed(now) {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep_workers(now);
            self.sweep_jobs(now);
            self.transfer_waiting(now);
            self.placement_due = true;
        }
        self.update_allowances();
        self.schedule(now);
    }
}

/// Interval between checks for unresponsive workers, old ended jobs and tasks to
/// transfer.
const SWEEP_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);
