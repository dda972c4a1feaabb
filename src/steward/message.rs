//! Calls to the steward of an engine.

use serde::{Deserialize, Serialize};

use super::{GrantHolder, GrantId};
use crate::{
    admission::CrashRisk,
    peer::{Call, Reply, Request},
    EngineName, Incarnation,
};

/// Load up to which a slot is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadLimit {
    /// The mean, for a chat that the engine does not cache and others may serve as well.
    Mean,
    /// The bound.
    Bound,
}

/// Asks for a slot on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Engine to use.
    pub engine: EngineName,
    /// Life of the engine that the asking router knows.
    pub incarnation: Incarnation,
    /// Number of the grant, chosen by the asking router.
    pub grant: GrantId,
    /// Other requests that look for a slot of the pool at the asking router.
    pub waiting: u32,
    /// Load up to which the slot is wanted.
    pub limit: LoadLimit,
    /// How far the request is trusted that will use the slot.
    pub crash_risk: CrashRisk,
}

/// Answer to a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantReply {
    /// The slot is granted.
    Granted,
    /// The engine is at its bound.
    Full,
    /// The request is a suspect, and another one is on the engine.
    HighRiskInFlight,
    /// A copy of the request is on the engine, and it was not answered whole lately.
    DuplicateInFlight,
    /// The engine leaves or is drained.
    Leaving,
    /// The asked router is not the steward, or knows another life of the engine.
    NotSteward,
}

/// Gives a slot back; doing so twice changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Engine that was used.
    pub engine: EngineName,
    /// Number of the grant.
    pub grant: GrantId,
}

/// Grants on one engine that the sender holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Engine they are on.
    pub engine: EngineName,
    /// The grants.
    pub grants: Vec<GrantId>,
}

/// Lists all grants that the sender holds on engines of one steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Grants from this number on are not covered.
    pub before: GrantId,
    /// The grants by engine.
    pub renewals: Vec<Renewal>,
}

/// Answer to a [`RenewRequest`]: the engines that the asked router counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewReply {
    /// Engines whose grants are now on the book.
    pub renewed: Vec<EngineName>,
}

/// Asks the last steward of an engine for its book; it grants no more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverRequest {
    /// Engine that the asking router takes over.
    pub engine: EngineName,
}

/// The book of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// Life of the engine.
    pub incarnation: Incarnation,
    /// Holders of all grants, and how far their requests are trusted.
    pub holders: Vec<(GrantHolder, CrashRisk)>,
    /// Work without a holder.
    pub unattributed: u32,
    /// Whether all work on the engine is on the book.
    pub complete: bool,
}

impl Call for RenewRequest {
    type Answer = RenewReply;

    fn into_request(self) -> Request {
        Request::Renew(self)
    }

    fn from_reply(reply: Reply) -> Option<RenewReply> {
        match reply {
            Reply::Renew(reply) => Some(reply),
            _ => None,
        }
    }
}

impl Call for HandOverRequest {
    type Answer = Option<HandOver>;

    fn into_request(self) -> Request {
        Request::HandOver(self)
    }

    fn from_reply(reply: Reply) -> Option<Option<HandOver>> {
        match reply {
            Reply::HandOver(reply) => Some(reply),
            _ => None,
        }
    }
}

impl Call for GrantRequest {
    type Answer = GrantReply;

    fn into_request(self) -> Request {
        Request::Grant(self)
    }

    fn from_reply(reply: Reply) -> Option<GrantReply> {
        match reply {
            Reply::Grant(reply) => Some(reply),
            _ => None,
        }
    }
}

impl Call for ReleaseRequest {
    type Answer = ();

    fn into_request(self) -> Request {
        Request::Release(self)
    }

    fn from_reply(reply: Reply) -> Option<()> {
        matches!(reply, Reply::Released).then_some(())
    }
}
