//! The cells of an entry: store I/O around the state machine of each owner.
//!
//! Which entry owns a cell is agreed through the store alone; see
//! `docs/CELLS.md`. Everything that decides about tasks is in the `cell` crate.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cell::Timing;
use kernel::{
    CellName, Clock, EntryName, Epoch, Incarnation, ObjectSet, Revision, TaskRun, TeamSums, Time,
    VmName, secret::Secrets,
};
use proto::messages::{
    CellCapacity, CellOwner, EventQuery, EventReply, Heartbeat, JobQuery, JobReply, Order, Renewal,
};
use store::{LeaseId, Store};

mod drive;
mod jobs;
mod journal;
mod ownership;
mod slot;

pub use jobs::SubmitOutcome;

use ownership::Seen;
use slot::Slot;

/// The configuration as the cells need it.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The objects in force.
    pub objects: Arc<ObjectSet>,
    /// Their revision.
    pub revision: Revision,
    /// When the read was sent that proved that there is no newer revision.
    pub proved_at: Option<Time>,
}

/// Gives the configuration in force.
pub type ConfigSource = Arc<dyn Fn() -> ConfigView + Send + Sync>;

/// Gives the entries that are alive, this one included.
pub type LiveEntries = Arc<dyn Fn() -> Vec<EntryName> + Send + Sync>;

/// What the cells of an entry need.
pub struct Setup {
    /// The platform's key-value service.
    pub store: Arc<dyn Store>,
    /// The name of this entry.
    pub entry: EntryName,
    /// Where this entry takes calls of the system's own processes.
    pub address: SocketAddr,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// The clock of this process.
    pub clock: Clock,
    /// Spans of leases and proofs.
    pub timing: Timing,
    /// How long ownership lasts in the store without renewal.
    pub ownership_lease: std::time::Duration,
    /// Where the configuration comes from.
    pub config: ConfigSource,
    /// Who is alive.
    pub live_entries: LiveEntries,
    /// The secrets of the system's own processes.
    pub secrets: Secrets,
    /// The seed of random choices.
    pub seed: u64,
}

/// The cells that this entry owns or knows of.
pub struct Cells {
    setup: Setup,
    shared: Mutex<Shared>,
}

#[derive(Default)]
struct Shared {
    slots: BTreeMap<CellName, Arc<Slot>>,
    lease: Option<LeaseId>,
    known: BTreeSet<CellName>,
    cell_of: BTreeMap<VmName, CellName>,
    seen: BTreeMap<CellName, Seen>,
    rooms: BTreeMap<CellName, CellCapacity>,
    teams: BTreeMap<CellName, Arc<TeamSums>>,
    /// When the sums of each owned cell were taken.
    summed_at: BTreeMap<CellName, Time>,
    stopping: bool,
}

/// The part of the answer to a heartbeat that concerns tasks.
#[derive(Clone, Debug, Default)]
pub struct CellHeartbeatReply {
    /// Who owns the VM's cell, if that is known.
    pub owner: Option<CellOwner>,
    /// The fixed facts of the VM are wanted.
    pub need_info: bool,
    /// The term under which the rest is given, 0 if this entry owns no cell of
    /// the VM.
    pub epoch: Epoch,
    /// Renewed leases.
    pub renewed: Vec<Renewal>,
    /// What the agent has to do.
    pub orders: Vec<Order>,
    /// Ended attempts that are recorded.
    pub recorded: Vec<TaskRun>,
}

impl std::fmt::Debug for Cells {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Cells")
            .field("entry", &self.setup.entry)
            .finish_non_exhaustive()
    }
}

impl Cells {
    /// Cells of an entry; [`Cells::run`] has to run for anything to happen.
    #[must_use]
    pub fn new(setup: Setup) -> Arc<Self> {
        Arc::new(Self {
            setup,
            shared: Mutex::default(),
        })
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        self.setup.clock.now()
    }

    /// Makes a cell known, for instance from the facts of a VM.
    pub fn add_known_cell(&self, cell: &CellName) {
        let mut shared = self.shared();
        if !shared.known.contains(cell) {
            shared.known.insert(cell.clone());
        }
    }

    /// Takes in what another entry says of its cells.
    pub fn apply_peer_cells(&self, cells: Vec<CellOwner>) {
        let mut shared = self.shared();
        for owner in cells {
            if shared.slots.contains_key(&owner.cell) {
                continue;
            }
            shared.known.insert(owner.cell.clone());
            shared.rooms.insert(owner.cell, owner.capacity);
        }
    }

    /// Takes in what teams hold and want in another entry's cells.
    pub fn apply_peer_team_sums(&self, teams: BTreeMap<CellName, Arc<TeamSums>>) {
        let mut shared = self.shared();
        for (cell, sums) in teams {
            if !shared.slots.contains_key(&cell) {
                shared.teams.insert(cell, sums);
            }
        }
    }

    /// What teams hold and want in the cells that this entry owns.
    #[must_use]
    pub fn team_sums(&self) -> BTreeMap<CellName, Arc<TeamSums>> {
        let shared = self.shared();
        let mut teams = shared.teams.clone();
        teams.retain(|cell, _| shared.slots.contains_key(cell));
        teams
    }

    /// The cells that this entry owns, with their room, for the other entries.
    #[must_use]
    pub fn owned_cells(&self) -> Vec<CellOwner> {
        let slots = self.slots();
        slots.iter().map(|slot| self.owner_of(slot)).collect()
    }

    fn slots(&self) -> Vec<Arc<Slot>> {
        self.shared().slots.values().cloned().collect()
    }

    fn owner_of(&self, slot: &Slot) -> CellOwner {
        CellOwner {
            cell: slot.cell.clone(),
            entry: self.setup.entry.clone(),
            address: self.setup.address,
            epoch: slot.epoch,
            capacity: slot.room(),
        }
    }

    /// Takes in a heartbeat that was received at `received`.
    pub fn on_heartbeat(&self, beat: &Heartbeat, received: Time) -> CellHeartbeatReply {
        let Some(cell) = self.cell_of(beat) else {
            return CellHeartbeatReply {
                need_info: true,
                ..CellHeartbeatReply::default()
            };
        };
        let slot = self.shared().slots.get(&cell).cloned();
        let Some(slot) = slot else {
            return CellHeartbeatReply {
                owner: self.owner_seen(&cell),
                ..CellHeartbeatReply::default()
            };
        };
        let Some(answer) = slot.heartbeat(beat, received) else {
            return CellHeartbeatReply::default();
        };
        CellHeartbeatReply {
            owner: Some(self.owner_of(&slot)),
            need_info: answer.need_info,
            epoch: answer.epoch,
            renewed: answer.renewed,
            orders: answer.orders,
            recorded: answer.recorded,
        }
    }

    /// The cell of the sender; agents may move to another one by a new life.
    fn cell_of(&self, beat: &Heartbeat) -> Option<CellName> {
        let mut shared = self.shared();
        if let Some(info) = &beat.info {
            shared.known.insert(info.cell.clone());
            shared.cell_of.insert(beat.vm.clone(), info.cell.clone());
        }
        shared.cell_of.get(&beat.vm).cloned()
    }

    fn owner_seen(&self, cell: &CellName) -> Option<CellOwner> {
        let shared = self.shared();
        let seen = shared.seen.get(cell)?;
        seen.owner.as_ref().map(|key| key.owner.clone())
    }

    /// The jobs in the cells of this entry, with those that wait in their
    /// inboxes; one read of the store for each cell.
    pub async fn jobs(&self, query: &JobQuery) -> JobReply {
        let mut reply = JobReply::default();
        for slot in self.slots() {
            let inbox = self.waiting_items(&slot.cell).await;
            reply.jobs.extend(slot.jobs(query, &inbox));
        }
        reply
    }

    /// The accounting events of the cells of this entry.
    #[must_use]
    pub fn events(&self, query: &EventQuery) -> EventReply {
        let mut reply = EventReply::default();
        for slot in self.slots() {
            slot.events(query, &mut reply);
        }
        reply.events.sort_by_key(|event| event.at);
        reply
    }
}
