//! Records of the claims streams, as JSON.

use serde::{Deserialize, Serialize};

use super::IdempotencyKey;
use crate::{Incarnation, Offset, RouterName, UnixMillis};

/// A record of a claims stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum StreamRecord {
    /// A router claims a key in order to run the call.
    Claim(ClaimRecord),
    /// Outcome of a claim.
    Result(ResultRecord),
}

/// Identity of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimId {
    /// Key that is claimed.
    pub key: IdempotencyKey,
    /// Time at which the key was issued.
    pub issued: UnixMillis,
    /// Router that made the claim and may dispatch the call.
    pub router: RouterName,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Random number that distinguishes this claim from all others.
    pub nonce: u64,
}

/// A claim as stored in the log; several records with the same identity are one claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Identity of the claim.
    #[serde(flatten)]
    pub id: ClaimId,
    /// Time at which the record was made, by the clock of the router that appends it.
    pub made: UnixMillis,
    /// Offset up to which the appending router had read the stream when it made the record.
    pub read: Offset,
}

/// The outcome of a claim as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRecord {
    /// Claim under which the call ran.
    pub claim: ClaimId,
    /// How the claim ended.
    pub outcome: Outcome,
}

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The server answered with this response.
    Answered(RecordedResponse),
    /// The router that made the claim has not dispatched the call and never will.
    NotRun,
}

/// A complete response of a server, recorded to be replayed to later attempts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body as text; `None` when it is too large or not text.
    pub body: Option<String>,
}
