//! Backend servers and their short keys.

use std::{collections::BTreeSet, net::SocketAddr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{DomainName, EngineName, Incarnation, PoolName};

/// Hash of the name and incarnation of a server, which identifies it in messages between
/// routers.
///
/// In a fleet of 600, some two servers share a key with a probability of 1 in 20,000; their
/// loads are then added up, which only makes both look busier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerKey(pub u32);

/// An engine or a plain backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name of the server.
    pub name: EngineName,
    /// Pool that the server belongs to.
    pub pool: PoolName,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Failure domain that the server runs in.
    pub domain: DomainName,
    /// Incarnation of the server, which changes with each start of its process.
    pub incarnation: Incarnation,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// Whether the server is shutting down and takes no new requests.
    pub leaving: bool,
}

impl Server {
    /// Returns whether the server takes new requests: it neither leaves nor is in one of the
    /// `evacuated` failure domains.
    pub fn is_open(&self, evacuated: &BTreeSet<DomainName>) -> bool {
        !self.leaving && !evacuated.contains(&self.domain)
    }

    /// Returns the key of this incarnation of the server.
    pub fn key(&self) -> ServerKey {
        // The incarnation is hashed as input and not as the seed: for short names the seed has
        // little effect on the hash, so another name with another seed may get the same one.
        let mut hash = Xxh3Default::new();
        hash.update(&self.incarnation.0.to_le_bytes());
        hash.update(self.name.as_str().as_bytes());
        ServerKey(hash.digest() as u32)
    }
}
