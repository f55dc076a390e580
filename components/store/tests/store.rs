//! `EtcdStore` and the in-memory `MemStore` give the same answers, with faults and without.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fakes::store::{MemStore, serve};
use futures_lite::FutureExt;
use kernel::{Clock, Time, Verdict};
use rstest::rstest;
use smol::net::TcpListener;
use store::{
    BudgetedStore, Change, Compare, Delivery, EtcdStore, KeyRange, LeaseId, Op, RangeFollower,
    RangeUpdate, Store, Txn, WatchItem,
    budget::{CallKind, TokenBucket},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// How a test accesses the `MemStore`.
#[derive(Clone, Copy, Debug)]
enum Access {
    InProcess,
    OverLoopback,
}

async fn listen(mem: &MemStore) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(serve(listener, mem.clone(), std::future::pending())).detach();
    address
}

async fn open_store(access: Access, mem: &MemStore) -> Arc<dyn Store> {
    match access {
        Access::InProcess => Arc::new(mem.clone()),
        Access::OverLoopback => Arc::new(EtcdStore::new(&[listen(mem).await])),
    }
}

async fn with_test_timeout<T>(future: impl Future<Output = T>) -> T {
    let expired = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("the test did not finish within {TEST_TIMEOUT:?}");
    };
    future.or(expired).await
}

fn put(key: &str, value: &str) -> Txn {
    Txn {
        ops: vec![Op::put(key, value)],
        ..Txn::default()
    }
}

fn create(key: &str, value: &str) -> Txn {
    Txn {
        compares: vec![Compare::Absent(key.to_owned())],
        otherwise: vec![KeyRange::one(key)],
        ..put(key, value)
    }
}

#[rstest]
fn a_transaction_changes_all_or_nothing(
    #[values(Access::InProcess, Access::OverLoopback)] access: Access,
) {
    smol::block_on(with_test_timeout(async {
        let store = open_store(access, &MemStore::with_manual_time()).await;
        let first = store.txn(create("a/1", "one")).await.unwrap();
        assert!(first.succeeded);
        let again = store.txn(create("a/1", "two")).await.unwrap();
        assert!(!again.succeeded);
        assert_eq!(again.otherwise[0][0].value, b"one");
        assert_eq!(again.otherwise[0][0].modified, first.revision);
        let two = Txn {
            compares: vec![
                Compare::ValueIs("a/1".to_owned(), b"one".to_vec()),
                Compare::ModifiedAt("a/1".to_owned(), first.revision),
                Compare::Present("a/1".to_owned()),
            ],
            ops: vec![Op::put("a/2", "two"), Op::Delete(KeyRange::one("a/1"))],
            otherwise: Vec::new(),
        };
        assert!(store.txn(two.clone()).await.unwrap().succeeded);
        assert!(!store.txn(two).await.unwrap().succeeded);
        let left = store.range(KeyRange::prefix("a/"), 0).await.unwrap();
        let keys: Vec<&str> = left.kvs.iter().map(|kv| kv.key.as_str()).collect();
        assert_eq!(keys, ["a/2"]);
    }));
}

#[rstest]
fn a_limit_truncates_the_reply_and_reports_that_there_are_more_keys(
    #[values(Access::InProcess, Access::OverLoopback)] access: Access,
) {
    smol::block_on(with_test_timeout(async {
        let store = open_store(access, &MemStore::with_manual_time()).await;
        for key in ["a/1", "a/2", "a/3"] {
            store.txn(put(key, "x")).await.unwrap();
        }
        let some = store.range(KeyRange::prefix("a/"), 2).await.unwrap();
        assert_eq!((some.kvs.len(), some.more), (2, true));
        let all = store.range(KeyRange::prefix("a/"), 3).await.unwrap();
        assert_eq!((all.kvs.len(), all.more), (3, false));
    }));
}

#[rstest]
fn an_expired_lease_deletes_its_keys(
    #[values(Access::InProcess, Access::OverLoopback)] access: Access,
) {
    smol::block_on(with_test_timeout(async {
        let mem = MemStore::with_manual_time();
        let store = open_store(access, &mem).await;
        let lease = store.grant(Duration::from_secs(5)).await.unwrap();
        let op = Op::Put {
            key: "a/1".to_owned(),
            value: Vec::new(),
            lease: Some(lease),
        };
        let txn = Txn {
            ops: vec![op],
            ..Txn::default()
        };
        store.txn(txn.clone()).await.unwrap();
        mem.set_time(Time::from_secs(4));
        assert!(store.keep_alive(lease).await.unwrap());
        mem.set_time(Time::from_secs(8));
        assert_eq!(mem.peek(&KeyRange::one("a/1")).len(), 1);
        mem.set_time(Time::from_secs(9));
        assert_eq!(mem.peek(&KeyRange::one("a/1")).len(), 0);
        assert!(!store.keep_alive(lease).await.unwrap());
        store.txn(txn).await.unwrap_err();
        assert!(!store.keep_alive(LeaseId(99)).await.unwrap());
    }));
}

#[rstest]
fn a_watch_resumes_without_a_gap_and_reports_compaction(
    #[values(Access::InProcess, Access::OverLoopback)] access: Access,
) {
    smol::block_on(with_test_timeout(async {
        let mem = MemStore::with_manual_time();
        let store = open_store(access, &mem).await;
        let start = store.txn(put("a/1", "one")).await.unwrap().revision;
        let watch = store
            .watch(KeyRange::prefix("a/"), start + 1, Delivery::EveryChange)
            .await
            .unwrap();
        store.txn(put("b/1", "other")).await.unwrap();
        let second = store.txn(put("a/2", "two")).await.unwrap().revision;
        let item = watch.recv().await.unwrap().unwrap();
        let WatchItem::Changes(seen, changes) = item else {
            panic!("compacted");
        };
        assert_eq!((seen, changes.len()), (second, 1));
        mem.disconnect_watches();
        assert!(watch.recv().await.unwrap().is_err());
        let gone = Txn {
            ops: vec![Op::Delete(KeyRange::one("a/1"))],
            ..Txn::default()
        };
        let third = store.txn(gone).await.unwrap().revision;
        let watch = store
            .watch(KeyRange::prefix("a/"), seen + 1, Delivery::EveryChange)
            .await
            .unwrap();
        let missed = watch.recv().await.unwrap().unwrap();
        let deleted = Change::Deleted("a/1".to_owned(), third);
        assert_eq!(missed, WatchItem::Changes(third, vec![deleted]));
        mem.compact();
        let late = store
            .watch(KeyRange::prefix("a/"), seen + 1, Delivery::EveryChange)
            .await
            .unwrap();
        assert_eq!(late.recv().await.unwrap(), Ok(WatchItem::Compacted));
    }));
}

#[rstest]
fn a_lost_answer_may_have_run_and_an_outage_changes_nothing(
    #[values(Access::InProcess, Access::OverLoopback)] access: Access,
) {
    smol::block_on(with_test_timeout(async {
        let mem = MemStore::with_manual_time();
        let store = open_store(access, &mem).await;
        mem.faults().lose_answers(1);
        let lost = store.txn(put("a/1", "one")).await.unwrap_err();
        assert_eq!(lost.verdict, Verdict::MayHaveRun);
        assert_eq!(mem.peek(&KeyRange::one("a/1")).len(), 1);
        mem.faults().lose_requests_under("a/", 1);
        let lost = store.txn(put("a/2", "two")).await.unwrap_err();
        assert_eq!(lost.verdict, Verdict::MayHaveRun);
        mem.set_outage(true);
        store.txn(put("a/2", "two")).await.unwrap_err();
        let read = store.range(KeyRange::prefix("a/"), 0).await.unwrap_err();
        assert_eq!(read.verdict, Verdict::NotRun);
        mem.set_outage(false);
        assert_eq!(mem.peek(&KeyRange::prefix("a/")).len(), 1);
        store.txn(put("a/2", "two")).await.unwrap();
    }));
}

#[test]
fn a_dropped_watch_is_closed_at_the_service() {
    smol::block_on(with_test_timeout(async {
        let mem = MemStore::with_manual_time();
        let store = open_store(Access::OverLoopback, &mem).await;
        let watch = store
            .watch(KeyRange::prefix("a/"), 1, Delivery::EveryChange)
            .await
            .unwrap();
        assert_eq!(mem.counts().open_watches, 1);
        drop(watch);
        while mem.counts().open_watches > 0 {
            smol::future::yield_now().await;
        }
    }));
}

#[test]
fn an_unsent_call_is_tried_at_the_next_address() {
    smol::block_on(with_test_timeout(async {
        let unused = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let closed = unused.local_addr().unwrap();
        drop(unused);
        let mem = MemStore::with_manual_time();
        let store = EtcdStore::new(&[closed, listen(&mem).await]);
        store.txn(put("a/1", "one")).await.unwrap();
        assert_eq!(mem.counts().txn, 1);
        let unreachable = EtcdStore::new(&[closed]);
        for _ in 0..2 {
            let error = unreachable.txn(put("a/1", "one")).await.unwrap_err();
            assert_eq!(error.verdict, Verdict::NotRun);
        }
    }));
}

#[test]
fn a_call_without_an_answer_times_out_and_may_have_run() {
    smol::block_on(with_test_timeout(async {
        let silent_listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = silent_listener.local_addr().unwrap();
        let store = EtcdStore::new(&[address]).with_timeout(Duration::from_millis(50));
        let error = store.txn(put("a/1", "one")).await.unwrap_err();
        assert_eq!(error.verdict, Verdict::MayHaveRun);
    }));
}

/// Applies an update to a copy of the range, as every user of a follower does.
fn apply_update(content: &mut Vec<(String, Vec<u8>)>, update: RangeUpdate) {
    match update {
        RangeUpdate::Snapshot(_, kvs) => {
            *content = kvs.into_iter().map(|kv| (kv.key, kv.value)).collect();
        }
        RangeUpdate::Changes(_, changes) => {
            for change in changes {
                match change {
                    Change::Put(kv) => {
                        content.retain(|(key, _)| *key != kv.key);
                        content.push((kv.key, kv.value));
                    }
                    Change::Deleted(gone, _) => content.retain(|(key, _)| *key != gone),
                }
            }
        }
    }
    content.sort();
}

#[rstest]
fn a_follower_survives_lost_watches_outages_and_compaction(
    #[values(Access::InProcess, Access::OverLoopback)] access: Access,
) {
    smol::block_on(with_test_timeout(async {
        let mem = MemStore::with_manual_time();
        let store = open_store(access, &mem).await;
        let mut follower = RangeFollower::new(store, KeyRange::prefix("a/"));
        let mut content = Vec::new();
        for round in 0..12 {
            match round % 4 {
                1 => mem.disconnect_watches(),
                2 => {
                    mem.disconnect_watches();
                    mem.txn(put("a/lost", &round.to_string())).await.unwrap();
                    mem.compact();
                }
                3 => {
                    mem.set_outage(true);
                    mem.set_outage(false);
                }
                _ => {}
            }
            let key = format!("a/{}", round % 5);
            let value = round.to_string();
            mem.txn(put(&key, &value)).await.unwrap();
            let latest = (key, value.into_bytes());
            while !content.contains(&latest) {
                let update = follower.next().await;
                apply_update(&mut content, update);
            }
        }
        let expected = mem.peek(&KeyRange::prefix("a/"));
        let expected: Vec<_> = expected.into_iter().map(|kv| (kv.key, kv.value)).collect();
        assert_eq!(content, expected);
    }));
}

#[test]
fn a_token_bucket_spreads_calls_beyond_one_second() {
    let mut bucket = TokenBucket::new(10);
    let now = Time::from_secs(100);
    let times: Vec<Time> = (0..30).map(|_| bucket.take(now)).collect();
    assert!(times[..10].iter().all(|time| *time == now));
    assert_eq!(times[10], now + Duration::from_millis(100));
    assert_eq!(times[29], now + Duration::from_secs(2));
    let later = Time::from_secs(200);
    assert_eq!(bucket.take(later), later);
}

#[test]
fn a_budgeted_store_counts_calls_and_open_watches() {
    smol::block_on(with_test_timeout(async {
        let mem = MemStore::with_manual_time();
        let store = BudgetedStore::new(Arc::new(mem.clone()), Clock::start(), 50);
        for _ in 0..55 {
            store.range(KeyRange::prefix("a/"), 0).await.unwrap();
        }
        let first = store
            .watch(KeyRange::prefix("a/"), 1, Delivery::EveryChange)
            .await
            .unwrap();
        let second = store
            .watch(KeyRange::prefix("a/"), 1, Delivery::EveryChange)
            .await
            .unwrap();
        assert_eq!(
            (
                store.call_count(CallKind::Range),
                store.call_count(CallKind::Watch)
            ),
            (55, 2)
        );
        assert!(store.delayed_calls() > 0);
        assert_eq!(mem.counts().total_calls(), 57);
        assert_eq!(store.open_watches(), 2);
        drop(first);
        assert_eq!(store.open_watches(), 1);
        mem.disconnect_watches();
        assert!(second.recv().await.unwrap().is_err());
        assert_eq!(store.open_watches(), 0);
    }));
}

#[test]
fn a_lease_is_renewed_at_once_when_the_budget_is_used_up() {
    smol::block_on(with_test_timeout(async {
        let mem = MemStore::with_manual_time();
        let store = Arc::new(BudgetedStore::new(Arc::new(mem.clone()), Clock::start(), 1));
        let lease = store.grant(Duration::from_secs(5)).await.unwrap();
        // Uses up the budget for minutes.
        let mut waiting = Vec::new();
        for _ in 0..200 {
            let store = Arc::clone(&store);
            waiting.push(smol::spawn(async move {
                store.range(KeyRange::prefix("a/"), 0).await
            }));
        }
        while store.call_count(CallKind::Range) < 200 {
            smol::future::yield_now().await;
        }
        assert!(store.keep_alive(lease).await.unwrap());
        assert!(mem.counts().range < 200);
    }));
}
