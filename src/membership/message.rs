//! Datagrams of the membership protocol between routers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{admission::Crash, EngineName, Incarnation, Offset, PoolName, RouterName, UnixMillis};

/// Size of the largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Upper bound on the encoded bytes of a name and its sibling fields, without the name itself.
const MAX_FIELDS_BYTES: usize = 24;

/// Upper bound on the encoded bytes of one pool's load, without the pool's name.
const MAX_POOL_LOAD_BYTES: usize = 17;

/// Orders the reports about the health of a router; the later epoch counts.
///
/// A router raises `refutation` to refute that it has failed, and has a new `incarnation` after a
/// restart.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Incarnation of the router's process.
    pub incarnation: Incarnation,
    /// Number of refutations within that incarnation.
    pub refutation: u32,
}

/// A datagram of the membership protocol.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Router that sends the datagram.
    pub from: RouterName,
    /// Router that the datagram is for; others drop it.
    pub to: RouterName,
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Number of the datagram within the sender's incarnation.
    pub sequence: u64,
    /// Wall-clock time of the sender.
    pub sent_at: UnixMillis,
    /// Purpose of the datagram.
    pub kind: DatagramKind,
    /// Updates that the sender passes on.
    pub updates: Vec<Update>,
}

/// Purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DatagramKind {
    /// Carries only updates.
    Gossip,
    /// Asks for an [`DatagramKind::Ack`] with the same number.
    Probe(u32),
    /// Asks the receiver to probe `target` and to relay its ack under `number`.
    IndirectProbe {
        /// Number of the relayed ack.
        number: u32,
        /// Router to probe.
        target: RouterName,
    },
    /// Answers a probe.
    Ack(u32),
    /// Reports the sender's own load to the aggregator of its failure domain.
    LoadReport(LoadSum),
}

/// A gossip update, which routers pass on to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Load of a failure domain, as summed up by the domain's aggregator.
    Load(LoadSum),
    /// An engine takes no new work.
    EngineLeaving {
        /// Name of the engine.
        name: EngineName,
        /// Incarnation of the engine that leaves.
        incarnation: Incarnation,
    },
    /// A router takes no new work.
    RouterLeaving {
        /// Name of the router.
        name: RouterName,
        /// Incarnation of the router that leaves.
        incarnation: Incarnation,
    },
    /// The configuration stream reaches up to this offset.
    ConfigHead(Offset),
    /// An engine crashed while a request was in flight on it.
    EngineCrashed(Crash),
    /// A router is suspected, declared dead, or alive, for example after a refutation.
    Health {
        /// Name of the router.
        name: RouterName,
        /// Epoch of the router that `health` applies to.
        epoch: Epoch,
        /// Reported health of the router.
        health: Health,
    },
}

/// Believed health of a router; within one epoch the worse health counts.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Health {
    /// The router answers.
    #[default]
    Alive,
    /// The router has not answered the probes of another one, and may still refute the suspicion.
    Suspect,
    /// The router has not refuted a suspicion in time.
    Dead,
}

/// Load of engines by pool, as counted by one router or by all of its failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Router that counted the load, or summed it up.
    pub router: RouterName,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Sequence number; a later sum replaces an earlier one of the same incarnation.
    pub sequence: u64,
    /// Age of the sum when it was sent, in milliseconds.
    pub age_ms: u32,
    /// Load of each pool.
    pub pools: BTreeMap<PoolName, PoolLoad>,
}

/// Load of some of the engines of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Number of requests in flight on the engines.
    pub in_flight: u32,
    /// Number of engines.
    pub engines: u32,
    /// Number of requests that wait for a slot on the engines.
    pub waiting: u32,
}

impl PoolLoad {
    /// Creates the load of engines for which no request waits.
    pub fn new(in_flight: u32, engines: u32) -> Self {
        PoolLoad {
            in_flight,
            engines,
            waiting: 0,
        }
    }

    /// Adds `other` to this load.
    pub fn add(&mut self, other: PoolLoad) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.engines = self.engines.saturating_add(other.engines);
        self.waiting = self.waiting.saturating_add(other.waiting);
    }

    /// Subtracts `other` from this load, down to zero.
    pub fn subtract(&mut self, other: PoolLoad) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.engines = self.engines.saturating_sub(other.engines);
        self.waiting = self.waiting.saturating_sub(other.waiting);
    }
}

impl LoadSum {
    /// Returns an upper bound on the encoded length, in bytes.
    pub fn max_len(&self) -> usize {
        let pool = |name: &PoolName| name.as_str().len() + MAX_POOL_LOAD_BYTES;
        let pools: usize = self.pools.keys().map(pool).sum();
        MAX_FIELDS_BYTES + self.router.as_str().len() + pools
    }
}

impl Update {
    /// Returns an upper bound on the encoded length, in bytes.
    pub fn max_len(&self) -> usize {
        let name = match self {
            Update::Load(sum) => return 1 + sum.max_len(),
            Update::EngineLeaving { name, .. } => name.as_str(),
            Update::EngineCrashed(crash) => crash.engine.as_str(),
            Update::RouterLeaving { name, .. } | Update::Health { name, .. } => name.as_str(),
            Update::ConfigHead(_) => "",
        };
        MAX_FIELDS_BYTES + name.len()
    }
}

impl Datagram {
    /// Returns an upper bound on the encoded length, in bytes.
    pub fn max_len(&self) -> usize {
        let kind = match &self.kind {
            DatagramKind::LoadReport(sum) => sum.max_len(),
            DatagramKind::IndirectProbe { target, .. } => MAX_FIELDS_BYTES + target.as_str().len(),
            DatagramKind::Gossip | DatagramKind::Probe(_) | DatagramKind::Ack(_) => {
                MAX_POOL_LOAD_BYTES
            }
        };
        let names = self.from.as_str().len() + self.to.as_str().len();
        let updates: usize = self.updates.iter().map(Update::max_len).sum();
        2 * MAX_FIELDS_BYTES + names + kind + updates
    }
}
