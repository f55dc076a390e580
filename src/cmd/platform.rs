//! `entry --platform` and `agent --platform`: daemons on the users' platform, with
//! the settings file that the platform installs on the machine.

use std::sync::Arc;

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use kernel::Clock;
use platform::{KvStore, PlatformCodec, PlatformSettings, PlatformWorker, settings};
use store::{BudgetedStore, Store};

use crate::failure::CommandError;

pub(super) fn run_entry(metrics_port: Option<u16>) -> Result<(), CommandError> {
    let settings = settings::load().map_err(CommandError::not_run)?;
    let logs = observe::logs::init();
    smol::block_on(serve_entry(settings, metrics_port).or(report_dropped_lines(&logs)))
}

pub(super) fn run_agent(metrics_port: Option<u16>) -> Result<(), CommandError> {
    let settings = settings::load().map_err(CommandError::not_run)?;
    let logs = observe::logs::init();
    smol::block_on(serve_agent(settings, metrics_port).or(report_dropped_lines(&logs)))
}

async fn report_dropped_lines(logs: &observe::logs::LogGuard) -> Result<(), CommandError> {
    logs.report_dropped_lines().await;
    Ok(())
}

async fn serve_entry(
    settings: PlatformSettings,
    metrics_port: Option<u16>,
) -> Result<(), CommandError> {
    let entry_settings = settings
        .entry(metrics_port)
        .map_err(CommandError::not_run)?;
    tracing::info!(
        entry = %entry_settings.name,
        clients = %entry_settings.client_address,
        version = VERSION,
        "starting"
    );
    let entry = stepd::entry::start(entry_settings, store(&settings), Arc::new(PlatformCodec))
        .await
        .map_err(CommandError::not_run)?;
    wait_for_stop(settings).await?;
    entry.stop().await;
    tracing::info!("stopped");
    Ok(())
}

async fn serve_agent(
    settings: PlatformSettings,
    metrics_port: Option<u16>,
) -> Result<(), CommandError> {
    let agent_settings = settings
        .agent(metrics_port)
        .map_err(CommandError::not_run)?;
    let worker = settings.worker().map_err(CommandError::not_run)?;
    tracing::info!(vm = %agent_settings.vm, %worker, version = VERSION, "starting");
    let agent = stepd::agent::start(
        agent_settings,
        store(&settings),
        Arc::new(PlatformWorker::new(worker)),
        Arc::new(PlatformCodec),
    )
    .await
    .map_err(CommandError::not_run)?;
    wait_for_stop(settings).await?;
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

/// Waits for SIGTERM or SIGINT; reloads the settings on SIGHUP.
async fn wait_for_stop(mut settings: PlatformSettings) -> Result<(), CommandError> {
    let handled = [Signal::Term, Signal::Int, Signal::Hup];
    let mut signals = Signals::new(handled).map_err(CommandError::not_run)?;
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
        Ok(reloaded) => {
            let is_changed = reloaded != *settings;
            tracing::info!(
                is_changed,
                "settings reloaded; changes take effect at the next start"
            );
            *settings = reloaded;
        }
        Err(error) => tracing::warn!(%error, "settings can't be reloaded; keeping the old ones"),
    }
}
