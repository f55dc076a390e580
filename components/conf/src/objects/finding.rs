//! What a check found, before it is known where the object was written.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::problem::Problem;

/// An object of the set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectId {
    /// The name of its kind.
    pub kind: String,
    /// Its own name.
    pub name: String,
}

impl ObjectId {
    /// The object `name` of `kind`.
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

/// One thing that is wrong with an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The object.
    pub object: ObjectId,
    /// The field within it, with dots between nested ones; may be empty.
    pub field: String,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub remedy: String,
}

impl Finding {
    /// The problem, without file and line.
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

/// Gathers what the checks of all kinds find.
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

    /// Adds a finding if a number that must be positive is zero.
    pub fn check_positive(&mut self, object: &ObjectId, field: &str, value: u64) {
        if value == 0 {
            self.add(object, field, "it is zero", "choose a value of at least 1");
        }
    }

    /// Adds a finding if a number exceeds its bound.
    pub fn check_at_most(&mut self, object: &ObjectId, field: &str, value: u64, most: u64) {
        if value > most {
            let message = format!("{value} is out of bounds");
            let remedy = format!("choose a value of at most {most}");
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
