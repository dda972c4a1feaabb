//! The digest: a datagram in which a router announces its own state to other routers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{RouterState, Updates};
use crate::{admission::LimitReport, catalog::ServerKey};

/// State of a router, as sent in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// State of the sender.
    pub router: RouterState,
    /// Sequence number of the digest within the sender's incarnation.
    pub sequence: u64,
    /// Whether the sender asks the receiver to be its relay.
    pub is_for_relay: bool,
    /// Number of requests that the sender has in flight, by server.
    pub loads: Vec<(ServerKey, u32)>,
    /// Limits that servers have named, and how far the sender has used them.
    pub server_limits: Vec<LimitReport>,
    /// Updates that concern all routers.
    pub updates: Updates,
    /// Peer addresses of some other routers that the sender knows.
    pub known_addresses: Vec<SocketAddr>,
}

impl Digest {
    /// Creates a digest that announces only the state of `router`.
    pub fn new(router: RouterState) -> Self {
        Digest {
            router,
            sequence: 0,
            is_for_relay: false,
            loads: Vec::new(),
            server_limits: Vec::new(),
            updates: Updates::default(),
            known_addresses: Vec::new(),
        }
    }
}
