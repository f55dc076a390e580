//! The accounts of one process at a bounded size.
//!
//! Events are kept one by one while they are new, then folded: requests into
//! sums of a minute, which the burn report needs, everything else into sums of
//! an hour. Sums of a minute become sums of an hour after three days, and those
//! sums of a day after a month. If a bound is reached earlier, the oldest are
//! folded earlier. Nothing is dropped before [`LedgerBounds::total_retention`], and the totals
//! never change. See `docs/ACCOUNTS.md`.

use std::{collections::BTreeMap, time::Duration};

use kernel::{Account, Amount, DurationClass, Event, EventKind, Span, Sum, SumKey, Time};
use serde::{Deserialize, Serialize};

const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(24 * 3600);

/// How much a [`Ledger`] keeps and how finely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LedgerBounds {
    /// Events younger than this stay one by one.
    #[serde(rename = "events_for")]
    pub event_retention: Duration,
    /// Sums of a minute younger than this stay as they are.
    #[serde(rename = "minutes_for")]
    pub minute_retention: Duration,
    /// Sums of an hour younger than this stay as they are.
    #[serde(rename = "hours_for")]
    pub hour_retention: Duration,
    /// Anything older than this is dropped.
    #[serde(rename = "keep")]
    pub total_retention: Duration,
    /// The most events kept one by one.
    pub max_events: usize,
    /// The most sums; beyond it the oldest lose detail first.
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

type SumAt = (Time, Span, SumKey);

/// Events and the sums that replaced older ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Saved", into = "Saved")]
pub struct Ledger {
    bounds: LedgerBounds,
    events: BTreeMap<Time, Vec<Event>>,
    event_count: usize,
    sums: BTreeMap<SumAt, Amount>,
}

/// A ledger as it is written down.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct Saved {
    bounds: LedgerBounds,
    events: Vec<Event>,
    sums: Vec<Sum>,
}

impl From<Saved> for Ledger {
    fn from(saved: Saved) -> Self {
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

impl From<Ledger> for Saved {
    fn from(ledger: Ledger) -> Self {
        Self {
            bounds: ledger.bounds,
            events: ledger.events().cloned().collect(),
            sums: ledger.sums().collect(),
        }
    }
}

impl Ledger {
    /// An empty ledger.
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

    /// Adds a sum that another ledger made.
    pub fn add_sum(&mut self, sum: Sum) {
        self.put((sum.start, sum.span, sum.key), sum.amount);
    }

    /// The events kept one by one, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.values().flatten()
    }

    /// The sums, oldest first.
    pub fn sums(&self) -> impl Iterator<Item = Sum> + '_ {
        self.sums.iter().map(|((start, span, key), amount)| Sum {
            start: *start,
            span: *span,
            key: key.clone(),
            amount: *amount,
        })
    }

    /// How many events and sums are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.event_count + self.sums.len()
    }

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Folds what has grown old at `now` and keeps the bounds.
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
        let span = span_for(event.kind);
        let at = (span.start_of(event.at), span, SumKey::from(event));
        self.put(at, event.amount);
    }

    fn put(&mut self, at: SumAt, amount: Amount) {
        let sum = self.sums.entry(at).or_default();
        *sum = sum.plus(amount);
    }

    fn coarsen_old(&mut self, span: Span, before: Time) {
        let old: Vec<SumAt> = self
            .sums
            .keys()
            .take_while(|(start, _, _)| *start < before)
            .filter(|(start, of, _)| *of == span && start.0 + of.micros() <= before.0)
            .cloned()
            .collect();
        for at in old {
            self.coarsen(at);
        }
    }

    /// Takes detail from the oldest sums; says whether there was any to take.
    fn coarsen_oldest(&mut self) -> bool {
        for span in [Span::Minute, Span::Hour] {
            let Some(first) = self.first_of(span) else {
                continue;
            };
            let coarser = coarser(span);
            let end = coarser.start_of(first).0 + coarser.micros();
            self.coarsen_old(span, Time(end));
            return true;
        }
        self.take_names(self.sums.len().saturating_sub(self.bounds.max_sums))
    }

    /// Takes the names from the oldest sums that have any, at most `most`.
    fn take_names(&mut self, most: usize) -> bool {
        let named = self.sums.keys().filter(|(_, _, key)| *key != unnamed(key));
        let named: Vec<SumAt> = named.take(most).cloned().collect();
        let any = !named.is_empty();
        for at in named {
            if let Some(amount) = self.sums.remove(&at) {
                let key = unnamed(&at.2);
                self.put((at.0, at.1, key), amount);
            }
        }
        any
    }

    fn first_of(&self, span: Span) -> Option<Time> {
        let mut keys = self.sums.keys();
        keys.find(|(_, of, _)| *of == span)
            .map(|(start, _, _)| *start)
    }

    fn coarsen(&mut self, at: SumAt) {
        let Some(amount) = self.sums.remove(&at) else {
            return;
        };
        let (start, span, key) = at;
        let span = coarser(span);
        self.put((span.start_of(start), span, key), amount);
    }
}

/// Requests are folded into minutes since the shortest burn window is 5 minutes.
const fn span_for(kind: EventKind) -> Span {
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

const fn coarser(span: Span) -> Span {
    match span {
        Span::Minute => Span::Hour,
        Span::Hour | Span::Day => Span::Day,
    }
}

/// The key under which sums are kept once even days with names are too many.
fn unnamed(key: &SumKey) -> SumKey {
    SumKey {
        beneficiary: Account::default(),
        payer: Account::default(),
        duration: DurationClass::default(),
        ..key.clone()
    }
}
