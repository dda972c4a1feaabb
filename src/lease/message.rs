//! Records of a lease stream, stored as JSON.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Offset, RouterName};

/// A bid for a lease, a renewal of a lease term, or its release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Router that appends the record.
    pub holder: RouterName,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Number that distinguishes the records of one incarnation.
    pub nonce: u64,
    /// Offset in the stream at which the record is valid; it is void at any other one.
    pub position: Offset,
    /// Fencing number of the lease term that a renewal extends or a release ends; absent in a bid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<Offset>,
    /// Whether the record releases the lease.
    #[serde(default)]
    pub released: bool,
}
