//! Daemons on the users' platform, with the settings that it puts on a machine.

use std::sync::Arc;

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use kernel::Clock;
use platform::{KvStore, PlatformDialect, PlatformSettings, PlatformWorker, settings};
use store::{BudgetedStore, Store};

use crate::failure::CommandError;

pub(super) fn run_entry() -> Result<(), CommandError> {
    let settings = settings::load().map_err(CommandError::not_run)?;
    let logs = observe::logs::init();
    smol::block_on(serve_entry(settings).or(drops(&logs)))
}

pub(super) fn run_agent() -> Result<(), CommandError> {
    let settings = settings::load().map_err(CommandError::not_run)?;
    let logs = observe::logs::init();
    smol::block_on(serve_agent(settings).or(drops(&logs)))
}

async fn drops(logs: &observe::logs::LogGuard) -> Result<(), CommandError> {
    logs.report_dropped_lines().await;
    Ok(())
}

async fn serve_entry(settings: PlatformSettings) -> Result<(), CommandError> {
    let own = settings.entry().map_err(CommandError::not_run)?;
    tracing::info!(entry = %own.name, clients = %own.clients, version = VERSION, "starting");
    let entry = stepd::entry::start(own, store(&settings), Arc::new(PlatformDialect))
        .await
        .map_err(CommandError::not_run)?;
    until_stopped(settings).await?;
    entry.stop().await;
    tracing::info!("stopped");
    Ok(())
}

async fn serve_agent(settings: PlatformSettings) -> Result<(), CommandError> {
    let own = settings.agent().map_err(CommandError::not_run)?;
    let worker = settings.worker().map_err(CommandError::not_run)?;
    tracing::info!(vm = %own.vm, %worker, version = VERSION, "starting");
    let agent = stepd::agent::start(
        own,
        store(&settings),
        Arc::new(PlatformWorker::new(worker)),
        Arc::new(PlatformDialect),
    )
    .await
    .map_err(CommandError::not_run)?;
    until_stopped(settings).await?;
    agent.stop().await;
    tracing::info!("stopped");
    Ok(())
}

const VERSION: &str = env!("CARGO_PKG_VERSION");

fn store(settings: &PlatformSettings) -> Arc<dyn Store> {
    let store = Arc::new(KvStore::new(settings.store()));
    let per_second = settings.store_calls_per_second();
    Arc::new(BudgetedStore::new(store, Clock::start(), per_second))
}

/// Waits for SIGTERM or SIGINT; SIGHUP has the settings read again.
async fn until_stopped(mut settings: PlatformSettings) -> Result<(), CommandError> {
    let wanted = [Signal::Term, Signal::Int, Signal::Hup];
    let mut signals = Signals::new(wanted).map_err(CommandError::not_run)?;
    while let Some(signal) = signals.next().await {
        match signal.map_err(CommandError::not_run)? {
            Signal::Hup => reload(&mut settings),
            signal => {
                tracing::info!(?signal, "stopping");
                return Ok(());
            }
        }
    }
    Ok(())
}

fn reload(settings: &mut PlatformSettings) {
    match settings::load() {
        Ok(read) => {
            let is_changed = read != *settings;
            tracing::info!(
                is_changed,
                "settings read again; changes count from the next start"
            );
            *settings = read;
        }
        Err(error) => tracing::warn!(%error, "settings can't be read again; the old ones hold"),
    }
}
