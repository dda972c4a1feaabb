//! The digest: a datagram in which a router announces its own state to the other routers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    admission::{Crash, LimitReport, PartUpdates},
    catalog::ServerKey,
    placement::{PrefillUpdate, SessionPlacement},
    DomainName, Incarnation, RouterName,
};

/// Maximum size of a digest in bytes; it fits into one packet of common networks.
pub const MAX_DIGEST_BYTES: usize = 1_400;

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

/// State of a router, as sent in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Router that sent the digest.
    pub from: RouterName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number of the digest within the incarnation.
    pub sequence: u64,
    /// Address at which the sender accepts callers.
    pub address: SocketAddr,
    /// Address at which the sender accepts other routers.
    pub peer_address: SocketAddr,
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Phase of the sender.
    pub phase: RouterPhase,
    /// Whether the sender reaches and follows the store.
    pub store_status: StoreStatus,
    /// Whether the routes and servers of the sender are current, so that it can feed others.
    pub is_current: bool,
    /// Bandwidth of the sender's network link in Mbit/s.
    pub link_mbps: u32,
    /// Number of requests that the sender has in flight, by server.
    pub loads: Vec<(ServerKey, u32)>,
    /// Sessions that the sender recently placed, and the engines chosen for them.
    pub placements: Vec<SessionPlacement>,
    /// Starts and ends of prefills caused by requests of the sender.
    pub prefills: Vec<PrefillUpdate>,
    /// Requests whose servers closed the connection while running them.
    pub crashes: Vec<Crash>,
    /// Prompt parts that crash servers, and those that do not.
    pub part_updates: PartUpdates,
    /// Limits that servers have named, and how far the sender has used them.
    pub server_limits: Vec<LimitReport>,
    /// Servers that have stopped sending within a stream of the sender.
    pub stalled_servers: Vec<ServerKey>,
    /// Servers that announced to the sender that they leave, until the list of servers says so.
    pub leaving_servers: Vec<ServerKey>,
    /// Peer addresses of some other routers from which the sender receives digests.
    pub known_addresses: Vec<SocketAddr>,
    /// Version of the routes in force at the sender, or 0 when it knows none.
    pub routes_version: u64,
}
