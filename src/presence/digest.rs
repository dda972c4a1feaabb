//! What a router says of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    admission::Crash,
    catalog::ServerKey,
    placement::{Placed, ReadNews},
    DomainName, Incarnation, RouterName,
};

/// Largest datagram, in bytes; it fits into one packet of the usual networks.
pub const MAX_DIGEST: usize = 1_400;

/// Whether a router takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It does not know the routes and servers yet.
    Starting,
    /// It takes callers.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// How a router stands to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reading {
    /// It has no reason to think that the store would not answer it.
    Able,
    /// It follows the store and feeds others.
    Following,
    /// The store does not answer it.
    Unable,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Router that sent it.
    pub from: RouterName,
    /// Life of that router.
    pub life: Incarnation,
    /// Number of the datagram within that life.
    pub number: u64,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for routers.
    pub peer_address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether it takes callers.
    pub phase: Phase,
    /// How it stands to the store.
    pub reading: Reading,
    /// Requests that it has in flight, by server.
    pub loads: Vec<(ServerKey, u32)>,
    /// Sessions that it placed lately, and the engines they went to.
    pub placed: Vec<Placed>,
    /// Prompts that it has had engines begin to read, or that they have read.
    pub reads: Vec<ReadNews>,
    /// Requests whose servers broke off while they ran them.
    pub crashes: Vec<Crash>,
    /// Servers that are silent in the middle of its streams.
    pub stalled: Vec<ServerKey>,
    /// Addresses of some other routers that it hears.
    pub known: Vec<SocketAddr>,
}
