//! An agent is unregistered only while no task can run on its VM.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::worker_info;
use steps::{Registration, agent::Heartbeat, registration::RegistrationStep};

fn heartbeat(started_at: u64) -> Heartbeat {
    Heartbeat {
        info: worker_info("w-1", started_at),
        sequence: 1,
    }
}

#[test]
fn an_agent_unregisters_after_its_worker_has_left() {
    let mut registration = Registration::default();
    assert_eq!(registration.next_step(), Some(RegistrationStep::List));
    assert_eq!(registration.confirm_listed(7), None);
    assert_eq!(
        registration.admit_heartbeat(heartbeat(1)),
        Some(heartbeat(1))
    );
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
        "removal not confirmed"
    );
    registration.confirm_removed();
    assert!(!registration.is_urgent());
    assert_eq!(registration.next_step(), None, "the key is already removed");
}

#[test]
fn a_new_worker_waits_until_the_agent_is_registered_again() {
    let mut registration = Registration::default();
    registration.confirm_listed(7);
    registration.worker_left();
    registration.next_step();
    registration.confirm_removed();
    assert_eq!(
        registration.admit_heartbeat(heartbeat(2)),
        None,
        "the agent is not registered"
    );
    assert!(registration.is_urgent());
    // A removal whose reply was lost may be carried out later, so an existing key is
    // not sufficient.
    assert_eq!(registration.next_step(), Some(RegistrationStep::ListAgain));
    assert_eq!(registration.confirm_listed(9), Some(heartbeat(2)));
    assert_eq!(registration.next_step(), Some(RegistrationStep::List));
    assert_eq!(
        registration.admit_heartbeat(heartbeat(2)),
        Some(heartbeat(2))
    );
}

#[test]
fn a_worker_that_leaves_while_waiting_is_dropped() {
    let mut registration = Registration::default();
    registration.confirm_listed(7);
    registration.worker_left();
    registration.next_step();
    registration.confirm_removed();
    assert_eq!(registration.admit_heartbeat(heartbeat(2)), None);
    registration.worker_left();
    assert_eq!(registration.next_step(), None);
    assert_eq!(registration.confirm_listed(9), None, "a late answer");
    assert_eq!(
        registration.next_step(),
        Some(RegistrationStep::Withdraw(9))
    );
}

#[test]
fn a_restarted_agent_admits_its_worker_without_the_store() {
    let mut registration = Registration::default();
    assert_eq!(
        registration.admit_heartbeat(heartbeat(1)),
        Some(heartbeat(1))
    );
}
