//! The route table and its builder.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::Route;
use crate::{admission::RateLimit, Category, Error, PoolName, Result, TeamName};

/// A team that callers belong to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Priority that takes precedence over that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Settings of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSettings {
    /// Whether the servers are model engines, which batch requests and cache prompt prefixes.
    pub has_engines: bool,
}

/// How the servers of a pool warm up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time from the start of a server until it is warm, if the server does not state it.
    pub duration: Duration,
    /// Requests that a cold server takes from all routers together.
    pub limit: RateLimit,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for which a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    /// Limits that apply until a route table sets others.
    pub const DEFAULT: CallerLimits = CallerLimits {
        max_body_bytes: 4 << 20,
        idle_timeout: Duration::from_secs(60),
    };
}

/// One version of the routes, teams, pools and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    version: u64,
    /// Routes sorted by host, and within a host by prefix, the longest first.
    routes: Vec<Route>,
    teams: Vec<Team>,
    /// Index in `teams` of the team that holds each key.
    keys: BTreeMap<Box<str>, u32>,
    pools: BTreeMap<PoolName, PoolSettings>,
    limits: CallerLimits,
    /// How the servers of pools warm up; pools whose servers are never cold are left out.
    warm_ups: BTreeMap<PoolName, WarmUp>,
}

impl RouteTable {
    /// Returns the version of the table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route for `path` at `host`: the one with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let start = self.routes.partition_point(|route| *route.host < *host);
        let host_routes = self.routes[start..].iter();
        let mut host_routes = host_routes.take_while(|route| *route.host == *host);
        host_routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the team that holds `key`.
    pub fn team(&self, key: &str) -> Option<&Team> {
        let index = *self.keys.get(key)?;
        self.teams.get(index as usize)
    }

    /// Returns whether callers need a key unless their route is anonymous.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Returns the settings of a pool, or the default ones for an unknown pool.
    pub fn pool_settings(&self, name: &PoolName) -> PoolSettings {
        self.pools.get(name).copied().unwrap_or_default()
    }

    /// Returns how the servers of a pool warm up, or `None` if they are never cold.
    pub fn warm_up(&self, pool: &PoolName) -> Option<WarmUp> {
        self.warm_ups.get(pool).copied()
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

/// Builds a route table and validates it as a whole.
#[derive(Debug)]
pub struct TableBuilder {
    table: RouteTable,
    faults: Vec<String>,
}

impl TableBuilder {
    /// Creates a builder for a table with the given version.
    pub fn new(version: u64) -> Self {
        TableBuilder {
            table: RouteTable {
                version,
                routes: Vec::new(),
                teams: Vec::new(),
                keys: BTreeMap::new(),
                pools: BTreeMap::new(),
                limits: CallerLimits::DEFAULT,
                warm_ups: BTreeMap::new(),
            },
            faults: Vec::new(),
        }
    }

    /// Sets the limits on callers.
    #[must_use]
    pub fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.table.limits = limits;
        self
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        if route.targets.is_empty() {
            self.faults.push(format!("{}: no pool", route.prefix));
        }
        self.table.routes.push(route);
    }

    /// Adds a pool.
    pub fn add_pool(&mut self, name: PoolName, settings: PoolSettings) {
        self.table.pools.insert(name, settings);
    }

    /// Sets how the servers of a pool warm up.
    pub fn add_warm_up(&mut self, pool: PoolName, warm_up: WarmUp) {
        self.table.warm_ups.insert(pool, warm_up);
    }

    /// Adds a team and the keys of its callers.
    pub fn add_team<'a>(&mut self, team: Team, keys: impl Iterator<Item = &'a str>) {
        let index = self.table.teams.len() as u32;
        for key in keys {
            if self.table.keys.insert(key.into(), index).is_some() {
                self.faults.push(format!("{}: key of two teams", team.name));
            }
        }
        self.table.teams.push(team);
    }

    /// Builds the table.
    ///
    /// # Errors
    ///
    /// Returns [`Category::BadInput`] with all faults found in the routes and teams.
    pub fn build(mut self) -> Result<RouteTable> {
        if !self.faults.is_empty() {
            let message = self.faults.join("; ");
            return Err(Error::not_run(Category::BadInput, message));
        }
        let by_host_longest_prefix_first = |a: &Route, b: &Route| {
            let by_prefix_length = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(by_prefix_length)
        };
        self.table.routes.sort_by(by_host_longest_prefix_first);
        self.table.routes.shrink_to_fit();
        Ok(self.table)
    }
}
