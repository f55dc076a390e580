//! The accounts of an entry's own requests, made durable at a bounded rate.
//!
//! [`book`] folds events and decides what to write, [`write`] writes it to the
//! store, [`gather`] collects the accounts of all entries for a report, and
//! [`compact`] folds what has grown old in the store. See `docs/ACCOUNTS.md`.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use kernel::{
    AccountPart, Amount, AvailabilityZoneName, Cause, Clock, EntryName, Event, EventKind,
    Incarnation, ObjectSet, Party, Revision, Time, object::ZoneState,
};
use proto::messages::EventReply;

pub mod buffer;
pub mod compact;
pub mod gather;
pub mod write;

pub use buffer::{AccountBuffer, PartWrite};
pub use gather::{AccountSources, GatherRequest, PeerAddresses, gather};

/// The shared handle through which an entry's tasks record events.
#[derive(Clone, Debug)]
pub struct Accounts {
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
}

#[derive(Debug)]
struct Inner {
    book: AccountBuffer,
    zones: BTreeMap<AvailabilityZoneName, ZoneState>,
}

impl Accounts {
    /// Accounts of one life of an entry, empty.
    #[must_use]
    pub fn new(entry: EntryName, incarnation: Incarnation, clock: Clock) -> Self {
        let book = AccountBuffer::new(entry, incarnation, clock.now());
        Self::with_buffer(book, clock)
    }

    /// Accounts that go on with `book`.
    #[must_use]
    pub fn with_buffer(book: AccountBuffer, clock: Clock) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                book,
                zones: BTreeMap::new(),
            })),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time by the entry's clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Records an event.
    pub fn record(&self, event: &Event) {
        self.lock().book.record(event);
    }

    /// Records which availability zones left or returned with a configuration
    /// that has just come into force here.
    pub fn record_zone_changes(&self, revision: Revision, objects: &ObjectSet) {
        let now = self.now();
        let mut inner = self.lock();
        for (name, zone) in &objects.zones {
            let before = inner.zones.insert(name.clone(), zone.state);
            if before.unwrap_or_default() == zone.state {
                continue;
            }
            let event = zone_event(now, name, zone.state, revision);
            inner.book.record(&event);
        }
    }

    /// The answer to another entry that makes a report, given the events of the
    /// cells that this entry owns.
    #[must_use]
    pub fn event_reply(&self, cells: EventReply) -> EventReply {
        EventReply {
            parts: self.unwritten_parts(),
            ..cells
        }
    }

    /// What the store may not hold yet.
    #[must_use]
    pub fn unwritten_parts(&self) -> Vec<AccountPart> {
        let now = self.now();
        self.lock().book.unwritten_parts(now)
    }

    /// The part to write next, if there is one.
    pub fn next_write(&self) -> Option<PartWrite> {
        let now = self.now();
        self.lock().book.next_write(now)
    }

    /// Notes that the store holds what `write` brought.
    pub fn confirm_written(&self, write: &PartWrite) {
        self.lock().book.confirm_written(write);
    }

    /// Ends the accounts of this life, so that no gap is reported after it.
    pub fn close(&self) {
        let now = self.now();
        self.lock().book.close(now);
    }
}

fn zone_event(
    now: Time,
    zone: &AvailabilityZoneName,
    state: ZoneState,
    revision: Revision,
) -> Event {
    let (kind, cause) = match state {
        ZoneState::In => (EventKind::ZoneIn, Cause::Ordinary),
        ZoneState::Out => (EventKind::ZoneOut, Cause::ZoneOut),
    };
    Event {
        at: now,
        kind,
        cause,
        beneficiary: Party::default(),
        payer: Party::default(),
        vm: None,
        zone: Some(zone.clone()),
        revision,
        amount: Amount::count(1),
    }
}
