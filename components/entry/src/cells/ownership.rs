//! Taking cells, proving that they are still owned, and handing them over.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cell::{Event, Owner, Ownership, keys, preferred_owner};
use kernel::{CellName, Epoch, Incarnation, Time};
use proto::messages::{CellCapacity, CellOwner};
use serde::{Deserialize, Serialize};
use store::{Compare, KeyRange, LeaseId, Op, StoreError, Txn};

use super::{Cells, slot::Slot};

/// How often the owners of all cells are read.
pub(super) const OWNERS_INTERVAL: Duration = Duration::from_secs(1);

/// How many times ownership is renewed within its lease.
const RENEWALS: u32 = 4;

/// How long another entry has to be preferred before a cell is handed to it.
const HANDOVER_AFTER: Duration = Duration::from_secs(5);

/// How long a cell may lack an owner before an entry that is not preferred
/// takes it.
const UNOWNED_AFTER: Duration = Duration::from_secs(3);

/// How long a cell that can't be read is left alone.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(30);

/// The value of a cell's owner key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OwnerKey {
    pub(super) owner: CellOwner,
    /// The life of the owning process; a later one under the same name waits
    /// for the key to lapse like everyone else.
    incarnation: Incarnation,
}

/// What the store said last of one cell.
#[derive(Clone, Debug, Default)]
pub(super) struct Seen {
    epoch: Option<Epoch>,
    pub(super) owner: Option<OwnerKey>,
    owner_value: Vec<u8>,
    handover: Option<Epoch>,
    unowned_since: Option<Time>,
    foreign_since: Option<Time>,
    paused_until: Option<Time>,
}

impl Cells {
    /// Keeps the lease, reads the owners, takes and hands over cells, forever.
    pub async fn run(self: Arc<Self>) {
        let renewer = smol::spawn(self.clone().renew_forever());
        loop {
            if self.shared().stopping {
                break;
            }
            match self.read_owners().await {
                Ok(()) => self.settle_ownership().await,
                Err(error) => tracing::warn!(%error, "the owners of cells can't be read"),
            }
            smol::Timer::after(OWNERS_INTERVAL).await;
        }
        drop(renewer);
    }

    async fn renew_forever(self: Arc<Self>) {
        let interval = self.setup.ownership_lease / RENEWALS;
        loop {
            if let Err(error) = self.renew().await {
                tracing::warn!(%error, "the ownership of cells can't be renewed");
            }
            smol::Timer::after(interval).await;
        }
    }

    /// Renews the lease; that it lives proves the ownership of the cells whose
    /// owner keys hang on it, since nobody takes a cell while that key exists.
    async fn renew(&self) -> Result<(), StoreError> {
        let sent = self.now();
        let lease = self.shared().lease;
        let Some(lease) = lease else {
            return self.renew_lost().await;
        };
        if !self.setup.store.keep_alive(lease).await? {
            self.shared().lease = None;
            return self.renew_lost().await;
        }
        for slot in self.slots() {
            if slot.lease() == Some(lease) {
                slot.handle(self.now(), Event::OwnershipProved(sent));
                continue;
            }
            self.claim_again(&slot, lease).await?;
        }
        Ok(())
    }

    /// Gets a new lease and hangs all owned cells on it.
    async fn renew_lost(&self) -> Result<(), StoreError> {
        let lease = self.setup.store.grant(self.setup.ownership_lease).await?;
        self.shared().lease = Some(lease);
        for slot in self.slots() {
            self.claim_again(&slot, lease).await?;
        }
        Ok(())
    }

    /// Writes the owner key of a cell again, if no other term has begun.
    async fn claim_again(&self, slot: &Slot, lease: LeaseId) -> Result<(), StoreError> {
        let txn = Txn {
            compares: vec![epoch_is(&slot.cell, slot.epoch)],
            ops: vec![self.put_owner(&slot.cell, slot.epoch, lease)],
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

    fn put_owner(&self, cell: &CellName, epoch: Epoch, lease: LeaseId) -> Op {
        let key = OwnerKey {
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
            value: serde_json::to_vec(&key).unwrap_or_default(),
            lease: Some(lease),
        }
    }

    /// Reads the owners of all cells in one call.
    async fn read_owners(&self) -> Result<(), StoreError> {
        let range = KeyRange::prefix(keys::OWNERS);
        let reply = self.setup.store.range(range, 0).await?;
        let mut found: BTreeMap<CellName, Seen> = BTreeMap::new();
        for kv in reply.kvs {
            let Some((cell, what)) = split(&kv.key) else {
                continue;
            };
            let seen = found.entry(cell).or_default();
            match what {
                "epoch" => seen.epoch = parse_epoch(&kv.value),
                "handover" => seen.handover = parse_epoch(&kv.value),
                "owner" => {
                    seen.owner = serde_json::from_slice(&kv.value).ok();
                    seen.owner_value = kv.value;
                }
                _ => {}
            }
        }
        self.note_owners(found);
        Ok(())
    }

    fn note_owners(&self, mut found: BTreeMap<CellName, Seen>) {
        let now = self.now();
        let live = (self.setup.live_entries)();
        let mut shared = self.shared();
        shared.known.extend(found.keys().cloned());
        let known: Vec<CellName> = shared.known.iter().cloned().collect();
        for cell in known {
            let mut seen = found.remove(&cell).unwrap_or_default();
            let before = shared.seen.get(&cell);
            if seen.owner_value.is_empty() {
                let since = before.and_then(|seen| seen.unowned_since);
                seen.unowned_since = Some(since.unwrap_or(now));
            }
            if preferred_owner(&cell, &live) != Some(&self.setup.entry) {
                let since = before.and_then(|seen| seen.foreign_since);
                seen.foreign_since = Some(since.unwrap_or(now));
            }
            seen.paused_until = before.and_then(|seen| seen.paused_until);
            shared.seen.insert(cell, seen);
        }
    }

    /// Takes the cells that this entry should own and hands over those that it
    /// should not.
    async fn settle_ownership(self: &Arc<Self>) {
        let now = self.now();
        let seen = self.shared().seen.clone();
        for (cell, seen) in seen {
            let slot = self.shared().slots.get(&cell).cloned();
            let foreign_since = seen.foreign_since;
            if let Some(slot) = slot {
                if !self.is_own(seen.owner.as_ref(), slot.epoch) {
                    slot.set_lease(None);
                }
                if foreign_since.is_some_and(|since| (since + HANDOVER_AFTER).passed(now)) {
                    slot.handle(now, Event::Stop);
                }
                continue;
            }
            if !self.should_take(now, &seen) {
                continue;
            }
            if let Err(error) = self.take(&cell, &seen).await {
                tracing::warn!(%cell, %error, "the cell can't be taken");
            }
        }
    }

    fn is_own(&self, key: Option<&OwnerKey>, epoch: Epoch) -> bool {
        key.is_some_and(|key| key.owner.epoch == epoch && self.is_mine(key))
    }

    /// Whether this very process wrote the key.
    fn is_mine(&self, key: &OwnerKey) -> bool {
        key.owner.entry == self.setup.entry && key.incarnation == self.setup.incarnation
    }

    fn should_take(&self, now: Time, seen: &Seen) -> bool {
        if seen.paused_until.is_some_and(|until| !until.passed(now)) || self.shared().stopping {
            return false;
        }
        let free = match &seen.owner {
            // A lost answer: this process took the cell and does not know it.
            Some(key) => self.is_mine(key),
            None => seen.owner_value.is_empty(),
        };
        let long_unowned = seen
            .unowned_since
            .is_some_and(|since| (since + UNOWNED_AFTER).passed(now));
        free && (seen.foreign_since.is_none() || long_unowned)
    }

    async fn take(self: &Arc<Self>, cell: &CellName, seen: &Seen) -> Result<(), StoreError> {
        let Some(lease) = self.shared().lease else {
            return Ok(());
        };
        let epoch = Epoch(seen.epoch.unwrap_or_default().0 + 1);
        let txn = Txn {
            compares: vec![
                match seen.epoch {
                    Some(epoch) => epoch_is(cell, epoch),
                    None => Compare::Absent(keys::epoch(cell)),
                },
                match seen.owner {
                    Some(_) => Compare::ValueIs(keys::owner(cell), seen.owner_value.clone()),
                    None => Compare::Absent(keys::owner(cell)),
                },
            ],
            ops: vec![
                Op::put(keys::epoch(cell), epoch_value(epoch)),
                self.put_owner(cell, epoch, lease),
            ],
            otherwise: Vec::new(),
        };
        let sent = self.now();
        if !self.setup.store.txn(txn).await?.succeeded {
            return Ok(());
        }
        self.begin_term(cell, epoch, (sent, lease), seen).await
    }

    async fn begin_term(
        self: &Arc<Self>,
        cell: &CellName,
        epoch: Epoch,
        (acquired_at, lease): (Time, LeaseId),
        seen: &Seen,
    ) -> Result<(), StoreError> {
        let earlier_leases_end = self.earlier_leases_end(seen);
        let found = self.read_cell(cell).await?;
        let recovered = match cell::recover(found.head, &found.chunks, &found.groups) {
            Ok(recovered) => recovered,
            Err(error) => {
                tracing::error!(%cell, %error, "the cell can't be recovered");
                self.pause(cell);
                return Ok(());
            }
        };
        tracing::info!(%cell, epoch = epoch.0, "took the cell");
        let ownership = Ownership {
            cell: cell.clone(),
            epoch,
            acquired_at,
            earlier_leases_end,
            recovered,
        };
        let seed = self.setup.seed;
        let owner = Owner::new(ownership, self.setup.timing, seed);
        let slot = Arc::new(Slot::new(owner, lease));
        self.shared().slots.insert(cell.clone(), slot.clone());
        smol::spawn(self.clone().drive(slot, found.head_value)).detach();
        Ok(())
    }

    /// When every lease that an earlier owner may have granted has ended.
    fn earlier_leases_end(&self, seen: &Seen) -> Time {
        let now = self.now();
        let Some(earlier) = seen.epoch else {
            return now;
        };
        let handed_over = seen.handover == Some(earlier);
        self.setup.timing.earlier_leases_end(now, handed_over)
    }

    fn pause(&self, cell: &CellName) {
        let until = self.now() + UNREADABLE_PAUSE;
        if let Some(seen) = self.shared().seen.get_mut(cell) {
            seen.paused_until = Some(until);
        }
    }

    /// Records the orderly end of a term and lets go of the cell.
    pub(super) async fn hand_over(&self, slot: &Slot) -> Result<(), StoreError> {
        let txn = Txn {
            compares: vec![epoch_is(&slot.cell, slot.epoch)],
            ops: vec![
                Op::put(keys::handover(&slot.cell), epoch_value(slot.epoch)),
                Op::Delete(KeyRange::one(keys::owner(&slot.cell))),
            ],
            otherwise: Vec::new(),
        };
        self.setup.store.txn(txn).await.map(|_| ())
    }

    /// Hands all cells over, for a planned stop; ends once all are let go.
    ///
    /// The caller bounds how long it waits: what is not handed over by then is
    /// taken by others when the lease lapses.
    pub async fn stop(&self) {
        self.shared().stopping = true;
        for slot in self.slots() {
            slot.handle(self.now(), Event::Stop);
        }
        while !self.shared().slots.is_empty() {
            smol::Timer::after(STOP_POLL).await;
        }
    }
}

/// How often a planned stop looks whether all cells are let go.
const STOP_POLL: Duration = Duration::from_millis(20);

pub(super) fn epoch_is(cell: &CellName, epoch: Epoch) -> Compare {
    Compare::ValueIs(keys::epoch(cell), epoch_value(epoch))
}

fn epoch_value(epoch: Epoch) -> Vec<u8> {
    epoch.0.to_string().into_bytes()
}

fn parse_epoch(value: &[u8]) -> Option<Epoch> {
    let text = std::str::from_utf8(value).ok()?;
    text.parse().ok().map(Epoch)
}

/// The cell and the last part of a key under [`keys::OWNERS`].
fn split(key: &str) -> Option<(CellName, &str)> {
    let (cell, what) = key.strip_prefix(keys::OWNERS)?.split_once('/')?;
    Some((CellName::new(cell).ok()?, what))
}
