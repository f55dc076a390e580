//! Readiness during a graceful stop.

use observe::Health;

#[test]
fn a_stopping_daemon_never_becomes_ready_again() {
    let health = Health::default();
    assert!(!health.is_ready());
    health.set_ready(true);
    assert!(health.is_ready());
    health.set_stopping();
    health.set_ready(true);
    assert!(!health.is_ready());
}
