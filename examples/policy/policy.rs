//! The policies that the bench compares.

use ebonyspur::{placement::MAX_RANKED_ENGINES, steward::UNCACHED_LOAD_FACTOR};

use super::{
    trace::SECOND,
    world::{Spread, FACTOR, SPREAD},
};

/// Where the last engines of a chat are remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Memory {
    /// Nowhere.
    None,
    /// The caller returns the hint, cut to this many engines.
    Hint(usize),
    /// In the directory of the router that served the chat.
    Directory,
}

/// Order in which engines that the hint does not name are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spill {
    /// By rendezvous rank, as the library orders them.
    NextRank,
    /// The first rank, then the others by load.
    RankThenLoad,
    /// By load; rank decides between equal loads.
    LeastLoaded,
}

/// Where a router takes the load of engines from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Replies of stewards to its own requests for grants.
    Replies,
    /// Sums of each steward in the gossip, over the engines it counts.
    Sums,
    /// Loads of all engines in the gossip.
    Gossip,
    /// The present load, which no router can know.
    Exact,
}

/// How a steward takes the mean load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mean {
    /// As last heard.
    Heard,
    /// As `Heard`, and the factor less the error of a heard load.
    Cautious,
    /// As `Cautious`, with this relative error of one request.
    Margin(f64),
    /// As `Cautious`, with one engine more than the steward knows.
    CautiousAndOne,
}

/// How many engines share the load, to a steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// Those of its own list.
    Listed,
    /// Those of its own list or those in the sums, whichever are more.
    Most,
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
    /// Multiple of the mean up to which an engine takes chats it does not cache.
    pub fresh: f64,
    /// How the steward takes the mean.
    pub mean: Mean,
    /// Requests by which an engine counts as busier for each failure of the last minutes.
    pub penalty: u32,
    /// Whether the least loaded of the remembered engines goes first.
    pub warm_by_load: bool,
    /// Whether a request counts as waiting while it waits for a remembered engine only.
    pub warm_counts: bool,
    /// How many engines share the load.
    pub count: Count,
    /// How loads spread.
    pub spread: Spread,
}

const EBONYSPUR: Policy = Policy {
    name: "ebonyspur",
    choice: Choice::Bounded,
    memory: Memory::Hint(3),
    spill: Spill::NextRank,
    ranks: MAX_RANKED_ENGINES,
    source: Source::Replies,
    wait: 1_500_000,
    fresh: UNCACHED_LOAD_FACTOR,
    mean: Mean::Cautious,
    penalty: 0,
    warm_by_load: false,
    warm_counts: false,
    count: Count::Most,
    spread: SPREAD,
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
        wait: 0,
        fresh: FACTOR,
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
pub const ROUNDS: &[Policy] = &[
    Policy {
        name: "hint_of_one",
        memory: Memory::Hint(1),
        ..EBONYSPUR
    },
    Policy {
        name: "hint_of_two",
        memory: Memory::Hint(2),
        ..EBONYSPUR
    },
    Policy {
        name: "directory",
        memory: Memory::Directory,
        ..EBONYSPUR
    },
    Policy {
        name: "spill_rank_then_load",
        spill: Spill::RankThenLoad,
        ..EBONYSPUR
    },
    Policy {
        name: "spill_least_loaded",
        spill: Spill::LeastLoaded,
        ..EBONYSPUR
    },
    Policy {
        name: "spill_two_choices",
        ranks: 2,
        ..EBONYSPUR
    },
    Policy {
        name: "loads_by_sums",
        spill: Spill::LeastLoaded,
        source: Source::Sums,
        ..EBONYSPUR
    },
    Policy {
        name: "loads_by_gossip",
        spill: Spill::LeastLoaded,
        source: Source::Gossip,
        ..EBONYSPUR
    },
    Policy {
        name: "loads_exact",
        spill: Spill::LeastLoaded,
        source: Source::Exact,
        ..EBONYSPUR
    },
    Policy {
        name: "no_wait",
        wait: 0,
        ..EBONYSPUR
    },
    Policy {
        name: "wait_500_ms",
        wait: 500_000,
        ..EBONYSPUR
    },
    Policy {
        name: "wait_1000_ms",
        wait: 1_000_000,
        ..EBONYSPUR
    },
    Policy {
        name: "wait_2000_ms",
        wait: 2_000_000,
        ..EBONYSPUR
    },
    Policy {
        name: "fresh_as_warm",
        fresh: FACTOR,
        ..EBONYSPUR
    },
    Policy {
        name: "fresh_at_0.8",
        fresh: 0.8,
        ..EBONYSPUR
    },
    Policy {
        name: "mean_heard",
        mean: Mean::Heard,
        ..EBONYSPUR
    },
    Policy {
        name: "error_0.5",
        mean: Mean::Margin(0.5),
        ..EBONYSPUR
    },
    Policy {
        name: "error_1.0",
        mean: Mean::Margin(1.0),
        ..EBONYSPUR
    },
    Policy {
        name: "mean_one_more",
        mean: Mean::CautiousAndOne,
        ..EBONYSPUR
    },
    Policy {
        name: "warm_by_load",
        warm_by_load: true,
        ..EBONYSPUR
    },
    Policy {
        name: "warm_waits_count",
        warm_counts: true,
        ..EBONYSPUR
    },
    Policy {
        name: "listed_engines",
        count: Count::Listed,
        ..EBONYSPUR
    },
    Policy {
        name: "sums_on_calls",
        spread: Spread {
            calls: true,
            ..SPREAD
        },
        ..EBONYSPUR
    },
    Policy {
        name: "report_200_ms",
        spread: Spread {
            report: SECOND / 5,
            ..SPREAD
        },
        ..EBONYSPUR
    },
    Policy {
        name: "gossip_100_ms",
        spread: Spread {
            tick: SECOND / 10,
            report: SECOND / 5,
            ..SPREAD
        },
        ..EBONYSPUR
    },
    Policy {
        name: "gossip_50_ms",
        spread: Spread {
            tick: SECOND / 20,
            report: SECOND / 10,
            ..SPREAD
        },
        ..EBONYSPUR
    },
    Policy {
        name: "failure_penalty_1",
        spill: Spill::LeastLoaded,
        penalty: 1,
        ..EBONYSPUR
    },
    Policy {
        name: "failure_penalty_4",
        spill: Spill::LeastLoaded,
        penalty: 4,
        ..EBONYSPUR
    },
];
