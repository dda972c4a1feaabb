//! Records of the claims streams, as JSON.

use serde::{Deserialize, Serialize};

use super::Key;
use crate::{Incarnation, RouterName};

/// A record of a claims stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// A router asks to be the one that runs the call.
    Claim(ClaimRecord),
    /// What came of the call.
    Result(ResultRecord),
}

/// A claim of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Key that is claimed.
    pub key: Key,
    /// Router that claims.
    pub router: RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// Number that tells this claim from others of the same life.
    pub nonce: u64,
}

/// The result of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRecord {
    /// Claim under which the call ran.
    pub claim: ClaimRecord,
    /// Answer of the server.
    pub answer: Recorded,
}

/// A whole answer, as recorded and replayed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body as text; absent when it is too large or not text.
    pub body: Option<String>,
}
