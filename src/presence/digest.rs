//! What a router says of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    admission::Crash,
    catalog::ServerKey,
    placement::{PrefillUpdate, SessionPlacement},
    DomainName, Incarnation, RouterName,
};

/// Largest datagram, in bytes; it fits into one packet of the usual networks.
pub const MAX_DIGEST_BYTES: usize = 1_400;

/// Whether a router takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouterPhase {
    /// It does not know the routes and servers yet.
    Starting,
    /// It takes callers.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// How a router stands to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreStatus {
    /// It has no reason to think that the store would not answer it.
    Reachable,
    /// It follows the store and feeds others.
    Following,
    /// The store does not answer it.
    Unreachable,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Router that sent it.
    pub from: RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// Number of the datagram within that life.
    pub sequence: u64,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for routers.
    pub peer_address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether it takes callers.
    pub phase: RouterPhase,
    /// How it stands to the store.
    pub store_status: StoreStatus,
    /// Requests that it has in flight, by server.
    pub loads: Vec<(ServerKey, u32)>,
    /// Sessions that it placed lately, and the engines they went to.
    pub placements: Vec<SessionPlacement>,
    /// Prompts that it has had engines begin to read, or that they have read.
    pub prefills: Vec<PrefillUpdate>,
    /// Requests whose servers broke off while they ran them.
    pub crashes: Vec<Crash>,
    /// Servers that are silent in the middle of its streams.
    pub stalled_servers: Vec<ServerKey>,
    /// Addresses of some other routers that it hears.
    pub known_addresses: Vec<SocketAddr>,
}
