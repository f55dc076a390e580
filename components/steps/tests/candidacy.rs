//! The ownership goes to the entries with the most processor capacity, and does not flap.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::entry;
use kernel::{EntryName, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use steps::{Candidacy, candidacy::Announcement};

const SMALL: u64 = 69;
const LARGE: u64 = 500;

/// The announcements of entries 1, 2 and so on, at their revisions.
fn listed(entries: &[(Option<u64>, i64)]) -> BTreeMap<EntryName, Announcement> {
    let mut listed = BTreeMap::new();
    for (&(cpu_milli, revision), number) in entries.iter().zip(1..) {
        let announcement = Announcement {
            cpu_milli,
            revision,
        };
        listed.insert(entry(number), announcement);
    }
    listed
}

/// The state of entry 1 after it has learnt of all entries at the first second.
fn candidacy(entries: &[(Option<u64>, i64)]) -> Candidacy {
    let mut candidacy = Candidacy::new(entry(1), entries[0].0);
    candidacy.observe(Time::from_secs(1), &listed(entries));
    candidacy
}

fn waits(candidacy: &Candidacy, now: Time) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let wait = |_| candidacy.campaign_delay(now, &mut rng).wait;
    (0..100).map(wait).collect()
}

/// The seconds at which an owner hands over that owns the jobs again after each hand-over.
fn hand_overs(candidacy: &mut Candidacy, seconds: std::ops::Range<u64>) -> Vec<u64> {
    let mut times = Vec::new();
    for second in seconds {
        let now = Time::from_secs(second);
        if candidacy.hand_over_target(now).is_none() {
            continue;
        }
        times.push(second);
        candidacy.finish_hand_over(now);
        candidacy.start_term(now + Duration::from_secs(2));
    }
    times
}

#[rstest]
#[case::alike(Some(500), Some(500))]
#[case::slightly_larger(Some(500), Some(600))]
#[case::smaller(Some(500), Some(69))]
#[case::own_unknown(None, Some(500))]
#[case::other_unknown(Some(69), None)]
fn a_take_over_is_not_delayed_by_an_entry_that_is_not_larger(
    #[case] own: Option<u64>,
    #[case] other: Option<u64>,
) {
    let mut candidacy = candidacy(&[(own, 1), (other, 2)]);
    let waits = waits(&candidacy, Time::from_secs(2));
    assert!(waits.iter().all(|wait| *wait < Duration::from_millis(250)));
    assert_eq!(hand_overs(&mut candidacy, 2..100), []);
}

#[test]
fn a_small_entry_does_not_campaign_before_a_larger_one() {
    let entries = [(Some(SMALL), 1), (Some(LARGE), 2), (Some(400), 3)];
    let small = candidacy(&entries);
    let mut large = Candidacy::new(entry(2), Some(LARGE));
    large.observe(Time::from_secs(1), &listed(&entries));
    let now = Time::from_secs(2);
    let delay = small.campaign_delay(now, &mut ChaCha8Rng::seed_from_u64(1));
    assert_eq!(delay.yields_to.unwrap().name, entry(2));
    assert!(waits(&small, now).iter().min() > waits(&large, now).iter().max());
    assert!(waits(&small, now).iter().max() < Some(&Duration::from_secs(1)));
}

#[test]
fn an_owner_that_handed_over_does_not_campaign_before_the_larger_one() {
    let mut candidacy = candidacy(&[(Some(SMALL), 1), (Some(LARGE), 2)]);
    let now = Time::from_secs(10);
    candidacy.finish_hand_over(now);
    let waits = waits(&candidacy, now + Duration::from_millis(100));
    assert!(waits.iter().min() > Some(&Duration::from_secs(1)));
    assert!(waits.iter().max() < Some(&Duration::from_secs(2)));
}

#[test]
fn a_larger_entry_that_does_not_take_over_leaves_the_jobs_with_the_small_one() {
    let mut candidacy = candidacy(&[(Some(SMALL), 1), (Some(LARGE), 2)]);
    candidacy.start_term(Time::from_secs(1));
    assert_eq!(hand_overs(&mut candidacy, 2..250), [6, 36, 96, 216]);
}

#[test]
fn small_entries_do_not_pass_the_jobs_on_among_themselves() {
    let mut candidacy = candidacy(&[(Some(SMALL), 1), (Some(LARGE), 2), (Some(SMALL), 3)]);
    candidacy.start_term(Time::from_secs(20));
    assert_eq!(hand_overs(&mut candidacy, 21..60), [50]);
}

#[test]
fn ownership_does_not_flap_with_a_larger_entry_that_restarts_over_and_over() {
    let mut restarting = candidacy(&[(Some(SMALL), 1), (Some(LARGE), 2)]);
    let mut count = 0;
    for restart in 0..60 {
        let from = 8 * restart + 1;
        let now = Time::from_secs(from);
        // The even restarts are orderly, so they remove the announcement first.
        if restart % 2 == 0 {
            restarting.observe(now, &listed(&[(Some(SMALL), 1)]));
        }
        let revision = i64::try_from(restart).unwrap() + 2;
        restarting.observe(now, &listed(&[(Some(SMALL), 1), (Some(LARGE), revision)]));
        count += hand_overs(&mut restarting, from..from + 8).len();
    }
    assert_eq!(count, 1);
}

#[test]
fn jobs_are_not_handed_to_an_entry_that_is_gone_or_declined() {
    let mut candidacy = candidacy(&[(Some(SMALL), 1), (Some(LARGE), 2), (Some(400), 3)]);
    let now = Time::from_secs(6);
    assert_eq!(candidacy.hand_over_target(now).unwrap().name, entry(2));
    candidacy.decline(now, &entry(2));
    assert_eq!(candidacy.hand_over_target(now).unwrap().name, entry(3));
    candidacy.observe(now, &listed(&[(Some(SMALL), 1), (Some(LARGE), 2)]));
    assert_eq!(candidacy.hand_over_target(now), None);
    let later = now + Duration::from_secs(5);
    assert_eq!(candidacy.hand_over_target(later).unwrap().name, entry(2));
}

/// Guards against an entry that at once becomes the owner again.
#[test]
fn an_entry_that_could_not_load_the_jobs_lets_entries_of_any_size_go_first() {
    let mut candidacy = candidacy(&[(Some(LARGE), 1), (Some(SMALL), 2)]);
    let now = Time::from_secs(10);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    candidacy.finish_failed_load(now);
    let longest = Duration::from_millis(250);
    assert!(candidacy.campaign_delay(now, &mut rng).wait > longest);
    let later = now + Duration::from_secs(2);
    assert!(candidacy.campaign_delay(later, &mut rng).wait <= longest);
}
