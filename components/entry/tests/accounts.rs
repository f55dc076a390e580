//! An entry's accounts during store outages and process failures.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use entry::{
    accounts::{
        AccountBuffer, Accounts, GatherRequest, PeerAddresses, buffer, compact, gather, write,
    },
    config::ConfigFollower,
    operator::{self, Context},
};
use fakes::store::MemStore;
use kernel::{
    Amount, Cause, Clock, Event, EventKind, Incarnation, ObjectSet, Party, Revision, Span, Sum,
    SumKey, Time,
    object::{AvailabilityZone, ZoneState},
    secret::Secrets,
};
use proto::{Router, messages::EventReply, methods::EventsCall, serve};
use report::{Accounts as GatheredAccounts, Period};
use rstest::rstest;
use smol::net::TcpListener;
use store::{KeyRange, Store, keys};

const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(24 * 3600);

fn secrets() -> Secrets {
    Secrets::parse("the-secret-of-this-test").unwrap()
}

fn request(at: Time, service: &str, count: u64) -> Event {
    Event {
        at,
        kind: EventKind::RequestsGood,
        cause: Cause::Ordinary,
        beneficiary: Party::default(),
        payer: Party {
            service: Some(service.parse().unwrap()),
            ..Party::default()
        },
        vm: None,
        zone: None,
        revision: Revision(1),
        amount: Amount {
            millis: 3 * count,
            ..Amount::count(count)
        },
    }
}

fn accounts(name: &str, incarnation: u64, from: Time) -> Accounts {
    let buffer = AccountBuffer::new(name.parse().unwrap(), Incarnation(incarnation), from);
    Accounts::with_buffer(buffer, Clock::start())
}

fn write_all(accounts: &Accounts, store: &MemStore) {
    smol::block_on(async { while write::write_once(accounts, store).await.unwrap() {} });
}

fn gather_with(
    store: &MemStore,
    own: EventReply,
    peers: &PeerAddresses,
    from: Time,
) -> GatheredAccounts {
    let now = Clock::start().now();
    smol::block_on(gather(GatherRequest {
        store,
        own,
        peers,
        secrets: &secrets(),
        period: Period {
            from,
            until: now + HOUR,
        },
        now,
    }))
}

fn gather_from_store(store: &MemStore, from: Time) -> GatheredAccounts {
    gather_with(
        store,
        EventReply::default(),
        &PeerAddresses::default(),
        from,
    )
}

fn request_count(accounts: &GatheredAccounts) -> u64 {
    accounts.sums.iter().map(|sum| sum.amount.count).sum()
}

#[test]
fn a_lost_store_reply_counts_no_request_twice() {
    let store = MemStore::new();
    let now = Clock::start().now();
    let accounts = accounts("entry-1", 1, now);
    accounts.record(&request(now, "lookup", 5));
    store.faults().lose_answers(1);
    let lost = smol::block_on(write::write_once(&accounts, &store));
    assert!(lost.is_err());
    accounts.record(&request(now, "lookup", 2));
    write_all(&accounts, &store);
    assert_eq!(request_count(&gather_from_store(&store, now - HOUR)), 7);
}

#[test]
fn a_store_outage_of_days_loses_no_request_and_keeps_the_buffer_bounded() {
    let store = MemStore::new();
    let end = Clock::start().now();
    let start = end - 2 * DAY;
    let mut buffer = AccountBuffer::new("entry-1".parse().unwrap(), Incarnation(1), start);
    let mut recorded = 0;
    for minute in 0..2 * 24 * 60 {
        let at = start + Duration::from_secs(60 * minute);
        for service in 0..40 {
            buffer.record(&request(at, &format!("service-{service}"), 1));
            recorded += 1;
        }
        // The bound may be exceeded by the part that has just been closed.
        assert!(buffer.waiting_sum_count() <= buffer::MAX_WAITING_SUMS + buffer::MAX_SUMS_PER_PART);
    }
    let accounts = Accounts::with_buffer(buffer, Clock::start());
    store.set_outage(true);
    assert!(smol::block_on(write::write_once(&accounts, &store)).is_err());
    store.set_outage(false);
    write_all(&accounts, &store);
    let got = gather_from_store(&store, start - HOUR);
    assert_eq!(request_count(&got), recorded);
}

#[test]
fn parts_written_before_they_were_merged_are_replaced() {
    let store = MemStore::new();
    let start = Clock::start().now() - 3 * HOUR;
    let mut buffer = AccountBuffer::new("entry-1".parse().unwrap(), Incarnation(1), start);
    let mut recorded = 0;
    let mut record_requests = |buffer: &mut AccountBuffer, rounds: u64| {
        for i in 0..rounds {
            buffer.record(&request(start, &format!("service-{i}"), 1));
            recorded += 1;
        }
    };
    record_requests(&mut buffer, 900);
    // The store keeps the part, but the reply is lost.
    let first_write = buffer.next_write(start).unwrap();
    let accounts = Accounts::with_buffer(buffer, Clock::start());
    store.faults().lose_answers(1);
    assert!(smol::block_on(write::write_once(&accounts, &store)).is_err());
    assert_eq!(first_write.part.number, 0);
    for i in 0..30_000 {
        accounts.record(&request(start, &format!("other-{i}"), 1));
    }
    write_all(&accounts, &store);
    let got = gather_from_store(&store, start - HOUR);
    assert_eq!(request_count(&got), recorded + 30_000);
    let parts = store.peek(&KeyRange::prefix(keys::ACCOUNT_PARTS));
    assert!(parts.iter().all(|kv| kv.value.len() < 1_000_000));
}

#[test]
fn only_a_killed_entry_is_reported_as_a_gap() {
    let store = MemStore::new();
    let now = Clock::start().now();
    let killed = accounts("entry-1", 1, now - Duration::from_secs(60));
    killed.record(&request(now - Duration::from_secs(50), "lookup", 5));
    write_all(&killed, &store);
    killed.record(&request(now - Duration::from_secs(5), "lookup", 9));
    drop(killed);
    let stopped = accounts("entry-2", 1, now - Duration::from_secs(60));
    stopped.record(&request(now, "lookup", 2));
    smol::block_on(write::run(stopped, Arc::new(store.clone()), async {}));

    let got = gather_from_store(&store, now - HOUR);
    assert_eq!(request_count(&got), 7);
    assert_eq!(got.missing.len(), 1, "{:?}", got.missing);
    assert!(got.missing[0].contains("entry-1"));

    let next = accounts("entry-1", 2, now);
    let got = gather_with(
        &store,
        next.event_reply(EventReply::default()),
        &PeerAddresses::default(),
        now - HOUR,
    );
    assert_eq!(got.missing.len(), 1, "{:?}", got.missing);
    assert!(got.missing[0].contains("ended without writing"));
}

async fn serve_events(accounts: Accounts) -> (SocketAddr, smol::Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = Router::new().on::<EventsCall, _, _>(move |_| {
        let reply = accounts.event_reply(EventReply::default());
        async move { Ok(reply) }
    });
    let serving = serve(listener, router, secrets(), std::future::pending());
    (address, smol::spawn(serving))
}

#[test]
fn accounts_of_another_entry_are_counted_once_and_its_failure_is_reported() {
    let store = MemStore::new();
    let now = Clock::start().now();
    let other = accounts("entry-2", 1, now);
    other.record(&request(now, "lookup", 5));
    write_all(&other, &store);
    other.record(&request(now, "lookup", 3));
    let (address, serving) = smol::block_on(serve_events(other));
    let peers = PeerAddresses {
        entries: BTreeMap::from([("entry-2".parse().unwrap(), address)]),
    };
    let got = gather_with(&store, EventReply::default(), &peers, now - HOUR);
    assert_eq!(request_count(&got), 8);
    assert!(got.missing.is_empty(), "{:?}", got.missing);

    smol::block_on(serving.cancel());
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = unused.local_addr().unwrap();
    drop(unused);
    let peers = PeerAddresses {
        entries: BTreeMap::from([("entry-2".parse().unwrap(), closed)]),
    };
    let got = gather_with(&store, EventReply::default(), &peers, now - HOUR);
    assert_eq!(request_count(&got), 5);
    assert!(
        got.missing
            .iter()
            .any(|m| m.contains("entry entry-2 did not answer"))
    );
}

#[test]
fn an_unreadable_store_is_reported() {
    let store = MemStore::new();
    let now = Clock::start().now();
    let own = accounts("entry-1", 1, now);
    own.record(&request(now, "lookup", 4));
    store.set_outage(true);
    let own = own.event_reply(EventReply::default());
    let got = gather_with(&store, own, &PeerAddresses::default(), now - HOUR);
    assert_eq!(request_count(&got), 4);
    assert!(
        got.missing
            .iter()
            .any(|m| m.contains("the store could not be read"))
    );
}

#[test]
fn concurrent_compactions_count_no_request_twice() {
    let store = MemStore::new();
    let now = Clock::start().now();
    let start = now - 10 * DAY;
    for (entry, incarnation) in [("entry-1", 1), ("entry-1", 2), ("entry-2", 1)] {
        let from = start + incarnation as u32 * HOUR;
        let accounts = accounts(entry, incarnation, from);
        for hour in 0..200 {
            accounts.record(&request(from + hour * HOUR, "lookup", 1));
        }
        write_all(&accounts, &store);
    }
    let before = gather_from_store(&store, start);
    assert_eq!(request_count(&before), 600);
    smol::block_on(async {
        let concurrent =
            futures_lite::future::zip(compact::compact(&store, now), compact::compact(&store, now));
        let (first, second) = concurrent.await;
        first.unwrap();
        second.unwrap();
    });
    let parts = store.peek(&KeyRange::prefix(keys::ACCOUNT_PARTS));
    let max_hours = compact::PART_RETENTION.as_secs() / 3600 + 24;
    assert!(
        parts.len() < 3 * max_hours as usize,
        "{} parts are left",
        parts.len()
    );
    let after = gather_from_store(&store, start);
    assert_eq!(request_count(&after), 600);
    // No entry incarnation wrote the part that marks its regular end, so both reports
    // have the same gaps.
    assert_eq!(after.missing, before.missing);
}

#[test]
fn only_expired_days_are_deleted() {
    let store = MemStore::new();
    let now = Clock::start().now();
    for age in [410, 300] {
        let at = now - age * DAY;
        let accounts = accounts("entry-1", u64::from(1000 - age), at);
        accounts.record(&request(at, "lookup", 1));
        write_all(&accounts, &store);
    }
    smol::block_on(compact::compact(&store, now)).unwrap();
    let got = gather_from_store(&store, now - 500 * DAY);
    assert_eq!(request_count(&got), 1);
}

#[test]
fn each_change_of_a_zone_is_recorded_once() {
    let now = Clock::start().now();
    let accounts = accounts("entry-1", 1, now);
    let objects_with = |state| {
        let zone = AvailabilityZone {
            state,
            ..AvailabilityZone::default()
        };
        ObjectSet {
            zones: BTreeMap::from([("medina".parse().unwrap(), zone)]),
            ..ObjectSet::default()
        }
    };
    for (revision, state) in [
        (1, ZoneState::In),
        (2, ZoneState::Out),
        (3, ZoneState::Out),
        (4, ZoneState::In),
    ] {
        accounts.record_zone_changes(Revision(revision), &objects_with(state));
    }
    let parts = accounts.unwritten_parts();
    let events: Vec<(EventKind, Revision)> = parts
        .iter()
        .flat_map(|part| &part.events)
        .map(|event| (event.kind, event.revision))
        .collect();
    assert_eq!(
        events,
        [
            (EventKind::ZoneOut, Revision(2)),
            (EventKind::ZoneIn, Revision(4))
        ]
    );
}

const OPERATORS_SECRET: &str = "an-operators-secret";

/// Serves the operators' port over accounts with seven requests to `lookup`.
async fn serve_operators() -> (SocketAddr, smol::Task<()>) {
    serve_accounts(|period| GatheredAccounts {
        period,
        sums: Vec::new(),
        events: vec![request(period.until - Duration::from_secs(1), "lookup", 7)],
        missing: vec!["entry-9 did not answer".to_owned()],
        gathered_at: period.until,
    })
    .await
}

/// Serves the operators' port over the accounts that `gathered` returns.
async fn serve_accounts(
    gathered: impl Fn(Period) -> GatheredAccounts + Send + Sync + 'static,
) -> (SocketAddr, smol::Task<()>) {
    let clock = Clock::start();
    let store: Arc<dyn Store> = Arc::new(MemStore::new());
    let cx = Context {
        secrets: Secrets::parse(OPERATORS_SECRET).unwrap(),
        body_bytes: 1024,
        clock,
        store: Arc::clone(&store),
        config: ConfigFollower::new(store, clock),
        revisions: Box::new(Default::default),
        zone_of: Box::new(|_| None),
        accounts: Box::new(move |period| {
            let accounts = gathered(period);
            Box::pin(async move { accounts })
        }),
        jobs: None,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = trillium_smol::config()
        .without_signals()
        .with_prebound_server(listener)
        .run_async(operator::handler(cx));
    (address, smol::spawn(serving))
}

async fn get(address: SocketAddr, path: &str, secret: &str) -> (u16, String, String) {
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    let mut conn = client
        .get(format!("http://{address}{path}"))
        .with_request_header("authorization", format!("Bearer {secret}"))
        .await
        .unwrap();
    let status = conn.status().unwrap() as u16;
    let kind = conn.response_headers().get_str("content-type");
    let kind = kind.unwrap_or_default().to_owned();
    let body = conn.response_body().read_string().await.unwrap();
    (status, kind, body)
}

#[rstest]
#[case::text("text", "text/plain; charset=utf-8")]
#[case::json("json", "application/json")]
#[case::html("html", "text/html; charset=utf-8")]
fn operators_get_a_report_in_each_form(#[case] form: &str, #[case] expected: &str) {
    smol::block_on(async {
        let (address, _serving) = serve_operators().await;
        let path = format!("/v1/report/allocations?format={form}&service=lookup");
        let (status, kind, body) = get(address, &path, OPERATORS_SECRET).await;
        assert_eq!((status, kind.as_str()), (200, expected));
        assert!(body.contains("lookup"), "{body}");
        assert!(body.contains("entry-9 did not answer"), "{body}");
        let path = format!("/v1/report/allocations?format={form}&service=tickets");
        let (_, _, body) = get(address, &path, OPERATORS_SECRET).await;
        assert!(!body.contains("lookup"), "{body}");
    });
}

#[rstest]
#[case::up_to_now("/v1/report/allocations?format=text", true)]
#[case::up_to_a_time("/v1/report/allocations?format=text&until=1700000000", false)]
fn a_sum_of_the_current_minute_is_not_reported_as_a_gap(
    #[case] path: &str,
    #[case] complete: bool,
) {
    smol::block_on(async {
        let (address, _serving) = serve_accounts(|period| GatheredAccounts {
            period,
            sums: vec![Sum {
                start: period.until - Duration::from_secs(30),
                span: Span::Minute,
                key: SumKey::from(&request(period.until, "lookup", 7)),
                amount: Amount::count(7),
            }],
            events: Vec::new(),
            missing: Vec::new(),
            gathered_at: period.until + Duration::from_millis(5),
        })
        .await;
        let (_, _, body) = get(address, path, OPERATORS_SECRET).await;
        assert_eq!(!body.contains("NOT COMPLETE"), complete, "{body}");
    });
}

#[test]
fn operators_get_the_events_that_a_report_is_made_from() {
    smol::block_on(async {
        let (address, _serving) = serve_operators().await;
        let (status, _, body) = get(address, "/v1/events", OPERATORS_SECRET).await;
        assert_eq!(status, 200);
        let accounts: GatheredAccounts = serde_json::from_str(&body).unwrap();
        assert_eq!(accounts.events[0].amount.count, 7);
        let path = "/v1/events?team=nobody";
        let (_, _, body) = get(address, path, OPERATORS_SECRET).await;
        let accounts: GatheredAccounts = serde_json::from_str(&body).unwrap();
        assert!(accounts.events.is_empty());
    });
}

#[rstest]
#[case::no_such_kind("/v1/report/burns", 404, "allocations, burn")]
#[case::no_such_parameter("/v1/report/burn?form=text", 400, "there are from, until")]
#[case::no_such_format("/v1/report/burn?format=xml", 400, "text, json, html")]
#[case::no_time("/v1/events?from=monday", 400, "2026-12-03T23:53:00Z")]
#[case::no_period("/v1/events?from=200&until=100", 400, "not before")]
#[case::no_name("/v1/events?team=No+Team", 400, "team: the name")]
fn an_invalid_query_is_refused_with_a_remedy(
    #[case] path: &str,
    #[case] status: u16,
    #[case] remedy: &str,
) {
    smol::block_on(async {
        let (address, _serving) = serve_operators().await;
        let (got, _, body) = get(address, path, OPERATORS_SECRET).await;
        assert_eq!(got, status);
        assert!(body.contains(remedy), "{body}");
        assert!(body.contains("not-run"), "{body}");
    });
}

#[test]
fn reports_require_an_operators_secret() {
    smol::block_on(async {
        let (address, _serving) = serve_operators().await;
        for path in ["/v1/events", "/v1/report/burn"] {
            let (status, _, body) = get(address, path, "some-other-secret").await;
            assert_eq!(status, 401);
            assert!(!body.contains("lookup"));
        }
    });
}
