//! What each kind of object registers.

use std::{collections::BTreeMap, fmt::Display, str::FromStr};

use kernel::{ObjectSet, plugin::Plugin};
use serde::{Serialize, de::DeserializeOwned};
use toml::{Spanned, de::DeValue};

use super::{Findings, Reference};

/// The objects of one kind by name, as they are published.
pub type ExportedObjects = BTreeMap<String, serde_json::Value>;

/// Why a published object can't be read.
#[derive(Debug, thiserror::Error)]
#[error("the published object {name} can't be read: {message}")]
pub struct ImportError {
    /// The object's name.
    pub name: String,
    /// What is wrong with it.
    pub message: String,
}

/// Why an object in a file can't be read.
#[derive(Debug)]
pub(super) enum ParseFailure {
    /// Its name breaks a rule.
    Name(String),
    /// Its fields do.
    Fields(toml::de::Error),
}

/// One kind of object: how it is read, checked and published.
///
/// A kind adds itself to the registry where it is written, so no list has to
/// be kept elsewhere.
pub struct ObjectKind {
    /// Its name, the first part of a table's header in the files.
    pub(super) name: &'static str,
    pub(super) parse:
        for<'i> fn(&mut ObjectSet, &str, Spanned<DeValue<'i>>) -> Result<(), ParseFailure>,
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

/// Registers the kind whose objects are in one map of [`ObjectSet`].
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
) -> Result<(), ParseFailure>
where
    N: FromStr<Err: Display> + Ord,
    T: DeserializeOwned,
{
    let name: N = name
        .parse()
        .map_err(|error: N::Err| ParseFailure::Name(error.to_string()))?;
    let fields = toml::de::ValueDeserializer::from(value);
    let object = T::deserialize(fields).map_err(ParseFailure::Fields)?;
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
