//! The accounts of an entry that the store may not hold yet; does no I/O.
//!
//! The buffer sums up requests by the minute in which they end. The sums since
//! the last closed part form the open part. It is written under one key again
//! and again as it grows, so repeating a write changes nothing. A part is closed
//! at the end of its hour or when it is full. While the store accepts no writes,
//! closed parts wait in the buffer. If they hold too many sums, the parts of the
//! oldest hour are merged into one with coarser sums; no request is dropped.

use std::{collections::BTreeMap, time::Duration};

use kernel::{
    AccountPart, Amount, EntryName, Event, EventKind, Incarnation, Span, Sum, SumKey, Time,
};
use report::{Ledger, LedgerBounds};

/// The maximum number of sums in a part. At about 250 bytes for each sum a part
/// is far below 1 MB.
pub const MAX_SUMS_PER_PART: usize = 1000;
/// The number of sums that may wait for the store before the oldest are merged.
pub const MAX_WAITING_SUMS: usize = 20_000;
/// The maximum number of sums of a merged hour: first try the finer, then the
/// coarser limit.
const MERGED_HOUR_MAX_SUMS: [usize; 2] = [1000, 100];
/// The maximum number of single events in a part.
const MAX_EVENTS_PER_PART: usize = 100;

/// A part to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartWrite {
    /// The content to store under the key of `part.number`.
    pub part: AccountPart,
    /// The highest number of the parts that this one replaces; its own number if
    /// it replaces no others.
    pub replaces_through: u64,
    /// Counts the changes of the part. Shows whether the part grew while it was
    /// being written.
    change_count: u64,
}

/// The unwritten accounts of one incarnation of an entry.
#[derive(Debug)]
pub struct AccountBuffer {
    entry: EntryName,
    incarnation: Incarnation,
    open: OpenPart,
    /// Closed parts that the store may not hold yet, by number.
    waiting: BTreeMap<u64, PartWrite>,
    /// Whether the accounts of this incarnation have ended.
    closed: bool,
}

/// The part that new events are added to.
#[derive(Debug)]
struct OpenPart {
    number: u64,
    from: Time,
    sums: BTreeMap<(Time, SumKey), Amount>,
    events: Vec<Event>,
    change_count: u64,
    /// The `change_count` that the store holds; `None` before the first write.
    written: Option<u64>,
    /// Whether this is the last part of the incarnation.
    last: bool,
}

impl OpenPart {
    fn new(number: u64, from: Time) -> Self {
        Self {
            number,
            from,
            sums: BTreeMap::new(),
            events: Vec::new(),
            change_count: 0,
            written: None,
            last: false,
        }
    }

    fn is_full(&self) -> bool {
        self.sums.len() >= MAX_SUMS_PER_PART || self.events.len() >= MAX_EVENTS_PER_PART
    }

    fn has_unwritten_changes(&self) -> bool {
        self.written != Some(self.change_count)
    }
}

impl AccountBuffer {
    /// Creates an empty buffer whose first part starts at `now`.
    #[must_use]
    pub fn new(entry: EntryName, incarnation: Incarnation, now: Time) -> Self {
        Self {
            entry,
            incarnation,
            open: OpenPart::new(0, now),
            waiting: BTreeMap::new(),
            closed: false,
        }
    }

    /// Records an event.
    pub fn record(&mut self, event: &Event) {
        self.close_past_hour(event.at);
        if matches!(event.kind, EventKind::ZoneOut | EventKind::ZoneIn) {
            self.open.events.push(event.clone());
        } else {
            let minute = Span::Minute.start_of(event.at);
            let key = (minute, SumKey::from(event));
            let sum = self.open.sums.entry(key).or_default();
            *sum = sum.plus(event.amount);
        }
        self.open.change_count += 1;
        if self.open.is_full() {
            self.close_part(event.at);
        }
    }

    /// Closes the open part if `now` is in a later hour.
    ///
    /// A part without requests is written too: it proves that there were none.
    fn close_past_hour(&mut self, now: Time) {
        let end = Time(Span::Hour.start_of(self.open.from).0 + Span::Hour.micros());
        if !end.passed(now) {
            return;
        }
        self.close_part(end);
        self.open.from = self.open.from.max(Span::Hour.start_of(now));
    }

    fn close_part(&mut self, until: Time) {
        let write = self.write_of_open_part(until);
        let from = until.max(self.open.from);
        let next = OpenPart::new(self.open.number + 1, from);
        self.open = next;
        self.waiting.insert(write.part.number, write);
        self.enforce_bound();
    }

    fn write_of_open_part(&self, until: Time) -> PartWrite {
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
            replaces_through: part.number,
            part,
            change_count: self.open.change_count,
        }
    }

    /// Returns the parts that the store may not hold yet, oldest first.
    #[must_use]
    pub fn unwritten_parts(&self, now: Time) -> Vec<AccountPart> {
        let mut parts: Vec<AccountPart> = self
            .waiting
            .values()
            .map(|write| write.part.clone())
            .collect();
        parts.push(self.write_of_open_part(now).part);
        parts
    }

    /// Returns the part to write next: the oldest closed part, otherwise the open
    /// part if it has changed since its last write.
    pub fn next_write(&mut self, now: Time) -> Option<PartWrite> {
        self.close_past_hour(now);
        if let Some(write) = self.waiting.values().next() {
            return Some(write.clone());
        }
        self.open
            .has_unwritten_changes()
            .then(|| self.write_of_open_part(now))
    }

    /// Records that the store holds `write`.
    pub fn confirm_written(&mut self, write: &PartWrite) {
        let number = write.part.number;
        if number == self.open.number {
            self.open.written = Some(write.change_count);
            return;
        }
        let same = self.waiting.get(&number).is_some_and(|waiting| {
            waiting.change_count == write.change_count
                && waiting.replaces_through == write.replaces_through
        });
        if same {
            self.waiting.remove(&number);
        }
    }

    /// Marks the open part as the last of this incarnation.
    pub fn close(&mut self, now: Time) {
        self.close_past_hour(now);
        if !self.closed {
            self.closed = true;
            self.open.last = true;
            self.open.change_count += 1;
        }
    }

    fn enforce_bound(&mut self) {
        for limit in MERGED_HOUR_MAX_SUMS {
            while self.waiting_sum_count() > MAX_WAITING_SUMS {
                if !self.merge_oldest_hour(limit) {
                    break;
                }
            }
        }
    }

    /// Returns the number of sums in closed parts that wait for the store.
    #[must_use]
    pub fn waiting_sum_count(&self) -> usize {
        self.waiting
            .values()
            .map(|write| write.part.sums.len())
            .sum()
    }

    /// Merges the waiting parts of one hour: the oldest hour whose parts together hold
    /// more than `limit` sums. Returns false if there is no such hour.
    fn merge_oldest_hour(&mut self, limit: usize) -> bool {
        let mut hours: BTreeMap<Time, usize> = BTreeMap::new();
        for write in self.waiting.values() {
            *hours.entry(hour_of(&write.part)).or_default() += write.part.sums.len();
        }
        let Some((hour, _)) = hours.into_iter().find(|(_, sums)| *sums > limit) else {
            return false;
        };
        self.merge_hour(hour, limit);
        true
    }

    fn merge_hour(&mut self, hour: Time, limit: usize) {
        let mut ledger = Ledger::new(LedgerBounds {
            minute_retention: Duration::ZERO,
            max_sums: limit,
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
            merged = Some(merge_parts(merged, write));
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

/// Merges the end and the events of `second` into `first`. The caller merges the
/// sums.
fn merge_parts(first: Option<PartWrite>, second: PartWrite) -> PartWrite {
    let Some(mut first) = first else {
        return second;
    };
    first.part.until = first.part.until.max(second.part.until);
    first.part.events.extend(second.part.events);
    first.part.last |= second.part.last;
    first.replaces_through = second.replaces_through;
    first.change_count += second.change_count;
    first
}
