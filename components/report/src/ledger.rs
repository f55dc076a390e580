//! The accounts of one process at a bounded size.
//!
//! New events are stored one by one and later compacted: events of requests (for the
//! burn report) and of zone changes into sums of a minute, all others into sums of an
//! hour. Sums of a minute become sums of an hour after three days, and sums of an
//! hour become sums of a day after a month. If the ledger reaches a size limit
//! earlier, it compacts the oldest events and sums earlier. Compaction preserves the
//! totals, and nothing is dropped before [`LedgerBounds::total_retention`]. See `docs/ACCOUNTS.md`.

use std::{collections::BTreeMap, time::Duration};

use kernel::{Account, Amount, DurationClass, Event, EventKind, Span, Sum, SumKey, Time};
use serde::{Deserialize, Serialize};

const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(24 * 3600);

/// Retention periods and size limits of a [`Ledger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LedgerBounds {
    /// Age at which events are compacted into sums.
    #[serde(rename = "events_for")]
    pub event_retention: Duration,
    /// Age at which sums of a minute become sums of an hour.
    #[serde(rename = "minutes_for")]
    pub minute_retention: Duration,
    /// Age at which sums of an hour become sums of a day.
    #[serde(rename = "hours_for")]
    pub hour_retention: Duration,
    /// Age at which sums are dropped.
    #[serde(rename = "keep")]
    pub total_retention: Duration,
    /// Maximum number of events; the ledger compacts the oldest events beyond it.
    pub max_events: usize,
    /// Maximum number of sums; beyond it the oldest sums lose detail first.
    pub max_sums: usize,
}

impl Default for LedgerBounds {
    fn default() -> Self {
        Self {
            event_retention: HOUR,
            minute_retention: 3 * DAY,
            hour_retention: 31 * DAY,
            total_retention: 400 * DAY,
            max_events: 50_000,
            max_sums: 50_000,
        }
    }
}

type SumId = (Time, Span, SumKey);

/// Recent events, and sums that replace older events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "SerializedLedger", into = "SerializedLedger")]
pub struct Ledger {
    bounds: LedgerBounds,
    events: BTreeMap<Time, Vec<Event>>,
    event_count: usize,
    sums: BTreeMap<SumId, Amount>,
}

/// Serialized form of a ledger.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct SerializedLedger {
    bounds: LedgerBounds,
    events: Vec<Event>,
    sums: Vec<Sum>,
}

impl From<SerializedLedger> for Ledger {
    fn from(saved: SerializedLedger) -> Self {
        let mut ledger = Self::new(saved.bounds);
        for event in saved.events {
            ledger.add(event);
        }
        for sum in saved.sums {
            ledger.add_sum(sum);
        }
        ledger
    }
}

impl From<Ledger> for SerializedLedger {
    fn from(ledger: Ledger) -> Self {
        Self {
            bounds: ledger.bounds,
            events: ledger.events().cloned().collect(),
            sums: ledger.sums().collect(),
        }
    }
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(bounds: LedgerBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Adds an event.
    pub fn add(&mut self, event: Event) {
        self.events.entry(event.at).or_default().push(event);
        self.event_count += 1;
    }

    /// Adds a sum from another ledger.
    pub fn add_sum(&mut self, sum: Sum) {
        self.add_amount((sum.start, sum.span, sum.key), sum.amount);
    }

    /// Returns the events that are not compacted, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.values().flatten()
    }

    /// Returns the sums, oldest first.
    pub fn sums(&self) -> impl Iterator<Item = Sum> + '_ {
        self.sums.iter().map(|((start, span, key), amount)| Sum {
            start: *start,
            span: *span,
            key: key.clone(),
            amount: *amount,
        })
    }

    /// Returns the number of events and sums.
    #[must_use]
    pub fn len(&self) -> usize {
        self.event_count + self.sums.len()
    }

    /// Returns whether the ledger has neither events nor sums.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Compacts events and sums by their age at `now` and enforces the size limits.
    pub fn compact(&mut self, now: Time) {
        self.compact_events(now);
        self.coarsen_old(Span::Minute, now - self.bounds.minute_retention);
        self.coarsen_old(Span::Hour, now - self.bounds.hour_retention);
        let oldest = now - self.bounds.total_retention;
        self.sums
            .retain(|(start, span, _), _| start.0 + span.micros() > oldest.0);
        while self.sums.len() > self.bounds.max_sums {
            if !self.coarsen_oldest() {
                break;
            }
        }
    }

    fn compact_events(&mut self, now: Time) {
        let bound = now - self.bounds.event_retention;
        while let Some(entry) = self.events.first_entry() {
            if *entry.key() >= bound && self.event_count <= self.bounds.max_events {
                break;
            }
            let events = entry.remove();
            self.event_count -= events.len();
            for event in events {
                self.compact_event(&event);
            }
        }
    }

    fn compact_event(&mut self, event: &Event) {
        let span = first_span(event.kind);
        let id = (span.start_of(event.at), span, SumKey::from(event));
        self.add_amount(id, event.amount);
    }

    fn add_amount(&mut self, id: SumId, amount: Amount) {
        let sum = self.sums.entry(id).or_default();
        *sum = sum.plus(amount);
    }

    fn coarsen_old(&mut self, span: Span, before: Time) {
        let old: Vec<SumId> = self
            .sums
            .keys()
            .take_while(|(start, _, _)| *start < before)
            .filter(|(start, sum_span, _)| {
                *sum_span == span && start.0 + sum_span.micros() <= before.0
            })
            .cloned()
            .collect();
        for id in old {
            self.coarsen(id);
        }
    }

    /// Reduces the detail of the oldest sums. Returns false if no sum has detail left to
    /// remove.
    fn coarsen_oldest(&mut self) -> bool {
        for span in [Span::Minute, Span::Hour] {
            let Some(first) = self.oldest_start(span) else {
                continue;
            };
            let coarser = coarser_span(span);
            let end = coarser.start_of(first).0 + coarser.micros();
            self.coarsen_old(span, Time(end));
            return true;
        }
        self.remove_names(self.sums.len().saturating_sub(self.bounds.max_sums))
    }

    /// Clears the names in the keys (see [`without_names`]) of at most `max_count` of the
    /// oldest sums that have any. Sums whose keys become equal are added together.
    /// Returns whether there was such a sum.
    fn remove_names(&mut self, max_count: usize) -> bool {
        let named = self
            .sums
            .keys()
            .filter(|(_, _, key)| *key != without_names(key));
        let named: Vec<SumId> = named.take(max_count).cloned().collect();
        let has_named = !named.is_empty();
        for id in named {
            if let Some(amount) = self.sums.remove(&id) {
                let key = without_names(&id.2);
                self.add_amount((id.0, id.1, key), amount);
            }
        }
        has_named
    }

    fn oldest_start(&self, span: Span) -> Option<Time> {
        let mut keys = self.sums.keys();
        keys.find(|(_, sum_span, _)| *sum_span == span)
            .map(|(start, _, _)| *start)
    }

    fn coarsen(&mut self, id: SumId) {
        let Some(amount) = self.sums.remove(&id) else {
            return;
        };
        let (start, span, key) = id;
        let span = coarser_span(span);
        self.add_amount((span.start_of(start), span, key), amount);
    }
}

/// Returns the span of the first sum of an event. Requests use minutes since the
/// shortest burn window is 5 minutes.
const fn first_span(kind: EventKind) -> Span {
    match kind {
        EventKind::RequestsGood
        | EventKind::RequestsLate
        | EventKind::RequestsFailed
        | EventKind::RequestsRefused
        | EventKind::RequestsRetried
        | EventKind::RequestsHedged
        | EventKind::ZoneOut
        | EventKind::ZoneIn => Span::Minute,
        _ => Span::Hour,
    }
}

const fn coarser_span(span: Span) -> Span {
    match span {
        Span::Minute => Span::Hour,
        Span::Hour | Span::Day => Span::Day,
    }
}

/// Returns the key without names of teams and services and without duration class. It
/// is used when there are too many sums even with spans of a day.
fn without_names(key: &SumKey) -> SumKey {
    SumKey {
        beneficiary: Account::default(),
        payer: Account::default(),
        duration: DurationClass::default(),
        ..key.clone()
    }
}
