//! The driver of one owned cell.

use std::{sync::Arc, time::Duration};

use cell::{Action, Event, Group, InboxItem, keys};
use futures_lite::FutureExt;
use kernel::{CellName, Time};
use store::{KeyValue, StoreError};

use super::{
    Cells,
    journal::Settled,
    slot::{Slot, Wake},
};

/// How often time is passed to the state machine.
const TICK: Duration = Duration::from_millis(50);

/// How often the inbox is read without being told that it holds something.
const INBOX_INTERVAL: Duration = Duration::from_secs(2);

/// How often what teams hold and want in a cell is summed up.
const SUM_INTERVAL: Duration = Duration::from_secs(1);

/// The most items of the inbox taken at a time.
const MAX_INBOX_ITEMS: i64 = 64;

impl Cells {
    /// Does what the state machine of one cell wants until its term ends.
    pub(super) async fn drive(self: Arc<Self>, slot: Arc<Slot>, mut head: Option<Vec<u8>>) {
        let ticker = smol::spawn(self.clone().tick(slot.clone()));
        let mut next_inbox = Time::ZERO;
        loop {
            match next_wake(&slot).await {
                Some(Wake::Act(action)) => match self.act(&slot, action, &mut head).await {
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
                Err(error) => tracing::warn!(cell = %slot.cell, %error, "no inbox"),
            }
        }
        drop(ticker);
        self.shared().slots.remove(&slot.cell);
    }

    /// Passes time and news to the state machine, also while a write waits.
    async fn tick(self: Arc<Self>, slot: Arc<Slot>) {
        while !slot.has_ended() {
            self.pass_time(&slot);
            smol::Timer::after(TICK).await;
        }
    }

    fn pass_time(&self, slot: &Slot) {
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
        let rooms = self.shared().rooms.clone();
        slot.handle(now, Event::CellCapacities(rooms));
        self.sum_teams(slot, now);
        let sums = self.shared().teams.clone();
        slot.handle(now, Event::TeamSums(sums));
        slot.handle(now, Event::Tick);
        let room = slot.room();
        self.shared().rooms.insert(slot.cell.clone(), room);
    }

    /// Sums up what teams hold and want in the cell, now and then.
    fn sum_teams(&self, slot: &Slot, now: Time) {
        let summed_at = self.shared().summed_at.get(&slot.cell).copied();
        if summed_at.is_some_and(|at| now.since(at) < SUM_INTERVAL) {
            return;
        }
        let sums = Arc::new(slot.team_sums());
        let mut shared = self.shared();
        shared.summed_at.insert(slot.cell.clone(), now);
        shared.teams.insert(slot.cell.clone(), sums);
    }

    /// Does one thing; whether the term goes on.
    async fn act(&self, slot: &Slot, action: Action, head: &mut Option<Vec<u8>>) -> bool {
        match action {
            Action::Commit { group, snapshot } => {
                self.commit_and_fold(slot, group, snapshot, head).await;
                true
            }
            Action::StepDown => {
                tracing::warn!(cell = %slot.cell, epoch = slot.epoch.0, "lost the cell");
                false
            }
            Action::HandOver => {
                if let Err(error) = self.hand_over(slot).await {
                    tracing::warn!(cell = %slot.cell, %error, "the handover is not recorded");
                }
                false
            }
            Action::Answer(_) => true,
        }
    }

    async fn commit_and_fold(
        &self,
        slot: &Slot,
        group: Group,
        snapshot: Option<Vec<Vec<u8>>>,
        head: &mut Option<Vec<u8>>,
    ) {
        let at = (group.epoch, group.seq);
        let sent = match self.commit(slot, group, head).await {
            Settled::Durable(sent) => sent,
            Settled::Refused => {
                slot.handle(self.now(), Event::TermLost);
                return;
            }
        };
        slot.handle(self.now(), Event::Committed(sent));
        let Some(chunks) = snapshot else {
            return;
        };
        let event = match self.fold(slot, at, &chunks, head).await {
            Settled::Durable(sent) => Event::OwnershipProved(sent),
            Settled::Refused => Event::TermLost,
        };
        slot.handle(self.now(), event);
    }

    /// Gives the inbox to the state machine; whether there may be more.
    async fn read_inbox(&self, slot: &Slot) -> Result<bool, StoreError> {
        let range = keys::inbox(&slot.cell);
        let reply = self.setup.store.range(range, MAX_INBOX_ITEMS).await?;
        let items = parse(reply.kvs);
        if !items.is_empty() {
            slot.handle(self.now(), Event::Inbox(items));
        }
        Ok(reply.more)
    }

    /// What waits in an inbox, for lists; nothing while the store is silent.
    pub(super) async fn waiting_items(&self, cell: &CellName) -> Vec<InboxItem> {
        match self.setup.store.range(keys::inbox(cell), 0).await {
            Ok(reply) => parse(reply.kvs).into_iter().map(|(_, item)| item).collect(),
            Err(error) => {
                tracing::warn!(%cell, %error, "tasks in the inbox are not listed");
                Vec::new()
            }
        }
    }
}

fn parse(kvs: Vec<KeyValue>) -> Vec<(String, InboxItem)> {
    let mut items = Vec::new();
    for kv in kvs {
        match serde_json::from_slice::<InboxItem>(&kv.value) {
            Ok(item) => items.push((kv.key, item)),
            Err(error) => tracing::error!(key = kv.key, %error, "unreadable inbox item"),
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
