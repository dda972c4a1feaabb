//! Records of the claims streams, as JSON.

use serde::{Deserialize, Serialize};

use super::IdempotencyKey;
use crate::{Incarnation, Offset, RouterName, UnixMillis};

/// A record of a claims stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum StreamRecord {
    /// A router asks to be the one that runs the call.
    Claim(ClaimRecord),
    /// What came of the call.
    Result(ResultRecord),
}

/// Who claims which key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimId {
    /// Key that is claimed.
    pub key: IdempotencyKey,
    /// When the key was issued.
    pub issued: UnixMillis,
    /// Router that claims and may dispatch the call.
    pub router: RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// Random number that tells this claim from all others.
    pub nonce: u64,
}

/// A claim as a router appends it; several records of one claim count as one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claim.
    #[serde(flatten)]
    pub id: ClaimId,
    /// When the record was made, by the clock of the router that appends it.
    pub made: UnixMillis,
    /// Offset up to which that router had read the stream at that time.
    pub read: Offset,
}

/// The result of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRecord {
    /// Claim under which the call ran.
    pub claim: ClaimId,
    /// What came of it.
    pub outcome: Outcome,
}

/// What came of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The server answered.
    Answered(RecordedResponse),
    /// The owner of the claim has not dispatched the call and never will.
    NotRun,
}

/// A whole answer, as recorded and replayed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body as text; absent when it is too large or not text.
    pub body: Option<String>,
}
