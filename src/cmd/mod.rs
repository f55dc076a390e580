//! The commands, one file for each.

mod agent;
mod apply;
mod cancel;
mod check;
mod completions;
mod dev;
mod diff;
mod drain;
mod entry;
mod get;
mod identity;
mod jobs;
mod platform;
mod report;
mod settings;
mod submit;
mod tasks;
mod wait;
mod zone;

use std::path::PathBuf;

use async_signal::{Signal, Signals};
use clap::ArgMatches;
use futures_lite::StreamExt;

use crate::failure::CommandError;

/// Runs the command that the command line names.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(CommandError::usage("no command is named; see --help"));
    };
    match name {
        "entry" => entry::run(matches),
        "agent" => agent::run(matches),
        "dev" => dev::run(matches),
        "settings" => settings::run(matches),
        "completions" => completions::run(matches),
        "check" => check::run(matches),
        _ => smol::block_on(run_client_command(name, matches)),
    }
}

/// Runs a command that calls an entry.
async fn run_client_command(name: &str, matches: &ArgMatches) -> Result<(), CommandError> {
    match name {
        "apply" => apply::run(matches).await,
        "diff" => diff::run(matches).await,
        "get" => get::run(matches).await,
        "submit" => submit::run(matches).await,
        "cancel" => cancel::run(matches).await,
        "jobs" => jobs::run(matches).await,
        "tasks" => tasks::run(matches).await,
        "zone" => zone::run(matches).await,
        "drain" => drain::run(matches).await,
        "report" => report::run(matches).await,
        _ => Err(CommandError::usage(format!("there is no command {name}"))),
    }
}

/// Returns a string argument, or a usage error if it is missing.
fn required<'m>(matches: &'m ArgMatches, name: &str) -> Result<&'m str, CommandError> {
    let value = matches.get_one::<String>(name).map(String::as_str);
    value.ok_or_else(|| CommandError::usage(format!("{name} is missing; see --help")))
}

/// Returns the file given with `--settings`.
fn daemon_settings(matches: &ArgMatches) -> Result<&PathBuf, CommandError> {
    matches
        .get_one::<PathBuf>("settings")
        .ok_or_else(|| CommandError::usage("name the settings with --settings F"))
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> Result<(), CommandError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(CommandError::not_run)?;
    signals.next().await;
    Ok(())
}
