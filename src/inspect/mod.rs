//! What operators see of a router: the log, metrics, the state dump, recent refusals and
//! explanations of where a chat's request would go.

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
