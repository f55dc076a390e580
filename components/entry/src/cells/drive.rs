//! The driver of an owned cell: carries out the actions of its state machine.

use std::{sync::Arc, time::Duration};

use cell::{Action, Event, Group, InboxItem, keys};
use futures_lite::FutureExt;
use kernel::{CellName, Time};
use store::{KeyValue, StoreError};

use super::{
    Cells,
    journal::WriteOutcome,
    slot::{Slot, Wake},
};

/// How often the state machine receives a tick and the current inputs.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// How often the inbox is read without a notification.
const INBOX_INTERVAL: Duration = Duration::from_secs(2);

/// How often the usage and demand of teams in a cell are summed up.
const TEAM_SUM_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of inbox items in one read.
const INBOX_BATCH_ITEMS: i64 = 64;

impl Cells {
    /// Carries out the actions of a cell's state machine until the term ends.
    pub(super) async fn drive(self: Arc<Self>, slot: Arc<Slot>, mut head: Option<Vec<u8>>) {
        let ticker = smol::spawn(self.clone().tick(slot.clone()));
        let mut next_inbox = Time::ZERO;
        loop {
            match next_wake(&slot).await {
                Some(Wake::Action(action)) => match self.act(&slot, action, &mut head).await {
                    true => {}
                    false => break,
                },
                Some(Wake::Inbox) => next_inbox = Time::ZERO,
                None => {}
            }
            if !next_inbox.passed(self.now()) {
                continue;
            }
            next_inbox = self.now() + INBOX_INTERVAL;
            match self.read_inbox(&slot).await {
                Ok(false) => {}
                Ok(true) => next_inbox = Time::ZERO,
                Err(error) => tracing::warn!(cell = %slot.cell, %error, "failed to read the inbox"),
            }
        }
        drop(ticker);
        self.shared().slots.remove(&slot.cell);
    }

    /// Updates the state machine at a fixed interval, also while a write is pending.
    async fn tick(self: Arc<Self>, slot: Arc<Slot>) {
        while !slot.has_ended() {
            self.update_state_machine(&slot);
            smol::Timer::after(TICK_INTERVAL).await;
        }
    }

    fn update_state_machine(&self, slot: &Slot) {
        let view = (self.setup.config)();
        let now = self.now();
        slot.handle(
            now,
            Event::Config {
                objects: view.objects,
                revision: view.revision,
                proved_at: view.proved_at,
            },
        );
        let capacities = self.shared().capacities.clone();
        slot.handle(now, Event::CellCapacities(capacities));
        self.sum_teams(slot, now);
        let sums = self.shared().team_sums.clone();
        slot.handle(now, Event::TeamSums(sums));
        slot.handle(now, Event::Tick);
        let capacity = slot.capacity();
        self.shared().capacities.insert(slot.cell.clone(), capacity);
    }

    /// Sums up the usage and demand of teams if the last sums are old enough.
    fn sum_teams(&self, slot: &Slot, now: Time) {
        let summed_at = self.shared().team_sums_at.get(&slot.cell).copied();
        if summed_at.is_some_and(|at| now.since(at) < TEAM_SUM_INTERVAL) {
            return;
        }
        let sums = Arc::new(slot.team_sums());
        let mut shared = self.shared();
        shared.team_sums_at.insert(slot.cell.clone(), now);
        shared.team_sums.insert(slot.cell.clone(), sums);
    }

    /// Carries out one action. Returns whether the term continues.
    async fn act(&self, slot: &Slot, action: Action, head: &mut Option<Vec<u8>>) -> bool {
        match action {
            Action::Commit { group, snapshot } => {
                self.commit_and_compact(slot, group, snapshot, head).await;
                true
            }
            Action::StepDown => {
                tracing::warn!(cell = %slot.cell, epoch = slot.epoch.0, "lost ownership of the cell");
                false
            }
            Action::HandOver => {
                self.hand_over(slot).await;
                false
            }
            Action::Release => {
                tracing::info!(cell = %slot.cell, epoch = slot.epoch.0, "releasing the cell without a handover; an earlier owner may still grant leases");
                self.release(slot).await;
                false
            }
            Action::Answer(_) => true,
        }
    }

    async fn commit_and_compact(
        &self,
        slot: &Slot,
        group: Group,
        snapshot: Option<Vec<Vec<u8>>>,
        head: &mut Option<Vec<u8>>,
    ) {
        let at = (group.epoch, group.seq);
        let sent = match self.commit(slot, group, head).await {
            WriteOutcome::Durable(sent) => sent,
            WriteOutcome::Refused => {
                slot.handle(self.now(), Event::TermLost);
                return;
            }
        };
        slot.handle(self.now(), Event::Committed(sent));
        let Some(chunks) = snapshot else {
            return;
        };
        let event = match self.write_snapshot(slot, at, &chunks, head).await {
            WriteOutcome::Durable(sent) => Event::OwnershipProved(sent),
            WriteOutcome::Refused => Event::TermLost,
        };
        slot.handle(self.now(), event);
    }

    /// Passes inbox items to the state machine. Returns whether the inbox holds more.
    async fn read_inbox(&self, slot: &Slot) -> Result<bool, StoreError> {
        let range = keys::inbox(&slot.cell);
        let reply = self.setup.store.range(range, INBOX_BATCH_ITEMS).await?;
        let items = parse_inbox(reply.kvs);
        if !items.is_empty() {
            slot.handle(self.now(), Event::Inbox(items));
        }
        Ok(reply.more)
    }

    /// Returns the items of an inbox, for lists; empty if the store can't be read.
    pub(super) async fn inbox_items(&self, cell: &CellName) -> Vec<InboxItem> {
        match self.setup.store.range(keys::inbox(cell), 0).await {
            Ok(reply) => parse_inbox(reply.kvs)
                .into_iter()
                .map(|(_, item)| item)
                .collect(),
            Err(error) => {
                tracing::warn!(%cell, %error, "failed to read the inbox; its tasks are not listed");
                Vec::new()
            }
        }
    }
}

fn parse_inbox(kvs: Vec<KeyValue>) -> Vec<(String, InboxItem)> {
    let mut items = Vec::new();
    for kv in kvs {
        match serde_json::from_slice::<InboxItem>(&kv.value) {
            Ok(item) => items.push((kv.key, item)),
            Err(error) => tracing::error!(key = kv.key, %error, "can't parse an inbox item"),
        }
    }
    items
}

async fn next_wake(slot: &Slot) -> Option<Wake> {
    let wake = async { slot.wake_rx.recv().await.ok() };
    let pause = async {
        smol::Timer::after(INBOX_INTERVAL).await;
        None
    };
    wake.or(pause).await
}
