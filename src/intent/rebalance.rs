//! Spreads the versions of a pool evenly over its engines.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::FleetView;
use crate::{
    config::{Assignment, ConfigState, Op, Pool, DEFAULT_LOAD_FACTOR},
    membership::PoolLoad,
    steward::load_bound,
    Category, DomainName, EngineName, Error, PoolName, Result, VersionName,
};

/// The engines of a version before and after a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCapacity {
    /// Name of the version.
    pub version: VersionName,
    /// Pool that serves it.
    pub pool: PoolName,
    /// Engines that carry it now.
    pub engines_before: u32,
    /// Engines that carry it after the plan.
    pub engines_after: u32,
    /// Requests in flight of the teams that it serves, estimated.
    pub in_flight: u32,
    /// Requests that one engine may have at once: its bound, and at most its slots.
    pub limit: u32,
}

impl VersionCapacity {
    /// Returns further requests that its engines may have after the plan.
    pub fn headroom(&self) -> u32 {
        (self.engines_after * self.limit).saturating_sub(self.in_flight)
    }

    /// Returns why the plan must not be carried out, if it must not.
    pub(super) fn violation(&self) -> Option<String> {
        let is_short = self.engines_after * self.limit < self.in_flight;
        let (version, load, limit) = (&self.version, self.in_flight, self.limit);
        (is_short && self.engines_after < self.engines_before).then(|| {
            format!(
                "version {version} has {load} requests in flight, more than {} engines with \
                 {limit} each may have",
                self.engines_after
            )
        })
    }

    /// Returns the requests in flight whose engine no longer carries the version.
    pub(super) fn cold_requests(&self) -> u32 {
        let lost = self.engines_before.saturating_sub(self.engines_after);
        (self.in_flight * lost).div_ceil(self.engines_before.max(1))
    }
}

/// Returns the operation that has `copies` engines of `pool` carry each version, or all of
/// them without a number.
pub(super) fn rebalance_op(
    state: &ConfigState,
    fleet: &FleetView,
    pool: &PoolName,
    copies: Option<usize>,
) -> Result<Op> {
    let missing = || Error::not_run(Category::NotFound, format!("no pool {pool}"));
    let versions = &state.pools.get(pool).ok_or_else(missing)?.versions;
    let open = open_engines(state, fleet, pool);
    let engines = match copies {
        Some(copies) => {
            check_copies(copies, open.len(), versions.len())?;
            let current = state.spreads.get(pool).map(|spread| &spread.current);
            Assigner::new(open, current).assign(versions.iter(), copies)
        }
        None => Assignment::new(),
    };
    let pool = pool.clone();
    Ok(Op::Spread { pool, engines })
}

fn check_copies(copies: usize, engines: usize, versions: usize) -> Result<()> {
    let least = engines.div_ceil(versions.max(1));
    if (least..=engines).contains(&copies) && versions > 0 {
        return Ok(());
    }
    let message = format!(
        "copies must be from {least} to {engines}, for {engines} engines and {versions} versions"
    );
    Err(Error::not_run(Category::BadInput, message))
}

type Open<'a> = BTreeMap<&'a EngineName, &'a DomainName>;

fn open_engines<'a>(state: &ConfigState, fleet: &'a FleetView, pool: &PoolName) -> Open<'a> {
    let engines = fleet.engines.iter();
    let open = engines.filter(|(name, engine)| {
        engine.pool == *pool && !engine.leaving && !state.drained.contains(*name)
    });
    open.map(|(name, engine)| (name, &engine.domain)).collect()
}

/// Gives versions to the engines that carry fewest.
struct Assigner<'a> {
    open: Open<'a>,
    current: Option<&'a Assignment>,
    assigned: Assignment,
}

impl<'a> Assigner<'a> {
    fn new(open: Open<'a>, current: Option<&'a Assignment>) -> Self {
        let none = |name: &&EngineName| ((*name).clone(), Default::default());
        Assigner {
            assigned: open.keys().map(none).collect(),
            open,
            current,
        }
    }

    fn assign<'v>(
        mut self,
        versions: impl Iterator<Item = &'v VersionName>,
        copies: usize,
    ) -> Assignment {
        for version in versions {
            let mut near = BTreeMap::new();
            for _ in 0..copies {
                let Some(engine) = self.next(version, &near) else {
                    break;
                };
                *near.entry(self.open[engine]).or_default() += 1;
                let carried = self.assigned.entry(engine.clone()).or_default();
                carried.insert(version.clone());
            }
        }
        self.assigned
    }

    /// Returns the engine with fewest versions, in the failure domain with fewest copies,
    /// that has the version already; `near` are the copies by failure domain.
    fn next(
        &self,
        version: &VersionName,
        near: &BTreeMap<&DomainName, usize>,
    ) -> Option<&'a EngineName> {
        let free = self.open.iter();
        let free = free.filter(|(name, _)| !self.assigned[**name].contains(version));
        let best = free.min_by_key(|(name, domain)| {
            let own = self.current.and_then(|current| current.get(**name));
            let is_new = own.is_some_and(|own| !own.contains(version));
            let copies_near = near.get(*domain).copied().unwrap_or_default();
            (self.assigned[**name].len(), copies_near, is_new)
        });
        best.map(|(name, _)| *name)
    }
}

/// Returns the versions of the pools that `ops` spread.
pub(super) fn capacities(
    state: &ConfigState,
    fleet: &FleetView,
    ops: &[Op],
) -> Vec<VersionCapacity> {
    let spreads = ops.iter().filter_map(|op| match op {
        Op::Spread { pool, engines } => Some((state.pools.get(pool)?, engines)),
        _ => None,
    });
    let capacities = spreads.flat_map(|(pool, engines)| {
        let versions = pool.versions.iter();
        versions.map(move |version| capacity(state, fleet, pool, version, engines))
    });
    capacities.collect()
}

fn capacity(
    state: &ConfigState,
    fleet: &FleetView,
    pool: &Pool,
    version: &VersionName,
    after: &Assignment,
) -> VersionCapacity {
    let open = open_engines(state, fleet, &pool.name);
    let carries_after = |name: &EngineName| after.get(name).is_none_or(|own| own.contains(version));
    let before = open
        .keys()
        .filter(|name| state.is_assigned(&pool.name, name, version));
    let load = PoolLoad::new(fleet.in_flight(&pool.name), open.len() as u32);
    let factor = state.pools.get(&pool.name).map(|pool| pool.load_factor);
    let bound = load_bound(load, factor.unwrap_or(DEFAULT_LOAD_FACTOR));
    VersionCapacity {
        version: version.clone(),
        pool: pool.name.clone(),
        engines_before: before.count() as u32,
        engines_after: open.keys().filter(|name| carries_after(name)).count() as u32,
        in_flight: in_flight(state, fleet, version),
        limit: pool.slots.map_or(bound, |slots| bound.min(slots)),
    }
}

/// Estimates the requests in flight of the teams that `version` serves.
fn in_flight(state: &ConfigState, fleet: &FleetView, version: &VersionName) -> u32 {
    let served = |name: &crate::TeamName| {
        let team = state.teams.get(name);
        team.is_some_and(|team| team.version.as_ref() == Some(version))
    };
    let loads = fleet.local_team_loads.iter();
    let own: u32 = loads
        .filter(|(name, _)| served(name))
        .map(|(_, load)| load)
        .sum();
    own * fleet.routers
}
