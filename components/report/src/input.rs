//! Data that a report reads.

use kernel::{
    Account, Amount, AvailabilityZoneName, Event, EventKind, ObjectSet, ServiceName, Sum, SumKey,
    TeamName, Time,
};
use serde::{Deserialize, Serialize};

/// A half-open period of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Period {
    /// Start, inclusive.
    pub from: Time,
    /// End, exclusive.
    pub until: Time,
}

impl Period {
    /// Returns whether `at` lies in the period.
    #[must_use]
    pub fn contains(self, at: Time) -> bool {
        self.from <= at && at < self.until
    }

    /// Returns whether the period from `from` until `until` overlaps this one.
    #[must_use]
    pub fn overlaps(self, from: Time, until: Time) -> bool {
        from < self.until && until > self.from
    }
}

/// Accounts gathered for a report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Accounts {
    /// Period that the accounts cover.
    #[serde(rename = "span")]
    pub period: Period,
    /// Sums that replace older events.
    pub sums: Vec<Sum>,
    /// Events that are not part of a sum.
    pub events: Vec<Event>,
    /// Descriptions of the accounts that could not be read.
    pub missing: Vec<String>,
    /// Time of gathering; no event is later.
    pub gathered_at: Time,
}

/// Selects the part of the accounts that a report shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Filter {
    /// Team that must be the beneficiary or the payer; `None` accepts all.
    pub team: Option<TeamName>,
    /// Service that must be the beneficiary or the payer; `None` accepts all.
    pub service: Option<ServiceName>,
    /// Availability zone of the event; `None` accepts all.
    pub zone: Option<AvailabilityZoneName>,
}

impl Filter {
    /// Removes the sums and events that do not match the filter.
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

/// Input of a report.
#[derive(Clone, Copy, Debug)]
pub struct ReportInput<'a> {
    /// Accounts of the period.
    pub accounts: &'a Accounts,
    /// Objects in force, which provide objectives and names.
    pub objects: &'a ObjectSet,
    /// Filter of the records that the report shows.
    pub filter: &'a Filter,
}

/// A ledger event, or a sum of such events over a span, in one form for both.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerRecord {
    /// Start of the sum's span, or the time of the event.
    pub from: Time,
    /// End of the sum's span, or the time of the event.
    pub until: Time,
    /// Kind, cause, parties and zone.
    pub key: SumKey,
    /// Number of events, duration and resources.
    pub amount: Amount,
}

impl LedgerRecord {
    /// Returns whether any part of the record may lie in `period`. A sum counts with its
    /// whole span.
    #[must_use]
    pub fn overlaps(&self, period: Period) -> bool {
        if self.from == self.until {
            return period.contains(self.from);
        }
        period.overlaps(self.from, self.until)
    }

    /// Returns whether the whole record lies in `period`.
    #[must_use]
    pub fn is_within(&self, period: Period) -> bool {
        period.from <= self.from && self.until <= period.until && self.overlaps(period)
    }

    /// Returns the account that the record is listed under: the payer for losses and
    /// delays, otherwise the beneficiary.
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
    /// Returns the records in the period that match the filter, oldest first.
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

    /// Describes gaps in the accounts and sums that extend beyond the period.
    #[must_use]
    pub fn missing(&self) -> Vec<String> {
        let mut missing = self.accounts.missing.clone();
        let period = self.accounts.period;
        let mut partial_sums = 0;
        for sum in &self.accounts.sums {
            let record = LedgerRecord::from(sum);
            // A sum of the current span has no events later than `gathered_at`.
            let end = record.until.min(self.accounts.gathered_at);
            let is_inside = period.from <= record.from && end <= period.until;
            if period.overlaps(record.from, record.until) && !is_inside {
                partial_sums += 1;
            }
        }
        if partial_sums > 0 {
            missing.push(format!(
                "{partial_sums} sums of a minute, an hour or a day reach over an edge of the span and are counted whole"
            ));
        }
        missing
    }
}
