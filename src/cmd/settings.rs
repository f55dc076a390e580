//! `settings --check`: checks the settings of a daemon without starting it.

use std::path::PathBuf;

use clap::ArgMatches;
use conf::settings::{load_agent, load_entry};

use crate::{failure::CommandError, output};

pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some(file) = matches.get_one::<PathBuf>("check") else {
        return Err(CommandError::usage("give the settings file with --check F"));
    };
    let json = matches.get_flag("json");
    let text = std::fs::read_to_string(file).unwrap_or_default();
    if is_agent(&text) {
        let settings = load_agent(file)?;
        output::result(json, &settings, || {
            format!("the settings of the agent on {} are valid", settings.vm)
        });
        return Ok(());
    }
    let settings = load_entry(file)?;
    output::result(json, &settings, || {
        format!("the settings of the entry {} are valid", settings.name)
    });
    Ok(())
}

/// Whether the settings are an agent's: only these have the field `vm`.
fn is_agent(text: &str) -> bool {
    let table = text.parse::<toml::Table>();
    table.is_ok_and(|table| table.contains_key("vm"))
}
