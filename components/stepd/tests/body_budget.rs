//! Which bodies the budget for request bodies admits and drops.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::time::{Duration, Instant};

use stepd::http1::{BodyBudget, Exhausted};

const LIMIT: usize = 64 << 10;
const HALF: usize = LIMIT / 2;

fn later(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Guards against a crowd of stalled bodies that keeps all others out.
#[test]
fn the_body_that_has_not_grown_for_longest_is_dropped_first() {
    let (budget, start) = (BodyBudget::new(LIMIT), Instant::now());
    let [first, second, third] = [(); 3].map(|()| budget.admit(start).unwrap());
    first.grow(HALF, later(start, 1)).unwrap();
    second.grow(HALF, later(start, 2)).unwrap();
    third.grow(HALF, later(start, 3)).unwrap();
    assert_eq!(first.complete(), Err(Exhausted));
    assert_eq!(second.complete(), Ok(()));
    assert_eq!(third.complete(), Ok(()));
}

/// Guards against a call that is refused as not run although it may have been carried out.
#[test]
fn a_complete_body_is_not_dropped() {
    let (budget, start) = (BodyBudget::new(LIMIT), Instant::now());
    let [complete, other] = [(); 2].map(|()| budget.admit(start).unwrap());
    complete.grow(LIMIT, start).unwrap();
    complete.complete().unwrap();
    assert_eq!(other.grow(1, later(start, 60_000)), Err(Exhausted));
    assert!(budget.admit(later(start, 60_000)).is_err());
    drop(complete);
    assert!(budget.admit(later(start, 60_000)).is_ok());
}

/// Guards against a body that was dropped and takes the place of one that is still arriving.
#[test]
fn a_dropped_body_drops_no_other() {
    let (budget, start) = (BodyBudget::new(LIMIT), Instant::now());
    let [dropped, growing, newest] = [(); 3].map(|()| budget.admit(start).unwrap());
    dropped.grow(HALF, later(start, 1)).unwrap();
    growing.grow(HALF, later(start, 2)).unwrap();
    newest.grow(HALF, later(start, 3)).unwrap();
    assert_eq!(dropped.grow(HALF, later(start, 4)), Err(Exhausted));
    assert_eq!(growing.complete(), Ok(()));
}

/// Guards against new requests that drop bodies which are still arriving.
#[test]
fn a_new_request_replaces_only_a_stalled_body() {
    let (budget, start) = (BodyBudget::new(LIMIT), Instant::now());
    let body = budget.admit(start).unwrap();
    body.grow(LIMIT, start).unwrap();
    assert!(budget.admit(later(start, 100)).is_err());
    assert_eq!(body.grow(0, later(start, 400)), Ok(()));
    assert!(budget.admit(later(start, 800)).is_err());
    assert!(budget.admit(later(start, 900)).is_ok());
    assert_eq!(body.complete(), Err(Exhausted));
}
