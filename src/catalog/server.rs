//! One backend server.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{DomainName, EngineName, Incarnation, PoolName};

/// Short name of one life of a server, by which routers tell each other its load.
///
/// Two servers of a fleet of 600 share a key with a probability of 1 in 20,000; their
/// loads are then added up, which only makes both look busier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerKey(pub u32);

/// An engine or a plain backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its name.
    pub name: EngineName,
    /// Its pool.
    pub pool: PoolName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Which life of it this is.
    pub incarnation: Incarnation,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

impl Server {
    /// Returns the short name of this life of the server.
    pub fn key(&self) -> ServerKey {
        // The hash of a short name changes with its seed in few ways, so that another name
        // with another seed may have the same one: the seed goes in as text.
        let mut hash = Xxh3Default::new();
        hash.update(&self.incarnation.0.to_le_bytes());
        hash.update(self.name.as_str().as_bytes());
        ServerKey(hash.digest() as u32)
    }
}
