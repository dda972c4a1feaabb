//! The placement policies that the simulation compares.

use ebonyspur::{placement::MAX_RANKED_ENGINES, steward::UNCACHED_LOAD_FACTOR};

use super::{
    simulation::{GossipSchedule, LIBRARY_GOSSIP, LOAD_FACTOR},
    trace::SECOND,
};

/// Place where the engines that last served a chat are stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HintMemory {
    /// They are not stored.
    None,
    /// In the hint that callers return, with at most this many engines.
    Hint(usize),
    /// In the directory of a router that the rendezvous hash of the chat selects.
    Directory,
}

/// Order in which a request tries the engines that its hint does not name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FallbackOrder {
    /// By rendezvous rank, as in the library.
    NextRank,
    /// The engine of the first rank, then the others by load.
    RankThenLoad,
    /// By load, and by rank among equal loads.
    LeastLoaded,
}

/// Source of the engine loads that a router orders by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// Replies of stewards to the router's requests for grants.
    Replies,
    /// Gossiped mean of the loads of all engines that one steward counts.
    StewardMeans,
    /// Gossiped load of each engine.
    Gossip,
    /// The present load, which no real router can know.
    Exact,
}

/// How a steward estimates the mean load for its bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MeanEstimate {
    /// From the last reported loads.
    Reported,
    /// As `Reported`, with a factor reduced by the error of reported loads.
    Cautious,
    /// As `Cautious`, with this relative error for one request.
    Margin(f64),
    /// As `Cautious`, with one engine more than the steward knows of.
    CautiousPlusEngine,
}

/// Number of engines by which a steward divides the load of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineCount {
    /// The engines on its own list.
    Listed,
    /// The engines on its own list or those in the gossiped sums, whichever are more.
    Largest,
}

/// How a request selects its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The first engine in the order of the library with a load below the steward's bound.
    Bounded,
    /// The first engine in the order of the library, regardless of its load.
    First,
    /// The least loaded engine, regardless of the chat.
    LeastLoaded,
    /// An engine that caches the chat, else the least loaded one, with exact knowledge of
    /// caches and loads.
    Oracle,
}

/// Settings of a placement policy.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Name in the table and in the JSON.
    pub name: &'static str,
    /// How a request selects its engine.
    pub choice: Choice,
    /// Place where the engines that last served a chat are stored.
    pub memory: HintMemory,
    /// Order of the engines that the hint does not name.
    pub fallback_order: FallbackOrder,
    /// Number of engines considered by rendezvous rank.
    pub ranks: usize,
    /// Source of the engine loads.
    pub source: LoadSource,
    /// Longest wait for a slot on an engine that the hint names, in microseconds.
    pub warm_wait: u64,
    /// Multiple of the mean load up to which an engine takes chats that it does not cache.
    pub uncached_factor: f64,
    /// How a steward estimates the mean load.
    pub mean: MeanEstimate,
    /// Requests added to the load of an engine for each recent failure, when ordering.
    pub failure_penalty: u32,
    /// Whether the engines that the hint names are tried in order of load.
    pub warm_by_load: bool,
    /// Whether a request that still waits for the engines of its hint counts as waiting.
    pub warm_wait_counts: bool,
    /// Number of engines by which a steward divides the load.
    pub engine_count: EngineCount,
    /// Schedule by which routers exchange loads.
    pub gossip: GossipSchedule,
}

const LIBRARY_POLICY: Policy = Policy {
    name: "ebonyspur",
    choice: Choice::Bounded,
    memory: HintMemory::Hint(3),
    fallback_order: FallbackOrder::NextRank,
    ranks: MAX_RANKED_ENGINES,
    source: LoadSource::Replies,
    warm_wait: 1_500_000,
    uncached_factor: UNCACHED_LOAD_FACTOR,
    mean: MeanEstimate::Cautious,
    failure_penalty: 0,
    warm_by_load: false,
    warm_wait_counts: false,
    engine_count: EngineCount::Largest,
    gossip: LIBRARY_GOSSIP,
};

/// The policy of the library, followed by the baselines.
pub const BASELINES: [Policy; 5] = [
    LIBRARY_POLICY,
    Policy {
        name: "rendezvous",
        choice: Choice::First,
        memory: HintMemory::None,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "least_loaded",
        choice: Choice::LeastLoaded,
        memory: HintMemory::None,
        source: LoadSource::Gossip,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "bounded_without_hints",
        memory: HintMemory::None,
        warm_wait: 0,
        uncached_factor: LOAD_FACTOR,
        fallback_order: FallbackOrder::NextRank,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "oracle",
        choice: Choice::Oracle,
        memory: HintMemory::None,
        ..LIBRARY_POLICY
    },
];

/// Variants of the library's policy that differ from it in one setting, some with another
/// order by load.
pub const VARIANTS: &[Policy] = &[
    Policy {
        name: "hint_of_one",
        memory: HintMemory::Hint(1),
        ..LIBRARY_POLICY
    },
    Policy {
        name: "hint_of_two",
        memory: HintMemory::Hint(2),
        ..LIBRARY_POLICY
    },
    Policy {
        name: "directory",
        memory: HintMemory::Directory,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "spill_rank_then_load",
        fallback_order: FallbackOrder::RankThenLoad,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "spill_least_loaded",
        fallback_order: FallbackOrder::LeastLoaded,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "spill_two_choices",
        ranks: 2,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "loads_by_sums",
        fallback_order: FallbackOrder::LeastLoaded,
        source: LoadSource::StewardMeans,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "loads_by_gossip",
        fallback_order: FallbackOrder::LeastLoaded,
        source: LoadSource::Gossip,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "loads_exact",
        fallback_order: FallbackOrder::LeastLoaded,
        source: LoadSource::Exact,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "no_wait",
        warm_wait: 0,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "wait_500_ms",
        warm_wait: 500_000,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "wait_1000_ms",
        warm_wait: 1_000_000,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "wait_2000_ms",
        warm_wait: 2_000_000,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "fresh_as_warm",
        uncached_factor: LOAD_FACTOR,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "fresh_at_0.8",
        uncached_factor: 0.8,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "mean_heard",
        mean: MeanEstimate::Reported,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "error_0.5",
        mean: MeanEstimate::Margin(0.5),
        ..LIBRARY_POLICY
    },
    Policy {
        name: "error_1.0",
        mean: MeanEstimate::Margin(1.0),
        ..LIBRARY_POLICY
    },
    Policy {
        name: "mean_one_more",
        mean: MeanEstimate::CautiousPlusEngine,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "warm_by_load",
        warm_by_load: true,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "warm_waits_count",
        warm_wait_counts: true,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "listed_engines",
        engine_count: EngineCount::Listed,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "sums_on_calls",
        gossip: GossipSchedule {
            on_calls: true,
            ..LIBRARY_GOSSIP
        },
        ..LIBRARY_POLICY
    },
    Policy {
        name: "report_200_ms",
        gossip: GossipSchedule {
            report_interval: SECOND / 5,
            ..LIBRARY_GOSSIP
        },
        ..LIBRARY_POLICY
    },
    Policy {
        name: "gossip_100_ms",
        gossip: GossipSchedule {
            interval: SECOND / 10,
            report_interval: SECOND / 5,
            ..LIBRARY_GOSSIP
        },
        ..LIBRARY_POLICY
    },
    Policy {
        name: "gossip_50_ms",
        gossip: GossipSchedule {
            interval: SECOND / 20,
            report_interval: SECOND / 10,
            ..LIBRARY_GOSSIP
        },
        ..LIBRARY_POLICY
    },
    Policy {
        name: "failure_penalty_1",
        fallback_order: FallbackOrder::LeastLoaded,
        failure_penalty: 1,
        ..LIBRARY_POLICY
    },
    Policy {
        name: "failure_penalty_4",
        fallback_order: FallbackOrder::LeastLoaded,
        failure_penalty: 4,
        ..LIBRARY_POLICY
    },
];
