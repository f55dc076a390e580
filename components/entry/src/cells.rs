//! Runs the cells that an entry owns: store I/O around the state machine of each cell.
//!
//! Entries agree on the owner of a cell through the store alone; see
//! `docs/CELLS.md`. The `cell` crate makes all decisions about tasks.

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

use ownership::{AcquiredTerm, OwnershipState};
use slot::Slot;

/// The configuration that the owners of cells schedule by.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The objects in force.
    pub objects: Arc<ObjectSet>,
    /// The revision of `objects`.
    pub revision: Revision,
    /// When this entry sent the read that proved `revision` to be the newest;
    /// `None` if it never did.
    pub proved_at: Option<Time>,
}

/// Returns the configuration in force.
pub type ConfigSource = Arc<dyn Fn() -> ConfigView + Send + Sync>;

/// Returns the live entries, including this one.
pub type LiveEntries = Arc<dyn Fn() -> Vec<EntryName> + Send + Sync>;

/// The dependencies and settings of [`Cells`].
pub struct Setup {
    /// The platform's key-value service.
    pub store: Arc<dyn Store>,
    /// The name of this entry.
    pub entry: EntryName,
    /// The address where this entry accepts RPCs from agents and other entries.
    pub address: SocketAddr,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The clock of this process.
    pub clock: Clock,
    /// Durations of leases and proofs.
    pub timing: Timing,
    /// The TTL of the store lease that owner keys are attached to.
    pub ownership_lease: std::time::Duration,
    /// Returns the configuration in force.
    pub config: ConfigSource,
    /// Returns the live entries.
    pub live_entries: LiveEntries,
    /// Secrets that authenticate RPCs between processes of the system.
    pub secrets: Secrets,
    /// The seed for random choices.
    pub seed: u64,
}

/// The cells that this entry owns, and its knowledge of other cells.
pub struct Cells {
    setup: Setup,
    shared: Mutex<Shared>,
}

#[derive(Default)]
struct Shared {
    slots: BTreeMap<CellName, Arc<Slot>>,
    lease: Option<LeaseId>,
    known_cells: BTreeSet<CellName>,
    cell_by_vm: BTreeMap<VmName, CellName>,
    ownership_states: BTreeMap<CellName, OwnershipState>,
    /// Terms that this process has acquired, or may have, and has not started yet.
    acquired_terms: BTreeMap<CellName, AcquiredTerm>,
    capacities: BTreeMap<CellName, CellCapacity>,
    team_sums: BTreeMap<CellName, Arc<TeamSums>>,
    /// When `team_sums` was last computed for each owned cell.
    team_sums_at: BTreeMap<CellName, Time>,
    stopping: bool,
}

/// The part of a heartbeat reply that concerns tasks.
#[derive(Clone, Debug, Default)]
pub struct CellHeartbeatReply {
    /// The owner of the VM's cell; `None` if this entry does not know it.
    pub owner: Option<CellOwner>,
    /// Asks the agent to include the `VmInfo` in its next heartbeat.
    pub need_info: bool,
    /// The epoch in which the fields below hold; 0 if this entry does not own
    /// the VM's cell.
    pub epoch: Epoch,
    /// Task leases that the owner renewed.
    pub renewed: Vec<Renewal>,
    /// The orders that the agent has to carry out.
    pub orders: Vec<Order>,
    /// Ended attempts that the owner has recorded, so the agent can drop them.
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
    /// Creates the cells of an entry. They do nothing until [`Cells::run`] runs.
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

    /// Adds a cell to the known ones, for instance the cell named in a `VmInfo`.
    pub fn add_known_cell(&self, cell: &CellName) {
        let mut shared = self.shared();
        if !shared.known_cells.contains(cell) {
            shared.known_cells.insert(cell.clone());
        }
    }

    /// Records the cells that another entry reports as its own.
    pub fn apply_peer_cells(&self, cells: Vec<CellOwner>) {
        let mut shared = self.shared();
        for owner in cells {
            if shared.slots.contains_key(&owner.cell) {
                continue;
            }
            shared.known_cells.insert(owner.cell.clone());
            shared.capacities.insert(owner.cell, owner.capacity);
        }
    }

    /// Records the usage and demand of teams in another entry's cells.
    pub fn apply_peer_team_sums(&self, teams: BTreeMap<CellName, Arc<TeamSums>>) {
        let mut shared = self.shared();
        for (cell, sums) in teams {
            if !shared.slots.contains_key(&cell) {
                shared.team_sums.insert(cell, sums);
            }
        }
    }

    /// Returns the usage and demand of teams in the cells that this entry owns.
    #[must_use]
    pub fn team_sums(&self) -> BTreeMap<CellName, Arc<TeamSums>> {
        let shared = self.shared();
        let mut teams = shared.team_sums.clone();
        teams.retain(|cell, _| shared.slots.contains_key(cell));
        teams
    }

    /// Returns the cells that this entry owns, with their capacity, for the other entries.
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
            capacity: slot.capacity(),
        }
    }

    /// Passes a heartbeat to the owner of the sender's cell if that is this entry.
    pub fn on_heartbeat(&self, heartbeat: &Heartbeat, received: Time) -> CellHeartbeatReply {
        let Some(cell) = self.cell_of_sender(heartbeat) else {
            return CellHeartbeatReply {
                need_info: true,
                ..CellHeartbeatReply::default()
            };
        };
        let slot = self.shared().slots.get(&cell).cloned();
        let Some(slot) = slot else {
            return CellHeartbeatReply {
                owner: self.known_owner(&cell),
                ..CellHeartbeatReply::default()
            };
        };
        let Some(answer) = slot.heartbeat(heartbeat, received) else {
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

    /// Returns the cell of the sender. A new incarnation of an agent may be in
    /// another cell than the earlier one.
    fn cell_of_sender(&self, heartbeat: &Heartbeat) -> Option<CellName> {
        let mut shared = self.shared();
        if let Some(info) = &heartbeat.info {
            shared.known_cells.insert(info.cell.clone());
            shared
                .cell_by_vm
                .insert(heartbeat.vm.clone(), info.cell.clone());
        }
        shared.cell_by_vm.get(&heartbeat.vm).cloned()
    }

    fn known_owner(&self, cell: &CellName) -> Option<CellOwner> {
        let shared = self.shared();
        let state = shared.ownership_states.get(cell)?;
        state.owner.as_ref().map(|record| record.owner.clone())
    }

    /// Lists the jobs in the cells of this entry, including those that wait in
    /// the inboxes. Reads the store once for each cell.
    pub async fn jobs(&self, query: &JobQuery) -> JobReply {
        let mut reply = JobReply::default();
        for slot in self.slots() {
            let inbox = self.inbox_items(&slot.cell).await;
            reply.jobs.extend(slot.jobs(query, &inbox));
        }
        reply
    }

    /// Returns the accounting events of the cells of this entry.
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
