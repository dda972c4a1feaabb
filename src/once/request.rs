//! Requests to the owner of a partition about its keys.

use serde::{Deserialize, Serialize};

use super::{IdempotencyKey, Outcome, ResultRecord};
use crate::{
    peer::{Call, Reply, Request},
    Category, UnixMillis,
};

/// A request about a key, as encoded on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyRequest {
    /// Claims a key for the router that sends the request.
    Claim(ClaimRequest),
    /// Asks for the outcome of a key.
    Outcome(OutcomeRequest),
    /// Appends a result to the log.
    Record(ResultRecord),
}

/// Answer to a [`KeyRequest`], as encoded on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyReply {
    /// Answer to [`KeyRequest::Claim`].
    Claim(ClaimReply),
    /// Answer to [`KeyRequest::Outcome`].
    Outcome(Option<Outcome>),
    /// Answer to [`KeyRequest::Record`]: whether the result is known to be in the log.
    Recorded(bool),
}

/// Claims a key for the router that sends the request; a repeated request has no further effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key to claim.
    pub key: IdempotencyKey,
    /// Time at which the key was issued.
    pub issued: UnixMillis,
    /// Random number that distinguishes this claim from all others.
    pub nonce: u64,
    /// Whether to append the claim; if not set, the log is only searched for it.
    pub append: bool,
}

/// Answer to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The first claim of the key is in the log; the claim has this position.
    Logged(ClaimPosition),
    /// The claim may be in the log, which has not been read that far.
    Pending,
    /// The partition has not been read to the end of its stream; nothing was appended.
    NotCaughtUp,
    /// An earlier claim of the key may have been missed or forgotten; nothing was appended.
    Forgotten,
    /// The append failed with this category and message; nothing was appended.
    Refused(Category, String),
}

/// Position of a claim among the claims of its key in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimPosition {
    /// The claim is the first of its key.
    First,
    /// Another claim is the first; its outcome is included if it is recorded.
    Duplicate(Option<Outcome>),
}

/// Asks for the outcome of a key.
///
/// The answer is held back for a limited time while the outcome is not recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRequest {
    /// Key of the call.
    pub key: IdempotencyKey,
    /// Time at which the key was issued.
    pub issued: UnixMillis,
}

impl Call for ClaimRequest {
    type Answer = ClaimReply;

    fn into_request(self) -> Request {
        Request::Key(KeyRequest::Claim(self))
    }

    fn from_reply(reply: Reply) -> Option<ClaimReply> {
        match reply {
            Reply::Key(KeyReply::Claim(reply)) => Some(reply),
            _ => None,
        }
    }
}

impl Call for OutcomeRequest {
    type Answer = Option<Outcome>;

    fn into_request(self) -> Request {
        Request::Key(KeyRequest::Outcome(self))
    }

    fn from_reply(reply: Reply) -> Option<Option<Outcome>> {
        match reply {
            Reply::Key(KeyReply::Outcome(outcome)) => Some(outcome),
            _ => None,
        }
    }
}

impl Call for ResultRecord {
    type Answer = bool;

    fn into_request(self) -> Request {
        Request::Key(KeyRequest::Record(self))
    }

    fn from_reply(reply: Reply) -> Option<bool> {
        match reply {
            Reply::Key(KeyReply::Recorded(recorded)) => Some(recorded),
            _ => None,
        }
    }
}
