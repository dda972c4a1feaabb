//! The record of a lease stream, as JSON.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Offset, RouterName};

/// A bid for a lease, its renewal, or its release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Router that appends the record.
    pub holder: RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// Tells apart the records of one life.
    pub nonce: u64,
    /// The only position at which the record counts.
    pub position: Offset,
    /// Fencing number of the tenure that a renewal extends; absent in a bid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<Offset>,
    /// Whether the record gives the lease up.
    #[serde(default)]
    pub released: bool,
}
