//! What is wrong with a file, and what to do about it.

use std::fmt;

use kernel::Verdict;
use serde::{Deserialize, Serialize};

/// One thing that is wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// The file it is in, as the user named it.
    pub file: String,
    /// The line, counted from 1; 0 if it is about the whole file.
    pub line: usize,
    /// The field, as a path such as `service.directory.team`.
    pub field: String,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}", self.file)?;
            if self.line > 0 {
                write!(f, ":{}", self.line)?;
            }
            write!(f, ": ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}", self.message)?;
        if !self.remedy.is_empty() {
            write!(f, "; {}", self.remedy)?;
        }
        Ok(())
    }
}

/// Everything that is wrong, at least one problem.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(transparent)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Reading and checking change nothing, so nothing has run.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }

    /// An error if there is any problem.
    ///
    /// # Errors
    ///
    /// Returns the problems themselves, in the order of files and lines.
    pub fn into_result(mut self) -> Result<(), Self> {
        if self.0.is_empty() {
            return Ok(());
        }
        self.0.sort();
        Err(self)
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, problem) in self.0.iter().enumerate() {
            if number > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
