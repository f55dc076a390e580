//! The accounting events of a cell.
//!
//! The newest events are kept one by one, older ones as sums of an hour and
//! then of a day, so the ledger stays bounded however long the cell lives.
//! Every sum equals the events that it replaced. See `docs/ACCOUNTS.md`.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use kernel::{Amount, Event, Span, Sum, SumKey, Time};

/// How many events are kept one by one.
pub const MAX_RECENT_EVENTS: usize = 4_096;

/// For how long sums of an hour are kept, measured from the newest.
const HOURS_FOR: Duration = Duration::from_secs(3 * 24 * 3_600);

/// For how long sums of a day are kept, measured from the newest.
const DAYS_FOR: Duration = Duration::from_secs(62 * 24 * 3_600);

type SumAt = (Time, Span, SumKey);

/// Events, the newest one by one and older ones as sums.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    recent_events: VecDeque<Event>,
    sums: BTreeMap<SumAt, Amount>,
    known_from: Time,
}

impl Ledger {
    /// Adds an event.
    pub fn push(&mut self, event: Event) {
        self.recent_events.push_back(event);
        if self.recent_events.len() <= MAX_RECENT_EVENTS {
            return;
        }
        if let Some(oldest) = self.recent_events.pop_front() {
            self.fold(&oldest);
        }
    }

    /// Adds a sum that was read back.
    pub(crate) fn push_sum(&mut self, sum: Sum) {
        self.put((sum.start, sum.span, sum.key), sum.amount);
    }

    /// The events kept one by one, oldest first.
    pub fn recent_events(&self) -> impl Iterator<Item = &Event> {
        self.recent_events.iter()
    }

    /// The sums of older events, oldest first.
    pub fn sums(&self) -> impl Iterator<Item = Sum> + '_ {
        self.sums.iter().map(|((start, span, key), amount)| Sum {
            start: *start,
            span: *span,
            key: key.clone(),
            amount: *amount,
        })
    }

    /// Before this time nothing is known any more.
    #[must_use]
    pub const fn known_from(&self) -> Time {
        self.known_from
    }

    pub(crate) fn set_known_from(&mut self, time: Time) {
        self.known_from = time;
    }

    /// The events from `from` on and before `until`.
    #[must_use]
    pub fn events_between(&self, from: Time, until: Time) -> Vec<Event> {
        let wanted = |event: &&Event| from <= event.at && event.at < until;
        self.recent_events.iter().filter(wanted).cloned().collect()
    }

    /// The sums of spans that share a moment with `from` to `until`.
    #[must_use]
    pub fn sums_between(&self, from: Time, until: Time) -> Vec<Sum> {
        let meets = |sum: &Sum| sum.start < until && sum.start.0 + sum.span.micros() > from.0;
        self.sums().filter(meets).collect()
    }

    fn fold(&mut self, event: &Event) {
        let start = Span::Hour.start_of(event.at);
        let is_new_hour = self
            .sums
            .keys()
            .next_back()
            .is_none_or(|last| last.0 < start);
        self.put((start, Span::Hour, SumKey::from(event)), event.amount);
        if is_new_hour {
            self.coarsen(start - HOURS_FOR);
            self.drop_before(start - DAYS_FOR);
        }
    }

    fn put(&mut self, at: SumAt, amount: Amount) {
        let sum = self.sums.entry(at).or_default();
        *sum = sum.plus(amount);
    }

    /// Turns sums of hours before `bound` into sums of days.
    fn coarsen(&mut self, bound: Time) {
        let old: Vec<SumAt> = self
            .sums
            .keys()
            .take_while(|(start, _, _)| *start < Span::Day.start_of(bound))
            .filter(|(_, span, _)| *span == Span::Hour)
            .cloned()
            .collect();
        for at in old {
            let Some(amount) = self.sums.remove(&at) else {
                continue;
            };
            self.put((Span::Day.start_of(at.0), Span::Day, at.2), amount);
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
