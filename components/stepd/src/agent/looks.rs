//! The looks at the worker: one that waits for an end, and short ones beside it
//! whenever something must not wait.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_lite::FutureExt;
use steps::agent::{PollError, WorkerPoll};

use super::{Shared, set_pace};

/// How often the worker is looked at while ends wait for their records: it would
/// list them at once each time.
const UNRECORDED_PAUSE: Duration = Duration::from_millis(50);
/// The pause after a look that was not answered.
const SILENT_PAUSE: Duration = Duration::from_millis(150);
/// How often an agent without a worker or an owner checks its leases.
const IDLE_PAUSE: Duration = Duration::from_millis(500);

/// Looks at the worker for as long as the agent runs.
pub(super) async fn run(shared: Arc<Shared>) {
    let waiting = Arc::new(AtomicBool::new(false));
    let mut short_due = true;
    loop {
        let kicked = shared.kick.listen();
        let pause = step(&shared, &waiting, short_due);
        let timer = async {
            smol::Timer::after(pause).await;
            true
        };
        let kick = async {
            kicked.await;
            false
        };
        short_due = kick.or(timer).await;
    }
}

/// Begins the looks that are due; says when to come back without a kick.
fn step(shared: &Arc<Shared>, waiting: &Arc<AtomicBool>, short_due: bool) -> Duration {
    let now = shared.clock.now();
    let (unconfirmed, unrecorded) = {
        let mut keeper = shared.keeper();
        keeper.check_lease_expiry(now);
        (keeper.is_unconfirmed(), keeper.has_unrecorded_ends())
    };
    if unconfirmed {
        if let Some(look) = shared.keeper().next_poll(now, false) {
            smol::spawn(short(Arc::clone(shared), look)).detach();
        }
        return SILENT_PAUSE;
    }
    if waiting.load(Ordering::Relaxed) {
        return IDLE_PAUSE;
    }
    if unrecorded {
        if short_due && let Some(look) = shared.keeper().next_poll(now, false) {
            smol::spawn(short(Arc::clone(shared), look)).detach();
        }
        return UNRECORDED_PAUSE;
    }
    let Some(look) = shared.keeper().next_poll(now, true) else {
        return IDLE_PAUSE;
    };
    waiting.store(true, Ordering::Relaxed);
    let (shared, waiting) = (Arc::clone(shared), Arc::clone(waiting));
    smol::spawn(async move {
        if !apply(&shared, &look).await {
            smol::Timer::after(SILENT_PAUSE).await;
        }
        waiting.store(false, Ordering::Relaxed);
        shared.kick.notify(usize::MAX);
    })
    .detach();
    IDLE_PAUSE
}

async fn short(shared: Arc<Shared>, look: WorkerPoll) {
    apply(&shared, &look).await;
    shared.kick.notify(usize::MAX);
}

/// Makes one look; whether it was answered.
async fn apply(shared: &Arc<Shared>, look: &WorkerPoll) -> bool {
    let result = shared.api.poll(look).await;
    let now = shared.clock.now();
    let before = shared.keeper().version();
    let (is_answered, paces) = {
        let mut keeper = shared.keeper();
        match result {
            Ok(seen) => (true, keeper.apply_reply(now, look, seen)),
            Err(why) => {
                keeper.apply_error(now, look, why);
                (why == PollError::Fenced, Vec::new())
            }
        }
    };
    if shared.keeper().version() != before {
        shared.news.notify(usize::MAX);
    }
    for (key, percent) in paces {
        set_pace(shared, &look.incarnation, &key, percent, look.epoch).await;
    }
    is_answered
}
