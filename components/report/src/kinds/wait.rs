//! How long tasks waited for a worker, by team and urgency.

use std::collections::BTreeMap;

use kernel::{Cause, EventKind, plugin::inventory};

use super::{ReportKind, bin_micros, seconds, word};
use crate::{Cell, Input, Line, Plot, Section, Series, model::columns, quantiles::Quantiles};

inventory::submit! {
    ReportKind {
        name: "wait",
        about: "How long tasks waited from their readiness to their binding, by team and urgency.",
        make,
    }
}

const MAX_BINS: u64 = 96;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The waits of one row.
#[derive(Default)]
struct Waits {
    total_secs: f64,
    quantiles: Quantiles,
}

impl Waits {
    fn add(&mut self, line: &Line) {
        self.total_secs += seconds(&line.amount);
        self.quantiles.add(line.key.duration, line.amount.count);
    }

    fn cells(&self) -> Vec<Cell> {
        let count = self.quantiles.count();
        let at = |share| {
            let millis = self.quantiles.millis_at(share);
            Cell::number(millis.map(|millis| millis / MILLIS_PER_SECOND))
        };
        let mean = (count > 0).then(|| self.total_secs / count as f64);
        vec![
            Cell::Count(count),
            Cell::number(mean),
            at(0.5),
            at(0.9),
            at(0.99),
            at(1.0),
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

fn make(input: &Input<'_>) -> Vec<Section> {
    let mut lines = input.lines();
    lines.retain(|line| line.key.kind == EventKind::Waited);
    vec![by_team(&lines), by_cause(&lines)]
}

fn urgency(cause: Cause) -> &'static str {
    if cause == Cause::Urgent {
        "urgent"
    } else {
        "normal"
    }
}

fn by_team(lines: &[Line]) -> Section {
    let mut waits: BTreeMap<(String, &str), Waits> = BTreeMap::new();
    for line in lines {
        let team = line.subject().team.as_ref();
        let team = team.map(ToString::to_string).unwrap_or_default();
        let key = (team, urgency(line.key.cause));
        waits.entry(key).or_default().add(line);
    }
    let mut rows = Vec::new();
    for ((team, urgency), waits) in &waits {
        let mut row = vec![Cell::text(team), Cell::text(urgency)];
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
        plots: vec![p99_plot(lines)],
    }
}

fn by_cause(lines: &[Line]) -> Section {
    let mut waits: BTreeMap<Cause, Waits> = BTreeMap::new();
    for line in lines {
        waits.entry(line.key.cause).or_default().add(line);
    }
    let mut rows = Vec::new();
    for (cause, waits) in &waits {
        let mut row = vec![Cell::text(word(cause))];
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

fn p99_plot(lines: &[Line]) -> Plot {
    let bin = bin_micros(lines, MAX_BINS);
    let mut series = Vec::new();
    for wanted in ["normal", "urgent"] {
        let mut bins: BTreeMap<u64, Quantiles> = BTreeMap::new();
        for line in lines
            .iter()
            .filter(|line| urgency(line.key.cause) == wanted)
        {
            let quantiles = bins.entry(line.from.0 / bin).or_default();
            quantiles.add(line.key.duration, line.amount.count);
        }
        let mut points = Vec::new();
        for (at, quantiles) in &bins {
            let millis = quantiles.millis_at(0.99).unwrap_or(0.0);
            points.push((kernel::Time(at * bin), millis / MILLIS_PER_SECOND));
        }
        if !points.is_empty() {
            series.push(Series {
                name: wanted.to_owned(),
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
