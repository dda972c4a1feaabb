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
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
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

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
