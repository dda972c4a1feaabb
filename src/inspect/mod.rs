//! What operators see of a router: the log, metrics, the state dump, recent refusals and
//! explanations of where a chat's request would go.

mod dump;
mod explain;
mod forward_metrics;
mod gauges;
mod log;
mod metrics;
mod refusals;

pub use self::{
    dump::Dump,
    explain::{explain, Explanation},
    forward_metrics::ForwardMetrics,
    log::{start_log, LineDecision, LogGuard, LogRateLimiter},
    metrics::Metrics,
    refusals::{RefusalRecord, Refusals},
};
