//! What an operator can see of a router: metrics, the state dump, why and where.

mod dump;
mod explain;
mod gauges;
mod log;
mod metrics;
mod refusals;
mod traffic;

pub use self::{
    dump::Dump,
    explain::{explain, Explanation},
    log::{start_log, LineDecision, LogGuard, LogRateLimiter},
    metrics::Metrics,
    refusals::{RefusalRecord, Refusals},
    traffic::ForwardMetrics,
};
