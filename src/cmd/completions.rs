//! `completions`: prints a shell's completion script.

use clap::ArgMatches;
use clap_complete::Shell;

use crate::{cli, failure::CommandError, output};

pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some(shell) = matches.get_one::<Shell>("shell") else {
        return Err(CommandError::usage("name a shell"));
    };
    let mut text = Vec::new();
    clap_complete::generate(*shell, &mut cli::command(), cli::NAME, &mut text);
    output::text(&String::from_utf8_lossy(&text));
    Ok(())
}
