//! What a report reads.

use kernel::{
    Account, Amount, AvailabilityZoneName, Event, EventKind, ObjectSet, ServiceName, Sum, SumKey,
    TeamName, Time,
};
use serde::{Deserialize, Serialize};

/// A time from a start up to but without an end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Period {
    /// The start.
    pub from: Time,
    /// The end, left out.
    pub until: Time,
}

impl Period {
    /// Whether `at` lies in the period.
    #[must_use]
    pub fn contains(self, at: Time) -> bool {
        self.from <= at && at < self.until
    }

    /// Whether a span from `from` up to `until` shares any time with it.
    #[must_use]
    pub fn overlaps(self, from: Time, until: Time) -> bool {
        from < self.until && until > self.from
    }
}

/// The accounts gathered for a report, and what could not be gathered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Accounts {
    /// What they cover.
    #[serde(rename = "span")]
    pub period: Period,
    /// Sums that replace older events.
    pub sums: Vec<Sum>,
    /// Events that are in no sum.
    pub events: Vec<Event>,
    /// What could not be read, in words.
    pub missing: Vec<String>,
    /// When they were gathered; nothing in them is from later.
    pub gathered_at: Time,
}

/// Which part of the accounts a report shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Filter {
    /// Only this team, as the one who gains or pays.
    pub team: Option<TeamName>,
    /// Only this service, as the one that gains or pays.
    pub service: Option<ServiceName>,
    /// Only this availability zone.
    pub zone: Option<AvailabilityZoneName>,
}

impl Filter {
    /// Leaves only what the filter accepts.
    pub fn retain_matching(&self, accounts: &mut Accounts) {
        accounts.sums.retain(|sum| self.accepts(&sum.key));
        accounts
            .events
            .retain(|event| self.accepts(&SumKey::from(event)));
    }

    fn accepts(&self, key: &SumKey) -> bool {
        let parties = [&key.beneficiary, &key.payer];
        if self.team.is_some() && !parties.iter().any(|party| party.team == self.team) {
            return false;
        }
        if self.service.is_some() && !parties.iter().any(|party| party.service == self.service) {
            return false;
        }
        self.zone.is_none() || key.zone == self.zone
    }
}

/// Everything that a report is made from.
#[derive(Clone, Copy, Debug)]
pub struct ReportInput<'a> {
    /// The accounts.
    pub accounts: &'a Accounts,
    /// The objects in force, for objectives and names.
    pub objects: &'a ObjectSet,
    /// What to show.
    pub filter: &'a Filter,
}

/// An event or a sum, as reports read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerRecord {
    /// The start of what it covers; the time itself for an event.
    pub from: Time,
    /// The end of what it covers; the time itself for an event.
    pub until: Time,
    /// What it is about.
    pub key: SumKey,
    /// How much.
    pub amount: Amount,
}

impl LedgerRecord {
    /// Whether any of it may lie in `period`; a sum is taken by its whole span.
    #[must_use]
    pub fn overlaps(&self, period: Period) -> bool {
        if self.from == self.until {
            return period.contains(self.from);
        }
        period.overlaps(self.from, self.until)
    }

    /// Whether all of it lies in `period`.
    #[must_use]
    pub fn is_within(&self, period: Period) -> bool {
        period.from <= self.from && self.until <= period.until && self.overlaps(period)
    }

    /// Whose line it is: the payer where something was taken, else the one who
    /// gained.
    #[must_use]
    pub fn subject(&self) -> &Account {
        let SumKey {
            kind,
            beneficiary,
            payer,
            ..
        } = &self.key;
        let (first, second) = match kind {
            EventKind::Waited
            | EventKind::Throttled
            | EventKind::Evicted
            | EventKind::Lost
            | EventKind::RequestsLate
            | EventKind::RequestsFailed
            | EventKind::RequestsRefused => (payer, beneficiary),
            _ => (beneficiary, payer),
        };
        if *first == Account::default() {
            return second;
        }
        first
    }
}

impl From<&Event> for LedgerRecord {
    fn from(event: &Event) -> Self {
        Self {
            from: event.at,
            until: event.at,
            key: SumKey::from(event),
            amount: event.amount,
        }
    }
}

impl From<&Sum> for LedgerRecord {
    fn from(sum: &Sum) -> Self {
        Self {
            from: sum.start,
            until: Time(sum.start.0 + sum.span.micros()),
            key: sum.key.clone(),
            amount: sum.amount,
        }
    }
}

impl ReportInput<'_> {
    /// The lines within the span that the filter accepts, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<LedgerRecord> {
        let period = self.accounts.period;
        let mut records = Vec::new();
        for sum in &self.accounts.sums {
            let record = LedgerRecord::from(sum);
            if period.overlaps(record.from, record.until) && self.filter.accepts(&record.key) {
                records.push(record);
            }
        }
        for event in &self.accounts.events {
            let record = LedgerRecord::from(event);
            if period.contains(event.at) && self.filter.accepts(&record.key) {
                records.push(record);
            }
        }
        records.sort_by(|a, b| (a.from, a.until, &a.key).cmp(&(b.from, b.until, &b.key)));
        records
    }

    /// What a reader has to know: gaps, and sums that reach over an edge.
    #[must_use]
    pub fn missing(&self) -> Vec<String> {
        let mut missing = self.accounts.missing.clone();
        let period = self.accounts.period;
        let mut over = 0;
        for sum in &self.accounts.sums {
            let record = LedgerRecord::from(sum);
            // A sum of the current minute holds nothing from after the gathering.
            let last = record.until.min(self.accounts.gathered_at);
            let inside = period.from <= record.from && last <= period.until;
            if period.overlaps(record.from, record.until) && !inside {
                over += 1;
            }
        }
        if over > 0 {
            missing.push(format!(
                "{over} sums of a minute, an hour or a day reach over an edge of the span and are counted whole"
            ));
        }
        missing
    }
}
