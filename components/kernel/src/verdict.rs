//! Verdicts: whether a request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The header that carries a [`Verdict`] in every HTTP response of the system.
pub const VERDICT_HEADER: &str = "x-hemlockmoor-verdict";

/// Whether a request was executed, as far as the responder can determine.
///
/// Every error of hemlockmoor carries a verdict, since a caller may repeat a
/// request such as a booking only if the first try was [`Verdict::NotRun`]. See
/// `docs/INVARIANTS.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request ran and its complete result is known.
    Done,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run; its result is not known.
    MayHaveRun,
}

impl Verdict {
    /// Returns the value of [`VERDICT_HEADER`].
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Parses a value of [`VERDICT_HEADER`]. An unknown value means that the
    /// request may have run.
    #[must_use]
    pub fn from_header(value: &str) -> Self {
        match value {
            "done" => Self::Done,
            "not-run" => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }

    /// Returns the exit code of a command that ended with this verdict: 0, 1 or
    /// 3.
    ///
    /// Code 2 is reserved for wrong usage of the command line.
    #[must_use]
    pub const fn exit_code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::NotRun => 1,
            Self::MayHaveRun => 3,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
