//! `entry`: the daemon on each entry's VM.

use std::path::PathBuf;

use clap::ArgMatches;
use conf::settings::load_entry;

use crate::failure::CommandError;

pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some(file) = matches.get_one::<PathBuf>("settings") else {
        return Err(CommandError::usage("name the settings with --settings F"));
    };
    let _settings = load_entry(file)?;
    Err(CommandError::not_run("this build has no entry daemon"))
}
