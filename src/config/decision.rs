//! What the fold decides about a record, and the account of who changed what, when.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Offset, UnixMillis};

/// What the fold made of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in force.
    Accepted,
    /// The change is not in force, at any router.
    Rejected(Rejection),
    /// The change was decided before, at this offset; it is not applied again.
    Repeated(Offset),
    /// The step of a move is late, repeated or of an earlier driver; it changes nothing.
    VoidStep,
    /// The checkpoint agrees with the fold.
    Checkpointed,
    /// The checkpoint landed late or differs from the fold; it changes nothing.
    VoidCheckpoint,
    /// The record was applied before, or cannot be read.
    Unchanged,
    /// Records are missing before this one; it is not applied.
    Gap,
}

/// Why a change was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Rejection {
    /// An accepted change touched the object since the operator saw it.
    Conflict {
        /// Key of the object.
        object: String,
        /// Offset of the change that won.
        offset: Offset,
    },
    /// The change rests on a configuration that is too old to compare with.
    Stale {
        /// Offset that the change rests on.
        base: Offset,
    },
    /// The change claims to rest on records that did not exist.
    BaseAhead {
        /// Offset that the change rests on.
        base: Offset,
    },
    /// An object would lack another one that it needs.
    Missing {
        /// Key of the object that does not exist.
        object: String,
        /// Key of the object that needs it.
        needed_by: String,
    },
    /// A value is out of range.
    Invalid {
        /// Key of the object.
        object: String,
        /// What is wrong with it.
        fault: String,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Conflict { object, offset } => {
                write!(f, "{object} was changed since, at offset {offset}")
            }
            Rejection::Stale { base } => write!(f, "offset {base} is too old; plan again"),
            Rejection::BaseAhead { base } => write!(f, "offset {base} does not exist yet"),
            Rejection::Missing { object, needed_by } => {
                write!(f, "{needed_by} needs {object}, which does not exist")
            }
            Rejection::Invalid { object, fault } => write!(f, "{object}: {fault}"),
        }
    }
}

/// The account of one decided change, or of one step of a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Offset of the change.
    pub offset: Offset,
    /// Identity of the change.
    pub id: String,
    /// Operator who confirmed it, or router that drove the step.
    pub operator: String,
    /// Wall time of the confirmation.
    pub at: UnixMillis,
    /// Keys of the objects that it names.
    pub objects: Vec<String>,
    /// Why it is not in force; absent when it was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejection: Option<Rejection>,
    /// What a step of a move came to; absent for changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}
