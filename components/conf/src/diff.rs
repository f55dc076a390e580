//! Differences between two object sets.

use std::{collections::BTreeMap, fmt};

use kernel::{ObjectSet, plugin::registered};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::objects::{ObjectId, ObjectKind};

/// All differences, sorted by kind and name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Diff(pub Vec<ObjectChange>);

/// One object that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// Object that differs.
    pub object: ObjectId,
    /// Kind of the difference.
    pub change: Change,
}

/// Difference of one object between the old and the new set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Only the new set has the object.
    Added,
    /// Only the old set has the object.
    Removed,
    /// Both sets have the object, with different fields.
    Changed(Vec<FieldChange>),
}

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Path of the field within the object, separated by dots.
    pub field: String,
    /// Old value, null if absent.
    pub before: Value,
    /// New value, null if absent.
    pub after: Value,
}

impl Diff {
    /// Returns whether both sets are equal.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Returns the changes from `old` to `new`.
#[must_use]
pub fn diff(old: &ObjectSet, new: &ObjectSet) -> Diff {
    let mut changes = Vec::new();
    for kind in registered::<ObjectKind>() {
        let before = (kind.export)(old);
        let after = (kind.export)(new);
        let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
        names.sort();
        names.dedup();
        for name in names {
            let Some(change) = object_change(before.get(name), after.get(name)) else {
                continue;
            };
            let object = ObjectId::new(kernel::plugin::Plugin::name(kind), name);
            changes.push(ObjectChange { object, change });
        }
    }
    Diff(changes)
}

fn object_change(before: Option<&Value>, after: Option<&Value>) -> Option<Change> {
    match (before, after) {
        (None, None) => None,
        (None, Some(_)) => Some(Change::Added),
        (Some(_), None) => Some(Change::Removed),
        (Some(before), Some(after)) if before == after => None,
        (Some(before), Some(after)) => Some(Change::Changed(field_changes(before, after))),
    }
}

fn field_changes(before: &Value, after: &Value) -> Vec<FieldChange> {
    let before = flat_fields(before);
    let after = flat_fields(after);
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let value = |side: &BTreeMap<String, Value>, name| side.get(name).cloned().unwrap_or_default();
    let changes = names.into_iter().map(|name| FieldChange {
        field: name.clone(),
        before: value(&before, name),
        after: value(&after, name),
    });
    changes
        .filter(|field| field.before != field.after)
        .collect()
}

/// Returns all fields, including those of nested tables, by path.
fn flat_fields(value: &Value) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    flatten("", value, &mut fields);
    fields
}

fn flatten(path: &str, value: &Value, fields: &mut BTreeMap<String, Value>) {
    let Value::Object(table) = value else {
        fields.insert(path.to_owned(), value.clone());
        return;
    };
    for (key, value) in table {
        let path = match path {
            "" => key.clone(),
            path => format!("{path}.{key}"),
        };
        flatten(&path, value, fields);
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "no difference");
        }
        for ObjectChange { object, change } in &self.0 {
            match change {
                Change::Added => writeln!(f, "+ {object}")?,
                Change::Removed => writeln!(f, "- {object}")?,
                Change::Changed(fields) => {
                    writeln!(f, "~ {object}")?;
                    for field in fields {
                        writeln!(f, "    {field}")?;
                    }
                }
            }
        }
        Ok(())
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} -> {}", self.field, self.before, self.after)
    }
}
