//! Time that tasks waited for a worker, by team and urgency.

use std::collections::BTreeMap;

use kernel::{Cause, EventKind, plugin::inventory};

use super::{ReportKind, bin_micros, seconds, serde_name};
use crate::{
    LedgerRecord, Plot, ReportInput, Section, Series, TableCell, histogram::DurationHistogram,
    model::columns,
};

inventory::submit! {
    ReportKind {
        name: "wait",
        about: "How long tasks waited from their readiness to their binding, by team and urgency.",
        build_sections,
    }
}

const MAX_BINS: u64 = 96;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Waits of one row of a table.
#[derive(Default)]
struct Waits {
    total_secs: f64,
    histogram: DurationHistogram,
}

impl Waits {
    fn add(&mut self, record: &LedgerRecord) {
        self.total_secs += seconds(&record.amount);
        self.histogram.add(record.key.duration, record.amount.count);
    }

    fn cells(&self) -> Vec<TableCell> {
        let count = self.histogram.count();
        let quantile = |fraction| {
            let millis = self.histogram.quantile_millis(fraction);
            TableCell::number(millis.map(|millis| millis / MILLIS_PER_SECOND))
        };
        let mean = (count > 0).then(|| self.total_secs / count as f64);
        vec![
            TableCell::Count(count),
            TableCell::number(mean),
            quantile(0.5),
            quantile(0.9),
            quantile(0.99),
            quantile(1.0),
        ]
    }
}

const WAIT_COLUMNS: [(&str, &str); 6] = [
    ("waits", ""),
    ("mean", "s"),
    ("p50", "s"),
    ("p90", "s"),
    ("p99", "s"),
    ("longest", "s"),
];

fn build_sections(input: &ReportInput<'_>) -> Vec<Section> {
    let mut records = input.records();
    records.retain(|record| record.key.kind == EventKind::Waited);
    vec![by_team(&records), by_cause(&records)]
}

fn urgency(cause: Cause) -> &'static str {
    if cause == Cause::Urgent {
        "urgent"
    } else {
        "normal"
    }
}

fn by_team(records: &[LedgerRecord]) -> Section {
    let mut waits: BTreeMap<(String, &str), Waits> = BTreeMap::new();
    for record in records {
        let team = record.subject().team.as_ref();
        let team = team.map(ToString::to_string).unwrap_or_default();
        let key = (team, urgency(record.key.cause));
        waits.entry(key).or_default().add(record);
    }
    let mut rows = Vec::new();
    for ((team, urgency), waits) in &waits {
        let mut row = vec![TableCell::text(team), TableCell::text(urgency)];
        row.extend(waits.cells());
        rows.push(row);
    }
    let mut all = columns(&[("team", ""), ("urgency", "")]);
    all.extend(columns(&WAIT_COLUMNS));
    Section {
        heading: "Waits by team and urgency".to_owned(),
        note: "Percentiles are rounded up by at most 19%. Tasks that still wait are not in it."
            .to_owned(),
        columns: all,
        rows,
        plots: vec![p99_plot(records)],
    }
}

fn by_cause(records: &[LedgerRecord]) -> Section {
    let mut waits: BTreeMap<Cause, Waits> = BTreeMap::new();
    for record in records {
        waits.entry(record.key.cause).or_default().add(record);
    }
    let mut rows = Vec::new();
    for (cause, waits) in &waits {
        let mut row = vec![TableCell::text(serde_name(cause))];
        row.extend(waits.cells());
        rows.push(row);
    }
    let mut all = columns(&[("cause", "")]);
    all.extend(columns(&WAIT_COLUMNS));
    Section {
        heading: "Waits by cause".to_owned(),
        columns: all,
        rows,
        ..Section::default()
    }
}

fn p99_plot(records: &[LedgerRecord]) -> Plot {
    let bin = bin_micros(records, MAX_BINS);
    let mut series = Vec::new();
    for selected in ["normal", "urgent"] {
        let mut bins: BTreeMap<u64, DurationHistogram> = BTreeMap::new();
        for record in records
            .iter()
            .filter(|record| urgency(record.key.cause) == selected)
        {
            let histogram = bins.entry(record.from.0 / bin).or_default();
            histogram.add(record.key.duration, record.amount.count);
        }
        let mut points = Vec::new();
        for (at, histogram) in &bins {
            let millis = histogram.quantile_millis(0.99).unwrap_or(0.0);
            points.push((kernel::Time(at * bin), millis / MILLIS_PER_SECOND));
        }
        if !points.is_empty() {
            series.push(Series {
                name: selected.to_owned(),
                points,
            });
        }
    }
    Plot {
        title: "99th percentile of waits that ended at a time".to_owned(),
        unit: "s".to_owned(),
        series,
    }
}
