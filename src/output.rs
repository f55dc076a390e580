//! Output of commands: results on standard output, everything else on standard
//! error.

use std::io::{self, Write};

use entry::operator::Failure;
use kernel::Verdict;
use serde::Serialize;

use crate::failure::CommandError;

/// Prints text with a final line break.
///
/// Ignores write errors: a reader that closes the pipe early, such as `head`, doesn't
/// make the command fail.
pub(crate) fn text(text: &str) {
    let mut out = io::stdout().lock();
    let end = if text.ends_with('\n') { "" } else { "\n" };
    let _ = write!(out, "{text}{end}").and_then(|()| out.flush());
}

/// Prints a result as JSON if asked for, as text otherwise.
pub(crate) fn result(json: bool, value: &impl Serialize, to_text: impl FnOnce() -> String) {
    if !json {
        return text(&to_text());
    }
    match serde_json::to_string_pretty(value) {
        Ok(formatted) => text(&formatted),
        Err(error) => progress(&format!("the result can't be written as JSON: {error}")),
    }
}

/// Prints progress of a command to standard error.
pub(crate) fn progress(message: &str) {
    let _ = writeln!(io::stderr().lock(), "{message}");
}

/// Prints the failure of a command: JSON on standard output or text on standard error.
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
