//! Delayed scheduling passes of an owner whose term ends.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    sync::{
        atomic::{AtomicU32, Ordering},
        mpsc,
    },
    time::Duration,
};

use event_listener::Event;
use futures_lite::FutureExt;
use stepd::passes::{NextPass, run_delayed};

/// Runs a future on a thread of its own and fails if it does not return.
fn assert_returns(future: impl Future<Output = ()> + Send + 'static) {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        smol::block_on(future);
        tx.send(()).unwrap();
    });
    rx.recv_timeout(Duration::from_secs(20)).unwrap();
}

/// An owner that found out after a freeze that its term was over never answered again.
#[test]
fn a_pass_that_is_due_as_the_term_ends_is_tried_for_ever() {
    assert_returns(async {
        let runs = AtomicU32::new(0);
        let next = || match runs.load(Ordering::Relaxed) {
            0 | 1 => NextPass::In(Duration::ZERO),
            _ => NextPass::Never,
        };
        let run = || {
            runs.fetch_add(1, Ordering::Relaxed);
        };
        run_delayed(&Event::new(), next, run).await;
    });
}

#[test]
fn a_pass_that_stays_due_keeps_other_tasks_from_the_processor() {
    assert_returns(async {
        let changed = Event::new();
        let passes = run_delayed(&changed, || NextPass::In(Duration::ZERO), || ());
        let other_task = async {
            for _ in 0..3 {
                smol::future::yield_now().await;
            }
        };
        passes.or(other_task).await;
    });
}

/// The end of a wait for a near place may be seconds away when a pass becomes due.
#[test]
fn a_pass_that_becomes_due_earlier_waits_for_a_later_one() {
    assert_returns(async {
        let changed = Event::new();
        let is_due = AtomicU32::new(0);
        let next = || match is_due.load(Ordering::Relaxed) {
            0 => NextPass::In(Duration::from_secs(3_600)),
            1 => NextPass::In(Duration::ZERO),
            _ => NextPass::Never,
        };
        let run = || {
            is_due.fetch_add(1, Ordering::Relaxed);
        };
        let other_task = async {
            smol::future::yield_now().await;
            is_due.store(1, Ordering::Relaxed);
            changed.notify(1);
        };
        smol::future::zip(run_delayed(&changed, next, run), other_task).await;
    });
}
