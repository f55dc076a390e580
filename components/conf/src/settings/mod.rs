//! Settings of the daemons.
//!
//! The settings file is the only source of a process's addresses and availability
//! zone. Host names are not resolved, so addresses are IP numbers. Every field is
//! described in `docs/SETTINGS.md`.

mod agent;
mod checker;
mod entry;

use std::{fs, path::Path};

use serde::de::DeserializeOwned;

pub use agent::{AgentSettings, EndpointSettings};
pub use entry::{EntryLimits, EntrySettings, EntryTimings};

use crate::{
    locate::FieldLocator,
    problem::{Problem, Problems},
    syntax::from_toml,
};

/// Problems found in a settings file.
pub type SettingsError = Problems;

/// Settings of a daemon with a check of their values.
pub trait CheckSettings: DeserializeOwned {
    /// Checks all values.
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
/// Returns all problems with file, line, field and remedy.
pub fn load_entry(path: impl AsRef<Path>) -> Result<EntrySettings, SettingsError> {
    load(path.as_ref())
}

/// Reads and checks the settings of an agent.
///
/// # Errors
///
/// Returns all problems with file, line, field and remedy.
pub fn load_agent(path: impl AsRef<Path>) -> Result<AgentSettings, SettingsError> {
    load(path.as_ref())
}

/// Parses and checks settings; `file` is used only in error messages.
///
/// # Errors
///
/// Returns all problems with file, line, field and remedy.
pub fn parse<S: CheckSettings>(file: &str, text: &str) -> Result<S, SettingsError> {
    let settings: S = from_toml(file, text)?;
    settings.check().map_err(|problems| {
        let locator = FieldLocator::new(text);
        let located = problems.0.into_iter().map(|problem| Problem {
            file: file.to_owned(),
            line: locator.line(problem.field.split('.')),
            ..problem
        });
        Problems(located.collect())
    })?;
    Ok(settings)
}

fn load<S: CheckSettings>(path: &Path) -> Result<S, SettingsError> {
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
