//! `agent`: the daemon that runs on the same VM as an endpoint or a worker.

use agent::daemon;
use clap::ArgMatches;
use conf::settings::{AgentSettings, load_agent};
use kernel::secret::Secrets;

use super::{daemon_settings, platform, wait_for_signal};
use crate::{client::read_secrets, failure::CommandError};

pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    if matches.get_flag("platform") {
        return platform::run_agent(matches.get_one("metrics-port").copied());
    }
    let settings = load_agent(daemon_settings(matches)?)?;
    let secrets = read_secrets(&settings.secret_file)?;
    let _logs = observe::logs::init();
    smol::block_on(serve(settings, secrets))
}

async fn serve(settings: AgentSettings, secrets: Secrets) -> Result<(), CommandError> {
    let vm = settings.vm.clone();
    let agent = daemon::start(settings, secrets)
        .await
        .map_err(CommandError::not_run)?;
    tracing::info!(%vm, system = %agent.system, health = %agent.health, "listening");
    wait_for_signal().await?;
    tracing::info!(%vm, "stopping");
    agent.stop().await;
    Ok(())
}
