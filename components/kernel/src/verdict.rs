//! Whether a request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The header that carries a [`Verdict`] in every HTTP answer of the system.
pub const VERDICT_HEADER: &str = "x-hemlockmoor-verdict";

/// What is known of the execution of a request.
///
/// Every error of hemlockmoor carries one, since a caller may repeat a booking
/// only if the first try was [`Verdict::NotRun`]. See `docs/INVARIANTS.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request ran and its whole result is known.
    Done,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run; its result is not known.
    MayHaveRun,
}

impl Verdict {
    /// The value of [`VERDICT_HEADER`].
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Reads the value of [`VERDICT_HEADER`]; anything unknown may have run.
    #[must_use]
    pub fn from_header(value: &str) -> Self {
        match value {
            "done" => Self::Done,
            "not-run" => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }

    /// The exit code of a command that ended with this verdict: 0, 1 or 3.
    ///
    /// Code 2 is left to wrong usage of the command line.
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
