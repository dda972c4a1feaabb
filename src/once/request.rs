//! Calls to the router that follows a partition.

use serde::{Deserialize, Serialize};

use super::{IdempotencyKey, Outcome, ResultRecord};
use crate::{
    peer::{Call, Reply, Request},
    Category, UnixMillis,
};

/// A call about a key, as carried on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyRequest {
    /// Asks for a claim.
    Claim(ClaimRequest),
    /// Asks what came of a key.
    Outcome(OutcomeRequest),
    /// Asks to append a result.
    Record(ResultRecord),
}

/// The answer to a [`KeyRequest`] as carried on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyReply {
    /// Answer to [`KeyRequest::Claim`].
    Claim(ClaimReply),
    /// Answer to [`KeyRequest::Outcome`].
    Outcome(Option<Outcome>),
    /// Answer to [`KeyRequest::Record`]: whether the result is in the log.
    Recorded(bool),
}

/// Asks to claim a key for the router that asks; repeating it changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key to claim.
    pub key: IdempotencyKey,
    /// When the key was issued.
    pub issued: UnixMillis,
    /// Random number that tells this claim from all others.
    pub nonce: u64,
    /// Whether to append the claim, or only to look for it.
    pub append: bool,
}

/// Answer to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The log shows the first claim of the key.
    Logged(ClaimPosition),
    /// The claim may be in the log, which has not been read that far.
    Pending,
    /// The partition is not read yet; nothing was appended.
    NotCaughtUp,
    /// An earlier claim may have been missed or forgotten; nothing was appended.
    Forgotten,
    /// The log refused the claim; nothing was appended.
    Refused(Category, String),
}

/// What the log shows of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimPosition {
    /// It is the first one of its key.
    First,
    /// Another one is the first, with what came of it if that is recorded.
    Duplicate(Option<Outcome>),
}

/// Asks what came of a key, for up to the time that the asked router holds calls back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRequest {
    /// The key.
    pub key: IdempotencyKey,
    /// When the key was issued.
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
