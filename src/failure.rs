//! Failures of commands and their exit codes.

use std::{fmt::Display, process::ExitCode};

use conf::Problems;
use entry::operator::Failure;
use kernel::Verdict;

/// Exit code of wrong usage, as in clap.
const USAGE_EXIT_CODE: u8 = 2;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The command line, or a file that it names, is invalid.
    #[error("{0}")]
    Usage(String),
    /// The command was refused or its outcome is unknown.
    #[error("{0}")]
    Failed(Failure),
}

impl CommandError {
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::Usage(message.into())
    }

    /// A failure of a command that had no effect.
    pub(crate) fn not_run(message: impl Display) -> Self {
        Self::Failed(Failure::new(Verdict::NotRun, message.to_string()))
    }

    /// A failure of a command that may have had its effect.
    pub(crate) fn may_have_run(message: impl Display) -> Self {
        Self::Failed(Failure::new(Verdict::MayHaveRun, message.to_string()))
    }

    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) => ExitCode::from(USAGE_EXIT_CODE),
            Self::Failed(failure) => ExitCode::from(failure.verdict.exit_code()),
        }
    }
}

impl From<Failure> for CommandError {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

impl From<Problems> for CommandError {
    fn from(problems: Problems) -> Self {
        Self::Failed(problems.into())
    }
}
