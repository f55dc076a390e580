//! Why a command failed, and the exit code that says so.

use std::{fmt::Display, process::ExitCode};

use conf::Problems;
use entry::operator::Failure;
use kernel::Verdict;

/// The exit code of wrong usage; clap uses the same.
const USAGE: u8 = 2;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The command line or a file named on it can't be used.
    #[error("{0}")]
    Usage(String),
    /// The command was refused or its outcome is in doubt.
    #[error("{0}")]
    Failed(Failure),
}

impl CommandError {
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::Usage(message.into())
    }

    /// Nothing was done.
    pub(crate) fn not_run(message: impl Display) -> Self {
        Self::Failed(Failure::new(Verdict::NotRun, message.to_string()))
    }

    /// It may have been done.
    pub(crate) fn may_have_run(message: impl Display) -> Self {
        Self::Failed(Failure::new(Verdict::MayHaveRun, message.to_string()))
    }

    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) => ExitCode::from(USAGE),
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
