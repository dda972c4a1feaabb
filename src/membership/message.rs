//! Datagrams between routers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{EngineName, Incarnation, Offset, PoolName, RouterName};

/// Largest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1_200;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Router that sent it.
    pub from: RouterName,
    /// Life of the router that sent it.
    pub incarnation: Incarnation,
    /// Number of the datagram within that life.
    pub sequence: u64,
    /// What the sender passes on.
    pub rumours: Vec<Rumour>,
}

/// One piece of news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Rumour {
    /// Load that a router counts on its engines.
    Load(LoadSum),
    /// An engine takes no new work.
    EngineLeaving {
        /// Name of the engine.
        name: EngineName,
        /// Life of the engine that leaves.
        incarnation: Incarnation,
    },
    /// A router takes no new work.
    RouterLeaving {
        /// Name of the router.
        name: RouterName,
        /// Life of the router that leaves.
        incarnation: Incarnation,
    },
    /// The configuration stream is known up to this offset.
    ConfigHead(Offset),
}

/// The load of the engines that one router counts, by pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Router that counts.
    pub router: RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// Number of the count; a later one replaces an earlier one.
    pub sequence: u64,
    /// Count for each pool.
    pub pools: BTreeMap<PoolName, PoolLoad>,
}

/// Load of some engines of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Requests in flight on them.
    pub in_flight: u32,
    /// Number of the engines.
    pub engines: u32,
}
