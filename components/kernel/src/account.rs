//! Sums of accounting events, and the parts in which they are kept.
//!
//! An event names tasks and VMs and so can't be kept for ever. A [`Sum`] keeps
//! what a manager asks for later: who gained, who paid, why, where and how
//! much. See `docs/ACCOUNTS.md`.

use serde::{Deserialize, Serialize};

use crate::{
    Amount, AvailabilityZoneName, Cause, EntryName, Event, EventKind, Incarnation, Party,
    ServiceName, TeamName, Time,
};

/// Who gains or pays, without the single task.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// The team, if one is known.
    pub team: Option<TeamName>,
    /// The service, if it is about requests.
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

/// The time that a sum covers.
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
    /// Its length in microseconds.
    #[must_use]
    pub const fn micros(self) -> u64 {
        match self {
            Self::Minute => 60_000_000,
            Self::Hour => 3_600_000_000,
            Self::Day => 86_400_000_000,
        }
    }

    /// The start of the span of this length that holds `at`.
    #[must_use]
    pub const fn start_of(self, at: Time) -> Time {
        Time(at.0 - at.0 % self.micros())
    }
}

/// The steps per doubling of a [`DurationClass`].
const CLASSES_PER_DOUBLING: f64 = 4.0;

/// A range of durations about 19% wide, so that sums still give percentiles.
///
/// Class 0 holds everything below one millisecond or without a duration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DurationClass(pub u8);

impl DurationClass {
    /// The class of the mean duration of `amount`.
    #[must_use]
    pub fn of(amount: &Amount) -> Self {
        if amount.count == 0 {
            return Self::default();
        }
        Self::of_millis(amount.millis as f64 / amount.count as f64)
    }

    /// The class of one duration in milliseconds.
    #[must_use]
    pub fn of_millis(millis: f64) -> Self {
        if millis < 1.0 {
            return Self::default();
        }
        let class = (millis.log2() * CLASSES_PER_DOUBLING).floor() + 1.0;
        Self(class.min(f64::from(u8::MAX)) as u8)
    }

    /// The upper end of the class in milliseconds.
    #[must_use]
    pub fn upper_millis(self) -> f64 {
        (f64::from(self.0) / CLASSES_PER_DOUBLING).exp2()
    }
}

/// What a sum is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SumKey {
    /// What happened.
    pub kind: EventKind,
    /// Why.
    pub cause: Cause,
    /// Who gained.
    #[serde(default)]
    pub beneficiary: Account,
    /// Who paid.
    #[serde(default)]
    pub payer: Account,
    /// Where.
    #[serde(default)]
    pub zone: Option<AvailabilityZoneName>,
    /// How long it took, for kinds where the tail matters.
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
    /// Its length.
    pub span: Span,
    /// What it is about.
    pub key: SumKey,
    /// How much.
    pub amount: Amount,
}

/// A part of the accounts of one life of an entry.
///
/// A part is rewritten whole while it is open, so that a write whose answer was
/// lost can be repeated, and a reader that gets it twice knows it by its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountPart {
    /// The entry whose requests these are.
    pub entry: EntryName,
    /// The life of the entry.
    pub incarnation: Incarnation,
    /// Counts the parts of this life, from 0.
    pub number: u64,
    /// The start of what it covers.
    pub from: Time,
    /// The end of what it covers.
    pub until: Time,
    /// Whether the entry stopped in order after this part.
    #[serde(default)]
    pub last: bool,
    /// Sums of requests.
    #[serde(default)]
    pub sums: Vec<Sum>,
    /// Events that are kept one by one, such as changes of a zone's state.
    #[serde(default)]
    pub events: Vec<Event>,
}
