//! Compaction preserves all totals and enforces the size limits.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{collections::BTreeMap, time::Duration};

use kernel::{Amount, Cause, Event, EventKind, Party, Revision, Span, SumKey, Time, VmName};
use proptest::{prelude::*, test_runner::RngSeed};
use report::{Ledger, LedgerBounds};

const KINDS: [EventKind; 6] = [
    EventKind::Ran,
    EventKind::Waited,
    EventKind::Evicted,
    EventKind::RequestsGood,
    EventKind::RequestsLate,
    EventKind::RequestsRefused,
];
const CAUSES: [Cause; 3] = [Cause::Ordinary, Cause::Urgent, Cause::ZoneOut];
const START_SECS: u64 = 1_700_000_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn party(team: u8) -> Party {
    Party {
        team: (team > 0).then(|| format!("team-{team}").parse().unwrap()),
        ..Party::default()
    }
}

prop_compose! {
    fn event()(
        secs in 0_u64..40 * 86_400,
        kind in prop::sample::select(&KINDS[..]),
        cause in prop::sample::select(&CAUSES[..]),
        payer in 0_u8..4,
        beneficiary in 0_u8..4,
        zone in prop::option::of("zone-[ab]"),
        count in 0_u64..5,
        millis in 0_u64..100_000,
        cpu in 0_u64..1_000_000,
    ) -> Event {
        Event {
            at: Time::from_secs(START_SECS + secs),
            kind,
            cause,
            beneficiary: party(beneficiary),
            payer: party(payer),
            vm: Some(VmName::new("vm-1").unwrap()),
            zone: zone.map(|zone| zone.parse().unwrap()),
            revision: Revision(1),
            amount: Amount {
                count,
                millis,
                cpu_milli_millis: u128::from(cpu),
                memory_mib_millis: u128::from(cpu / 3),
                accelerator_millis: u128::from(cpu % 7),
            },
        }
    }
}

fn totals(ledger: &Ledger) -> BTreeMap<SumKey, Amount> {
    let mut totals: BTreeMap<SumKey, Amount> = BTreeMap::new();
    let mut add = |key, amount| {
        let total = totals.entry(key).or_default();
        *total = total.plus(amount);
    };
    for event in ledger.events() {
        add(SumKey::from(event), event.amount);
    }
    for sum in ledger.sums() {
        add(sum.key, sum.amount);
    }
    totals
}

fn total(ledger: &Ledger) -> Amount {
    let sums = totals(ledger);
    sums.into_values().fold(Amount::default(), Amount::plus)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn compaction_preserves_the_total_of_every_key(
        events in prop::collection::vec(event(), 0..300),
        steps in prop::collection::vec(0_u64..60 * 86_400, 1..6),
    ) {
        let mut ledger = Ledger::new(LedgerBounds::default());
        let mut uncompacted = Ledger::new(LedgerBounds::default());
        for event in events {
            ledger.add(event.clone());
            uncompacted.add(event);
        }
        let expected = totals(&uncompacted);
        for step in steps {
            ledger.compact(Time::from_secs(START_SECS + step));
            prop_assert_eq!(&totals(&ledger), &expected);
        }
    }

    #[test]
    fn a_full_ledger_drops_names_but_no_amount(
        events in prop::collection::vec(event(), 250..400),
    ) {
        // Three days of 6 kinds, 3 causes and 3 zones are 162 keys without names.
        let bounds = LedgerBounds { max_events: 20, max_sums: 162, ..LedgerBounds::default() };
        let mut ledger = Ledger::new(bounds);
        let mut uncompacted = Ledger::new(bounds);
        for mut event in events {
            event.at = Time::from_secs(START_SECS + event.at.as_secs() % (2 * 86_400));
            uncompacted.add(event.clone());
            ledger.add(event);
        }
        ledger.compact(Time::from_secs(START_SECS + 2 * 86_400));
        prop_assert_eq!(total(&ledger), total(&uncompacted));
        prop_assert!(ledger.events().count() <= bounds.max_events);
        prop_assert!(ledger.sums().count() <= bounds.max_sums);
    }

    #[test]
    fn a_ledger_survives_a_serde_round_trip(
        events in prop::collection::vec(event(), 0..100),
        step in 0_u64..60 * 86_400,
    ) {
        let mut ledger = Ledger::new(LedgerBounds::default());
        for event in events {
            ledger.add(event);
        }
        ledger.compact(Time::from_secs(START_SECS + step));
        let text = serde_json::to_string(&ledger).unwrap();
        let read: Ledger = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(read, ledger);
    }
}

#[test]
fn a_limit_of_one_sum_preserves_the_total() {
    let bounds = LedgerBounds {
        max_sums: 1,
        max_events: 0,
        ..LedgerBounds::default()
    };
    let mut ledger = Ledger::new(bounds);
    let mut event = sample_event(EventKind::RequestsGood, START_SECS);
    for team in 1..4 {
        event.payer = party(team);
        ledger.add(event.clone());
    }
    ledger.compact(Time::from_secs(START_SECS));
    assert_eq!(ledger.len(), 1);
    assert_eq!(total(&ledger).count, 3);
}

#[test]
fn requests_keep_minutes_for_three_days_then_hours_then_days() {
    let mut ledger = Ledger::new(LedgerBounds::default());
    ledger.add(sample_event(EventKind::RequestsGood, START_SECS));
    let spans = |ledger: &Ledger| ledger.sums().map(|sum| sum.span).collect::<Vec<_>>();
    let after = |hours: u64| Time::from_secs(START_SECS) + Duration::from_secs(hours * 3600);
    ledger.compact(after(0));
    assert_eq!(ledger.events().count(), 1);
    ledger.compact(after(2));
    assert_eq!(spans(&ledger), [Span::Minute]);
    ledger.compact(after(71));
    assert_eq!(spans(&ledger), [Span::Minute]);
    ledger.compact(after(73));
    assert_eq!(spans(&ledger), [Span::Hour]);
    ledger.compact(after(32 * 24));
    assert_eq!(spans(&ledger), [Span::Day]);
    ledger.compact(after(402 * 24));
    assert!(ledger.is_empty());
}

fn sample_event(kind: EventKind, secs: u64) -> Event {
    Event {
        at: Time::from_secs(secs),
        kind,
        cause: Cause::Ordinary,
        beneficiary: Party::default(),
        payer: Party::default(),
        vm: None,
        zone: None,
        revision: Revision(1),
        amount: Amount::count(1),
    }
}
