//! The policies that the bench compares.

use ebonyspur::placement::{Spill, MAX_RANKS};

/// Where the last engines of a chat are remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Memory {
    /// Nowhere.
    None,
    /// The caller returns the hint, cut to this many engines.
    Hint(usize),
}

/// Where a router takes the load of engines from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Replies of stewards to its own requests for grants.
    Replies,
    /// Loads in the gossip of all engines.
    Gossip,
    /// The present load, which no router can know.
    Exact,
}

/// How the engine is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// As the library orders the engines, below the bound of the steward.
    Bounded,
    /// The first of that order, whatever its load.
    First,
    /// The least loaded engine, whatever the chat.
    LeastLoaded,
    /// An engine that caches the chat, else the least loaded, with full knowledge.
    Oracle,
}

/// One policy.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Its name in the table.
    pub name: &'static str,
    /// How the engine is chosen.
    pub choice: Choice,
    /// Where the last engines of a chat are remembered.
    pub memory: Memory,
    /// Order of the engines that are not remembered.
    pub spill: Spill,
    /// Engines considered by rank.
    pub ranks: usize,
    /// Where the loads come from.
    pub source: Source,
    /// Longest wait for a remembered engine at its bound, in microseconds.
    pub wait: u64,
}

const EBONYSPUR: Policy = Policy {
    name: "ebonyspur",
    choice: Choice::Bounded,
    memory: Memory::Hint(3),
    spill: Spill::RankThenLoad,
    ranks: MAX_RANKS,
    source: Source::Replies,
    wait: 0,
};

/// The policy of the product and the baselines.
pub const BASELINES: [Policy; 5] = [
    EBONYSPUR,
    Policy {
        name: "rendezvous",
        choice: Choice::First,
        memory: Memory::None,
        ..EBONYSPUR
    },
    Policy {
        name: "least_loaded",
        choice: Choice::LeastLoaded,
        memory: Memory::None,
        source: Source::Gossip,
        ..EBONYSPUR
    },
    Policy {
        name: "bounded_without_hints",
        memory: Memory::None,
        spill: Spill::NextRank,
        ..EBONYSPUR
    },
    Policy {
        name: "oracle",
        choice: Choice::Oracle,
        memory: Memory::None,
        ..EBONYSPUR
    },
];

/// The rounds: the policy with one part changed.
pub const ROUNDS: [Policy; 7] = [
    Policy {
        name: "one_hint",
        memory: Memory::Hint(1),
        ..EBONYSPUR
    },
    Policy {
        name: "next_rank",
        spill: Spill::NextRank,
        ..EBONYSPUR
    },
    Policy {
        name: "two_choices",
        ranks: 3,
        ..EBONYSPUR
    },
    Policy {
        name: "least_by_replies",
        spill: Spill::LeastLoaded,
        ..EBONYSPUR
    },
    Policy {
        name: "least_by_gossip",
        spill: Spill::LeastLoaded,
        source: Source::Gossip,
        ..EBONYSPUR
    },
    Policy {
        name: "least_exact",
        spill: Spill::LeastLoaded,
        source: Source::Exact,
        ..EBONYSPUR
    },
    Policy {
        name: "wait_500_ms",
        wait: 500_000,
        ..EBONYSPUR
    },
];
