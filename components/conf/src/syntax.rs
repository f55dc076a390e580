//! Converts errors of the TOML library to problems.

use serde::de::DeserializeOwned;

use crate::{
    locate::{line_of, path_at},
    problem::{Problem, Problems},
};

/// Parses `text`; `file` is used only in error messages.
///
/// # Errors
///
/// Returns one problem with file, line, field and remedy.
pub fn from_toml<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Problems> {
    toml::from_str(text).map_err(|error| Problems(vec![toml_problem(file, text, &error)]))
}

/// Converts an error of the TOML library to a problem with line and field.
pub(crate) fn toml_problem(file: &str, text: &str, error: &toml::de::Error) -> Problem {
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

/// Converts an error without line and field, which are costly to find.
pub(crate) fn toml_problem_without_location(file: &str, error: &toml::de::Error) -> Problem {
    Problem {
        file: file.to_owned(),
        message: error.message().trim().replace('\n', ", "),
        remedy: remedy_for(error.message()).to_owned(),
        ..Problem::default()
    }
}

/// Returns the line in backquotes, for text that is not valid TOML.
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
