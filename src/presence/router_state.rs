//! What a router announces about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{evacuation::EvacuationsVersion, DomainName, Incarnation, RouterName};

/// Phase of a router, which decides whether it accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouterPhase {
    /// The router does not know the routes and servers yet.
    Starting,
    /// The router accepts callers.
    Serving,
    /// The router is shutting down and finishes the requests it has.
    Leaving,
}

/// Whether a router reaches and follows the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreStatus {
    /// The router has seen no lasting failure of the store.
    Reachable,
    /// The router follows the store and feeds other routers.
    Following,
    /// The store does not answer the router.
    Unreachable,
}

/// How a router exchanges digests with the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayRole {
    /// The router knows a small fleet and sends its digests to all others.
    #[default]
    Direct,
    /// The router sends its digests to one relay, which sends it summaries.
    Client,
    /// The router sums the digests of its clients and exchanges the sums with the other relays.
    Relay,
}

/// Hash of the name and incarnation of a router, which identifies it in summaries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouterKey(u32);

/// State of a router that changes rarely.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterState {
    /// Name of the router.
    pub name: RouterName,
    /// Incarnation of the router.
    pub incarnation: Incarnation,
    /// Number of this state within the incarnation; a higher one is later.
    pub version: u64,
    /// Address at which the router accepts callers.
    pub address: SocketAddr,
    /// Address at which the router accepts other routers.
    pub peer_address: SocketAddr,
    /// Failure domain of the router.
    pub domain: DomainName,
    /// Phase of the router.
    pub phase: RouterPhase,
    /// Whether the router reaches and follows the store.
    pub store_status: StoreStatus,
    /// Whether the routes and servers of the router are current, so that it can feed others.
    pub is_current: bool,
    /// Bandwidth of the router's network link in Mbit/s.
    pub link_mbps: u32,
    /// How the router exchanges digests with the others.
    pub relay_role: RelayRole,
    /// Version of the routes in force at the router, or 0 when it knows none.
    pub routes_version: u64,
    /// Version of the evacuations that the router knows, while it knows any or their ends.
    pub evacuations_version: Option<EvacuationsVersion>,
}

impl RouterState {
    /// Creates the state of a router that has just started, whose link is unknown.
    pub fn new(
        name: RouterName,
        incarnation: Incarnation,
        domain: DomainName,
        address: SocketAddr,
        peer_address: SocketAddr,
    ) -> Self {
        RouterState {
            name,
            incarnation,
            version: 0,
            address,
            peer_address,
            domain,
            phase: RouterPhase::Starting,
            store_status: StoreStatus::Reachable,
            is_current: false,
            link_mbps: 0,
            relay_role: RelayRole::Direct,
            routes_version: 0,
            evacuations_version: None,
        }
    }

    /// Returns the key of this incarnation of the router.
    pub fn key(&self) -> RouterKey {
        let mut hash = Xxh3Default::new();
        hash.update(&self.incarnation.0.to_le_bytes());
        hash.update(self.name.as_str().as_bytes());
        RouterKey(hash.digest() as u32)
    }

    /// Returns whether `other` differs in what other routers have to learn without delay.
    pub(super) fn differs_urgently(&self, other: &RouterState) -> bool {
        let urgent = |state: &RouterState| {
            (
                state.incarnation,
                state.phase,
                state.store_status,
                state.relay_role,
                state.address,
                state.peer_address,
            )
        };
        urgent(self) != urgent(other)
    }
}
