//! Clients at entries of which some are cut off from the store: how soon their jobs are
//! accepted, with refusals at once and without.

use std::time::Duration;

use kernel::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use steps::contact::StoreContact;

const START: Time = Time::from_secs(1_000);
const ENTRIES: usize = 12;
const CUT_OFF: usize = 4;
/// When the cut begins and ends, after the start.
const CUT: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(14));
/// After how long an entry gives up a write that gets no answer.
const GIVE_UP_AFTER: Duration = Duration::from_millis(2_100);
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The clients' deadline.
const DEADLINE: Duration = Duration::from_secs(3);

fn is_cut_off(entry: usize, now: Time) -> bool {
    let since_start = now.since(START);
    entry < CUT_OFF && since_start >= CUT.0 && since_start < CUT.1
}

/// What an entry knows of its store: the last reply came within the second before the cut.
fn contact(entry: usize, now: Time) -> StoreContact {
    let mut contact = StoreContact::default();
    let last = match is_cut_off(entry, now) {
        true => START + CUT.0 - Duration::from_millis(300),
        false => now,
    };
    contact.record_reply(last);
    contact
}

/// Returns after which time each job is accepted, if it is within the deadline.
fn play(seed: u64, refuses_at_once: bool) -> Vec<Option<Duration>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut accepted_after = Vec::new();
    for number in 0..200_u32 {
        let sent_at = START + Duration::from_millis(100) * number;
        let mut now = sent_at;
        let mut answer = None;
        while now.since(sent_at) < DEADLINE {
            let entry = rng.random_range(0..ENTRIES);
            if !is_cut_off(entry, now) {
                answer = Some(now.since(sent_at));
                break;
            }
            let is_refused = refuses_at_once && contact(entry, now).silence(now).is_some();
            now = now
                + if is_refused {
                    RETRY_AFTER
                } else {
                    GIVE_UP_AFTER
                };
        }
        accepted_after.push(answer);
    }
    accepted_after
}

#[rstest]
fn clients_of_entries_without_a_store_are_served_sooner_elsewhere(#[values(1, 2, 3, 4)] seed: u64) {
    let in_time = |answers: &[Option<Duration>], within: Duration| {
        let answers = answers.iter().flatten();
        answers.filter(|after| **after <= within).count()
    };
    let (with, without) = (play(seed, true), play(seed, false));
    let soon = Duration::from_millis(1_500);
    assert!(in_time(&with, soon) > in_time(&without, soon));
    assert!(in_time(&with, DEADLINE) >= in_time(&without, DEADLINE));
}

#[test]
fn an_entry_that_hears_from_the_store_refuses_nothing() {
    let mut contact = StoreContact::default();
    assert!(contact.silence(START).is_some(), "no reply yet");
    contact.record_reply(START);
    // A watch is answered after a second, by the slowest store 0.4 s later.
    let slowest = START + Duration::from_millis(1_400);
    assert_eq!(contact.silence(slowest), None);
    assert!(contact.is_reachable(slowest));
    let silent = START + Duration::from_millis(1_700);
    assert_eq!(contact.silence(silent), Some(Duration::from_millis(1_700)));
    assert!(contact.is_reachable(silent));
    assert!(!contact.is_reachable(START + Duration::from_millis(2_500)));
}
