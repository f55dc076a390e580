//! An agent is off the list exactly while nothing can run beside it.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::info;
use steps::{Registration, agent::Heartbeat, registration::RegistrationStep};

fn beat(born: u64) -> Heartbeat {
    Heartbeat {
        info: info("w-1", born),
        sequence: 1,
    }
}

#[test]
fn an_agent_withdraws_when_its_worker_has_left() {
    let mut registration = Registration::default();
    assert_eq!(registration.next_step(), Some(RegistrationStep::List));
    assert_eq!(registration.confirm_listed(7), None);
    assert_eq!(registration.admit_heartbeat(beat(1)), Some(beat(1)));
    assert!(!registration.is_urgent());
    registration.worker_left();
    assert!(registration.is_urgent());
    assert_eq!(
        registration.next_step(),
        Some(RegistrationStep::Withdraw(7))
    );
    assert_eq!(
        registration.next_step(),
        Some(RegistrationStep::Withdraw(7)),
        "not confirmed"
    );
    registration.confirm_removed();
    assert!(!registration.is_urgent());
    assert_eq!(registration.next_step(), None, "nothing is left to remove");
}

#[test]
fn a_worker_that_comes_waits_until_the_agent_is_listed_again() {
    let mut registration = Registration::default();
    registration.confirm_listed(7);
    registration.worker_left();
    registration.next_step();
    registration.confirm_removed();
    assert_eq!(
        registration.admit_heartbeat(beat(2)),
        None,
        "it is not listed"
    );
    assert!(registration.is_urgent());
    // A removal whose answer was lost may be carried out later, so that finding
    // the key is not enough.
    assert_eq!(registration.next_step(), Some(RegistrationStep::ListAgain));
    assert_eq!(registration.confirm_listed(9), Some(beat(2)));
    assert_eq!(registration.next_step(), Some(RegistrationStep::List));
    assert_eq!(registration.admit_heartbeat(beat(2)), Some(beat(2)));
}

#[test]
fn a_worker_that_leaves_while_it_waits_is_forgotten() {
    let mut registration = Registration::default();
    registration.confirm_listed(7);
    registration.worker_left();
    registration.next_step();
    registration.confirm_removed();
    assert_eq!(registration.admit_heartbeat(beat(2)), None);
    registration.worker_left();
    assert_eq!(registration.next_step(), None);
    assert_eq!(
        registration.confirm_listed(9),
        None,
        "an answer that came late"
    );
    assert_eq!(
        registration.next_step(),
        Some(RegistrationStep::Withdraw(9))
    );
}

#[test]
fn a_restarted_agent_takes_its_worker_in_while_the_store_is_away() {
    let mut registration = Registration::default();
    assert_eq!(registration.admit_heartbeat(beat(1)), Some(beat(1)));
}
