//! Outcomes of applied records, and the history of decided changes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Offset, UnixMillis};

/// Outcome of applying one record to the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change, or the step report, is accepted and in force.
    Accepted,
    /// The change is rejected; it is not in force at any router.
    Rejected(Rejection),
    /// A change with this id was decided at this earlier offset; it is not applied again.
    Repeated(Offset),
    /// The step report is outdated, repeated or from an earlier lease holder; it has no effect.
    VoidStep,
    /// The checkpoint equals the state at its offset.
    Checkpointed,
    /// The checkpoint is of another offset or differs from the state; it has no effect.
    VoidCheckpoint,
    /// The record was applied before or cannot be decoded; the state is unchanged.
    Unchanged,
    /// Records before this one are missing; it is not applied.
    Gap,
}

/// Reason for which a change was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Rejection {
    /// A change at or after the base of this one modified the same object.
    Conflict {
        /// Key of the object that both changes modify.
        object: String,
        /// Offset of the conflicting change.
        offset: Offset,
    },
    /// The base is older than the decision window, so conflicts cannot be detected.
    Stale {
        /// Base offset of the change.
        base: Offset,
    },
    /// The base is greater than the offset of the change, where no record existed yet.
    BaseAhead {
        /// Base offset of the change.
        base: Offset,
    },
    /// The change would leave a reference to an object that does not exist.
    Missing {
        /// Key of the object that does not exist.
        object: String,
        /// Key of the object that refers to the missing one.
        needed_by: String,
    },
    /// A value of the change is malformed or out of range.
    Invalid {
        /// Key of the object with the invalid value.
        object: String,
        /// Description of the fault, with the allowed values.
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

/// Entry of the history: a decided change or an accepted step report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Offset of the record.
    pub offset: Offset,
    /// Id of the change, or an id made from the offset of the step report.
    pub id: String,
    /// Operator who confirmed the change, or router that reported the step.
    pub operator: String,
    /// Wall time of the confirmation or of the report.
    pub at: UnixMillis,
    /// Keys of the objects that the record concerns.
    pub objects: Vec<String>,
    /// Reason of a rejected change; absent when it was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejection: Option<Rejection>,
    /// Effect of a step report, as text for operators; absent for changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}
