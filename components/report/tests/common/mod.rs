//! Accounts of a night of work, used for the report snapshots.

use std::collections::BTreeMap;

use kernel::{
    Amount, Cause, Event, EventKind, ObjectSet, Party, Resources, Revision, Time,
    object::{Objective, Service},
};
use report::{Accounts, Period};

/// 2026-03-01T22:00:00Z.
pub(crate) const EVENING: u64 = 1_772_402_400;

pub(crate) fn at(minute: u64) -> Time {
    Time::from_secs(EVENING + minute * 60)
}

pub(crate) fn team(name: &str) -> Party {
    Party {
        team: Some(name.parse().unwrap()),
        ..Party::default()
    }
}

pub(crate) fn service(name: &str) -> Party {
    Party {
        service: Some(name.parse().unwrap()),
        ..team("bookings")
    }
}

pub(crate) fn event(
    minute: u64,
    kind: EventKind,
    cause: Cause,
    zone: &str,
    amount: Amount,
) -> Event {
    Event {
        at: at(minute),
        kind,
        cause,
        beneficiary: Party::default(),
        payer: Party::default(),
        vm: None,
        zone: Some(zone.parse().unwrap()),
        revision: Revision(4),
        amount,
    }
}

fn requests(minute: u64, kind: EventKind, cause: Cause, count: u64, millis_each: u64) -> Event {
    let amount = Amount {
        millis: count * millis_each,
        ..Amount::count(count)
    };
    Event {
        payer: service("lookup"),
        ..event(minute, kind, cause, "medina", amount)
    }
}

const TASK: Resources = Resources::new(2000, 4096, 0);

fn add_tasks(events: &mut Vec<Event>) {
    for i in 0..6 {
        let minute = 5 * i;
        let zone = if i % 2 == 0 { "medina" } else { "yoff" };
        let held = Amount::of(TASK, 240_000);
        let waited = Amount::of(TASK, 1500 * (i + 1));
        let task_event = |kind, cause, amount| Event {
            beneficiary: team("royalties"),
            ..event(minute, kind, cause, zone, amount)
        };
        events.push(task_event(
            EventKind::Accepted,
            Cause::Ordinary,
            Amount::count(1),
        ));
        events.push(Event {
            beneficiary: Party::default(),
            payer: team("royalties"),
            ..task_event(EventKind::Waited, Cause::Ordinary, waited)
        });
        events.push(task_event(
            EventKind::Bound,
            Cause::Ordinary,
            Amount::count(1),
        ));
        events.push(task_event(EventKind::Ran, Cause::Ordinary, held));
        events.push(task_event(
            EventKind::Finished,
            Cause::Ordinary,
            Amount::count(1),
        ));
    }
    let urgent_wait = Amount::of(TASK, 900);
    events.push(Event {
        payer: team("clashes"),
        ..event(11, EventKind::Waited, Cause::Urgent, "yoff", urgent_wait)
    });
    events.push(Event {
        beneficiary: team("clashes"),
        payer: team("royalties"),
        ..event(
            11,
            EventKind::Evicted,
            Cause::Urgent,
            "yoff",
            Amount::of(TASK, 60_000),
        )
    });
    events.push(Event {
        beneficiary: service("lookup"),
        payer: team("royalties"),
        ..event(
            14,
            EventKind::Throttled,
            Cause::Interference,
            "medina",
            Amount::of(TASK, 30_000),
        )
    });
}

fn add_absence(events: &mut Vec<Event>) {
    let one = Amount::count(1);
    events.push(event(20, EventKind::ZoneOut, Cause::ZoneOut, "medina", one));
    events.push(Event {
        payer: team("royalties"),
        ..event(
            21,
            EventKind::Evicted,
            Cause::ZoneOut,
            "medina",
            Amount::of(TASK, 5_000),
        )
    });
    events.push(event(26, EventKind::ZoneIn, Cause::Ordinary, "medina", one));
}

pub(crate) fn night() -> Accounts {
    let mut events = Vec::new();
    add_tasks(&mut events);
    add_absence(&mut events);
    for minute in 0..30 {
        events.push(requests(
            minute,
            EventKind::RequestsGood,
            Cause::Ordinary,
            985,
            4,
        ));
        events.push(requests(
            minute,
            EventKind::RequestsGood,
            Cause::Ordinary,
            15,
            60,
        ));
    }
    events.push(requests(
        14,
        EventKind::RequestsLate,
        Cause::Interference,
        20,
        300,
    ));
    events.push(requests(
        21,
        EventKind::RequestsRefused,
        Cause::ZoneOut,
        8,
        0,
    ));
    events.push(requests(
        28,
        EventKind::RequestsFailed,
        Cause::EndpointFailed,
        90,
        15,
    ));
    events.sort_by_key(|event| event.at);
    Accounts {
        period: Period {
            from: at(0),
            until: at(30),
        },
        sums: Vec::new(),
        events,
        missing: vec!["entry-2 did not answer within 2 s".to_owned()],
        gathered_at: at(24 * 60),
    }
}

pub(crate) fn objects() -> ObjectSet {
    let lookup = Service {
        team: "bookings".parse().unwrap(),
        timeout_millis: 1000,
        objective: Objective {
            latency_millis: 100,
            good_per_million: 999_000,
        },
        idempotent_methods: vec!["GET".to_owned()],
        limit: None,
        replicas: None,
    };
    ObjectSet {
        services: BTreeMap::from([("lookup".parse().unwrap(), lookup)]),
        ..ObjectSet::default()
    }
}
