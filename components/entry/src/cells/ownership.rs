//! Acquires cells, proves their ownership and hands them over.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cell::{Event, Owner, Ownership, keys, preferred_owner};
use kernel::{CellName, Epoch, Incarnation, Time};
use proto::messages::{CellCapacity, CellOwner};
use serde::{Deserialize, Serialize};
use store::{Compare, KeyRange, LeaseId, Op, StoreError, Txn, backoff::Backoff};

use super::{Cells, slot::Slot};

/// How often the owners of all cells are read.
pub(super) const OWNERS_INTERVAL: Duration = Duration::from_secs(1);

/// How many times the ownership lease is renewed within its TTL.
const RENEWALS_PER_LEASE: u32 = 4;

/// How long another entry has to be the preferred owner before this entry hands
/// a cell over.
const HANDOVER_DELAY: Duration = Duration::from_secs(5);

/// How long a cell may lack an owner before an entry that is not preferred
/// acquires it.
const UNOWNED_TIMEOUT: Duration = Duration::from_secs(3);

/// How long this entry does not acquire a cell again after it failed to recover it.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(30);

/// The value of a cell's owner key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OwnerRecord {
    pub(super) owner: CellOwner,
    /// The incarnation of the owning process. A later incarnation under the same
    /// name has to wait until the key expires, as any other entry does.
    incarnation: Incarnation,
}

/// The ownership of one cell as last read from the store.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnershipState {
    epoch: Option<Epoch>,
    pub(super) owner: Option<OwnerRecord>,
    /// The stored value that `owner` was parsed from; empty if the cell has no owner key.
    owner_value: Vec<u8>,
    /// The last epoch whose owner recorded a handover.
    handover: Option<Epoch>,
    unowned_since: Option<Time>,
    /// Since when another entry is the preferred owner; `None` while this one is.
    not_preferred_since: Option<Time>,
    /// Until when this entry does not acquire the cell, since it failed to recover it.
    paused_until: Option<Time>,
}

/// A term that this process has acquired, or may have, and has not started yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcquiredTerm {
    epoch: Epoch,
    acquired_at: Time,
    lease: LeaseId,
    /// When every lease that an earlier owner may have granted has ended.
    earlier_leases_end: Time,
}

impl Cells {
    /// Renews the lease, reads the owners, and acquires and hands over cells
    /// until [`Cells::stop`].
    pub async fn run(self: Arc<Self>) {
        let renewer = smol::spawn(self.clone().renew_forever());
        loop {
            if self.shared().stopping {
                break;
            }
            match self.read_owners().await {
                Ok(()) => self.reconcile_ownership().await,
                Err(error) => tracing::warn!(%error, "failed to read the owners of cells"),
            }
            smol::Timer::after(OWNERS_INTERVAL).await;
        }
        drop(renewer);
    }

    async fn renew_forever(self: Arc<Self>) {
        let interval = self.setup.ownership_lease / RENEWALS_PER_LEASE;
        loop {
            if let Err(error) = self.renew().await {
                tracing::warn!(%error, "failed to renew the ownership of cells");
            }
            smol::Timer::after(interval).await;
        }
    }

    /// Renews the lease. A live lease proves the ownership of the cells whose
    /// owner keys are attached to it: no entry acquires a cell while its owner
    /// key exists.
    async fn renew(&self) -> Result<(), StoreError> {
        let sent = self.now();
        let lease = self.shared().lease;
        let Some(lease) = lease else {
            return self.replace_lease().await;
        };
        if !self.setup.store.keep_alive(lease).await? {
            self.shared().lease = None;
            return self.replace_lease().await;
        }
        for slot in self.slots() {
            if slot.lease() == Some(lease) {
                slot.handle(self.now(), Event::OwnershipProved(sent));
                continue;
            }
            self.rewrite_owner_key(&slot, lease).await?;
        }
        Ok(())
    }

    /// Gets a new lease and attaches the owner keys of all owned cells to it.
    async fn replace_lease(&self) -> Result<(), StoreError> {
        let lease = self.setup.store.grant(self.setup.ownership_lease).await?;
        self.shared().lease = Some(lease);
        for slot in self.slots() {
            self.rewrite_owner_key(&slot, lease).await?;
        }
        Ok(())
    }

    /// Writes the owner key of a cell again if the term has not ended.
    async fn rewrite_owner_key(&self, slot: &Slot, lease: LeaseId) -> Result<(), StoreError> {
        let txn = Txn {
            compares: vec![epoch_equals(&slot.cell, slot.epoch)],
            ops: vec![self.owner_put_op(&slot.cell, slot.epoch, lease)],
            otherwise: Vec::new(),
        };
        let sent = self.now();
        let reply = self.setup.store.txn(txn).await?;
        let event = match reply.succeeded {
            true => Event::OwnershipProved(sent),
            false => Event::TermLost,
        };
        slot.set_lease(reply.succeeded.then_some(lease));
        slot.handle(self.now(), event);
        Ok(())
    }

    fn owner_put_op(&self, cell: &CellName, epoch: Epoch, lease: LeaseId) -> Op {
        let record = OwnerRecord {
            owner: CellOwner {
                cell: cell.clone(),
                entry: self.setup.entry.clone(),
                address: self.setup.address,
                epoch,
                capacity: CellCapacity::default(),
            },
            incarnation: self.setup.incarnation,
        };
        Op::Put {
            key: keys::owner(cell),
            value: serde_json::to_vec(&record).unwrap_or_default(),
            lease: Some(lease),
        }
    }

    /// Reads the owners of all cells in one call.
    async fn read_owners(&self) -> Result<(), StoreError> {
        let range = KeyRange::prefix(keys::OWNERS);
        let reply = self.setup.store.range(range, 0).await?;
        let mut found: BTreeMap<CellName, OwnershipState> = BTreeMap::new();
        for kv in reply.kvs {
            let Some((cell, field)) = split_owner_key(&kv.key) else {
                continue;
            };
            let state = found.entry(cell).or_default();
            match field {
                "epoch" => state.epoch = parse_epoch(&kv.value),
                "handover" => state.handover = parse_epoch(&kv.value),
                "owner" => {
                    state.owner = serde_json::from_slice(&kv.value).ok();
                    state.owner_value = kv.value;
                }
                _ => {}
            }
        }
        self.record_owners(found);
        Ok(())
    }

    fn record_owners(&self, mut found: BTreeMap<CellName, OwnershipState>) {
        let now = self.now();
        let live = (self.setup.live_entries)();
        let mut shared = self.shared();
        shared.known_cells.extend(found.keys().cloned());
        let known: Vec<CellName> = shared.known_cells.iter().cloned().collect();
        for cell in known {
            let mut state = found.remove(&cell).unwrap_or_default();
            let before = shared.ownership_states.get(&cell);
            if state.owner_value.is_empty() {
                let since = before.and_then(|state| state.unowned_since);
                state.unowned_since = Some(since.unwrap_or(now));
            }
            if preferred_owner(&cell, &live) != Some(&self.setup.entry) {
                let since = before.and_then(|state| state.not_preferred_since);
                state.not_preferred_since = Some(since.unwrap_or(now));
            }
            state.paused_until = before.and_then(|state| state.paused_until);
            shared.ownership_states.insert(cell, state);
        }
    }

    /// Acquires the cells that this entry should own and hands over the others.
    async fn reconcile_ownership(self: &Arc<Self>) {
        let now = self.now();
        let state = self.shared().ownership_states.clone();
        for (cell, state) in state {
            let slot = self.shared().slots.get(&cell).cloned();
            let not_preferred_since = state.not_preferred_since;
            if let Some(slot) = slot {
                if !self.is_own_term(state.owner.as_ref(), slot.epoch) {
                    slot.set_lease(None);
                }
                if not_preferred_since.is_some_and(|since| (since + HANDOVER_DELAY).passed(now)) {
                    slot.handle(now, Event::Stop);
                }
                continue;
            }
            if !self.may_acquire(now, &state) {
                continue;
            }
            if let Err(error) = self.acquire(&cell, &state).await {
                tracing::warn!(%cell, %error, "failed to acquire the cell");
            }
        }
    }

    fn is_own_term(&self, record: Option<&OwnerRecord>, epoch: Epoch) -> bool {
        record.is_some_and(|record| record.owner.epoch == epoch && self.is_own_record(record))
    }

    /// Returns whether this process wrote the record.
    fn is_own_record(&self, record: &OwnerRecord) -> bool {
        record.owner.entry == self.setup.entry && record.incarnation == self.setup.incarnation
    }

    fn may_acquire(&self, now: Time, state: &OwnershipState) -> bool {
        if state.paused_until.is_some_and(|until| !until.passed(now)) || self.shared().stopping {
            return false;
        }
        let free = match &state.owner {
            // This process acquired the cell, but the reply was lost.
            Some(record) => self.is_own_record(record),
            None => state.owner_value.is_empty(),
        };
        let long_unowned = state
            .unowned_since
            .is_some_and(|since| (since + UNOWNED_TIMEOUT).passed(now));
        free && (state.not_preferred_since.is_none() || long_unowned)
    }

    async fn acquire(
        self: &Arc<Self>,
        cell: &CellName,
        state: &OwnershipState,
    ) -> Result<(), StoreError> {
        let acquired = self.shared().acquired_terms.get(cell).copied();
        if let Some(term) = acquired
            && self.is_own_term(state.owner.as_ref(), term.epoch)
        {
            return self.start_term(cell, term).await;
        }
        let Some(lease) = self.shared().lease else {
            return Ok(());
        };
        let epoch = Epoch(state.epoch.unwrap_or_default().0 + 1);
        let txn = Txn {
            compares: vec![
                match state.epoch {
                    Some(epoch) => epoch_equals(cell, epoch),
                    None => Compare::Absent(keys::epoch(cell)),
                },
                match state.owner {
                    Some(_) => Compare::ValueIs(keys::owner(cell), state.owner_value.clone()),
                    None => Compare::Absent(keys::owner(cell)),
                },
            ],
            ops: vec![
                Op::put(keys::epoch(cell), epoch_value(epoch)),
                self.owner_put_op(cell, epoch, lease),
            ],
            otherwise: Vec::new(),
        };
        let term = AcquiredTerm {
            epoch,
            acquired_at: self.now(),
            lease,
            earlier_leases_end: self.earlier_leases_end(state),
        };
        // The reply may be lost, and the first read of the cell may fail.
        self.shared().acquired_terms.insert(cell.clone(), term);
        if !self.setup.store.txn(txn).await?.succeeded {
            self.shared().acquired_terms.remove(cell);
            return Ok(());
        }
        self.start_term(cell, term).await
    }

    async fn start_term(
        self: &Arc<Self>,
        cell: &CellName,
        term: AcquiredTerm,
    ) -> Result<(), StoreError> {
        let epoch = term.epoch;
        let found = self.read_cell(cell).await?;
        let recovered = match cell::recover(found.head, &found.chunks, &found.groups) {
            Ok(recovered) => recovered,
            Err(error) => {
                tracing::error!(%cell, %error, "failed to recover the cell from its snapshot and journal");
                self.pause_acquiring(cell);
                return Ok(());
            }
        };
        tracing::info!(%cell, epoch = epoch.0, "acquired the cell");
        let ownership = Ownership {
            cell: cell.clone(),
            epoch,
            acquired_at: term.acquired_at,
            earlier_leases_end: term.earlier_leases_end,
            recovered,
        };
        let seed = self.setup.seed;
        let owner = Owner::new(ownership, self.setup.timing, seed);
        let slot = Arc::new(Slot::new(owner, term.lease));
        self.shared().acquired_terms.remove(cell);
        self.shared().slots.insert(cell.clone(), slot.clone());
        smol::spawn(self.clone().drive(slot, found.head_value)).detach();
        Ok(())
    }

    /// Returns when every lease that an earlier owner may have granted has ended.
    fn earlier_leases_end(&self, state: &OwnershipState) -> Time {
        let now = self.now();
        let Some(earlier) = state.epoch else {
            return now;
        };
        let handed_over = state.handover == Some(earlier);
        self.setup.timing.earlier_leases_end(now, handed_over)
    }

    fn pause_acquiring(&self, cell: &CellName) {
        let until = self.now() + UNREADABLE_PAUSE;
        if let Some(state) = self.shared().ownership_states.get_mut(cell) {
            state.paused_until = Some(until);
        }
    }

    /// Records the handover at the end of a term and releases the cell.
    pub(super) async fn hand_over(&self, slot: &Slot) {
        let record = Op::put(keys::handover(&slot.cell), epoch_value(slot.epoch));
        self.end_term(slot, vec![record]).await;
    }

    /// Releases the cell at the end of a term without a record of the handover.
    pub(super) async fn release(&self, slot: &Slot) {
        self.end_term(slot, Vec::new()).await;
    }

    /// Deletes the key of the owner. It is on a lease that this process goes on renewing, so
    /// nobody could acquire the cell without an answer.
    async fn end_term(&self, slot: &Slot, mut ops: Vec<Op>) {
        ops.push(Op::Delete(KeyRange::one(keys::owner(&slot.cell))));
        let txn = Txn {
            compares: vec![epoch_equals(&slot.cell, slot.epoch)],
            ops,
            otherwise: Vec::new(),
        };
        let mut backoff = Backoff::with_random_seed();
        while let Err(error) = self.setup.store.txn(txn.clone()).await {
            if backoff.failures() == 0 {
                tracing::warn!(cell = %slot.cell, %error, "can't release the cell; trying again");
            }
            smol::Timer::after(backoff.next_delay()).await;
        }
    }

    /// Hands over all cells for a planned stop. Returns once all are released.
    ///
    /// The caller bounds the wait; other entries acquire the remaining cells
    /// when the lease expires.
    pub async fn stop(&self) {
        self.shared().stopping = true;
        for slot in self.slots() {
            slot.handle(self.now(), Event::Stop);
        }
        while !self.shared().slots.is_empty() {
            smol::Timer::after(STOP_POLL_INTERVAL).await;
        }
    }
}

/// How often a planned stop checks whether all cells are released.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

pub(super) fn epoch_equals(cell: &CellName, epoch: Epoch) -> Compare {
    Compare::ValueIs(keys::epoch(cell), epoch_value(epoch))
}

fn epoch_value(epoch: Epoch) -> Vec<u8> {
    epoch.0.to_string().into_bytes()
}

fn parse_epoch(value: &[u8]) -> Option<Epoch> {
    let text = std::str::from_utf8(value).ok()?;
    text.parse().ok().map(Epoch)
}

/// Splits a key under [`keys::OWNERS`] into the cell and the last part.
fn split_owner_key(key: &str) -> Option<(CellName, &str)> {
    let (cell, field) = key.strip_prefix(keys::OWNERS)?.split_once('/')?;
    Some((CellName::new(cell).ok()?, field))
}
