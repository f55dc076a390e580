//! Registry entry of a kind of object.

use std::{collections::BTreeMap, fmt::Display, str::FromStr};

use kernel::{ObjectSet, plugin::Plugin};
use serde::{Serialize, de::DeserializeOwned};
use toml::{Spanned, de::DeValue};

use super::{Findings, Reference};

/// Objects of one kind by name, as published JSON.
pub type ExportedObjects = BTreeMap<String, serde_json::Value>;

/// Error of an object in the store that can't be decoded.
#[derive(Debug, thiserror::Error)]
#[error("the published object {name} can't be read: {message}")]
pub struct ImportError {
    /// Name of the object.
    pub name: String,
    /// Reason, as reported by the name's parser or by serde.
    pub message: String,
}

/// Error of an object in a file that can't be parsed.
#[derive(Debug)]
pub(super) enum ParseError {
    /// The name is invalid.
    Name(String),
    /// A field is invalid or missing.
    Fields(toml::de::Error),
}

/// Defines how objects of one kind are parsed, checked and published.
///
/// Each kind registers itself in its own module, so there is no central list.
pub struct ObjectKind {
    /// First part of the header of an object's table in the files.
    pub(super) name: &'static str,
    pub(super) parse:
        for<'i> fn(&mut ObjectSet, &str, Spanned<DeValue<'i>>) -> Result<(), ParseError>,
    pub(super) check: fn(&ObjectSet, &mut Findings),
    pub(super) references: fn(&ObjectSet) -> Vec<Reference>,
    pub(crate) export: fn(&ObjectSet) -> ExportedObjects,
    pub(crate) import: fn(&mut ObjectSet, ExportedObjects) -> Result<(), ImportError>,
}

inventory::collect!(ObjectKind);

impl Plugin for ObjectKind {
    fn name(&self) -> &'static str {
        self.name
    }
}

/// Registers the kind whose objects are in the map `$map` of [`ObjectSet`].
macro_rules! register {
    ($name:ident, $map:ident, $check:path, $references:path) => {
        inventory::submit! {
            $crate::objects::kind::ObjectKind {
                name: $name,
                parse: |set, name, value| $crate::objects::kind::parse(&mut set.$map, name, value),
                check: $check,
                references: $references,
                export: |set| $crate::objects::kind::export(&set.$map),
                import: |set, objects| $crate::objects::kind::import(&mut set.$map, objects),
            }
        }
    };
}
pub(super) use register;

pub(super) fn parse<N, T>(
    map: &mut BTreeMap<N, T>,
    name: &str,
    value: Spanned<DeValue<'_>>,
) -> Result<(), ParseError>
where
    N: FromStr<Err: Display> + Ord,
    T: DeserializeOwned,
{
    let name: N = name
        .parse()
        .map_err(|error: N::Err| ParseError::Name(error.to_string()))?;
    let fields = toml::de::ValueDeserializer::from(value);
    let object = T::deserialize(fields).map_err(ParseError::Fields)?;
    map.insert(name, object);
    Ok(())
}

pub(super) fn export<N: AsRef<str>, T: Serialize>(map: &BTreeMap<N, T>) -> ExportedObjects {
    let value = |object: &T| {
        serde_json::to_value(object)
            .unwrap_or_else(|error| unreachable!("an object has only plain fields: {error}"))
    };
    map.iter()
        .map(|(name, object)| (name.as_ref().to_owned(), value(object)))
        .collect()
}

pub(super) fn import<N, T>(
    map: &mut BTreeMap<N, T>,
    objects: ExportedObjects,
) -> Result<(), ImportError>
where
    N: FromStr<Err: Display> + Ord,
    T: DeserializeOwned,
{
    for (name, value) in objects {
        let failed = |message: String| ImportError {
            name: name.clone(),
            message,
        };
        let key: N = name.parse().map_err(|e: N::Err| failed(e.to_string()))?;
        let object = serde_json::from_value(value).map_err(|e| failed(e.to_string()))?;
        map.insert(key, object);
    }
    Ok(())
}
