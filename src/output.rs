//! What commands print: results on the standard output, all else on the
//! standard error.

use std::io::{self, Write};

use entry::operator::Failure;
use kernel::Verdict;
use serde::Serialize;

use crate::failure::CommandError;

/// Prints a result as it is.
///
/// A reader that has gone away, such as `head`, is no failure of the command.
pub(crate) fn text(text: &str) {
    let mut out = io::stdout().lock();
    let end = if text.ends_with('\n') { "" } else { "\n" };
    let _ = write!(out, "{text}{end}").and_then(|()| out.flush());
}

/// Prints a result as JSON if asked for, as text otherwise.
pub(crate) fn result(json: bool, value: &impl Serialize, shown: impl FnOnce() -> String) {
    if !json {
        return text(&shown());
    }
    match serde_json::to_string_pretty(value) {
        Ok(shown) => text(&shown),
        Err(error) => progress(&format!("the result can't be written as JSON: {error}")),
    }
}

/// Prints how far a long wait has come.
pub(crate) fn progress(message: &str) {
    let _ = writeln!(io::stderr().lock(), "{message}");
}

/// Prints why a command failed.
pub(crate) fn failure(error: &CommandError, json: bool) {
    if json {
        let failure = match error {
            CommandError::Usage(message) => Failure::new(Verdict::NotRun, message.clone()),
            CommandError::Failed(failure) => failure.clone(),
        };
        result(true, &failure, String::new);
        return;
    }
    let _ = writeln!(io::stderr().lock(), "error: {error}");
    if let CommandError::Failed(failure) = error
        && failure.verdict == Verdict::MayHaveRun
    {
        let hint = "the outcome is unknown: it may have run";
        let _ = writeln!(io::stderr().lock(), "{hint}");
    }
}
