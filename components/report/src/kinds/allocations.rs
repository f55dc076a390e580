//! Who got what: starts, run time and resources by team, service and zone.

use std::collections::BTreeMap;

use kernel::{Account, Amount, AvailabilityZoneName, EventKind, Time, plugin::inventory};

use super::{
    ReportKind, accelerator_seconds, account_name, bin_micros, cpu_seconds, memory_gib_seconds,
    service_cell, team_cell,
};
use crate::{
    LedgerRecord, Plot, ReportInput, Section, Series, TableCell,
    model::{Column, columns},
};

inventory::submit! {
    ReportKind {
        name: "allocations",
        about: "Who got what: tasks, resources held and requests answered, by team, service and availability zone.",
        make,
    }
}

/// The most lines in one plot; smaller ones are left to the table.
const MAX_SERIES: usize = 6;
const MAX_BINS: u64 = 96;

/// What one account got.
#[derive(Default)]
struct Got {
    accepted: u64,
    bound: u64,
    finished: u64,
    failed: u64,
    evicted: u64,
    ran: Amount,
}

impl Got {
    fn add(&mut self, record: &LedgerRecord) {
        let count = record.amount.count;
        match record.key.kind {
            EventKind::Accepted => self.accepted += count,
            EventKind::Bound => self.bound += count,
            EventKind::Finished => self.finished += count,
            EventKind::Failed => self.failed += count,
            EventKind::Evicted => self.evicted += count,
            EventKind::Ran => self.ran = self.ran.plus(record.amount),
            _ => {}
        }
    }

    fn cells(&self) -> Vec<TableCell> {
        vec![
            TableCell::Count(self.accepted),
            TableCell::Count(self.bound),
            TableCell::Count(self.finished),
            TableCell::Count(self.failed),
            TableCell::Count(self.evicted),
            TableCell::Number(cpu_seconds(&self.ran)),
            TableCell::Number(memory_gib_seconds(&self.ran)),
            TableCell::Number(accelerator_seconds(&self.ran)),
        ]
    }
}

const GOT_COLUMNS: [(&str, &str); 8] = [
    ("accepted", "tasks"),
    ("started", "attempts"),
    ("finished", "tasks"),
    ("failed", "tasks"),
    ("evicted", "attempts"),
    ("processors", "core-seconds"),
    ("memory", "GiB-seconds"),
    ("accelerators", "accelerator-seconds"),
];

fn with_got(first: &[(&str, &str)]) -> Vec<Column> {
    let mut all = columns(first);
    all.extend(columns(&GOT_COLUMNS));
    all
}

fn is_task(kind: EventKind) -> bool {
    matches!(
        kind,
        EventKind::Accepted
            | EventKind::Bound
            | EventKind::Finished
            | EventKind::Failed
            | EventKind::Evicted
            | EventKind::Ran
    )
}

fn make(input: &ReportInput<'_>) -> Vec<Section> {
    let records = input.records();
    vec![by_account(&records), by_zone(&records), requests(&records)]
}

fn by_account(records: &[LedgerRecord]) -> Section {
    let mut got: BTreeMap<Account, Got> = BTreeMap::new();
    for record in records.iter().filter(|record| is_task(record.key.kind)) {
        got.entry(record.subject().clone()).or_default().add(record);
    }
    let mut rows = Vec::new();
    for (account, got) in &got {
        let mut row = vec![team_cell(account), service_cell(account)];
        row.extend(got.cells());
        rows.push(row);
    }
    Section {
        heading: "Tasks by team and service".to_owned(),
        note: "Resources are what was reserved, for as long as it was held; they are counted when an attempt ends.".to_owned(),
        columns: with_got(&[("team", ""), ("service", "")]),
        rows,
        plots: vec![cores_plot(records)],
    }
}

fn by_zone(records: &[LedgerRecord]) -> Section {
    let mut got: BTreeMap<Option<AvailabilityZoneName>, Got> = BTreeMap::new();
    for record in records.iter().filter(|record| is_task(record.key.kind)) {
        got.entry(record.key.zone.clone()).or_default().add(record);
    }
    let mut rows = Vec::new();
    for (zone, got) in &got {
        let name = zone.as_ref().map_or(TableCell::Empty, TableCell::text);
        let mut row = vec![name];
        row.extend(got.cells());
        rows.push(row);
    }
    Section {
        heading: "Tasks by availability zone".to_owned(),
        columns: with_got(&[("availability zone", "")]),
        rows,
        ..Section::default()
    }
}

/// The mean number of cores that ended attempts had held, over time.
fn cores_plot(records: &[LedgerRecord]) -> Plot {
    let ran: Vec<LedgerRecord> = records
        .iter()
        .filter(|record| record.key.kind == EventKind::Ran)
        .cloned()
        .collect();
    let bin = bin_micros(&ran, MAX_BINS);
    let mut totals: BTreeMap<&Account, BTreeMap<u64, f64>> = BTreeMap::new();
    for record in &ran {
        let bins = totals.entry(record.subject()).or_default();
        spread(record, bin, bins);
    }
    let mut largest: Vec<(&Account, BTreeMap<u64, f64>)> = totals.into_iter().collect();
    largest.sort_by(|a, b| total(&b.1).total_cmp(&total(&a.1)));
    largest.truncate(MAX_SERIES);
    let bin_secs = bin as f64 / 1e6;
    let mut series = Vec::new();
    for (account, bins) in largest {
        series.push(Series {
            name: account_name(account),
            points: points(&bins, bin, bin_secs),
        });
    }
    Plot {
        title: "Cores held by attempts that have ended".to_owned(),
        unit: "cores".to_owned(),
        series,
    }
}

/// Shares the core-seconds of a line among the bins in which they were held.
///
/// An event is written at the end of an attempt, which held its resources for
/// the time before it; a sum is taken to have held them throughout its span.
fn spread(record: &LedgerRecord, bin: u64, bins: &mut BTreeMap<u64, f64>) {
    const MICROS_PER_MILLI: u64 = 1000;
    let mean_millis = record.amount.millis / record.amount.count.max(1);
    let from = if record.from == record.until {
        record.from.0.saturating_sub(mean_millis * MICROS_PER_MILLI)
    } else {
        record.from.0
    };
    let until = record.until.0.max(from + 1);
    let each_micro = cpu_seconds(&record.amount) / (until - from) as f64;
    for at in from / bin..=(until - 1) / bin {
        let overlap = until.min((at + 1) * bin) - from.max(at * bin);
        *bins.entry(at).or_default() += each_micro * overlap as f64;
    }
}

fn total(bins: &BTreeMap<u64, f64>) -> f64 {
    bins.values().sum()
}

fn points(bins: &BTreeMap<u64, f64>, bin: u64, bin_secs: f64) -> Vec<(Time, f64)> {
    let (Some(first), Some(last)) = (bins.keys().next(), bins.keys().last()) else {
        return Vec::new();
    };
    let mut points = Vec::new();
    for at in *first..=*last {
        let value = bins.get(&at).copied().unwrap_or(0.0);
        points.push((Time(at * bin), value / bin_secs));
    }
    points
}

/// What a service's callers got.
#[derive(Default)]
struct Answers {
    good: u64,
    late: u64,
    failed: u64,
    refused: u64,
    retried: u64,
    hedged: u64,
}

fn requests(records: &[LedgerRecord]) -> Section {
    let mut all: BTreeMap<Account, Answers> = BTreeMap::new();
    for record in records {
        let count = record.amount.count;
        let add = |slot: fn(&mut Answers) -> &mut u64, all: &mut BTreeMap<Account, Answers>| {
            *slot(all.entry(record.subject().clone()).or_default()) += count;
        };
        match record.key.kind {
            EventKind::RequestsGood => add(|a| &mut a.good, &mut all),
            EventKind::RequestsLate => add(|a| &mut a.late, &mut all),
            EventKind::RequestsFailed => add(|a| &mut a.failed, &mut all),
            EventKind::RequestsRefused => add(|a| &mut a.refused, &mut all),
            EventKind::RequestsRetried => add(|a| &mut a.retried, &mut all),
            EventKind::RequestsHedged => add(|a| &mut a.hedged, &mut all),
            _ => {}
        }
    }
    let mut rows = Vec::new();
    for (account, answers) in &all {
        rows.push(vec![
            team_cell(account),
            service_cell(account),
            TableCell::Count(answers.good),
            TableCell::Count(answers.late),
            TableCell::Count(answers.failed),
            TableCell::Count(answers.refused),
            TableCell::Count(answers.retried),
            TableCell::Count(answers.hedged),
        ]);
    }
    Section {
        heading: "Requests by service".to_owned(),
        note: "Good is answered whole and within the objective. Refused requests were not run."
            .to_owned(),
        columns: columns(&[
            ("team", ""),
            ("service", ""),
            ("good", "requests"),
            ("late", "requests"),
            ("failed", "requests"),
            ("refused", "requests"),
            ("retried", "attempts"),
            ("hedged", "attempts"),
        ]),
        rows,
        ..Section::default()
    }
}
