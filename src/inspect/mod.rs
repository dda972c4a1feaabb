//! What an operator can see of a router: metrics and the state dump.

mod dump;
mod metrics;

pub use self::{dump::Dump, metrics::Metrics};
