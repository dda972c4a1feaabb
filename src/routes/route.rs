//! One route.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::PoolName;

/// What may be repeated without the caller asking for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// The request may run any number of times.
    Safe,
    /// The request may run once at most.
    AtMostOnce,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another backend server may go on after the last event passed on.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    pub fn allows_rerun(self) -> bool {
        matches!(
            self,
            RouteKind::Safe | RouteKind::Stream { resumable: true }
        )
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A pool that a route leads to, and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The pool.
    pub pool: PoolName,
    /// Weight against the other targets of the route.
    pub weight: u32,
}

/// What requests under one path of one host get.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host that requests name.
    pub host: Box<str>,
    /// Beginning of the paths; it ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout: Option<Duration>,
    /// Time to the answer, or to the first event, within which it is worth most.
    pub goal: Duration,
    /// Rank among the routes, 0 is the most urgent.
    pub priority: u8,
    /// Pools, at least one.
    pub targets: Box<[Target]>,
    /// Most backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether requests that share a prompt should meet at one server.
    pub sticky: bool,
}

impl Route {
    /// Returns the pool for `hash`, which spreads evenly over all values.
    pub fn choose_pool(&self, hash: u64) -> &PoolName {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = hash % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return &target.pool;
            }
            left -= weight;
        }
        &self.targets[0].pool
    }
}
