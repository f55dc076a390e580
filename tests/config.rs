//! The published configuration is linearizable, and the revision in force at an entry
//! never decreases.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod history;
mod scheduled;

use std::{sync::Arc, time::Duration};

use conf::{
    publish::{ApplyId, ApplyInfo, Published, edit, publish, set_zone_state},
    settings::EntrySettings,
};
use entry::{
    config::ConfigFollower,
    daemon::{self, Entry, EntrySecrets},
    peers::EntryRecord,
};
use fakes::store::MemStore;
use futures_lite::FutureExt;
use kernel::{
    Clock, Incarnation, ObjectSet, Revision, Time,
    object::{AvailabilityZone, ZoneState},
    secret::Secrets,
};
use rstest::rstest;
use store::{KeyRange, Op, Store, Txn, keys};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run<T>(future: impl Future<Output = T>) -> T {
    let expired = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("the test did not end within {TEST_TIMEOUT:?}");
    };
    smol::block_on(future.or(expired))
}

fn apply(id: impl Into<String>) -> ApplyInfo {
    ApplyInfo {
        id: ApplyId(id.into()),
        who: "aminata".to_owned(),
        requested_at: Time::from_secs(1),
    }
}

/// Returns a set that its number distinguishes from others.
fn numbered(number: u64) -> ObjectSet {
    let mut set = ObjectSet::default();
    let name = format!("zone-{number}").parse().unwrap();
    set.zones.insert(name, AvailabilityZone::default());
    set
}

async fn publish_number(store: &MemStore, number: u64) -> Published {
    let id = format!("a{number}");
    publish(store, &numbered(number), &apply(id), None)
        .await
        .unwrap()
}

/// Starts a follower of the store's configuration.
fn follow(store: &MemStore) -> Arc<ConfigFollower> {
    let interval = Duration::from_millis(20);
    let follower = ConfigFollower::with_interval(Arc::new(store.clone()), Clock::start(), interval);
    let running = Arc::clone(&follower);
    smol::spawn(async move { running.run().await }).detach();
    follower
}

#[test]
fn changes_come_into_force_despite_lost_watches_outages_and_compaction() {
    run(async {
        let store = MemStore::with_manual_time();
        let follower = follow(&store);
        for number in 1..=12 {
            match number % 4 {
                1 => store.disconnect_watches(),
                2 => store.compact(),
                3 => {
                    store.set_outage(true);
                    store.set_outage(false);
                }
                _ => {}
            }
            publish_number(&store, number).await;
            let in_force = follower.wait_for_newer(Revision(number - 1)).await;
            assert_eq!(in_force.revision, Revision(number));
            assert_eq!(*in_force.objects, numbered(number));
            assert!(in_force.proved_at.is_some());
        }
    });
}

#[test]
fn the_revision_in_force_never_decreases() {
    run(async {
        let store = MemStore::with_manual_time();
        let follower = ConfigFollower::new(Arc::new(store.clone()), Clock::start());
        publish_number(&store, 1).await;
        let first = store.peek(&KeyRange::one(keys::CONFIG_HEAD)).remove(0);
        publish_number(&store, 2).await;
        follower.refresh().await.unwrap();
        let proved = follower.in_force().proved_at;
        // As a store that was restored from an old backup.
        let old = Txn {
            ops: vec![Op::put(keys::CONFIG_HEAD, first.value)],
            ..Txn::default()
        };
        store.txn(old).await.unwrap();
        follower.refresh().await.unwrap();
        assert_eq!(follower.in_force().revision, Revision(2));
        assert_eq!(*follower.in_force().objects, numbered(2));
        assert_eq!(follower.in_force().proved_at, proved);
        let empty = Txn {
            ops: vec![Op::Delete(KeyRange::prefix(keys::ROOT))],
            ..Txn::default()
        };
        store.txn(empty).await.unwrap();
        follower.refresh().await.unwrap();
        assert_eq!(follower.in_force().revision, Revision(2));
        assert_eq!(follower.in_force().proved_at, proved);
    });
}

#[test]
fn an_outage_ages_the_proof_and_keeps_the_set() {
    run(async {
        let store = MemStore::with_manual_time();
        let clock = Clock::start();
        let follower = ConfigFollower::new(Arc::new(store.clone()), clock);
        publish_number(&store, 1).await;
        follower.refresh().await.unwrap();
        let before = follower.in_force();
        store.set_outage(true);
        follower.refresh().await.unwrap_err();
        assert_eq!(follower.in_force().proved_at, before.proved_at);
        assert_eq!(*follower.in_force().objects, numbered(1));
        store.set_outage(false);
        let asked_at = clock.now();
        follower.refresh().await.unwrap();
        assert!(follower.in_force().proved_at.unwrap() >= asked_at);
    });
}

#[test]
fn a_set_offered_by_another_process_is_taken_only_if_newer_and_proves_nothing() {
    run(async {
        let store = MemStore::with_manual_time();
        let follower = ConfigFollower::new(Arc::new(store.clone()), Clock::start());
        store.set_outage(true);
        let changed = follower.next_change();
        follower.offer(Revision(3), Arc::new(numbered(3))).await;
        changed.await;
        assert_eq!(follower.in_force().revision, Revision(3));
        follower.offer(Revision(2), Arc::new(numbered(2))).await;
        assert_eq!(*follower.in_force().objects, numbered(3));
        assert_eq!(follower.in_force().proved_at, None);
    });
}

#[test]
fn an_unchanged_set_costs_one_read_and_a_change_reads_only_changed_chunks() {
    run(async {
        let store = MemStore::with_manual_time();
        let follower = ConfigFollower::new(Arc::new(store.clone()), Clock::start());
        let mut set = numbered(1);
        set.teams.insert(
            "yards".parse().unwrap(),
            serde_json::from_str(r#"{"weight": 1, "quota": {}}"#).unwrap(),
        );
        publish(&store, &set, &apply("a"), None).await.unwrap();
        follower.refresh().await.unwrap();
        let reads = || store.counts().range;
        let before = reads();
        follower.refresh().await.unwrap();
        assert_eq!(reads() - before, 1);
        set.zones.values_mut().next().unwrap().region = "dakar".to_owned();
        publish(&store, &set, &apply("b"), None).await.unwrap();
        let before = reads();
        follower.refresh().await.unwrap();
        // Two reads of the head and one of the two chunks.
        assert_eq!(reads() - before, 3);
    });
}

/// Returns the settings of an entry on free ports.
fn settings(zone: &str) -> EntrySettings {
    let text = format!(
        "name = \"entry-1\"\nzone = \"{zone}\"\nsystem = \"127.0.0.1:0\"\n\
         callers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
         store = [\"127.0.0.1:2379\"]\nsecret_file = \"a\"\noperator_secret_file = \"b\"\n"
    );
    conf::settings::parse("entry.toml", &text).unwrap()
}

/// Starts an entry on `store`.
async fn start(name: &str, store: &MemStore) -> Entry {
    let secret = Secrets::parse("a secret of some length").unwrap();
    let secrets = EntrySecrets {
        system: secret.clone(),
        operators: secret,
    };
    let settings = EntrySettings {
        name: name.parse().unwrap(),
        ..settings("zone-1")
    };
    daemon::start(settings, Arc::new(store.clone()), secrets)
        .await
        .unwrap()
}

/// Waits until `/readyz` of an entry answers with this status.
async fn until_ready(entry: &Entry, expected: u16) {
    let http = trillium_client::Client::new(trillium_smol::ClientConfig::new());
    let url = format!("http://{}/readyz", entry.operators);
    loop {
        let conn = http.get(url.as_str()).await.unwrap();
        if conn
            .status()
            .is_some_and(|status| status as u16 == expected)
        {
            return;
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}

#[test]
fn an_entry_that_starts_without_the_store_gets_the_configuration_from_another() {
    run(async {
        let store = MemStore::with_manual_time();
        publish_number(&store, 1).await;
        let unreachable_store = MemStore::with_manual_time();
        unreachable_store.set_outage(true);
        let _first = start("entry-1", &store).await;
        let second = start("entry-2", &unreachable_store).await;
        let record = EntryRecord {
            name: "entry-2".parse().unwrap(),
            incarnation: Incarnation(1),
            system: second.system,
            operators: second.operators,
        };
        let value = serde_json::to_vec(&record).unwrap();
        let txn = Txn {
            ops: vec![Op::put(keys::entry(&record.name), value)],
            ..Txn::default()
        };
        store.txn(txn).await.unwrap();
        until_ready(&second, 200).await;
    });
}

#[test]
fn an_entry_is_ready_while_its_configuration_is_in_force_and_its_zone_is_in() {
    run(async {
        let store = MemStore::with_manual_time();
        let entry = start("entry-1", &store).await;
        let http = trillium_client::Client::new(trillium_smol::ClientConfig::new());
        let ready = async |expected: u16| until_ready(&entry, expected).await;
        ready(503).await;
        publish_number(&store, 1).await;
        ready(200).await;
        let url = format!("http://{}/metrics", entry.operators);
        let mut conn = http.get(url.as_str()).await.unwrap();
        let metrics = conn.response_body().read_string().await.unwrap();
        for name in [
            "hemlockmoor_store_calls_total{call=\"range\"}",
            "hemlockmoor_store_calls_delayed_total",
            "hemlockmoor_store_watches",
            "hemlockmoor_config_revision",
            "hemlockmoor_config_proof_age_seconds",
        ] {
            assert!(metrics.contains(name), "{name} is not in\n{metrics}");
        }
        for (id, state, expected) in [("out", ZoneState::Out, 503), ("in", ZoneState::In, 200)] {
            let zone = "zone-1".parse().unwrap();
            edit(&store, &apply(id), |set| set_zone_state(set, &zone, state))
                .await
                .unwrap();
            ready(expected).await;
        }
        entry.stop().await;
    });
}

#[rstest]
fn publications_by_racing_operators_are_linearizable(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let history = run(scheduled::race(seed));
    history::assert_linearizable(history);
}
