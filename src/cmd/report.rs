//! `report`: shows who used which resources, when, and at whose expense.

use std::{fs, path::PathBuf};

use clap::ArgMatches;

use super::{required, submit::time_arg};
use crate::{client::Client, failure::CommandError, output};

/// Filters that the entry's query takes under the same name.
const FILTERS: [&str; 3] = ["team", "service", "zone"];

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let client = Client::from_matches(matches)?;
    let path = path(matches)?;
    let text = client.get_text(&path).await?;
    let Some(file) = matches.get_one::<PathBuf>("html") else {
        output::text(&text);
        return Ok(());
    };
    fs::write(file, text).map_err(|error| {
        CommandError::not_run(format!("{} can't be written: {error}", file.display()))
    })?;
    output::progress(&format!("wrote {}", file.display()));
    Ok(())
}

fn path(matches: &ArgMatches) -> Result<String, CommandError> {
    let kind = required(matches, "kind")?;
    let format = match (matches.get_flag("json"), matches.contains_id("html")) {
        (true, _) => "json",
        (false, true) => "html",
        (false, false) => "text",
    };
    let mut path = format!("/v1/report/{kind}?format={format}");
    for bound in ["from", "until"] {
        if let Some(at) = time_arg(matches, bound)? {
            path.push_str(&format!("&{bound}={}", report::format::time(at)));
        }
    }
    for filter in FILTERS {
        if let Some(value) = matches.get_one::<String>(filter) {
            let name = kernel::TeamName::new(value)
                .map_err(|error| CommandError::usage(format!("--{filter}: {error}")))?;
            path.push_str(&format!("&{filter}={name}"));
        }
    }
    Ok(path)
}
