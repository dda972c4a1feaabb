//! Positions in the store, across its restorations from copies.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of the store's current contents, which rises each time it comes back from a copy.
///
/// What was written after the copy was made is gone, and offsets are given out again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
