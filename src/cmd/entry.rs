//! `entry`: the daemon that serves callers and operators and places tasks.

use std::sync::Arc;

use clap::ArgMatches;
use conf::settings::{EntrySettings, load_entry};
use entry::daemon::{self, EntrySecrets};
use store::EtcdStore;

use super::{daemon_settings, platform, wait_for_signal};
use crate::{client::read_secrets, failure::CommandError};

pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    if matches.get_flag("platform") {
        return platform::run_entry(matches.get_one("metrics-port").copied());
    }
    let settings = load_entry(daemon_settings(matches)?)?;
    let secrets = EntrySecrets {
        system: read_secrets(&settings.secret_file)?,
        operators: read_secrets(&settings.operator_secret_file)?,
    };
    let _logs = observe::logs::init();
    smol::block_on(serve(settings, secrets))
}

async fn serve(settings: EntrySettings, secrets: EntrySecrets) -> Result<(), CommandError> {
    let store = Arc::new(EtcdStore::new(&settings.store));
    let name = settings.name.clone();
    let entry = daemon::start(settings, store, secrets)
        .await
        .map_err(CommandError::not_run)?;
    tracing::info!(
        entry = %name,
        system = %entry.system,
        callers = %entry.callers,
        operators = %entry.operators,
        "listening"
    );
    wait_for_signal().await?;
    tracing::info!(entry = %name, "stopping");
    entry.stop().await;
    Ok(())
}
