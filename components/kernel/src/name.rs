//! Names of objects, machines and requests.
//!
//! Names are shared immutable strings, checked once where they enter the
//! system, so that they can be used in keys, paths and log fields as they are.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The longest name accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Why a string can't be used as a name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The string is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The string is longer than [`MAX_NAME_BYTES`].
    #[error("the name {0:?} is longer than {MAX_NAME_BYTES} bytes")]
    TooLong(String),
    /// The string holds a character that is not allowed.
    #[error(
        "the name {0:?} may hold only a-z, 0-9, '-', '_' and '.', and must start with a letter or digit"
    )]
    BadCharacter(String),
}

fn check(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(name.to_owned()));
    }
    let allowed =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.');
    let starts_well = name.as_bytes()[0].is_ascii_alphanumeric();
    if !starts_well || !name.bytes().all(allowed) {
        return Err(NameError::BadCharacter(name.to_owned()));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks `name` and shares it.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] that says which rule the string breaks.
            pub fn new(name: impl AsRef<str>) -> Result<Self, NameError> {
                let name = name.as_ref();
                check(name)?;
                Ok(Self(Arc::from(name)))
            }

            /// The name as a plain string.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(name: &str) -> Result<Self, NameError> {
                Self::new(name)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(name: String) -> Result<Self, NameError> {
                Self::new(name)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    };
}

name_type! {
    /// The name of a VM that runs an agent.
    VmName
}
name_type! {
    /// The name of an entry VM's process.
    EntryName
}
name_type! {
    /// The name of an availability zone.
    AvailabilityZoneName
}
name_type! {
    /// The name of a rack; VMs of one rack may fail together.
    RackName
}
name_type! {
    /// The name of a cell, a set of workers with one owner.
    CellName
}
name_type! {
    /// The name of a team that owns jobs and services.
    TeamName
}
name_type! {
    /// The name of a service.
    ServiceName
}
name_type! {
    /// The name of a job; chosen by the submitter, so a repeated submit is recognised.
    JobName
}
name_type! {
    /// The name of a limit object.
    LimitName
}
name_type! {
    /// The name of a worker pool.
    PoolName
}
name_type! {
    /// The name of a caller, as the entry authenticated or derived it.
    CallerName
}
name_type! {
    /// The identity of one request of a caller, the key of at-most-once execution.
    RequestId
}
