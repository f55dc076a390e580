//! The owner of a cell: who runs what where, and until when.
//!
//! [`Owner`] keeps two kinds of knowledge apart. What must not be forgotten is
//! the [`State`], changed by records that go to the journal. What can be learnt
//! again from heartbeats is volatile: workers, leases, the newest checkpoints.
//! A record changes the state at once, but nothing that relies on it leaves the
//! owner before its group is durable. See `docs/CELLS.md`.

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

use health::Health;
use journal::Journal;
use quota::Allowances;
use runs::Live;
use schedule::Feed;
use worker::Worker;

/// A cell as its new owner finds it.
#[derive(Clone, Debug)]
pub struct Ownership {
    /// The cell.
    pub cell: CellName,
    /// The new term.
    pub epoch: Epoch,
    /// When the term was proved, the sending of the call that took it.
    pub acquired_at: Time,
    /// When every lease that earlier owners may have granted has ended, unless
    /// a worker tells more.
    pub earlier_leases_end: Time,
    /// What the store holds.
    pub recovered: Recovered,
}

/// What happens to an owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// Items of the inbox with their keys.
    Inbox(Vec<(String, InboxItem)>),
    /// A heartbeat of a worker of the cell came in.
    Heartbeat(Box<Heartbeat>),
    /// The configuration in force.
    Config {
        /// Its objects.
        objects: Arc<ObjectSet>,
        /// Its revision.
        revision: Revision,
        /// When it was last proved that there is no newer one.
        proved_at: Option<Time>,
    },
    /// The room in all cells, this one included.
    CellCapacities(BTreeMap<CellName, CellCapacity>),
    /// What teams hold and want in all cells, this one included.
    TeamSums(BTreeMap<CellName, Arc<TeamSums>>),
    /// The group in flight is durable; the call that showed it was sent then.
    Committed(Time),
    /// The group in flight is not durable and never will be: the term is over.
    TermLost,
    /// The term was proved by a call that was sent then.
    OwnershipProved(Time),
    /// Time passed.
    Tick,
    /// The process is about to stop; another owner should go on.
    Stop,
}

/// What an owner wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Make a group durable; nothing else may be written until that is settled.
    Commit {
        /// The group.
        group: Group,
        /// The state after it, in chunks, if the journal is to be folded.
        snapshot: Option<Vec<Vec<u8>>>,
    },
    /// Answer the heartbeat that was just handled.
    Answer(Answer),
    /// The term is over, another owner has the cell.
    StepDown,
    /// Everything is written and no lease is granted any more: record the end
    /// of the term.
    HandOver,
}

/// The owner's part of the answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// The fixed facts of the VM are wanted.
    pub need_info: bool,
    /// The term under which the rest is given.
    pub epoch: Epoch,
    /// Renewed leases.
    pub renewed: Vec<Renewal>,
    /// What the agent has to do.
    pub orders: Vec<Order>,
    /// Ended attempts that are recorded.
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
    config_proved: Option<Time>,
    ownership_proved: Time,
    earlier_leases_end: Time,
    stopping: bool,
    ended: bool,

    fleet: Fleet,
    learner: Learner,
    queue: Queue,
    feeds: BTreeMap<JobName, Feed>,
    workers: BTreeMap<VmName, Worker>,
    homes: BTreeMap<VmName, BTreeSet<TaskRun>>,
    live: BTreeMap<TaskRun, Live>,
    health: Health,
    rooms: BTreeMap<CellName, CellCapacity>,
    allowances: Allowances,
    placement_due: bool,
    next_sweep: Time,
}

impl Owner {
    /// An owner at the start of its term.
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
            feeds: BTreeMap::new(),
            workers: BTreeMap::new(),
            homes: BTreeMap::new(),
            live: BTreeMap::new(),
            health: Health::default(),
            rooms: BTreeMap::new(),
            allowances: Allowances::default(),
            placement_due: true,
            next_sweep: Time::ZERO,
        };
        owner.index_recovered();
        owner
    }

    /// The cell.
    #[must_use]
    pub const fn cell(&self) -> &CellName {
        &self.cell
    }

    /// The term.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the term is over.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// What the journal amounts to, with records that are not durable yet.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Takes in one event and says what is to be done.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.ended {
            return actions;
        }
        match event {
            Event::Inbox(items) => self.take_inbox(now, items),
            Event::Heartbeat(beat) => actions.extend(self.take_heartbeat(now, &beat)),
            Event::Config {
                objects,
                revision,
                proved_at,
            } => self.take_config(now, objects, revision, proved_at),
            Event::CellCapacities(rooms) => self.rooms = rooms,
            Event::TeamSums(sums) => self.take_team_sums(sums),
            Event::Committed(sent) => self.take_committed(sent),
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

    /// Whether the owner may still promise anything to workers.
    fn may_grant(&self, now: Time) -> bool {
        !self.stopping && now < self.ownership_proved + self.timing.owner_grace
    }

    /// Until when the configuration is known well enough to start tasks.
    fn start_until(&self) -> Option<Time> {
        Some(self.config_proved? + self.timing.proof_max_age)
    }

    /// Whether the configuration is known well enough to start tasks now.
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
        self.allow();
        self.schedule(now);
    }
}

/// How often silent workers, ended jobs and waiting tasks are looked through.
const SWEEP_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);
