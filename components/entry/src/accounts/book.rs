//! What an entry has to write of its accounts, as plain state.
//!
//! Requests are summed by the minute as they end. The sums since the last
//! closed part form the open part, which is written again as it grows under one
//! key, so a repeated write changes nothing. A part is closed at the end of its
//! hour or when it is large. While the store can't be written, closed parts
//! wait here; beyond a bound the parts of the oldest hour become one with
//! coarser sums, and nothing is dropped.

use std::{collections::BTreeMap, time::Duration};

use kernel::{
    AccountPart, Amount, EntryName, Event, EventKind, Incarnation, Span, Sum, SumKey, Time,
};
use report::{Ledger, LedgerBounds};

/// The most sums in one part; at about 250 bytes each far below 1 MB.
pub const MAX_SUMS_PER_PART: usize = 1000;
/// The most sums that wait for the store before the oldest are made coarser.
pub const MAX_WAITING_SUMS: usize = 20_000;
/// The sums left of an hour's parts as they are made coarser, step by step.
const COARSE_SUMS: [usize; 2] = [1000, 100];
/// The most events kept one by one in a part.
const MAX_EVENTS_PER_PART: usize = 100;

/// A part on its way to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartWrite {
    /// The part.
    pub part: AccountPart,
    /// The highest number of the parts that it replaces, its own if it is the
    /// only one.
    pub replaces_until: u64,
    /// Counts the changes of the part, to tell whether it grew meanwhile.
    change: u64,
}

/// The accounts of one life of an entry.
#[derive(Debug)]
pub struct Book {
    entry: EntryName,
    incarnation: Incarnation,
    open: Open,
    waiting: BTreeMap<u64, PartWrite>,
    closed: bool,
}

/// The part that still grows.
#[derive(Debug)]
struct Open {
    number: u64,
    from: Time,
    sums: BTreeMap<(Time, SumKey), Amount>,
    events: Vec<Event>,
    change: u64,
    written: Option<u64>,
    last: bool,
}

impl Open {
    fn new(number: u64, from: Time) -> Self {
        Self {
            number,
            from,
            sums: BTreeMap::new(),
            events: Vec::new(),
            change: 0,
            written: None,
            last: false,
        }
    }

    fn is_full(&self) -> bool {
        self.sums.len() >= MAX_SUMS_PER_PART || self.events.len() >= MAX_EVENTS_PER_PART
    }

    fn dirty(&self) -> bool {
        self.written != Some(self.change)
    }
}

impl Book {
    /// An empty book that starts at `now`.
    #[must_use]
    pub fn new(entry: EntryName, incarnation: Incarnation, now: Time) -> Self {
        Self {
            entry,
            incarnation,
            open: Open::new(0, now),
            waiting: BTreeMap::new(),
            closed: false,
        }
    }

    /// Records an event.
    pub fn record(&mut self, event: &Event) {
        self.roll(event.at);
        if matches!(event.kind, EventKind::ZoneOut | EventKind::ZoneIn) {
            self.open.events.push(event.clone());
        } else {
            let minute = Span::Minute.start_of(event.at);
            let key = (minute, SumKey::from(event));
            let sum = self.open.sums.entry(key).or_default();
            *sum = sum.plus(event.amount);
        }
        self.open.change += 1;
        if self.open.is_full() {
            self.close_part(event.at);
        }
    }

    /// Ends the open part if `now` is in a later hour.
    ///
    /// A part without requests is written too: it proves that there were none.
    fn roll(&mut self, now: Time) {
        let end = Time(Span::Hour.start_of(self.open.from).0 + Span::Hour.micros());
        if !end.passed(now) {
            return;
        }
        self.close_part(end);
        self.open.from = self.open.from.max(Span::Hour.start_of(now));
    }

    fn close_part(&mut self, until: Time) {
        let write = self.open_write(until);
        let from = until.max(self.open.from);
        let next = Open::new(self.open.number + 1, from);
        self.open = next;
        self.waiting.insert(write.part.number, write);
        self.keep_bound();
    }

    fn open_write(&self, until: Time) -> PartWrite {
        let mut sums = Vec::new();
        for ((start, key), amount) in &self.open.sums {
            sums.push(Sum {
                start: *start,
                span: Span::Minute,
                key: key.clone(),
                amount: *amount,
            });
        }
        let part = AccountPart {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            number: self.open.number,
            from: self.open.from,
            until: until.max(self.open.from),
            last: self.open.last,
            sums,
            events: self.open.events.clone(),
        };
        PartWrite {
            replaces_until: part.number,
            part,
            change: self.open.change,
        }
    }

    /// What the store may not hold yet, oldest first.
    #[must_use]
    pub fn unwritten(&self, now: Time) -> Vec<AccountPart> {
        let mut parts: Vec<AccountPart> = self
            .waiting
            .values()
            .map(|write| write.part.clone())
            .collect();
        parts.push(self.open_write(now).part);
        parts
    }

    /// The part to write next: the oldest that waits, else the open one if it
    /// has changed since it was written.
    pub fn next_write(&mut self, now: Time) -> Option<PartWrite> {
        self.roll(now);
        if let Some(write) = self.waiting.values().next() {
            return Some(write.clone());
        }
        self.open.dirty().then(|| self.open_write(now))
    }

    /// Notes that the store holds what `write` brought.
    pub fn written(&mut self, write: &PartWrite) {
        let number = write.part.number;
        if number == self.open.number {
            self.open.written = Some(write.change);
            return;
        }
        let same = self.waiting.get(&number).is_some_and(|waiting| {
            waiting.change == write.change && waiting.replaces_until == write.replaces_until
        });
        if same {
            self.waiting.remove(&number);
        }
    }

    /// Marks the open part as the last of this life.
    pub fn close(&mut self, now: Time) {
        self.roll(now);
        if !self.closed {
            self.closed = true;
            self.open.last = true;
            self.open.change += 1;
        }
    }

    fn keep_bound(&mut self) {
        for most in COARSE_SUMS {
            while self.waiting_sums() > MAX_WAITING_SUMS {
                if !self.coarsen_oldest(most) {
                    break;
                }
            }
        }
    }

    /// How many sums wait for the store.
    #[must_use]
    pub fn waiting_sums(&self) -> usize {
        self.waiting
            .values()
            .map(|write| write.part.sums.len())
            .sum()
    }

    /// Makes one part of the oldest hour that holds more than `most` sums.
    fn coarsen_oldest(&mut self, most: usize) -> bool {
        let mut hours: BTreeMap<Time, usize> = BTreeMap::new();
        for write in self.waiting.values() {
            *hours.entry(hour_of(&write.part)).or_default() += write.part.sums.len();
        }
        let Some((hour, _)) = hours.into_iter().find(|(_, sums)| *sums > most) else {
            return false;
        };
        self.merge_hour(hour, most);
        true
    }

    fn merge_hour(&mut self, hour: Time, most: usize) {
        let mut ledger = Ledger::new(LedgerBounds {
            minute_retention: Duration::ZERO,
            max_sums: most,
            ..LedgerBounds::default()
        });
        let mut merged: Option<PartWrite> = None;
        let numbers: Vec<u64> = self.waiting.keys().copied().collect();
        for number in numbers {
            if hour_of(&self.waiting[&number].part) != hour {
                continue;
            }
            let Some(write) = self.waiting.remove(&number) else {
                continue;
            };
            for sum in &write.part.sums {
                ledger.add_sum(sum.clone());
            }
            merged = Some(join(merged, write));
        }
        let Some(mut write) = merged else {
            return;
        };
        ledger.compact(Time(hour.0 + 2 * Span::Hour.micros()));
        write.part.sums = ledger.sums().collect();
        self.waiting.insert(write.part.number, write);
    }
}

fn hour_of(part: &AccountPart) -> Time {
    Span::Hour.start_of(part.from)
}

/// `first` with the end and the events of `second`; sums are left to the caller.
fn join(first: Option<PartWrite>, second: PartWrite) -> PartWrite {
    let Some(mut first) = first else {
        return second;
    };
    first.part.until = first.part.until.max(second.part.until);
    first.part.events.extend(second.part.events);
    first.part.last |= second.part.last;
    first.replaces_until = second.replaces_until;
    first.change += second.change;
    first
}
