//! The servers by pool, from which the server for a request is chosen.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use super::Server;
use crate::{sync::lock, DomainName, PoolName};

/// The servers of one pool, shared with the requests that choose among them.
type Pool = Arc<Vec<Arc<Server>>>;

/// The servers known to this router, by pool.
#[derive(Debug, Default)]
pub struct Catalog {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    known: bool,
    pools: BTreeMap<PoolName, Pool>,
}

impl Catalog {
    /// Returns whether a list of servers has been received.
    pub fn is_known(&self) -> bool {
        lock(&self.inner).known
    }

    /// Returns the servers of `pool`, including those that are shutting down.
    pub fn pool(&self, pool: &PoolName) -> Pool {
        lock(&self.inner)
            .pools
            .get(pool)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the servers of each pool, including those that are shutting down.
    pub fn pools(&self) -> Vec<Pool> {
        lock(&self.inner).pools.values().cloned().collect()
    }

    /// Returns the number of servers that are shutting down.
    pub fn leaving_count(&self) -> usize {
        let inner = lock(&self.inner);
        let servers = inner.pools.values().flat_map(|pool| pool.iter());
        servers.filter(|server| server.leaving).count()
    }

    /// Returns the number of servers in the failure domain `domain`.
    pub fn count_in(&self, domain: &DomainName) -> usize {
        let inner = lock(&self.inner);
        let servers = inner.pools.values().flat_map(|pool| pool.iter());
        servers.filter(|server| server.domain == *domain).count()
    }

    /// Replaces all servers of all pools.
    pub fn replace<'a>(&self, servers: impl IntoIterator<Item = &'a Server>) {
        let mut pools: BTreeMap<PoolName, Vec<Arc<Server>>> = BTreeMap::new();
        for server in servers {
            let pool = pools.entry(server.pool.clone()).or_default();
            pool.push(Arc::new(server.clone()));
        }
        let shared = pools.into_iter().map(|(name, pool)| (name, Arc::new(pool)));
        let mut inner = lock(&self.inner);
        inner.pools = shared.collect();
        inner.known = true;
    }
}
