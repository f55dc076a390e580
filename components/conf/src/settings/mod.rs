//! Settings of the daemons.
//!
//! A process learns its addresses and availability zone from these alone; names
//! of hosts are not resolved, so addresses are IP numbers. Every field is
//! described in `docs/SETTINGS.md`.

mod agent;
mod bounds;
mod entry;

use std::{fs, path::Path};

use serde::de::DeserializeOwned;

pub use agent::{AgentSettings, EndpointSettings};
pub use entry::{EntryLimits, EntrySettings, EntryTimings};

use crate::{
    locate::{line_of, line_of_field},
    problem::{Problem, Problems},
};

/// Why settings can't be used: a list of problems.
pub type SettingsError = Problems;

/// Settings whose bounds can be checked.
pub trait Checked: DeserializeOwned {
    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// Returns all problems found, without file and line.
    fn check(&self) -> Result<(), SettingsError>;
}

/// Reads and checks the settings of an entry.
///
/// # Errors
///
/// Returns all problems with file, line, field and what to do.
pub fn load_entry(path: impl AsRef<Path>) -> Result<EntrySettings, SettingsError> {
    load(path.as_ref())
}

/// Reads and checks the settings of an agent.
///
/// # Errors
///
/// Returns all problems with file, line, field and what to do.
pub fn load_agent(path: impl AsRef<Path>) -> Result<AgentSettings, SettingsError> {
    load(path.as_ref())
}

/// Reads settings from `text`; `file` is only named in errors.
///
/// # Errors
///
/// Returns all problems with file, line, field and what to do.
pub fn parse<S: Checked>(file: &str, text: &str) -> Result<S, SettingsError> {
    let settings: S =
        toml::from_str(text).map_err(|error| Problems(vec![syntax(file, text, &error)]))?;
    settings.check().map_err(|problems| {
        let located = problems.0.into_iter().map(|problem| Problem {
            file: file.to_owned(),
            line: line_of_field(text, &problem.field),
            ..problem
        });
        Problems(located.collect())
    })?;
    Ok(settings)
}

fn load<S: Checked>(path: &Path) -> Result<S, SettingsError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| {
        Problems(vec![Problem {
            file: file.clone(),
            message: format!("can't read the file: {error}"),
            remedy: "name a settings file that exists and can be read".to_owned(),
            ..Problem::default()
        }])
    })?;
    parse(&file, &text)
}

/// The problem that stands behind an error of the TOML library.
#[must_use]
pub fn syntax(file: &str, text: &str, error: &toml::de::Error) -> Problem {
    let line = error.span().map_or(0, |span| line_of(text, span.start));
    let field = error
        .span()
        .and_then(|span| text.get(span))
        .map(|found| found.lines().next().unwrap_or_default().trim().to_owned())
        .unwrap_or_default();
    Problem {
        file: file.to_owned(),
        line,
        field,
        message: error.message().trim().replace('\n', ", "),
        remedy: remedy_for(error.message()).to_owned(),
    }
}

fn remedy_for(message: &str) -> &'static str {
    if message.contains("socket address") {
        return "write an IP number and a port, such as 127.0.0.1:7001; names are not resolved";
    }
    if message.contains("unknown field") {
        return "correct its name or remove it";
    }
    if message.contains("missing field") {
        return "add the field";
    }
    if message.contains("duplicate key") {
        return "keep only one of them";
    }
    "correct the value"
}
