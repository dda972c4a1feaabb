//! Calls to the steward of an engine.

use serde::{Deserialize, Serialize};

use super::GrantId;
use crate::{
    peer::{Call, Reply, Request},
    EngineName, Incarnation,
};

/// Asks for a slot on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Engine to use.
    pub engine: EngineName,
    /// Life of the engine that the asking router knows.
    pub incarnation: Incarnation,
    /// Number of the grant, chosen by the asking router.
    pub grant: GrantId,
}

/// Answer to a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantReply {
    /// The slot is granted.
    Granted,
    /// The engine is at its bound.
    Full,
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

impl Call for GrantRequest {
    type Answer = GrantReply;

    fn into_request(self) -> Request {
        Request::Grant(self)
    }

    fn answer(reply: Reply) -> Option<GrantReply> {
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

    fn answer(reply: Reply) -> Option<()> {
        matches!(reply, Reply::Released).then_some(())
    }
}
