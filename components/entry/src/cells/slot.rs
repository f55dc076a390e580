//! An owned cell: its state machine and the queue of actions for its driver.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use cell::{Action, Answer, Event, InboxItem, Owner};
use kernel::{CellName, Epoch, TeamSums, Time};
use proto::messages::{CellCapacity, EventQuery, EventReply, Heartbeat, JobPart, JobQuery};
use store::LeaseId;

/// A message that wakes the driver of a cell.
#[derive(Debug)]
pub(super) enum Wake {
    /// An action to carry out for the state machine.
    Action(Action),
    /// The inbox may hold a new item.
    Inbox,
}

/// A cell during one term of this entry as its owner.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) cell: CellName,
    pub(super) epoch: Epoch,
    /// The lease that the owner key is attached to; `None` if unknown.
    lease: Mutex<Option<LeaseId>>,
    owner: Mutex<Owner>,
    wake_tx: Sender<Wake>,
    pub(super) wake_rx: Receiver<Wake>,
}

impl Slot {
    pub(super) fn new(owner: Owner, lease: LeaseId) -> Self {
        let (wake_tx, wake_rx) = async_channel::unbounded();
        Self {
            cell: owner.cell().clone(),
            epoch: owner.epoch(),
            lease: Mutex::new(Some(lease)),
            owner: Mutex::new(owner),
            wake_tx,
            wake_rx,
        }
    }

    fn owner(&self) -> MutexGuard<'_, Owner> {
        self.owner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn lease(&self) -> Option<LeaseId> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_lease(&self, lease: Option<LeaseId>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }

    /// Passes an event to the state machine and queues its actions for the driver.
    /// Returns the answer to the event if there is one.
    pub(super) fn handle(&self, now: Time, event: Event) -> Option<Answer> {
        let mut answer = None;
        // The lock is held until the actions are queued, which keeps their order.
        let mut owner = self.owner();
        for action in owner.handle(now, event) {
            match action {
                Action::Answer(given) => answer = Some(given),
                action => {
                    let _ = self.wake_tx.try_send(Wake::Action(action));
                }
            }
        }
        answer
    }

    pub(super) fn heartbeat(&self, heartbeat: &Heartbeat, received: Time) -> Option<Answer> {
        self.handle(received, Event::Heartbeat(Box::new(heartbeat.clone())))
    }

    /// Returns whether the term has ended.
    pub(super) fn has_ended(&self) -> bool {
        self.owner().has_ended()
    }

    /// Makes the driver read the inbox soon.
    pub(super) fn request_inbox_read(&self) {
        let _ = self.wake_tx.try_send(Wake::Inbox);
    }

    pub(super) fn capacity(&self) -> CellCapacity {
        self.owner().cell_capacity()
    }

    pub(super) fn team_sums(&self) -> TeamSums {
        self.owner().team_sums()
    }

    pub(super) fn jobs(&self, query: &JobQuery, inbox: &[InboxItem]) -> Vec<JobPart> {
        self.owner().jobs(query, inbox)
    }

    pub(super) fn events(&self, query: &EventQuery, reply: &mut EventReply) {
        let owner = self.owner();
        let ledger = &owner.state().ledger;
        let known_from = ledger.known_from();
        if known_from > query.from {
            reply.missing.push(format!(
                "cell {}: no events are kept from before {known_from}",
                self.cell
            ));
        }
        reply
            .events
            .extend(ledger.events_between(query.from, query.until));
        reply
            .sums
            .extend(ledger.sums_between(query.from, query.until));
    }
}
