//! Effects of taking an availability zone out of service and back in.

use std::{collections::BTreeMap, time::Duration};

use kernel::{AvailabilityZoneName, Cause, EventKind, ServiceName, Time, plugin::inventory};

use super::{ReportKind, bin_micros};
use crate::{
    LedgerRecord, Period, Plot, ReportInput, Section, Series, TableCell,
    histogram::DurationHistogram, model::columns,
};

inventory::submit! {
    ReportKind {
        name: "zones",
        about: "What was done while an availability zone left and returned: last start, end of the drain, evictions, tail latency.",
        build_sections,
    }
}

/// Period before and after an absence for which the tail latency is shown.
const COMPARISON_PERIOD: Duration = Duration::from_secs(600);
/// Maximum time between the reports of the same change by two entries.
const MAX_ENTRY_REPORT_DELAY: Duration = Duration::from_secs(30);
const TAIL_QUANTILE: f64 = 0.99;
const MAX_BINS: u64 = 96;

/// Period during which an availability zone was out of service.
struct Absence {
    zone: AvailabilityZoneName,
    /// Time at which the absence came into force at the first entry.
    out: Time,
    /// Time at which the return came into force at the first entry; `None` while the zone
    /// is out.
    back: Option<Time>,
}

impl Absence {
    fn period(&self, end: Time) -> Period {
        Period {
            from: self.out,
            until: self.back.unwrap_or(end),
        }
    }
}

fn build_sections(input: &ReportInput<'_>) -> Vec<Section> {
    let records = input.records();
    let end = input.accounts.period.until;
    let absences = absences(&records);
    vec![
        absence_table(&records, &absences, end),
        tail_table(&records, &absences, end),
        work_table(&records, &absences, end),
    ]
}

fn absences(records: &[LedgerRecord]) -> Vec<Absence> {
    let mut absences: Vec<Absence> = Vec::new();
    for record in records {
        let Some(zone) = &record.key.zone else {
            continue;
        };
        let last = absences.iter_mut().rev().find(|a| a.zone == *zone);
        match (record.key.kind, last) {
            (EventKind::ZoneOut, last) if starts_absence(last.as_deref(), record.from) => {
                absences.push(Absence {
                    zone: zone.clone(),
                    out: record.from,
                    back: None,
                });
            }
            (EventKind::ZoneIn, Some(last)) if last.back.is_none() => last.back = Some(record.from),
            _ => {}
        }
    }
    absences
}

/// Returns whether a report starts a new absence. Every entry reports the change, and
/// only the first report counts.
fn starts_absence(last: Option<&Absence>, at: Time) -> bool {
    match last {
        None => true,
        Some(last) => last
            .back
            .is_some_and(|back| at.since(back) > MAX_ENTRY_REPORT_DELAY),
    }
}

fn absence_table(records: &[LedgerRecord], absences: &[Absence], end: Time) -> Section {
    let mut rows = Vec::new();
    for absence in absences {
        let period = absence.period(end);
        let in_absence = |kinds: &[EventKind]| -> Vec<&LedgerRecord> {
            let in_zone = records.iter().filter(|record| {
                record.key.zone.as_ref() == Some(&absence.zone) && period.contains(record.from)
            });
            in_zone
                .filter(|record| kinds.contains(&record.key.kind))
                .collect()
        };
        let starts = in_absence(&[EventKind::Bound]);
        let ended = in_absence(&[EventKind::Ran, EventKind::Evicted, EventKind::Finished]);
        let evictions: u64 = in_absence(&[EventKind::Evicted])
            .iter()
            .filter(|record| record.key.cause == Cause::ZoneOut)
            .map(|record| record.amount.count)
            .sum();
        let after_out = |records: &[&LedgerRecord]| {
            let last = records.iter().map(|record| record.until).max();
            TableCell::number(last.map(|at| at.since(absence.out).as_secs_f64()))
        };
        rows.push(vec![
            TableCell::text(&absence.zone),
            TableCell::Time(absence.out),
            TableCell::time(absence.back),
            after_out(&starts),
            after_out(&ended),
            TableCell::Count(evictions),
        ]);
    }
    Section {
        heading: "Absences".to_owned(),
        note: "Out and back are when the change came into force at the first entry. A zone without a time of return is still out. Times taken from sums are rounded up to the end of the minute or hour.".to_owned(),
        columns: columns(&[
            ("availability zone", ""),
            ("out", "UTC"),
            ("back", "UTC"),
            ("last start", "s after out"),
            ("last task ended", "s after out"),
            ("evictions", "attempts"),
        ]),
        rows,
        ..Section::default()
    }
}

fn is_answered(record: &LedgerRecord) -> bool {
    matches!(
        record.key.kind,
        EventKind::RequestsGood | EventKind::RequestsLate | EventKind::RequestsFailed
    )
}

/// Returns the latency histogram by service of the answered requests that `accepts`
/// selects.
fn latencies(
    records: &[LedgerRecord],
    accepts: impl Fn(&LedgerRecord) -> bool,
) -> BTreeMap<ServiceName, DurationHistogram> {
    let mut latencies: BTreeMap<ServiceName, DurationHistogram> = BTreeMap::new();
    for record in records.iter().filter(|record| is_answered(record)) {
        let Some(service) = &record.subject().service else {
            continue;
        };
        if accepts(record) {
            let histogram = latencies.entry(service.clone()).or_default();
            histogram.add(record.key.duration, record.amount.count);
        }
    }
    latencies
}

fn tail_table(records: &[LedgerRecord], absences: &[Absence], end: Time) -> Section {
    let mut rows = Vec::new();
    for absence in absences {
        let during = absence.period(end);
        let before = Period {
            from: absence.out - COMPARISON_PERIOD,
            until: absence.out,
        };
        let after = Period {
            from: during.until,
            until: during.until + COMPARISON_PERIOD,
        };
        let parts = [
            latencies(records, |record| record.is_within(before)),
            latencies(records, |record| record.overlaps(during)),
            latencies(records, |record| record.is_within(after)),
        ];
        let mut services: Vec<&ServiceName> = parts.iter().flat_map(BTreeMap::keys).collect();
        services.sort();
        services.dedup();
        for service in services {
            let mut row = vec![TableCell::text(&absence.zone), TableCell::text(service)];
            for part in &parts {
                let histogram = part.get(service).cloned().unwrap_or_default();
                row.push(TableCell::Count(histogram.count()));
                row.push(TableCell::number(histogram.quantile_millis(TAIL_QUANTILE)));
            }
            rows.push(row);
        }
    }
    Section {
        heading: "Tail latency before, during and after".to_owned(),
        note: "99th percentile of answered requests, rounded up by at most 19%; before and after are ten minutes each. Requests are kept by the minute, so during holds the whole minutes that the absence touches, before and after none of them.".to_owned(),
        columns: columns(&[
            ("availability zone", ""),
            ("service", ""),
            ("before", "requests"),
            ("before", "p99 ms"),
            ("during", "requests"),
            ("during", "p99 ms"),
            ("after", "requests"),
            ("after", "p99 ms"),
        ]),
        rows,
        plots: vec![tail_plot(records)],
    }
}

fn tail_plot(records: &[LedgerRecord]) -> Plot {
    let answers: Vec<LedgerRecord> = records
        .iter()
        .filter(|record| is_answered(record))
        .cloned()
        .collect();
    let bin = bin_micros(&answers, MAX_BINS);
    let mut bins: BTreeMap<(ServiceName, u64), DurationHistogram> = BTreeMap::new();
    for record in &answers {
        if let Some(service) = &record.subject().service {
            let key = (service.clone(), record.from.0 / bin);
            bins.entry(key)
                .or_default()
                .add(record.key.duration, record.amount.count);
        }
    }
    let mut series: Vec<Series> = Vec::new();
    for ((service, at), histogram) in bins {
        let point = (
            Time(at * bin),
            histogram.quantile_millis(TAIL_QUANTILE).unwrap_or(0.0),
        );
        match series.last_mut() {
            Some(last) if last.name == service.as_str() => last.points.push(point),
            _ => series.push(Series {
                name: service.to_string(),
                points: vec![point],
            }),
        }
    }
    Plot {
        title: "99th percentile of answered requests".to_owned(),
        unit: "ms".to_owned(),
        series,
    }
}

fn work_table(records: &[LedgerRecord], absences: &[Absence], end: Time) -> Section {
    let mut rows = Vec::new();
    for absence in absences {
        let period = absence.period(end);
        let mut counts: BTreeMap<EventKind, u64> = BTreeMap::new();
        for record in records.iter().filter(|record| record.overlaps(period)) {
            *counts.entry(record.key.kind).or_default() += record.amount.count;
        }
        let count = |kind| TableCell::Count(counts.get(&kind).copied().unwrap_or(0));
        rows.push(vec![
            TableCell::text(&absence.zone),
            TableCell::Time(absence.out),
            count(EventKind::Bound),
            count(EventKind::Finished),
            count(EventKind::Lost),
            count(EventKind::RequestsGood),
            count(EventKind::RequestsLate),
            count(EventKind::RequestsFailed),
            count(EventKind::RequestsRefused),
        ]);
    }
    Section {
        heading: "Work done meanwhile, in all availability zones".to_owned(),
        note: "Sums are counted whole if the absence touches them.".to_owned(),
        columns: columns(&[
            ("absence of", ""),
            ("out", "UTC"),
            ("started", "attempts"),
            ("finished", "tasks"),
            ("lost", "attempts"),
            ("good", "requests"),
            ("late", "requests"),
            ("failed", "requests"),
            ("refused", "requests"),
        ]),
        rows,
        ..Section::default()
    }
}
