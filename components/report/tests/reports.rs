//! Snapshots of every kind of report, and properties that all kinds share.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::{at, night, objects};
use kernel::{EventKind, plugin::registered};
use report::{
    Accounts, Filter, Ledger, LedgerBounds, Report, ReportError, ReportInput, ReportKind,
    TableCell, build, format, html, text,
};
use rstest::rstest;

fn report(kind: &str, accounts: &Accounts, filter: &Filter) -> Report {
    let objects = objects();
    let input = ReportInput {
        accounts,
        objects: &objects,
        filter,
    };
    build(kind, &input).unwrap()
}

#[rstest]
#[case::allocations("allocations")]
#[case::burn("burn")]
#[case::expense("expense")]
#[case::wait("wait")]
#[case::zones("zones")]
fn a_report_as_text_matches_its_snapshot(#[case] kind: &str) {
    let report = report(kind, &night(), &Filter::default());
    insta::assert_snapshot!(format!("night_{kind}"), text::render(&report));
}

#[test]
fn every_kind_shows_its_period_and_gaps_in_every_format() {
    let accounts = night();
    let kinds = registered::<ReportKind>();
    assert_eq!(kinds.len(), 5);
    for kind in kinds {
        let report = report(kind.name, &accounts, &Filter::default());
        let page = html::render(&report);
        let json = serde_json::to_value(&report).unwrap();
        for shown in [text::render(&report), page.clone()] {
            assert!(shown.contains("entry-2 did not answer"), "{}", kind.name);
            assert!(shown.contains("2026-03-01T22:30:00Z"), "{}", kind.name);
        }
        assert_eq!(json["missing"][0], "entry-2 did not answer within 2 s");
        assert_eq!(json["span"]["until"], at(30).0);
        let plotted = report.sections.iter().any(|s| !s.plots.is_empty());
        assert_eq!(page.contains("<svg"), plotted, "{}", kind.name);
        assert!(
            !page.contains("http://")
                || page.matches("http://").count() == page.matches("http://www.w3.org").count()
        );
    }
}

#[test]
fn the_error_for_an_unknown_kind_lists_the_known_ones() {
    let (accounts, objects) = (night(), objects());
    let input = ReportInput {
        accounts: &accounts,
        objects: &objects,
        filter: &Filter::default(),
    };
    let error = build("burns", &input).unwrap_err();
    assert!(matches!(error, ReportError::UnknownKind { .. }));
    assert!(
        error
            .to_string()
            .contains("allocations, burn, expense, wait, zones")
    );
}

fn column_sum(report: &Report, section: usize, title: &str) -> f64 {
    let section = &report.sections[section];
    let column = section
        .columns
        .iter()
        .position(|c| c.title == title)
        .unwrap();
    let mut sum = 0.0;
    for row in &section.rows {
        sum += match row[column] {
            TableCell::Count(count) => count as f64,
            TableCell::Number(number) => number,
            _ => 0.0,
        };
    }
    sum
}

#[test]
fn column_sums_equal_the_totals_of_the_events() {
    let accounts = night();
    let mut core_seconds = 0.0;
    for event in accounts.events.iter().filter(|e| e.kind == EventKind::Ran) {
        core_seconds += event.amount.cpu_milli_millis as f64 / 1e6;
    }
    let shown = report("allocations", &accounts, &Filter::default());
    assert_eq!(core_seconds, 6.0 * 240.0 * 2.0);
    assert_eq!(column_sum(&shown, 0, "processors"), core_seconds);
    assert_eq!(column_sum(&shown, 1, "processors"), core_seconds);
}

#[test]
fn compacted_accounts_yield_the_same_rows() {
    let whole = night();
    let mut ledger = Ledger::new(LedgerBounds::default());
    for event in &whole.events {
        ledger.add(event.clone());
    }
    ledger.compact(at(24 * 60));
    let compacted = Accounts {
        sums: ledger.sums().collect(),
        events: ledger.events().cloned().collect(),
        ..whole.clone()
    };
    assert!(compacted.events.is_empty());
    for kind in ["allocations", "expense", "wait"] {
        let before = report(kind, &whole, &Filter::default());
        let after = report(kind, &compacted, &Filter::default());
        for (a, b) in before.sections.iter().zip(&after.sections) {
            assert_eq!(a.rows, b.rows, "{kind}: {}", a.heading);
        }
    }
    let after = report("wait", &compacted, &Filter::default());
    assert!(after.missing.iter().any(|m| m.contains("counted whole")));
}

#[rstest]
#[case::team(Filter { team: Some("clashes".parse().unwrap()), ..Filter::default() }, 2)]
#[case::service(Filter { service: Some("lookup".parse().unwrap()), ..Filter::default() }, 64)]
#[case::zone(Filter { zone: Some("yoff".parse().unwrap()), ..Filter::default() }, 17)]
fn a_filter_selects_only_matching_records(#[case] filter: Filter, #[case] expected: usize) {
    let (accounts, objects) = (night(), objects());
    let input = ReportInput {
        accounts: &accounts,
        objects: &objects,
        filter: &filter,
    };
    assert_eq!(input.records().len(), expected);
}

#[test]
fn names_from_outside_are_escaped_on_a_page() {
    let mut accounts = night();
    accounts
        .missing
        .push("<script>alert(1)</script>".to_owned());
    let page = html::render(&report("wait", &accounts, &Filter::default()));
    assert!(!page.contains("<script>"));
}

#[rstest]
#[case::utc("2026-03-01T22:00:00Z")]
#[case::seconds("1772402400")]
#[case::offset("2026-03-01T23:00:00+01:00")]
fn times_are_parsed_in_each_format(#[case] text: &str) {
    assert_eq!(format::parse_time(text).unwrap(), at(0));
}

#[test]
fn the_error_for_an_invalid_time_shows_the_format() {
    let error = format::parse_time("yesterday").unwrap_err();
    assert!(error.contains("2026-12-03T23:53:00Z"));
}

#[test]
fn only_sums_that_extend_beyond_a_past_end_are_reported_as_gaps() {
    let mut ledger = Ledger::new(LedgerBounds::default());
    for event in night().events {
        ledger.add(event);
    }
    ledger.compact(at(24 * 60));
    let mut accounts = Accounts {
        sums: ledger.sums().collect(),
        events: Vec::new(),
        missing: Vec::new(),
        gathered_at: at(30),
        ..night()
    };
    let now = report("allocations", &accounts, &Filter::default());
    assert!(now.missing.is_empty(), "{:?}", now.missing);
    accounts.gathered_at = at(45);
    let later = report("allocations", &accounts, &Filter::default());
    assert_eq!(later.missing.len(), 1);
}

#[test]
fn minute_sums_of_requests_are_counted_in_an_absence_of_seconds() {
    let mut ledger = Ledger::new(LedgerBounds::default());
    let mut accounts = night();
    for event in &mut accounts.events {
        if matches!(event.kind, EventKind::ZoneOut | EventKind::ZoneIn) {
            // The zone goes out 20 min 10 s past the hour and returns ten seconds later.
            let second = if event.kind == EventKind::ZoneOut {
                10
            } else {
                20
            };
            event.at = kernel::Time(at(20).0 + second * 1_000_000);
        } else {
            ledger.add(event.clone());
        }
    }
    ledger.compact(at(24 * 60));
    accounts
        .events
        .retain(|event| matches!(event.kind, EventKind::ZoneOut | EventKind::ZoneIn));
    accounts.sums = ledger.sums().collect();
    let zones = report("zones", &accounts, &Filter::default());
    let row = &zones.sections[1].rows[0];
    // The ten minutes before hold nine whole minutes of 1,000 requests and 20 late ones.
    assert_eq!(row[2], TableCell::Count(9_020), "before");
    assert_eq!(row[4], TableCell::Count(1000), "during");
}
