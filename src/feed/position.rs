//! Positions in the store, across its restorations from copies.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Offset;

/// Number of the store's current contents, which rises each time it comes back from a copy.
///
/// What was written after the copy was made is gone, and offsets are given out again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// An offset in the store and the era in which it counts.
///
/// A position of a later era is later, whatever its offset.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// Era of the store.
    pub era: StoreEra,
    /// Offset of the next record to read.
    pub offset: Offset,
}

impl Position {
    /// Creates the position at `offset` in `era`.
    pub fn new(era: StoreEra, offset: Offset) -> Self {
        Position { era, offset }
    }
}

/// Version of a list of servers; of two lists the one with the later version is newer.
///
/// Lists of routers differ at equal positions while a router still waits whether an entry of a store
/// that came back from a copy is renewed, or has known the store for too short a time to tell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListVersion {
    /// Position in the store before which all changes are included.
    pub position: Position,
    /// Whether the router waits for nothing of that kind.
    pub is_settled: bool,
}

impl From<Position> for ListVersion {
    /// Returns the version of a list that is not settled.
    fn from(position: Position) -> Self {
        ListVersion {
            position,
            is_settled: false,
        }
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
