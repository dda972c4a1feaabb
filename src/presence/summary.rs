//! The summary: a datagram in which a relay passes on what other routers announced.

use serde::{Deserialize, Serialize};

use super::{RouterKey, RouterState, Updates};
use crate::{admission::LimitReport, catalog::ServerKey};

/// A router as another one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRouter {
    /// Latest state of the router.
    pub state: RouterState,
    /// Sequence number of its latest digest.
    pub sequence: u64,
    /// Time since that digest was received, in milliseconds.
    pub age_ms: u32,
    /// Whether no digest has followed that one for too long.
    pub is_silent: bool,
}

impl KnownRouter {
    /// Creates the entry of a router whose digest or summary has just been received.
    pub fn new(state: RouterState, sequence: u64) -> Self {
        KnownRouter {
            state,
            sequence,
            age_ms: 0,
            is_silent: false,
        }
    }
}

/// The loads of all servers whose keys are in a range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRange {
    /// Lowest key of the range.
    pub first: ServerKey,
    /// Highest key of the range.
    pub last: ServerKey,
    /// Number of requests in flight by server, in order of the keys; servers without any are left
    /// out.
    pub loads: Vec<(ServerKey, u32)>,
}

/// What a relay passes on in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The relay.
    pub sender: RouterState,
    /// Sequence number of the summary within the relay's incarnation; those of one round share it.
    pub sequence: u64,
    /// Whether the summary covers the whole fleet except its receiver, and not just the relay and
    /// its clients.
    pub is_for_client: bool,
    /// Clients of the relay and the sequence numbers of their latest digests.
    pub clients: Vec<(RouterKey, u64)>,
    /// States of some routers: those that changed, and some others in turn.
    pub routers: Vec<KnownRouter>,
    /// Sum of the loads of the routers covered, for some servers.
    pub loads: Option<LoadRange>,
    /// Limits that servers have named, and how far the routers covered have used them.
    pub server_limits: Vec<LimitReport>,
    /// Time since a router covered was known to have current routes and servers, in milliseconds.
    pub current_age_ms: Option<u32>,
    /// Updates that concern all routers.
    pub updates: Updates,
}
