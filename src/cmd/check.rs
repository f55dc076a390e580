//! `check`: checks a whole object set without an entry.

use clap::ArgMatches;
use kernel::ObjectSet;

use super::required;
use crate::{failure::CommandError, output};

pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let sources = conf::read_dir(required(matches, "dir")?)?;
    let set = conf::parse(&sources)?;
    output::result(matches.get_flag("json"), &set, || {
        summary(&set, sources.len())
    });
    Ok(())
}

fn summary(set: &ObjectSet, files: usize) -> String {
    format!(
        "{files} files are valid: {} teams, {} services, {} job templates, {} availability zones, {} limits, {} pools",
        set.teams.len(),
        set.services.len(),
        set.templates.len(),
        set.zones.len(),
        set.limits.len(),
        set.pools.len()
    )
}
