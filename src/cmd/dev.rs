//! `dev`: the whole system in one process.

use clap::ArgMatches;

use crate::failure::CommandError;

pub(super) fn run(_: &ArgMatches) -> Result<(), CommandError> {
    Err(CommandError::not_run("this build has no dev command"))
}
