//! Polls of the worker: one long poll that waits for a run to end, and short polls beside
//! it when the agent needs a reply at once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_lite::FutureExt;
use kernel::Time;
use steps::agent::{PollError, WorkerPoll};

use super::{Shared, set_pace};
use crate::edge::FenceResult;

/// The interval of polls while ended runs wait for their records. The worker lists such
/// runs in each reply, so a long poll would return at once.
const UNRECORDED_DELAY: Duration = Duration::from_millis(50);
/// The delay after an unanswered poll.
const UNANSWERED_DELAY: Duration = Duration::from_millis(150);
/// How often an agent checks its leases if no event wakes it.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Makes a worker that was up before its agent refuse late calls for its earlier incarnation,
/// since its first heartbeat has found no agent. That of a worker that is not up yet will find it.
pub(super) async fn fence_unknown_worker(shared: Arc<Shared>) {
    while shared.agent_state().worker().is_none() {
        match shared.api.fence().await {
            FenceResult::Fenced => {
                tracing::info!(
                    "worker has seen a fencing token and refuses calls with a lower one"
                );
                return;
            }
            FenceResult::NotUp => return,
            FenceResult::Unanswered => smol::Timer::after(UNANSWERED_DELAY).await,
        };
    }
}

/// Polls the worker until the task is cancelled.
pub(super) async fn run(shared: Arc<Shared>) {
    let long_poll_open = Arc::new(AtomicBool::new(false));
    let mut short_poll_due = true;
    loop {
        let woken = shared.poll_wanted.listen();
        let delay = start_polls(&shared, &long_poll_open, short_poll_due);
        let timer = async {
            smol::Timer::after(delay).await;
            true
        };
        let wakeup = async {
            woken.await;
            false
        };
        short_poll_due = wakeup.or(timer).await;
    }
}

/// Starts the polls that are due; returns after which time to check again if no event
/// comes first.
fn start_polls(
    shared: &Arc<Shared>,
    long_poll_open: &Arc<AtomicBool>,
    short_poll_due: bool,
) -> Duration {
    let now = shared.clock.now();
    let (unconfirmed, unrecorded) = {
        let mut agent_state = shared.agent_state();
        let version_before = agent_state.version();
        agent_state.check_lease_expiry(now);
        if agent_state.version() != version_before {
            shared.report_changed.notify(usize::MAX);
        }
        (
            agent_state.is_unconfirmed(),
            agent_state.has_unrecorded_ends(),
        )
    };
    if unconfirmed {
        if let Some(poll) = shared.agent_state().next_poll(now, false) {
            smol::spawn(short_poll(Arc::clone(shared), poll)).detach();
        }
        return UNANSWERED_DELAY;
    }
    if long_poll_open.load(Ordering::Relaxed) {
        return poll_beside_long_poll(shared, now);
    }
    if unrecorded {
        if short_poll_due && let Some(poll) = shared.agent_state().next_poll(now, false) {
            smol::spawn(short_poll(Arc::clone(shared), poll)).detach();
        }
        return UNRECORDED_DELAY;
    }
    let Some(poll) = shared.agent_state().next_poll(now, true) else {
        return IDLE_INTERVAL;
    };
    long_poll_open.store(true, Ordering::Relaxed);
    let (shared, long_poll_open) = (Arc::clone(shared), Arc::clone(long_poll_open));
    smol::spawn(async move {
        if !poll_worker(&shared, &poll).await {
            smol::Timer::after(UNANSWERED_DELAY).await;
        }
        long_poll_open.store(false, Ordering::Relaxed);
        shared.poll_wanted.notify(usize::MAX);
    })
    .detach();
    IDLE_INTERVAL
}

/// Starts a short poll if one is due while a long poll is open; returns after which time to
/// check again.
fn poll_beside_long_poll(shared: &Arc<Shared>, now: Time) -> Duration {
    let mut agent_state = shared.agent_state();
    let doubts_check = agent_state.next_doubts_check();
    let is_doubts_check_due = doubts_check.is_some_and(|at| at.passed(now));
    if is_doubts_check_due {
        agent_state.record_doubts_check(now);
    }
    if (is_doubts_check_due || agent_state.is_check_due())
        && let Some(poll) = agent_state.next_poll(now, false)
    {
        smol::spawn(short_poll(Arc::clone(shared), poll)).detach();
    }
    let next = agent_state.next_doubts_check();
    next.map_or(IDLE_INTERVAL, |at| at.remaining(now).min(IDLE_INTERVAL))
}

async fn short_poll(shared: Arc<Shared>, poll: WorkerPoll) {
    // Otherwise a worker that refuses polls would be polled without a pause.
    if poll_worker(&shared, &poll).await {
        shared.poll_wanted.notify(usize::MAX);
    }
}

/// Polls the worker once; returns whether the answer tells anything new.
async fn poll_worker(shared: &Arc<Shared>, poll: &WorkerPoll) -> bool {
    let result = shared.api.poll(poll).await;
    let now = shared.clock.now();
    let version_before = shared.agent_state().version();
    let (is_answered, paces) = {
        let mut agent_state = shared.agent_state();
        match result {
            Ok(reply) => {
                let paces = agent_state.apply_reply(now, poll, reply);
                (!agent_state.is_unconfirmed(), paces)
            }
            Err(error) => {
                agent_state.apply_error(now, poll, error);
                (error == PollError::OtherIncarnation, Vec::new())
            }
        }
    };
    shared.metrics.record_worker(&shared.agent_state());
    let is_changed = shared.agent_state().version() != version_before;
    if is_changed {
        shared.report_changed.notify(usize::MAX);
    }
    for (key, percent) in paces {
        set_pace(shared, &poll.incarnation, &key, percent, poll.epoch).await;
    }
    is_answered || is_changed
}
