//! Admission control: retry budgets, fair queues, and the quarantine of poison requests
//! and poison prompt parts.
//!
//! A request that finds no engine below its load bound waits in the [`FairQueue`] of its
//! pool at the router that received it. The queue is bounded in length and waiting time, and
//! fair between teams. Only the request that holds the turn asks the stewards for slots, so
//! that a full pool costs the same few calls per second however many requests wait.

mod budget;
mod canary;
mod eviction;
mod fair_queue;
mod known_good_parts;
mod level;
mod message;
mod part_updates;
mod poison;
mod poison_parts;
mod poison_requests;
mod pool_queue;
mod possible_crash;
mod quarantine;
mod quarantined;
mod rank;
mod seen_crashes;
mod server_limits;
mod shared_retries;
mod slot_demand;
mod state;
mod suspect;
mod warm_up;

pub use self::{
    budget::{retry_delay, RetryBudget},
    canary::{
        CanaryHolder, CanaryReply, CanaryRuns, DuplicateGuard, DuplicateTracker, KnownGood,
        CANARY_TIMEOUT, MAX_CANARY_RUNS, MAX_KNOWN_GOOD,
    },
    fair_queue::{
        Enqueued, FairQueue, QueueEntry, QueueFull, WaitId, MAX_WAITING, MAX_WAITING_PER_TEAM,
    },
    level::Level,
    message::{
        BeginCanary, BeginCanaryReply, CrashHistoryRequest, CrashRecord, CrashReport, EndCanary,
    },
    part_updates::{PartCrash, PartKey, PartUpdates, QuarantinedParts},
    poison::Poison,
    poison_parts::PoisonParts,
    poison_requests::PoisonRequests,
    pool_queue::{PoolQueues, Waiter},
    possible_crash::{PossibleCrashes, MAX_POSSIBLE_CRASHES, POSSIBLE_CRASH_TTL},
    quarantine::{Crash, CrashHistory, CrashRisk, Fingerprint, Quarantine, MAX_CRASH_ENTRIES},
    rank::Rank,
    server_limits::{LimitReport, RateLimit, ServerLimits},
    shared_retries::{RetryAllowance, SharedRetries, ASSUMED_ROUTERS},
    slot_demand::{SlotDemand, SlotDemandGuard},
    state::{Admission, Class, Permit, MAX_TEAMS},
    warm_up::{FleetPlace, WarmUpBounds, WarmUpShares, WarmUpSlots},
};
pub(crate) use self::{part_updates::describe_parts, quarantine::quarantined_error};
