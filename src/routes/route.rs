//! Routes, which map a host and a path prefix to pools.

use std::time::Duration;

use serde::{de::Error, Deserialize, Deserializer, Serialize};

use crate::PoolName;

/// Kind of a route, which decides whether the router may send a request again on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run any number of times.
    Safe,
    /// A request may run at most once.
    AtMostOnce,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another backend server may resume the stream after the last event sent to the
        /// caller.
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

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A pool that gets requests of a route, and its share of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Pool that gets the requests.
    pub pool: PoolName,
    /// Share of the requests, relative to the weights of the other targets of the route.
    pub weight: u32,
}

/// Settings for the requests to one path prefix of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host name that a request has to carry.
    pub host: Box<str>,
    /// Prefix of the request path; it ends with a slash.
    pub prefix: Box<str>,
    /// Kind of the route, which decides whether requests may be repeated.
    pub kind: RouteKind,
    /// Longest time until the response is complete, if limited.
    pub timeout: Option<Duration>,
    /// Response time goal: time to the response, or to its first event, that callers should see.
    pub response_time_goal: Duration,
    /// Priority among the routes; 0 is the most urgent.
    pub priority: u8,
    /// Pools that get the requests; at least one.
    #[serde(deserialize_with = "decode_targets")]
    pub targets: Box<[Target]>,
    /// Largest number of backend servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests are accepted without the key of a team.
    pub anonymous: bool,
    /// Whether requests that share a prompt prefix are placed on the same server if possible.
    pub sticky: bool,
}

impl Route {
    /// Returns the pool for a request with the given hash, by the weights of the targets.
    ///
    /// The hashes of requests have to be uniformly distributed.
    pub fn choose_pool(&self, hash: u64) -> &PoolName {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remainder = hash % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remainder < weight {
                return &target.pool;
            }
            remainder -= weight;
        }
        &self.targets[0].pool
    }
}

fn decode_targets<'de, D: Deserializer<'de>>(de: D) -> Result<Box<[Target]>, D::Error> {
    let targets = Box::<[Target]>::deserialize(de)?;
    if targets.is_empty() {
        return Err(D::Error::custom("a route has no pool"));
    }
    Ok(targets)
}
