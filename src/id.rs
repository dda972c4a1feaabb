//! Names and numbers that identify objects across the fleet.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

use crate::{Category, Error, Result};

/// Longest accepted name, in bytes.
pub const MAX_NAME_LEN: usize = 128;

/// Checks that `name` is 1 to [`MAX_NAME_LEN`] bytes of `[A-Za-z0-9._:-]`.
///
/// # Errors
///
/// Returns [`Category::BadInput`] for any other name.
pub fn check_name(name: &str) -> Result<()> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._:-".contains(&b);
    if name.is_empty() || name.len() > MAX_NAME_LEN || !name.bytes().all(allowed) {
        let message = format!("a name is 1 to {MAX_NAME_LEN} bytes of [A-Za-z0-9._:-]");
        return Err(Error::not_run(Category::BadInput, message));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name after checking it.
            ///
            /// # Errors
            ///
            /// Returns [`Category::BadInput`] for a malformed name.
            pub fn new(name: &str) -> Result<Self> {
                check_name(name)?;
                Ok($name(name.into()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(name: &str) -> Result<Self> {
                $name::new(name)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, ser: S) -> std::result::Result<S::Ok, S::Error> {
                ser.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(de: D) -> std::result::Result<Self, D::Error> {
                struct Visitor;

                impl de::Visitor<'_> for Visitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str("a name")
                    }

                    fn visit_str<E: de::Error>(self, name: &str) -> std::result::Result<$name, E> {
                        $name::new(name).map_err(E::custom)
                    }
                }

                de.deserialize_str(Visitor)
            }
        }
    };
}

name! {
    /// Name of a team: a group of callers that shares limits.
    TeamName
}
name! {
    /// Name of a service that callers address.
    ServiceName
}
name! {
    /// Name of a pool: the engines or servers that serve a service.
    PoolName
}
name! {
    /// Id of a chat, shared by all of its requests.
    ChatId
}
name! {
    /// Name of an engine or a plain backend server.
    EngineName
}
name! {
    /// Name of a router.
    RouterName
}
name! {
    /// Name of a failure domain: a group of instances that tend to fail together.
    DomainName
}
name! {
    /// Name of a version of a model or adapter.
    VersionName
}
name! {
    /// Id of a request, shared by all of its attempts.
    RequestId
}
name! {
    /// Key of a call that runs at most once.
    CallKey
}

/// Distinguishes the runs of a process that keeps its name across restarts.
///
/// The value is the wall time of the start in milliseconds; a larger one is later.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Position of a record in a stream of the log service, counted from 0.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the position after this one.
    #[must_use]
    pub fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
