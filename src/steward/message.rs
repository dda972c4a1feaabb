//! Peer calls to the steward of an engine.

use serde::{Deserialize, Serialize};

use super::{GrantHolder, GrantId};
use crate::{
    admission::CrashRisk,
    peer::{Call, Reply, Request},
    EngineName, Incarnation,
};

/// Load of an engine up to which a slot on it is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadLimit {
    /// The mean load, for a chat that the engine does not cache and other engines may serve.
    Mean,
    /// The load bound.
    Bound,
}

/// Asks the steward of an engine for a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Engine on which the slot is wanted.
    pub engine: EngineName,
    /// Incarnation of the engine that is known to the calling router.
    pub incarnation: Incarnation,
    /// Number of the grant, chosen by the calling router.
    pub grant: GrantId,
    /// Number of other requests at the calling router that need a slot in the pool.
    pub waiting: u32,
    /// Load of the engine up to which the slot is wanted.
    pub limit: LoadLimit,
    /// Crash risk of the request that will use the slot.
    pub crash_risk: CrashRisk,
}

/// Answer to a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantReply {
    /// The slot is granted.
    Granted,
    /// The engine is at its load bound.
    Full,
    /// The request is high risk, and another high-risk request is on the engine.
    HighRiskInFlight,
    /// The request is not known good, and a duplicate of it is on the engine.
    DuplicateInFlight,
    /// The engine is leaving or drained.
    Leaving,
    /// The called router is not the steward, or knows another incarnation of the engine.
    NotSteward,
}

/// Gives a slot back to the steward; a repeated call has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Engine the slot is on.
    pub engine: EngineName,
    /// Number of the grant.
    pub grant: GrantId,
}

/// The grants on one engine that the calling router holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Engine the grants are on.
    pub engine: EngineName,
    /// Numbers of the grants.
    pub grants: Vec<GrantId>,
}

/// Lists all grants that the calling router holds on the engines of one steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Grants with this or a higher number are not covered.
    pub before: GrantId,
    /// The grants, by engine.
    pub renewals: Vec<Renewal>,
}

/// Answer to a [`RenewRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewReply {
    /// Engines counted by the called router, whose grants are now in its ledgers.
    pub renewed: Vec<EngineName>,
}

/// Asks the previous steward of an engine to hand over its grant ledger and to stop granting
/// slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverRequest {
    /// Engine that the calling router takes over.
    pub engine: EngineName,
}

/// Contents of the grant ledger of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Holders of all grants, and the crash risk of their requests.
    pub holders: Vec<(GrantHolder, CrashRisk)>,
    /// Number of requests on the engine without a known holder.
    pub unattributed: u32,
    /// Whether the ledger covers all work on the engine.
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
