//! The accounts of an entry's own requests, made durable at a bounded rate.
//!
//! [`mod@buffer`] sums up events and decides what to write, [`mod@write`] writes it
//! to the store, [`mod@gather`] collects the accounts of all entries for a report,
//! and [`mod@compact`] compacts old accounts in the store. See `docs/ACCOUNTS.md`.

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

/// A shared handle through which the tasks of an entry record events.
#[derive(Clone, Debug)]
pub struct Accounts {
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
}

#[derive(Debug)]
struct Inner {
    buffer: AccountBuffer,
    zones: BTreeMap<AvailabilityZoneName, ZoneState>,
}

impl Accounts {
    /// Creates empty accounts for one incarnation of an entry.
    #[must_use]
    pub fn new(entry: EntryName, incarnation: Incarnation, clock: Clock) -> Self {
        let buffer = AccountBuffer::new(entry, incarnation, clock.now());
        Self::with_buffer(buffer, clock)
    }

    /// Creates accounts that continue with `buffer`.
    #[must_use]
    pub fn with_buffer(buffer: AccountBuffer, clock: Clock) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                buffer,
                zones: BTreeMap::new(),
            })),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current time by the entry's clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Records an event.
    pub fn record(&self, event: &Event) {
        self.lock().buffer.record(event);
    }

    /// Records an event for each availability zone whose state differs between
    /// the previous configuration and `objects`, which has just come into force. A
    /// zone that was not configured before counts as in.
    pub fn record_zone_changes(&self, revision: Revision, objects: &ObjectSet) {
        let now = self.now();
        let mut inner = self.lock();
        for (name, zone) in &objects.zones {
            let before = inner.zones.insert(name.clone(), zone.state);
            if before.unwrap_or_default() == zone.state {
                continue;
            }
            let event = zone_event(now, name, zone.state, revision);
            inner.buffer.record(&event);
        }
    }

    /// Returns the reply to an entry that gathers accounts. `cells` has the
    /// events of the cells that this entry owns.
    #[must_use]
    pub fn event_reply(&self, cells: EventReply) -> EventReply {
        EventReply {
            parts: self.unwritten_parts(),
            ..cells
        }
    }

    /// Returns the parts that the store may not hold yet.
    #[must_use]
    pub fn unwritten_parts(&self) -> Vec<AccountPart> {
        let now = self.now();
        self.lock().buffer.unwritten_parts(now)
    }

    /// Returns the part to write next; `None` if the store holds everything.
    pub fn next_write(&self) -> Option<PartWrite> {
        let now = self.now();
        self.lock().buffer.next_write(now)
    }

    /// Records that the store holds `write`.
    pub fn confirm_written(&self, write: &PartWrite) {
        self.lock().buffer.confirm_written(write);
    }

    /// Ends the accounts of this incarnation, so that reports show no gap after it.
    pub fn close(&self) {
        let now = self.now();
        self.lock().buffer.close(now);
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
