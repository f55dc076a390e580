//! The adapter and the stand-in give the same answers, with faults and without.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fakes::store::{MemStore, serve};
use futures_lite::FutureExt;
use kernel::{Clock, Time, Verdict};
use rstest::rstest;
use smol::net::TcpListener;
use store::{
    BudgetedStore, Change, Compare, EtcdStore, KeyRange, LeaseId, Op, RangeFollower, RangeUpdate,
    Store, Txn, WatchItem,
    budget::{CallKind, TokenBucket},
};

const PATIENCE: Duration = Duration::from_secs(20);

/// Which way the stand-in is reached.
#[derive(Clone, Copy, Debug)]
enum Way {
    InProcess,
    OverLoopback,
}

async fn listen(mem: &MemStore) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(serve(listener, mem.clone(), std::future::pending())).detach();
    address
}

async fn reach(way: Way, mem: &MemStore) -> Arc<dyn Store> {
    match way {
        Way::InProcess => Arc::new(mem.clone()),
        Way::OverLoopback => Arc::new(EtcdStore::new(&[listen(mem).await])),
    }
}

async fn patiently<T>(future: impl Future<Output = T>) -> T {
    let expired = async {
        smol::Timer::after(PATIENCE).await;
        panic!("nothing happened within {PATIENCE:?}");
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
fn a_transaction_changes_all_or_nothing(#[values(Way::InProcess, Way::OverLoopback)] way: Way) {
    smol::block_on(patiently(async {
        let store = reach(way, &MemStore::manual()).await;
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
fn a_limit_cuts_the_answer_and_says_so(#[values(Way::InProcess, Way::OverLoopback)] way: Way) {
    smol::block_on(patiently(async {
        let store = reach(way, &MemStore::manual()).await;
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
fn a_lease_takes_its_keys_along_when_it_runs_out(
    #[values(Way::InProcess, Way::OverLoopback)] way: Way,
) {
    smol::block_on(patiently(async {
        let mem = MemStore::manual();
        let store = reach(way, &mem).await;
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
    #[values(Way::InProcess, Way::OverLoopback)] way: Way,
) {
    smol::block_on(patiently(async {
        let mem = MemStore::manual();
        let store = reach(way, &mem).await;
        let start = store.txn(put("a/1", "one")).await.unwrap().revision;
        let watch = store
            .watch(KeyRange::prefix("a/"), start + 1)
            .await
            .unwrap();
        store.txn(put("b/1", "other")).await.unwrap();
        let second = store.txn(put("a/2", "two")).await.unwrap().revision;
        let item = watch.recv().await.unwrap().unwrap();
        let WatchItem::Changes(seen, changes) = item else {
            panic!("compacted");
        };
        assert_eq!((seen, changes.len()), (second, 1));
        mem.cut_watches();
        assert!(watch.recv().await.unwrap().is_err());
        let gone = Txn {
            ops: vec![Op::Delete(KeyRange::one("a/1"))],
            ..Txn::default()
        };
        let third = store.txn(gone).await.unwrap().revision;
        let watch = store.watch(KeyRange::prefix("a/"), seen + 1).await.unwrap();
        let missed = watch.recv().await.unwrap().unwrap();
        let deleted = Change::Deleted("a/1".to_owned(), third);
        assert_eq!(missed, WatchItem::Changes(third, vec![deleted]));
        mem.compact();
        let late = store.watch(KeyRange::prefix("a/"), seen + 1).await.unwrap();
        assert_eq!(late.recv().await.unwrap(), Ok(WatchItem::Compacted));
    }));
}

#[rstest]
fn a_lost_answer_may_have_run_and_an_outage_changes_nothing(
    #[values(Way::InProcess, Way::OverLoopback)] way: Way,
) {
    smol::block_on(patiently(async {
        let mem = MemStore::manual();
        let store = reach(way, &mem).await;
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
fn a_dropped_watch_no_longer_waits() {
    smol::block_on(patiently(async {
        let mem = MemStore::manual();
        let store = reach(Way::OverLoopback, &mem).await;
        let watch = store.watch(KeyRange::prefix("a/"), 1).await.unwrap();
        assert_eq!(mem.counts().waiting, 1);
        drop(watch);
        while mem.counts().waiting > 0 {
            smol::future::yield_now().await;
        }
    }));
}

#[test]
fn a_call_that_was_not_sent_goes_to_the_next_address() {
    smol::block_on(patiently(async {
        let unused = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let closed = unused.local_addr().unwrap();
        drop(unused);
        let mem = MemStore::manual();
        let store = EtcdStore::new(&[closed, listen(&mem).await]);
        store.txn(put("a/1", "one")).await.unwrap();
        assert_eq!(mem.counts().txn, 1);
        let alone = EtcdStore::new(&[closed]);
        for _ in 0..2 {
            let error = alone.txn(put("a/1", "one")).await.unwrap_err();
            assert_eq!(error.verdict, Verdict::NotRun);
        }
    }));
}

#[test]
fn a_call_without_an_answer_ends_and_may_have_run() {
    smol::block_on(patiently(async {
        let mute = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = mute.local_addr().unwrap();
        let store = EtcdStore::new(&[address]).with_timeout(Duration::from_millis(50));
        let error = store.txn(put("a/1", "one")).await.unwrap_err();
        assert_eq!(error.verdict, Verdict::MayHaveRun);
    }));
}

/// Applies news to what was known, as every follower does.
fn learn(known: &mut Vec<(String, Vec<u8>)>, news: RangeUpdate) {
    match news {
        RangeUpdate::Snapshot(_, kvs) => {
            *known = kvs.into_iter().map(|kv| (kv.key, kv.value)).collect();
        }
        RangeUpdate::Changes(_, changes) => {
            for change in changes {
                match change {
                    Change::Put(kv) => {
                        known.retain(|(key, _)| *key != kv.key);
                        known.push((kv.key, kv.value));
                    }
                    Change::Deleted(gone, _) => known.retain(|(key, _)| *key != gone),
                }
            }
        }
    }
    known.sort();
}

#[rstest]
fn following_survives_cuts_outages_and_compaction(
    #[values(Way::InProcess, Way::OverLoopback)] way: Way,
) {
    smol::block_on(patiently(async {
        let mem = MemStore::manual();
        let store = reach(way, &mem).await;
        let mut follow = RangeFollower::new(store, KeyRange::prefix("a/"));
        let mut known = Vec::new();
        for round in 0..12 {
            match round % 4 {
                1 => mem.cut_watches(),
                2 => {
                    mem.cut_watches();
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
            let wanted = (key, value.into_bytes());
            while !known.contains(&wanted) {
                let news = follow.next().await;
                learn(&mut known, news);
            }
        }
        let kept = mem.peek(&KeyRange::prefix("a/"));
        let kept: Vec<_> = kept.into_iter().map(|kv| (kv.key, kv.value)).collect();
        assert_eq!(known, kept);
    }));
}

#[test]
fn a_budget_spreads_calls_beyond_one_second() {
    let mut budget = TokenBucket::new(10);
    let now = Time::from_secs(100);
    let turns: Vec<Time> = (0..30).map(|_| budget.take(now)).collect();
    assert!(turns[..10].iter().all(|turn| *turn == now));
    assert_eq!(turns[10], now + Duration::from_millis(100));
    assert_eq!(turns[29], now + Duration::from_secs(2));
    let later = Time::from_secs(200);
    assert_eq!(budget.take(later), later);
}

#[test]
fn a_budgeted_store_counts_calls_and_waiting_watches() {
    smol::block_on(patiently(async {
        let mem = MemStore::manual();
        let store = BudgetedStore::new(Arc::new(mem.clone()), Clock::start(), 50);
        for _ in 0..55 {
            store.range(KeyRange::prefix("a/"), 0).await.unwrap();
        }
        let first = store.watch(KeyRange::prefix("a/"), 1).await.unwrap();
        let second = store.watch(KeyRange::prefix("a/"), 1).await.unwrap();
        assert_eq!(
            (
                store.call_count(CallKind::Range),
                store.call_count(CallKind::Watch)
            ),
            (55, 2)
        );
        assert!(store.delayed_calls() > 0);
        assert_eq!(mem.counts().calls(), 57);
        assert_eq!(store.open_watches(), 2);
        drop(first);
        assert_eq!(store.open_watches(), 1);
        mem.cut_watches();
        assert!(second.recv().await.unwrap().is_err());
        assert_eq!(store.open_watches(), 0);
    }));
}

#[test]
fn a_lease_is_renewed_at_once_when_the_budget_is_used_up() {
    smol::block_on(patiently(async {
        let mem = MemStore::manual();
        let store = Arc::new(BudgetedStore::new(Arc::new(mem.clone()), Clock::start(), 1));
        let lease = store.grant(Duration::from_secs(5)).await.unwrap();
        // The budget is used up for minutes to come.
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
