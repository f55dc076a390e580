//! One owned cell: its state machine and the actions that wait for the driver.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use cell::{Action, Answer, Event, InboxItem, Owner};
use kernel::{CellName, Epoch, TeamSums, Time};
use proto::messages::{CellCapacity, EventQuery, EventReply, Heartbeat, JobPart, JobQuery};
use store::LeaseId;

/// What wakes the driver of a cell.
#[derive(Debug)]
pub(super) enum Wake {
    /// The state machine wants something done.
    Act(Action),
    /// The inbox holds something new.
    Inbox,
}

/// An owned cell.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) cell: CellName,
    pub(super) epoch: Epoch,
    /// The lease that the owner key is known to hang on.
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

    /// Notes the lease that the owner key hangs on, or that this is unknown.
    pub(super) fn set_lease(&self, lease: Option<LeaseId>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }

    /// Gives an event to the state machine; what is to be done wakes the driver.
    pub(super) fn handle(&self, now: Time, event: Event) -> Option<Answer> {
        let mut answer = None;
        // Held until the actions are queued, so that their order is kept.
        let mut owner = self.owner();
        for action in owner.handle(now, event) {
            match action {
                Action::Answer(given) => answer = Some(given),
                action => {
                    let _ = self.wake_tx.try_send(Wake::Act(action));
                }
            }
        }
        answer
    }

    pub(super) fn heartbeat(&self, beat: &Heartbeat, received: Time) -> Option<Answer> {
        self.handle(received, Event::Heartbeat(Box::new(beat.clone())))
    }

    /// Whether the term is over.
    pub(super) fn has_ended(&self) -> bool {
        self.owner().has_ended()
    }

    /// Makes the driver read the inbox soon.
    pub(super) fn nudge(&self) {
        let _ = self.wake_tx.try_send(Wake::Inbox);
    }

    pub(super) fn room(&self) -> CellCapacity {
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
                "cell {}: nothing is kept from before {known_from}",
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
