//! Names of objects, machines and requests.
//!
//! Names are shared immutable strings. They are validated once, where they
//! enter the system, so keys, paths and log fields can use them without
//! escaping.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The longest name accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// The reason why a string is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The string is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The string is longer than [`MAX_NAME_BYTES`].
    #[error("the name {0:?} is longer than {MAX_NAME_BYTES} bytes")]
    TooLong(String),
    /// The string contains a character that is not allowed.
    #[error(
        "the name {0:?} may hold only a-z, 0-9, '-', '_' and '.', and must start with a letter or digit"
    )]
    BadCharacter(String),
}

fn validate(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(name.to_owned()));
    }
    let is_allowed =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.');
    let has_valid_start = name.as_bytes()[0].is_ascii_alphanumeric();
    if !has_valid_start || !name.bytes().all(is_allowed) {
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
            /// Validates `name` and stores it in a shared string.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] that names the broken rule.
            pub fn new(name: impl AsRef<str>) -> Result<Self, NameError> {
                let name = name.as_ref();
                validate(name)?;
                Ok(Self(Arc::from(name)))
            }

            /// Returns the name as a string slice.
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
    /// The name of an entry process.
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
    /// The name of a job. The submitter chooses it, so a repeated submission is
    /// recognised.
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
    /// The name of a caller, authenticated or derived by the entry.
    CallerName
}
name_type! {
    /// The id of one request of a caller, the key for at-most-once execution.
    RequestId
}
