//! An agent is off the list exactly while nothing can run beside it.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::info;
use steps::{Registration, keeper::Heartbeat, registration::Due};

fn beat(born: u64) -> Heartbeat {
    Heartbeat {
        info: info("w-1", born),
        sequence: 1,
    }
}

#[test]
fn an_agent_withdraws_when_its_worker_has_left() {
    let mut registration = Registration::default();
    assert_eq!(registration.due(), Some(Due::List));
    assert_eq!(registration.listed(7), None);
    assert_eq!(registration.heartbeat(beat(1)), Some(beat(1)));
    assert!(!registration.is_urgent());
    registration.left();
    assert!(registration.is_urgent());
    assert_eq!(registration.due(), Some(Due::Withdraw(7)));
    assert_eq!(registration.due(), Some(Due::Withdraw(7)), "not confirmed");
    registration.withdrawn();
    assert!(!registration.is_urgent());
    assert_eq!(registration.due(), None, "nothing is left to remove");
}

#[test]
fn a_worker_that_comes_waits_until_the_agent_is_listed_again() {
    let mut registration = Registration::default();
    registration.listed(7);
    registration.left();
    registration.due();
    registration.withdrawn();
    assert_eq!(registration.heartbeat(beat(2)), None, "it is not listed");
    assert!(registration.is_urgent());
    // A removal whose answer was lost may be carried out later, so that finding
    // the key is not enough.
    assert_eq!(registration.due(), Some(Due::ListAgain));
    assert_eq!(registration.listed(9), Some(beat(2)));
    assert_eq!(registration.due(), Some(Due::List));
    assert_eq!(registration.heartbeat(beat(2)), Some(beat(2)));
}

#[test]
fn a_worker_that_leaves_while_it_waits_is_forgotten() {
    let mut registration = Registration::default();
    registration.listed(7);
    registration.left();
    registration.due();
    registration.withdrawn();
    assert_eq!(registration.heartbeat(beat(2)), None);
    registration.left();
    assert_eq!(registration.due(), None);
    assert_eq!(registration.listed(9), None, "an answer that came late");
    assert_eq!(registration.due(), Some(Due::Withdraw(9)));
}

#[test]
fn a_restarted_agent_takes_its_worker_in_while_the_store_is_away() {
    let mut registration = Registration::default();
    assert_eq!(registration.heartbeat(beat(1)), Some(beat(1)));
}
