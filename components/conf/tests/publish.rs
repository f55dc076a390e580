//! Publication stands up to lost answers, races and clean-ups.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod interrupted;

use std::time::Duration;

use conf::publish::{
    Apply, ApplyId, Loader, MAX_CHUNK_BYTES, PublishError, Published, clean_up, edit, publish,
    set_zone_state,
};
use fakes::store::MemStore;
use futures_lite::FutureExt;
use interrupted::{Interrupted, Meanwhile};
use kernel::{
    ObjectSet, Revision, Time, Verdict,
    object::{AvailabilityZone, ZoneState},
};
use rstest::rstest;
use store::{KeyRange, keys};

const PATIENCE: Duration = Duration::from_secs(20);

fn run<T>(future: impl Future<Output = T>) -> T {
    let expired = async {
        smol::Timer::after(PATIENCE).await;
        panic!("nothing happened within {PATIENCE:?}");
    };
    smol::block_on(future.or(expired))
}

fn apply(id: &str) -> Apply {
    Apply {
        id: ApplyId(id.to_owned()),
        who: "aminata".to_owned(),
        at: Time::from_secs(1),
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
    (loaded.seen.revision(), loaded.objects)
}

fn chunks(store: &MemStore) -> usize {
    store.peek(&KeyRange::prefix(keys::config_chunk(""))).len()
}

#[test]
fn each_publication_takes_the_next_revision_and_leaves_nothing_behind() {
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
            assert_eq!(chunks(&store), 1);
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
fn a_lost_answer_is_settled(#[case] prefix: &str, #[case] after_effect: bool) {
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
fn an_operator_whose_answer_was_lost_learns_of_it_after_others_published() {
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
fn the_loser_of_a_race_gets_the_difference() {
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
fn nothing_is_published_in_an_outage_and_the_verdict_says_so() {
    run(async {
        let store = MemStore::with_manual_time();
        store.set_outage(true);
        let set = zones(&["plateau"]);
        let error = publish(&store, &set, &apply("a"), None).await.unwrap_err();
        assert_eq!(error.verdict(), Verdict::NotRun);
        store.set_outage(false);
        store.faults().lose_answers_under(keys::CONFIG_HEAD, 1000);
        // No swap is ever answered, but the head can be read.
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
fn a_clean_up_removes_only_what_no_head_refers_to() {
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
        assert_eq!(chunks(&store), 2);
        assert_eq!(clean_up(&store).await.unwrap(), 1);
        assert_eq!(chunks(&store), 1);
        assert_eq!(in_force(&store).await, (Revision(1), zones(&["plateau"])));
    });
}

#[test]
fn a_clean_up_between_chunks_and_head_breaks_no_publication() {
    run(async {
        let store = MemStore::with_manual_time();
        let interrupted = Interrupted::new(&store, Meanwhile::CleanUpBeforeSwap);
        let set = zones(&["plateau"]);
        publish(&interrupted, &set, &apply("a"), None)
            .await
            .unwrap();
        assert!(interrupted.happened());
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
        let meanwhile = Meanwhile::PublishBeforeDelete(set.clone(), apply("b"));
        let interrupted = Interrupted::new(&store, meanwhile);
        clean_up(&interrupted).await.unwrap();
        assert!(interrupted.happened());
        assert_eq!(in_force(&store).await, (Revision(1), set));
    });
}

#[test]
fn a_large_set_is_split_below_the_largest_value_and_read_back() {
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
        assert!(chunks(&store) > 2);
        for kv in store.peek(&KeyRange::prefix(keys::config_chunk(""))) {
            assert!(kv.value.len() <= MAX_CHUNK_BYTES);
        }
        assert_eq!(in_force(&store).await.1, set);
        let before = store.counts().txn;
        let zone = set.zones.values_mut().next().unwrap();
        zone.state = ZoneState::Out;
        publish(&store, &set, &apply("b"), None).await.unwrap();
        // One chunk written, the head swapped, the old chunk deleted.
        assert_eq!(store.counts().txn - before, 3);
    });
}

#[test]
fn concurrent_edits_are_all_kept() {
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
fn an_edit_of_an_unknown_zone_is_refused() {
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
