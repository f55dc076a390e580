//! Burn rate of the error budget of each service, with alerts and causes.

use std::{collections::BTreeMap, time::Duration};

use kernel::{Cause, EventKind, ServiceName, Time, plugin::inventory};

use super::{ReportKind, bin_micros, serde_name};
use crate::{LedgerRecord, Plot, ReportInput, Section, Series, TableCell, format, model::columns};

inventory::submit! {
    ReportKind {
        name: "burn",
        about: "How fast each service spends the errors that its objective allows, and what spent them.",
        build_sections,
    }
}

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3600);
/// Windows of the table, shortest first.
const WINDOWS: [Duration; 4] = [
    Duration::from_secs(5 * 60),
    HOUR,
    Duration::from_secs(6 * 3600),
    Duration::from_secs(3 * 24 * 3600),
];
/// Burn rate that spends 2% of a budget of 30 days within an hour.
pub(crate) const FAST_BURN: f64 = 14.4;
/// Burn rate that spends a budget of 30 days in exactly 30 days.
pub(crate) const SLOW_BURN: f64 = 1.0;
const MILLION: f64 = 1e6;
const MAX_BINS: u64 = 144;
const MAX_SERIES: usize = 6;

/// Answers of one service in one period.
#[derive(Clone, Copy, Default)]
struct AnswerCounts {
    good: u64,
    bad: u64,
}

impl AnswerCounts {
    fn add(&mut self, record: &LedgerRecord) {
        if record.key.kind == EventKind::RequestsGood {
            self.good += record.amount.count;
        } else {
            self.bad += record.amount.count;
        }
    }

    /// Returns the ratio of the fraction of bad answers to the fraction that the
    /// objective allows, or `None` without answers.
    fn burn_rate(self, allowed: f64) -> Option<f64> {
        let all = self.good + self.bad;
        if all == 0 {
            return None;
        }
        Some(self.bad as f64 / all as f64 / allowed)
    }
}

/// Objective and records of one service.
struct ServiceRecords<'a> {
    name: ServiceName,
    /// Fraction of bad answers that the objective allows, `None` if the service is not
    /// among the objects in force.
    allowed: Option<f64>,
    latency_millis: Option<u64>,
    records: Vec<&'a LedgerRecord>,
}

fn build_sections(input: &ReportInput<'_>) -> Vec<Section> {
    let mut records = input.records();
    records.retain(|record| is_answer(record.key.kind));
    let services = services(input, &records);
    let until = input.accounts.period.until;
    vec![
        windows(&services, until),
        alerts(&services, until),
        causes(&services),
    ]
}

const fn is_answer(kind: EventKind) -> bool {
    matches!(
        kind,
        EventKind::RequestsGood
            | EventKind::RequestsLate
            | EventKind::RequestsFailed
            | EventKind::RequestsRefused
    )
}

fn services<'a>(input: &ReportInput<'_>, records: &'a [LedgerRecord]) -> Vec<ServiceRecords<'a>> {
    let mut by_name: BTreeMap<ServiceName, Vec<&LedgerRecord>> = BTreeMap::new();
    for record in records {
        if let Some(name) = &record.subject().service {
            by_name.entry(name.clone()).or_default().push(record);
        }
    }
    let mut services = Vec::new();
    for (name, records) in by_name {
        let objective = input.objects.services.get(&name).map(|s| &s.objective);
        services.push(ServiceRecords {
            allowed: objective.map(|o| allowed_fraction(o.good_per_million)),
            latency_millis: objective.map(|o| o.latency_millis),
            name,
            records,
        });
    }
    services
}

/// Returns the allowed fraction of bad answers. An objective of a million in a million
/// still allows one bad answer in a million.
fn allowed_fraction(good_per_million: u32) -> f64 {
    (MILLION - f64::from(good_per_million)).max(1.0) / MILLION
}

impl ServiceRecords<'_> {
    fn answers_in(&self, window: Duration, until: Time) -> AnswerCounts {
        let from = until - window;
        let mut answers = AnswerCounts::default();
        for record in &self.records {
            // A sum counts in full in each window that it overlaps, so that sums of an
            // hour are not missing from all windows.
            if record.until > from && record.from < until {
                answers.add(record);
            }
        }
        answers
    }

    fn burn_rate(&self, window: Duration, until: Time) -> Option<f64> {
        self.answers_in(window, until).burn_rate(self.allowed?)
    }

    fn total(&self) -> AnswerCounts {
        let mut answers = AnswerCounts::default();
        for record in &self.records {
            answers.add(record);
        }
        answers
    }
}

fn windows(services: &[ServiceRecords<'_>], until: Time) -> Section {
    let mut rows = Vec::new();
    for service in services {
        let total = service.total();
        let budget_left = service
            .allowed
            .and_then(|allowed| total.burn_rate(allowed))
            .map(|burn| (1.0 - burn) * 100.0);
        let objective = service.allowed.map(|allowed| (1.0 - allowed) * 100.0);
        let latency = service
            .latency_millis
            .map_or(TableCell::Nothing, TableCell::Count);
        let mut row = vec![
            TableCell::text(&service.name),
            TableCell::number(objective),
            latency,
            TableCell::Count(total.good),
            TableCell::Count(total.bad),
            TableCell::number(budget_left),
        ];
        for window in WINDOWS {
            row.push(TableCell::number(service.burn_rate(window, until)));
        }
        rows.push(row);
    }
    Section {
        heading: "Burn by service".to_owned(),
        note: format!(
            "A burn of 1 spends the errors that the objective allows exactly as fast as allowed. The windows end at {} and hold no more than the span of this report. The budget is that of the whole span of this report.",
            format::time(until)
        ),
        columns: columns(&[
            ("service", ""),
            ("objective", "% good"),
            ("in time", "ms"),
            ("good", "requests"),
            ("bad", "requests"),
            ("budget left", "%"),
            ("burn", "5 min"),
            ("burn", "1 h"),
            ("burn", "6 h"),
            ("burn", "3 d"),
        ]),
        rows,
        plots: vec![plot(services)],
    }
}

fn alerts(services: &[ServiceRecords<'_>], until: Time) -> Section {
    let [five_min, hour, six_hours, three_days] = WINDOWS;
    let mut rows = Vec::new();
    for service in services {
        let exceeds = |window, bound| {
            service
                .burn_rate(window, until)
                .is_some_and(|burn| burn >= bound)
        };
        let fast = exceeds(five_min, FAST_BURN) && exceeds(hour, FAST_BURN);
        let slow = exceeds(six_hours, SLOW_BURN) && exceeds(three_days, SLOW_BURN);
        if fast {
            rows.push(alert(service, "fast burn", "page someone now"));
        }
        if slow {
            rows.push(alert(service, "slow burn", "look at it within a day"));
        }
    }
    Section {
        heading: "Alerts".to_owned(),
        note: format!(
            "Fast burn: at least {FAST_BURN} over 5 min and 1 h. Slow burn: at least {SLOW_BURN} over 6 h and 3 d."
        ),
        columns: columns(&[("service", ""), ("alert", ""), ("what to do", "")]),
        rows,
        ..Section::default()
    }
}

fn alert(service: &ServiceRecords<'_>, name: &str, remedy: &str) -> Vec<TableCell> {
    vec![
        TableCell::text(&service.name),
        TableCell::text(name),
        TableCell::text(remedy),
    ]
}

fn causes(services: &[ServiceRecords<'_>]) -> Section {
    let mut rows = Vec::new();
    for service in services {
        let bad = service.total().bad;
        let mut causes: BTreeMap<(EventKind, Cause), u64> = BTreeMap::new();
        for record in &service.records {
            if record.key.kind != EventKind::RequestsGood {
                *causes
                    .entry((record.key.kind, record.key.cause))
                    .or_default() += record.amount.count;
            }
        }
        for ((kind, cause), count) in causes {
            rows.push(vec![
                TableCell::text(&service.name),
                TableCell::text(serde_name(kind)),
                TableCell::text(serde_name(cause)),
                TableCell::Count(count),
                TableCell::Number(count as f64 / bad.max(1) as f64 * 100.0),
            ]);
        }
    }
    Section {
        heading: "What burned it".to_owned(),
        columns: columns(&[
            ("service", ""),
            ("what", ""),
            ("cause", ""),
            ("requests", ""),
            ("share", "% of bad"),
        ]),
        rows,
        ..Section::default()
    }
}

fn plot(services: &[ServiceRecords<'_>]) -> Plot {
    let all: Vec<LedgerRecord> = services
        .iter()
        .flat_map(|service| service.records.iter().map(|record| (*record).clone()))
        .collect();
    let bin = bin_micros(&all, MAX_BINS).max(5 * MINUTE.as_micros() as u64);
    let mut series = Vec::new();
    for service in services.iter().take(MAX_SERIES) {
        let Some(allowed) = service.allowed else {
            continue;
        };
        let mut bins: BTreeMap<u64, AnswerCounts> = BTreeMap::new();
        for record in &service.records {
            bins.entry(record.from.0 / bin).or_default().add(record);
        }
        let mut points = Vec::new();
        for (at, answers) in bins {
            points.push((Time(at * bin), answers.burn_rate(allowed).unwrap_or(0.0)));
        }
        series.push(Series {
            name: service.name.to_string(),
            points,
        });
    }
    Plot {
        title: format!("Burn in steps of {} min", bin / MINUTE.as_micros() as u64),
        unit: "burn".to_owned(),
        series,
    }
}
