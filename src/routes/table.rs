//! One version of the route table.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::Route;
use crate::{Category, Error, PoolName, Result, TeamName};

/// A team that callers belong to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Rank that goes before that of the route.
    pub priority: Option<u8>,
}

/// What is known of a pool beside its servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSettings {
    /// Whether the servers are model engines, which batch requests and keep prompts.
    pub has_engines: bool,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    /// Bounds that hold until a table says others.
    pub const DEFAULT: CallerLimits = CallerLimits {
        max_body_bytes: 4 << 20,
        idle_timeout: Duration::from_secs(60),
    };
}

/// One version of the routes, teams and pools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    version: u64,
    /// Sorted by host, and within a host the longest prefix first.
    routes: Vec<Route>,
    teams: Vec<Team>,
    /// Key to the position of its team.
    keys: BTreeMap<Box<str>, u32>,
    pools: BTreeMap<PoolName, PoolSettings>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of `path` at `host`: the one with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let start = self.routes.partition_point(|route| *route.host < *host);
        let of_host = self.routes[start..].iter();
        let mut of_host = of_host.take_while(|route| *route.host == *host);
        of_host.find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the team that holds `key`.
    pub fn team(&self, key: &str) -> Option<&Team> {
        let at = *self.keys.get(key)?;
        self.teams.get(at as usize)
    }

    /// Returns whether callers need a key unless their route is anonymous.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Returns what is known of a pool.
    pub fn pool_settings(&self, name: &PoolName) -> PoolSettings {
        self.pools.get(name).copied().unwrap_or_default()
    }

    /// Returns the bounds on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

/// Collects the parts of a table and checks them as a whole.
#[derive(Debug)]
pub struct TableBuilder {
    table: RouteTable,
    faults: Vec<String>,
}

impl TableBuilder {
    /// Creates a builder of the table with the given version.
    pub fn new(version: u64) -> Self {
        TableBuilder {
            table: RouteTable {
                version,
                routes: Vec::new(),
                teams: Vec::new(),
                keys: BTreeMap::new(),
                pools: BTreeMap::new(),
                limits: CallerLimits::DEFAULT,
            },
            faults: Vec::new(),
        }
    }

    /// Sets the bounds on callers.
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

    /// Adds a team with its keys.
    pub fn add_team<'a>(&mut self, team: Team, keys: impl Iterator<Item = &'a str>) {
        let at = self.table.teams.len() as u32;
        for key in keys {
            if self.table.keys.insert(key.into(), at).is_some() {
                self.faults.push(format!("{}: key of two teams", team.name));
            }
        }
        self.table.teams.push(team);
    }

    /// Returns the table.
    ///
    /// # Errors
    ///
    /// Returns [`Category::BadInput`] with every fault that was found.
    pub fn build(mut self) -> Result<RouteTable> {
        if !self.faults.is_empty() {
            let message = self.faults.join("; ");
            return Err(Error::not_run(Category::BadInput, message));
        }
        let longest_first = |a: &Route, b: &Route| {
            let by_prefix = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(by_prefix)
        };
        self.table.routes.sort_by(longest_first);
        self.table.routes.shrink_to_fit();
        Ok(self.table)
    }
}
