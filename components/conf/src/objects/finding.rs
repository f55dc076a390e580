//! Results of checks, without the file and line of the object.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::problem::Problem;

/// Identifies an object of a set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectId {
    /// Name of the kind.
    pub kind: String,
    /// Name of the object, unique within its kind.
    pub name: String,
}

impl ObjectId {
    /// Creates the identity of the object `name` of `kind`.
    #[must_use]
    pub fn new(kind: &str, name: impl AsRef<str>) -> Self {
        Self {
            kind: kind.to_owned(),
            name: name.as_ref().to_owned(),
        }
    }
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.kind, self.name)
    }
}

/// One error in an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Object that has the error.
    pub object: ObjectId,
    /// Path of the field within the object, separated by dots; may be empty.
    pub field: String,
    /// Description of the error.
    pub message: String,
    /// Action that corrects the error.
    pub remedy: String,
}

impl Finding {
    /// Converts the finding to a problem without file and line.
    #[must_use]
    pub fn into_problem(self) -> Problem {
        let field = match self.field.as_str() {
            "" => self.object.to_string(),
            field => format!("{}.{field}", self.object),
        };
        Problem {
            field,
            message: self.message,
            remedy: self.remedy,
            ..Problem::default()
        }
    }
}

/// Collects the findings of all checks.
#[derive(Debug, Default)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds one finding.
    pub fn add(
        &mut self,
        object: &ObjectId,
        field: impl Into<String>,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.0.push(Finding {
            object: object.clone(),
            field: field.into(),
            message: message.into(),
            remedy: remedy.into(),
        });
    }

    /// Adds a finding if `value` is zero.
    pub fn check_positive(&mut self, object: &ObjectId, field: &str, value: u64) {
        if value == 0 {
            self.add(object, field, "it is zero", "choose a value of at least 1");
        }
    }

    /// Adds a finding if `value` exceeds `max`.
    pub fn check_at_most(&mut self, object: &ObjectId, field: &str, value: u64, max: u64) {
        if value > max {
            let message = format!("{value} is out of bounds");
            let remedy = format!("choose a value of at most {max}");
            self.add(object, field, message, remedy);
        }
    }
}

impl IntoIterator for Findings {
    type Item = Finding;
    type IntoIter = std::vec::IntoIter<Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}
