//! Errors of the TOML library as problems.

use serde::de::DeserializeOwned;

use crate::{
    locate::{line_of, path_at},
    problem::{Problem, Problems},
};

/// Reads `text`; `file` is only named in errors.
///
/// # Errors
///
/// Returns the problem with file, line, field and what to do.
pub fn from_toml<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Problems> {
    toml::from_str(text).map_err(|error| Problems(vec![problem_of(file, text, &error)]))
}

/// The problem that stands behind an error of the TOML library.
pub(crate) fn problem_of(file: &str, text: &str, error: &toml::de::Error) -> Problem {
    let span = error.span();
    let line = span.clone().map_or(0, |span| line_of(text, span.start));
    let mut field = span.map(|span| path_at(text, &span)).unwrap_or_default();
    if field.is_empty() {
        field = quoted_line(text, line);
    }
    Problem {
        file: file.to_owned(),
        line,
        field,
        message: error.message().trim().replace('\n', ", "),
        remedy: remedy_for(error.message()).to_owned(),
    }
}

/// The problem without its line and field, which are costly to find.
pub(crate) fn unlocated(file: &str, error: &toml::de::Error) -> Problem {
    Problem {
        file: file.to_owned(),
        message: error.message().trim().replace('\n', ", "),
        remedy: remedy_for(error.message()).to_owned(),
        ..Problem::default()
    }
}

/// What stands on a line that can't be read as TOML.
fn quoted_line(text: &str, line: usize) -> String {
    let found = line
        .checked_sub(1)
        .and_then(|index| text.lines().nth(index));
    found
        .map(|found| format!("`{}`", found.trim()))
        .unwrap_or_default()
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
