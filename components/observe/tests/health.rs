//! Readiness through a graceful stop.

use observe::Health;

#[test]
fn a_change_of_configuration_during_a_stop_makes_nothing_ready_again() {
    let health = Health::default();
    assert!(!health.is_ready());
    health.set_ready(true);
    assert!(health.is_ready());
    health.set_stopping();
    health.set_ready(true);
    assert!(!health.is_ready());
}
