//! Runs the scheduling passes that have to wait, until the term of the owner is over.

use std::time::Duration;

use event_listener::Event as Signal;
use futures_lite::FutureExt;

/// When the next delayed pass is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPass {
    /// After this time.
    In(Duration),
    /// None is delayed.
    NotDelayed,
    /// No pass will run any more, since the term is over.
    Never,
}

/// Runs each delayed pass when it is due and returns once no pass will run any more.
/// `changed` is notified when a pass is delayed; it may be due before the one waited for.
pub async fn run_delayed(changed: &Signal, next: impl Fn() -> NextPass, run: impl Fn()) {
    loop {
        let is_changed = changed.listen();
        match next() {
            NextPass::In(wait) => {
                let timer = async {
                    smol::Timer::after(wait).await;
                    true
                };
                let notified = async {
                    is_changed.await;
                    false
                };
                if timer.or(notified).await {
                    run();
                    // A pass that stays due must not keep other tasks from the processor.
                    smol::future::yield_now().await;
                }
            }
            NextPass::NotDelayed => is_changed.await,
            NextPass::Never => return,
        }
    }
}
