//! Tasks, resources and requests by team, service and zone.

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
        build_sections,
    }
}

/// Maximum number of lines in one plot; smaller ones appear only in the table.
const MAX_SERIES: usize = 6;
const MAX_BINS: u64 = 96;

/// Totals of the tasks of one account or zone.
#[derive(Default)]
struct TaskTotals {
    accepted: u64,
    bound: u64,
    finished: u64,
    failed: u64,
    evicted: u64,
    ran: Amount,
}

impl TaskTotals {
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

const TASK_COLUMNS: [(&str, &str); 8] = [
    ("accepted", "tasks"),
    ("started", "attempts"),
    ("finished", "tasks"),
    ("failed", "tasks"),
    ("evicted", "attempts"),
    ("processors", "core-seconds"),
    ("memory", "GiB-seconds"),
    ("accelerators", "accelerator-seconds"),
];

fn with_task_columns(first: &[(&str, &str)]) -> Vec<Column> {
    let mut all = columns(first);
    all.extend(columns(&TASK_COLUMNS));
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

fn build_sections(input: &ReportInput<'_>) -> Vec<Section> {
    let records = input.records();
    vec![by_account(&records), by_zone(&records), requests(&records)]
}

fn by_account(records: &[LedgerRecord]) -> Section {
    let mut totals: BTreeMap<Account, TaskTotals> = BTreeMap::new();
    for record in records.iter().filter(|record| is_task(record.key.kind)) {
        totals
            .entry(record.subject().clone())
            .or_default()
            .add(record);
    }
    let mut rows = Vec::new();
    for (account, task_totals) in &totals {
        let mut row = vec![team_cell(account), service_cell(account)];
        row.extend(task_totals.cells());
        rows.push(row);
    }
    Section {
        heading: "Tasks by team and service".to_owned(),
        note: "Resources are what was reserved, for as long as it was held; they are counted when an attempt ends.".to_owned(),
        columns: with_task_columns(&[("team", ""), ("service", "")]),
        rows,
        plots: vec![cores_plot(records)],
    }
}

fn by_zone(records: &[LedgerRecord]) -> Section {
    let mut totals: BTreeMap<Option<AvailabilityZoneName>, TaskTotals> = BTreeMap::new();
    for record in records.iter().filter(|record| is_task(record.key.kind)) {
        totals
            .entry(record.key.zone.clone())
            .or_default()
            .add(record);
    }
    let mut rows = Vec::new();
    for (zone, task_totals) in &totals {
        let name = zone.as_ref().map_or(TableCell::Nothing, TableCell::text);
        let mut row = vec![name];
        row.extend(task_totals.cells());
        rows.push(row);
    }
    Section {
        heading: "Tasks by availability zone".to_owned(),
        columns: with_task_columns(&[("availability zone", "")]),
        rows,
        ..Section::default()
    }
}

/// Plots the mean number of cores that ended attempts held over time.
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
        add_to_bins(record, bin, bins);
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

/// Distributes the core-seconds of a record over the bins in which they were held.
///
/// An event is written at the end of an attempt, which held its resources during the
/// time before. The core-seconds of a sum are distributed evenly over its span.
fn add_to_bins(record: &LedgerRecord, bin: u64, bins: &mut BTreeMap<u64, f64>) {
    const MICROS_PER_MILLI: u64 = 1000;
    let mean_millis = record.amount.millis / record.amount.count.max(1);
    let from = if record.from == record.until {
        record.from.0.saturating_sub(mean_millis * MICROS_PER_MILLI)
    } else {
        record.from.0
    };
    let until = record.until.0.max(from + 1);
    let per_micro = cpu_seconds(&record.amount) / (until - from) as f64;
    for at in from / bin..=(until - 1) / bin {
        let overlap = until.min((at + 1) * bin) - from.max(at * bin);
        *bins.entry(at).or_default() += per_micro * overlap as f64;
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

/// Totals of the requests of one service.
#[derive(Default)]
struct RequestTotals {
    good: u64,
    late: u64,
    failed: u64,
    refused: u64,
    retried: u64,
    hedged: u64,
}

fn requests(records: &[LedgerRecord]) -> Section {
    let mut totals: BTreeMap<Account, RequestTotals> = BTreeMap::new();
    for record in records {
        let count = record.amount.count;
        let add = |slot: fn(&mut RequestTotals) -> &mut u64,
                   totals: &mut BTreeMap<Account, RequestTotals>| {
            *slot(totals.entry(record.subject().clone()).or_default()) += count;
        };
        match record.key.kind {
            EventKind::RequestsGood => add(|a| &mut a.good, &mut totals),
            EventKind::RequestsLate => add(|a| &mut a.late, &mut totals),
            EventKind::RequestsFailed => add(|a| &mut a.failed, &mut totals),
            EventKind::RequestsRefused => add(|a| &mut a.refused, &mut totals),
            EventKind::RequestsRetried => add(|a| &mut a.retried, &mut totals),
            EventKind::RequestsHedged => add(|a| &mut a.hedged, &mut totals),
            _ => {}
        }
    }
    let mut rows = Vec::new();
    for (account, requests) in &totals {
        rows.push(vec![
            team_cell(account),
            service_cell(account),
            TableCell::Count(requests.good),
            TableCell::Count(requests.late),
            TableCell::Count(requests.failed),
            TableCell::Count(requests.refused),
            TableCell::Count(requests.retried),
            TableCell::Count(requests.hedged),
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
