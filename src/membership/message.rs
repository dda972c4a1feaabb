//! Datagrams between routers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{admission::Crash, EngineName, Incarnation, Offset, PoolName, RouterName, UnixMillis};

/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// What a name and the fields beside it take in a datagram at most, without the name.
const FIELDS_LEN: usize = 24;

/// What the count of one pool takes at most, without its name.
const COUNT_LEN: usize = 17;

/// Orders what is said of the standing of a router; the later one counts.
///
/// A router raises `refutation` to refute that it has failed, and has a new `incarnation` after a
/// restart.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Number of the refutation within that life.
    pub refutation: u32,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Router that sent it.
    pub from: RouterName,
    /// Router that it is for.
    pub to: RouterName,
    /// Standing of the router that sent it.
    pub epoch: Epoch,
    /// Number of the datagram within that life.
    pub sequence: u64,
    /// When it was sent.
    pub sent: UnixMillis,
    /// What it asks or answers.
    pub kind: DatagramKind,
    /// What the sender passes on.
    pub updates: Vec<Update>,
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DatagramKind {
    /// Only carries rumours.
    Gossip,
    /// Asks for an [`DatagramKind::Ack`] with the same number.
    Probe(u32),
    /// Asks to probe `target` and to pass on its answer under `number`.
    IndirectProbe {
        /// Number for the answer.
        number: u32,
        /// Router to probe.
        target: RouterName,
    },
    /// Answers a probe.
    Ack(u32),
    /// Reports the sender's own load to the router that sums up its failure domain.
    LoadReport(LoadSum),
}

/// One piece of news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Load of a failure domain, as summed up by one of its routers.
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
    /// An engine died while a request was in flight on it.
    EngineCrashed(Crash),
    /// A router has failed, or is said to, or refutes it.
    Health {
        /// Name of the router.
        name: RouterName,
        /// Standing that this is about.
        epoch: Epoch,
        /// What is said of it.
        health: Health,
    },
}

/// What is believed of a router; of one epoch the worse belief counts.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Health {
    /// It answers.
    #[default]
    Alive,
    /// It does not answer one router, and may still refute.
    Suspect,
    /// It has not refuted in time.
    Dead,
}

/// The load of engines as counted by one router, or by all of its domain, by pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Router that counts or sums up.
    pub router: RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// Number of the count; a later one replaces an earlier one.
    pub sequence: u64,
    /// Age of the count when it was sent on, in milliseconds.
    pub age_ms: u32,
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
    /// Requests that look for a slot on them.
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

    /// Adds another load to this one.
    pub fn add(&mut self, other: PoolLoad) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.engines = self.engines.saturating_add(other.engines);
        self.waiting = self.waiting.saturating_add(other.waiting);
    }

    /// Takes another load out of this one.
    pub fn subtract(&mut self, other: PoolLoad) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.engines = self.engines.saturating_sub(other.engines);
        self.waiting = self.waiting.saturating_sub(other.waiting);
    }
}

impl LoadSum {
    /// Returns an upper bound on the encoded length, in bytes.
    pub fn max_len(&self) -> usize {
        let pool = |name: &PoolName| name.as_str().len() + COUNT_LEN;
        let pools: usize = self.pools.keys().map(pool).sum();
        FIELDS_LEN + self.router.as_str().len() + pools
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
        FIELDS_LEN + name.len()
    }
}

impl Datagram {
    /// Returns an upper bound on the encoded length, in bytes.
    pub fn max_len(&self) -> usize {
        let kind = match &self.kind {
            DatagramKind::LoadReport(sum) => sum.max_len(),
            DatagramKind::IndirectProbe { target, .. } => FIELDS_LEN + target.as_str().len(),
            DatagramKind::Gossip | DatagramKind::Probe(_) | DatagramKind::Ack(_) => COUNT_LEN,
        };
        let names = self.from.as_str().len() + self.to.as_str().len();
        let rumours: usize = self.updates.iter().map(Update::max_len).sum();
        2 * FIELDS_LEN + names + kind + rumours
    }
}
