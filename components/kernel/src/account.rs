//! Sums of accounting events and the parts in which entries store them.
//!
//! An event names tasks and VMs, so events can't be kept forever. A [`Sum`]
//! keeps the figures that managers ask for later: who received resources or
//! service, who went without them or waited, for which cause, in which
//! availability zone and how much. See `docs/ACCOUNTS.md`.

use serde::{Deserialize, Serialize};

use crate::{
    Amount, AvailabilityZoneName, Cause, EntryName, Event, EventKind, Incarnation, Party,
    ServiceName, TeamName, Time,
};

/// The beneficiary or payer of a sum: a [`Party`] without the task attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// The team; `None` if it is unknown.
    pub team: Option<TeamName>,
    /// The service; `None` if the sum is not about requests.
    pub service: Option<ServiceName>,
}

impl From<&Party> for Account {
    fn from(party: &Party) -> Self {
        Self {
            team: party.team.clone(),
            service: party.service.clone(),
        }
    }
}

/// The length of time that a sum covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Span {
    /// One minute.
    Minute,
    /// One hour.
    Hour,
    /// One day.
    Day,
}

impl Span {
    /// Returns the length in microseconds.
    #[must_use]
    pub const fn micros(self) -> u64 {
        match self {
            Self::Minute => 60_000_000,
            Self::Hour => 3_600_000_000,
            Self::Day => 86_400_000_000,
        }
    }

    /// Returns the start of the span that contains `at`.
    #[must_use]
    pub const fn start_of(self, at: Time) -> Time {
        Time(at.0 - at.0 % self.micros())
    }
}

/// The number of classes per doubling of the duration.
const CLASSES_PER_DOUBLING: f64 = 4.0;

/// A range of durations about 19% wide, so that sums still give percentiles.
///
/// Class 0 holds durations below one millisecond and items without a duration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DurationClass(pub u8);

impl DurationClass {
    /// Returns the class of the mean duration of `amount`.
    #[must_use]
    pub fn of(amount: &Amount) -> Self {
        if amount.count == 0 {
            return Self::default();
        }
        Self::of_millis(amount.millis as f64 / amount.count as f64)
    }

    /// Returns the class of one duration in milliseconds.
    #[must_use]
    pub fn of_millis(millis: f64) -> Self {
        if millis < 1.0 {
            return Self::default();
        }
        let class = (millis.log2() * CLASSES_PER_DOUBLING).floor() + 1.0;
        Self(class.min(f64::from(u8::MAX)) as u8)
    }

    /// Returns the upper end of the class in milliseconds.
    #[must_use]
    pub fn upper_millis(self) -> f64 {
        (f64::from(self.0) / CLASSES_PER_DOUBLING).exp2()
    }
}

/// The key by which events are summed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SumKey {
    /// The kind of the events.
    pub kind: EventKind,
    /// The cause of the events.
    pub cause: Cause,
    /// The team and service that received the resources or service. If `payer` is
    /// empty, a wait or loss names the affected team and service here.
    #[serde(default)]
    pub beneficiary: Account,
    /// The team and service that went without resources or waited so that
    /// `beneficiary` could have them; empty if there is none.
    #[serde(default)]
    pub payer: Account,
    /// The availability zone; `None` for events without one.
    #[serde(default)]
    pub zone: Option<AvailabilityZoneName>,
    /// The duration class, for kinds that keep the distribution of durations.
    #[serde(default)]
    pub duration: DurationClass,
}

impl From<&Event> for SumKey {
    fn from(event: &Event) -> Self {
        let duration = if event.kind.has_tail() {
            DurationClass::of(&event.amount)
        } else {
            DurationClass::default()
        };
        Self {
            kind: event.kind,
            cause: event.cause,
            beneficiary: Account::from(&event.beneficiary),
            payer: Account::from(&event.payer),
            zone: event.zone.clone(),
            duration,
        }
    }
}

/// The sum of all events of one key in one span of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// The start of the span.
    pub start: Time,
    /// The length of the span.
    pub span: Span,
    /// The key of the summed events.
    pub key: SumKey,
    /// The sum of the amounts.
    pub amount: Amount,
}

/// A part of the accounts of one incarnation of an entry.
///
/// While a part is open, each write replaces it whole. A write whose response
/// was lost can therefore be repeated, and a reader that gets a part twice
/// identifies it by its entry, incarnation and number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountPart {
    /// The entry that served the requests.
    pub entry: EntryName,
    /// The incarnation of the entry.
    pub incarnation: Incarnation,
    /// The number of the part within the incarnation, from 0.
    pub number: u64,
    /// The start of the time that the part covers.
    pub from: Time,
    /// The end of the time that the part covers.
    pub until: Time,
    /// Whether this is the last part, written when the entry shut down cleanly.
    #[serde(default)]
    pub last: bool,
    /// Sums of request events.
    #[serde(default)]
    pub sums: Vec<Sum>,
    /// Events that are kept individually, such as changes of a zone's state.
    #[serde(default)]
    pub events: Vec<Event>,
}
