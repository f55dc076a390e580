//! The accounting events of a cell.
//!
//! The ledger keeps the newest events individually and older ones as hourly and
//! then daily sums, so its size stays bounded however long the cell exists. Every
//! sum equals the events that it replaced. See `docs/ACCOUNTS.md`.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use kernel::{Amount, Event, Span, Sum, SumKey, Time};

/// Number of events kept individually.
pub const MAX_RECENT_EVENTS: usize = 4_096;

/// Retention of hourly sums, measured back from the newest.
const HOUR_SUM_RETENTION: Duration = Duration::from_secs(3 * 24 * 3_600);

/// Retention of daily sums, measured back from the newest hourly sum.
const DAY_SUM_RETENTION: Duration = Duration::from_secs(62 * 24 * 3_600);

type SumSlot = (Time, Span, SumKey);

/// Accounting events: the newest individually, older ones as sums.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    recent_events: VecDeque<Event>,
    sums: BTreeMap<SumSlot, Amount>,
    known_from: Time,
}

impl Ledger {
    /// Adds an event. If there are too many individual events, the oldest one becomes
    /// part of a sum.
    pub fn push(&mut self, event: Event) {
        self.recent_events.push_back(event);
        if self.recent_events.len() <= MAX_RECENT_EVENTS {
            return;
        }
        if let Some(oldest) = self.recent_events.pop_front() {
            self.add_event_to_sums(&oldest);
        }
    }

    /// Adds a sum read from a snapshot.
    pub(crate) fn push_sum(&mut self, sum: Sum) {
        self.add_to_sum((sum.start, sum.span, sum.key), sum.amount);
    }

    /// Iterates over the events kept individually, oldest first.
    pub fn recent_events(&self) -> impl Iterator<Item = &Event> {
        self.recent_events.iter()
    }

    /// Iterates over the sums of older events, oldest first.
    pub fn sums(&self) -> impl Iterator<Item = Sum> + '_ {
        self.sums.iter().map(|((start, span, key), amount)| Sum {
            start: *start,
            span: *span,
            key: key.clone(),
            amount: *amount,
        })
    }

    /// Returns the time before which all sums have been dropped.
    #[must_use]
    pub const fn known_from(&self) -> Time {
        self.known_from
    }

    pub(crate) fn set_known_from(&mut self, time: Time) {
        self.known_from = time;
    }

    /// Returns the individual events from `from` (inclusive) to `until` (exclusive).
    #[must_use]
    pub fn events_between(&self, from: Time, until: Time) -> Vec<Event> {
        let in_range = |event: &&Event| from <= event.at && event.at < until;
        self.recent_events
            .iter()
            .filter(in_range)
            .cloned()
            .collect()
    }

    /// Returns the sums whose spans overlap the time from `from` to `until`.
    #[must_use]
    pub fn sums_between(&self, from: Time, until: Time) -> Vec<Sum> {
        let overlaps = |sum: &Sum| sum.start < until && sum.start.0 + sum.span.micros() > from.0;
        self.sums().filter(overlaps).collect()
    }

    /// Adds the event to the sum of its hour. With the first event of a new hour, also
    /// merges hourly sums and deletes daily sums that are past their retention.
    fn add_event_to_sums(&mut self, event: &Event) {
        let start = Span::Hour.start_of(event.at);
        let is_new_hour = self
            .sums
            .keys()
            .next_back()
            .is_none_or(|last| last.0 < start);
        self.add_to_sum((start, Span::Hour, SumKey::from(event)), event.amount);
        if is_new_hour {
            self.merge_hours(start - HOUR_SUM_RETENTION);
            self.drop_before(start - DAY_SUM_RETENTION);
        }
    }

    fn add_to_sum(&mut self, slot: SumSlot, amount: Amount) {
        let sum = self.sums.entry(slot).or_default();
        *sum = sum.plus(amount);
    }

    /// Merges the hourly sums of all days before the day of `bound` into daily sums.
    fn merge_hours(&mut self, bound: Time) {
        let old: Vec<SumSlot> = self
            .sums
            .keys()
            .take_while(|(start, _, _)| *start < Span::Day.start_of(bound))
            .filter(|(_, span, _)| *span == Span::Hour)
            .cloned()
            .collect();
        for slot in old {
            let Some(amount) = self.sums.remove(&slot) else {
                continue;
            };
            self.add_to_sum((Span::Day.start_of(slot.0), Span::Day, slot.2), amount);
        }
    }

    fn drop_before(&mut self, bound: Time) {
        while let Some(first) = self.sums.first_entry() {
            let (start, span, _) = first.key();
            let end = Time(start.0 + span.micros());
            if end > bound {
                return;
            }
            first.remove();
            self.known_from = end;
        }
    }
}
