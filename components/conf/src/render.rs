//! Renders an object set as TOML, the format that operators write.

use kernel::{
    ObjectSet,
    plugin::{Plugin, registered},
};
use serde_json::Value;

use crate::objects::ObjectKind;

/// Renders the set as one TOML text, which parses to the same set.
#[must_use]
pub fn to_toml(set: &ObjectSet) -> String {
    let mut text = String::new();
    for kind in registered::<ObjectKind>() {
        for (name, object) in (kind.export)(set) {
            let object = toml::Table::from_iter([(name, to_value(object))]);
            let of_kind = toml::Table::from_iter([(kind.name().to_owned(), object.into())]);
            if !text.is_empty() {
                text.push('\n');
            }
            text.push_str(&of_kind.to_string());
        }
    }
    text
}

/// Converts JSON to TOML. Null fields are omitted, since TOML has no null.
fn to_value(value: Value) -> toml::Value {
    match value {
        Value::Null => toml::Value::String(String::new()),
        Value::Bool(value) => value.into(),
        Value::Number(number) => match number.as_i64() {
            Some(number) => number.into(),
            None => number.as_f64().unwrap_or_default().into(),
        },
        Value::String(text) => text.into(),
        Value::Array(items) => items.into_iter().map(to_value).collect::<Vec<_>>().into(),
        Value::Object(fields) => {
            let present = fields.into_iter().filter(|(_, value)| !value.is_null());
            let table = present.map(|(name, value)| (name, to_value(value)));
            toml::Value::Table(table.collect())
        }
    }
}
