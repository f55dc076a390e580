//! What differs between two sets.

use std::{collections::BTreeMap, fmt};

use kernel::{ObjectSet, plugin::registered};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::objects::{ObjectId, ObjectKind};

/// All differences, in the order of kinds and names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Diff(pub Vec<ObjectChange>);

/// One object that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// The object.
    pub object: ObjectId,
    /// How it differs.
    pub change: Change,
}

/// How an object differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Only the new set has it.
    Added,
    /// Only the old set has it.
    Removed,
    /// Both have it, with other fields.
    Changed(Vec<FieldChange>),
}

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// The field, with dots between nested ones.
    pub field: String,
    /// Its old value.
    pub before: Value,
    /// Its new value.
    pub after: Value,
}

impl Diff {
    /// Whether both sets are equal.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// What makes `new` out of `old`.
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
            let Some(change) = change(before.get(name), after.get(name)) else {
                continue;
            };
            let object = ObjectId::new(kernel::plugin::Plugin::name(kind), name);
            changes.push(ObjectChange { object, change });
        }
    }
    Diff(changes)
}

fn change(before: Option<&Value>, after: Option<&Value>) -> Option<Change> {
    match (before, after) {
        (None, None) => None,
        (None, Some(_)) => Some(Change::Added),
        (Some(_), None) => Some(Change::Removed),
        (Some(before), Some(after)) if before == after => None,
        (Some(before), Some(after)) => Some(Change::Changed(fields(before, after))),
    }
}

fn fields(before: &Value, after: &Value) -> Vec<FieldChange> {
    let before = flat(before);
    let after = flat(after);
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let value = |side: &BTreeMap<String, Value>, name| side.get(name).cloned().unwrap_or_default();
    let both = names.into_iter().map(|name| FieldChange {
        field: name.clone(),
        before: value(&before, name),
        after: value(&after, name),
    });
    both.filter(|field| field.before != field.after).collect()
}

/// The fields of nested tables by their paths.
fn flat(value: &Value) -> BTreeMap<String, Value> {
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
