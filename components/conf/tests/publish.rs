//! Publications tolerate lost answers, concurrent publications and clean-ups.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod interrupted;

use std::time::Duration;

use conf::publish::{
    ApplyId, ApplyInfo, Loader, MAX_CHUNK_BYTES, PublishError, Published, clean_up, edit, publish,
    set_zone_state,
};
use fakes::store::MemStore;
use futures_lite::FutureExt;
use interrupted::{InterruptedStore, Interruption};
use kernel::{
    ObjectSet, Revision, Time, Verdict,
    object::{AvailabilityZone, ZoneState},
};
use rstest::rstest;
use store::{KeyRange, keys};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run<T>(future: impl Future<Output = T>) -> T {
    let expired = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("the test did not finish within {TEST_TIMEOUT:?}");
    };
    smol::block_on(future.or(expired))
}

fn apply(id: &str) -> ApplyInfo {
    ApplyInfo {
        id: ApplyId(id.to_owned()),
        who: "aminata".to_owned(),
        requested_at: Time::from_secs(1),
    }
}

fn zones(names: &[&str]) -> ObjectSet {
    let mut set = ObjectSet::default();
    for name in names {
        set.zones
            .insert(name.parse().unwrap(), AvailabilityZone::default());
    }
    set
}

async fn in_force(store: &MemStore) -> (Revision, ObjectSet) {
    let loaded = Loader::default().load(store).await.unwrap();
    (loaded.head.revision(), loaded.objects)
}

fn chunk_count(store: &MemStore) -> usize {
    store.peek(&KeyRange::prefix(keys::config_chunk(""))).len()
}

#[test]
fn each_publication_creates_the_next_revision_and_deletes_old_chunks() {
    run(async {
        let store = MemStore::with_manual_time();
        let sets = [&["plateau"][..], &["plateau", "medina"], &["yoff"]].map(zones);
        for (number, set) in sets.iter().enumerate() {
            let id = format!("a{number}");
            let published = publish(&store, set, &apply(&id), None).await.unwrap();
            let revision = Revision(number as u64 + 1);
            let changed = true;
            assert_eq!(published, Published { revision, changed });
            assert_eq!(in_force(&store).await, (revision, set.clone()));
            assert_eq!(chunk_count(&store), 1);
        }
        let again = publish(&store, &sets[2], &apply("b"), None).await.unwrap();
        assert!(!again.changed);
    });
}

#[rstest]
#[case::lost_answer_of_the_head(keys::CONFIG_HEAD, true)]
#[case::lost_request_of_the_head(keys::CONFIG_HEAD, false)]
#[case::lost_answer_of_a_chunk("hemlockmoor/config/chunk/", true)]
#[case::lost_request_of_a_chunk("hemlockmoor/config/chunk/", false)]
fn a_publication_with_a_lost_answer_is_resolved(#[case] prefix: &str, #[case] after_effect: bool) {
    run(async {
        let store = MemStore::with_manual_time();
        match after_effect {
            true => store.faults().lose_answers_under(prefix, 2),
            false => store.faults().lose_requests_under(prefix, 2),
        }
        let set = zones(&["plateau"]);
        let published = publish(&store, &set, &apply("a"), None).await.unwrap();
        assert_eq!(published.revision, Revision(1));
        assert_eq!(in_force(&store).await, (Revision(1), set));
    });
}

#[test]
fn a_repeated_publication_returns_its_revision_after_others_published() {
    run(async {
        let store = MemStore::with_manual_time();
        let first = zones(&["plateau"]);
        publish(&store, &first, &apply("a"), None).await.unwrap();
        publish(&store, &zones(&["yoff"]), &apply("b"), None)
            .await
            .unwrap();
        let again = publish(&store, &first, &apply("a"), None).await.unwrap();
        assert_eq!(again.revision, Revision(1));
        assert_eq!(in_force(&store).await, (Revision(2), zones(&["yoff"])));
    });
}

#[test]
fn a_publication_over_an_outdated_base_fails_with_the_difference() {
    run(async {
        let store = MemStore::with_manual_time();
        publish(&store, &zones(&["plateau"]), &apply("a"), None)
            .await
            .unwrap();
        publish(&store, &zones(&["plateau", "yoff"]), &apply("b"), None)
            .await
            .unwrap();
        let late = zones(&["plateau", "medina"]);
        let base = Some(Revision(1));
        let error = publish(&store, &late, &apply("c"), base).await.unwrap_err();
        assert_eq!(error.verdict(), Verdict::NotRun);
        assert_eq!(
            error.to_string(),
            "aminata published revision 2 meanwhile, which would be overwritten:\n\
             + zone.medina\n- zone.yoff\n"
        );
        assert_eq!(in_force(&store).await.0, Revision(2));
    });
}

#[test]
fn the_verdict_states_whether_a_publication_may_have_run_in_an_outage() {
    run(async {
        let store = MemStore::with_manual_time();
        store.set_outage(true);
        let set = zones(&["plateau"]);
        let error = publish(&store, &set, &apply("a"), None).await.unwrap_err();
        assert_eq!(error.verdict(), Verdict::NotRun);
        store.set_outage(false);
        store.faults().lose_answers_under(keys::CONFIG_HEAD, 1000);
        // Every swap loses its answer, but reading the head resolves the outcome.
        publish(&store, &set, &apply("a"), None).await.unwrap();
        store.faults().clear();
        store.faults().lose_requests_under(keys::CONFIG_HEAD, 1000);
        let other = zones(&["yoff"]);
        let error = publish(&store, &other, &apply("b"), None)
            .await
            .unwrap_err();
        assert!(matches!(error, PublishError::Unknown(_)), "{error}");
        assert_eq!(error.verdict(), Verdict::MayHaveRun);
    });
}

#[test]
fn a_clean_up_deletes_only_unreferenced_chunks() {
    run(async {
        let store = MemStore::with_manual_time();
        publish(&store, &zones(&["plateau"]), &apply("a"), None)
            .await
            .unwrap();
        store.faults().lose_requests_under(keys::CONFIG_HEAD, 1000);
        publish(&store, &zones(&["yoff"]), &apply("b"), None)
            .await
            .unwrap_err();
        store.faults().clear();
        assert_eq!(chunk_count(&store), 2);
        assert_eq!(clean_up(&store).await.unwrap(), 1);
        assert_eq!(chunk_count(&store), 1);
        assert_eq!(in_force(&store).await, (Revision(1), zones(&["plateau"])));
    });
}

#[test]
fn a_clean_up_before_the_head_swap_does_not_break_a_publication() {
    run(async {
        let store = MemStore::with_manual_time();
        let interrupted_store = InterruptedStore::new(&store, Interruption::CleanUpBeforeSwap);
        let set = zones(&["plateau"]);
        publish(&interrupted_store, &set, &apply("a"), None)
            .await
            .unwrap();
        assert!(interrupted_store.has_run());
        assert_eq!(in_force(&store).await, (Revision(1), set));
    });
}

#[test]
fn a_publication_during_a_clean_up_keeps_its_chunks() {
    run(async {
        let store = MemStore::with_manual_time();
        let set = zones(&["plateau"]);
        store.faults().lose_requests_under(keys::CONFIG_HEAD, 1000);
        publish(&store, &set, &apply("a"), None).await.unwrap_err();
        store.faults().clear();
        let interruption = Interruption::PublishBeforeDelete(set.clone(), apply("b"));
        let interrupted_store = InterruptedStore::new(&store, interruption);
        clean_up(&interrupted_store).await.unwrap();
        assert!(interrupted_store.has_run());
        assert_eq!(in_force(&store).await, (Revision(1), set));
    });
}

#[test]
fn a_large_set_is_split_into_chunks_and_read_back() {
    run(async {
        let store = MemStore::with_manual_time();
        let mut set = ObjectSet::default();
        for number in 0..4_000 {
            let zone = AvailabilityZone {
                region: "x".repeat(500),
                ..AvailabilityZone::default()
            };
            set.zones
                .insert(format!("zone-{number}").parse().unwrap(), zone);
        }
        publish(&store, &set, &apply("a"), None).await.unwrap();
        assert!(chunk_count(&store) > 2);
        for kv in store.peek(&KeyRange::prefix(keys::config_chunk(""))) {
            assert!(kv.value.len() <= MAX_CHUNK_BYTES);
        }
        assert_eq!(in_force(&store).await.1, set);
        let before = store.counts().txn;
        let zone = set.zones.values_mut().next().unwrap();
        zone.state = ZoneState::Out;
        publish(&store, &set, &apply("b"), None).await.unwrap();
        // Three transactions: write one chunk, swap the head, delete the old chunk.
        assert_eq!(store.counts().txn - before, 3);
    });
}

#[test]
fn concurrent_edits_all_take_effect() {
    run(async {
        let store = MemStore::with_manual_time();
        let names: Vec<String> = (0..8).map(|number| format!("zone-{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        publish(&store, &zones(&names), &apply("all"), None)
            .await
            .unwrap();
        store.faults().lose_answers_under(keys::CONFIG_HEAD, 3);
        store.faults().lose_requests_under(keys::CONFIG_HEAD, 3);
        let edits = names.iter().map(|name| {
            let store = store.clone();
            let zone = name.parse().unwrap();
            let apply = apply(name);
            smol::spawn(async move {
                edit(&store, &apply, |set| {
                    set_zone_state(set, &zone, ZoneState::Out)
                })
                .await
            })
        });
        let edits: Vec<_> = edits.collect();
        for edit in edits {
            edit.await.unwrap();
        }
        let (revision, set) = in_force(&store).await;
        assert_eq!(revision, Revision(9));
        assert!(set.zones.values().all(|zone| zone.state == ZoneState::Out));
    });
}

#[test]
fn an_edit_of_an_unknown_zone_is_rejected() {
    run(async {
        let store = MemStore::with_manual_time();
        let zone = "yoff".parse().unwrap();
        let error = edit(&store, &apply("a"), |set| {
            set_zone_state(set, &zone, ZoneState::Out)
        })
        .await
        .unwrap_err();
        assert_eq!(error.verdict(), Verdict::NotRun);
        assert_eq!(
            error.to_string(),
            "zone.yoff: there is no such availability zone; publish [zone.yoff] or name an existing one"
        );
    });
}
