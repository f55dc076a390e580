//! Errors in files that operators write.

use std::fmt;

use kernel::Verdict;
use serde::{Deserialize, Serialize};

/// One error, with its location and a remedy.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// Path of the file as given by the user, empty if there is none.
    pub file: String,
    /// Line, counted from 1; 0 if the problem concerns the whole file.
    pub line: usize,
    /// Path of the field, such as `service.directory.team`.
    pub field: String,
    /// Description of the error.
    pub message: String,
    /// Action that corrects the error.
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

/// All errors found, at least one when returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(transparent)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Always `NotRun`, since reading and checking have no effects.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }

    /// Returns an error if there is any problem.
    ///
    /// # Errors
    ///
    /// Returns the problems, sorted by file and line.
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
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
