//! Even assignment of a pool's versions to its engines.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::FleetView;
use crate::{
    config::{Assignment, ConfigState, Op, Pool, DEFAULT_LOAD_FACTOR},
    membership::PoolLoad,
    steward::load_bound,
    Category, DomainName, EngineName, Error, PoolName, Result, VersionName,
};

/// Capacity of a version before and after a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCapacity {
    /// Name of the version.
    pub version: VersionName,
    /// Pool whose engines are rebalanced.
    pub pool: PoolName,
    /// Available engines to which the version is assigned now.
    pub engines_before: u32,
    /// Available engines to which the version is assigned after the plan.
    pub engines_after: u32,
    /// Estimated requests in flight of the teams that the version serves.
    pub in_flight: u32,
    /// Requests that one engine may have in flight: the smaller of its load bound and its slots.
    pub limit: u32,
}

impl VersionCapacity {
    /// Returns the further requests that the version's engines may have after the plan.
    pub fn headroom(&self) -> u32 {
        (self.engines_after * self.limit).saturating_sub(self.in_flight)
    }

    /// Returns the reason to refuse the plan, if it would leave too few engines for the load.
    pub(super) fn violation(&self) -> Option<String> {
        let exceeds_limit = self.engines_after * self.limit < self.in_flight;
        let (version, load, limit) = (&self.version, self.in_flight, self.limit);
        (exceeds_limit && self.engines_after < self.engines_before).then(|| {
            format!(
                "version {version} has {load} requests in flight, more than {} engines with \
                 {limit} each may have",
                self.engines_after
            )
        })
    }

    /// Estimates the requests in flight on engines from which the plan removes the version.
    pub(super) fn cold_requests(&self) -> u32 {
        let lost = self.engines_before.saturating_sub(self.engines_after);
        (self.in_flight * lost).div_ceil(self.engines_before.max(1))
    }
}

/// Returns the operation that assigns each version of `pool` to `copies` engines.
///
/// Without `copies`, each version is assigned to all engines.
///
/// # Errors
///
/// Returns [`Category::NotFound`] for an unknown pool, and [`Category::BadInput`] when `copies`
/// is out of range.
pub(super) fn rebalance_op(
    state: &ConfigState,
    fleet: &FleetView,
    pool: &PoolName,
    copies: Option<usize>,
) -> Result<Op> {
    let missing = || Error::not_run(Category::NotFound, format!("no pool {pool}"));
    let versions = &state.pools.get(pool).ok_or_else(missing)?.versions;
    let available = available_engines(state, fleet, pool);
    let engines = match copies {
        Some(copies) => {
            check_copies(copies, available.len(), versions.len())?;
            let current = state
                .assignments
                .get(pool)
                .map(|assignment| &assignment.current);
            Assigner::new(available, current).assign(versions.iter(), copies)
        }
        None => Assignment::new(),
    };
    let pool = pool.clone();
    Ok(Op::Spread { pool, engines })
}

fn check_copies(copies: usize, engines: usize, versions: usize) -> Result<()> {
    let min = engines.div_ceil(versions.max(1));
    if (min..=engines).contains(&copies) && versions > 0 {
        return Ok(());
    }
    let message = format!(
        "copies must be from {min} to {engines}, for {engines} engines and {versions} versions"
    );
    Err(Error::not_run(Category::BadInput, message))
}

/// Engines that take new work, with their failure domains.
type AvailableEngines<'a> = BTreeMap<&'a EngineName, &'a DomainName>;

fn available_engines<'a>(
    state: &ConfigState,
    fleet: &'a FleetView,
    pool: &PoolName,
) -> AvailableEngines<'a> {
    let engines = fleet.engines.iter();
    let available = engines.filter(|(name, engine)| {
        engine.pool == *pool && !engine.is_leaving && !state.drained.contains(*name)
    });
    available
        .map(|(name, engine)| (name, &engine.domain))
        .collect()
}

/// Assigns each version to the engines that have the fewest versions so far.
struct Assigner<'a> {
    available: AvailableEngines<'a>,
    current: Option<&'a Assignment>,
    assigned: Assignment,
}

impl<'a> Assigner<'a> {
    fn new(available: AvailableEngines<'a>, current: Option<&'a Assignment>) -> Self {
        let none = |name: &&EngineName| ((*name).clone(), Default::default());
        Assigner {
            assigned: available.keys().map(none).collect(),
            available,
            current,
        }
    }

    fn assign<'v>(
        mut self,
        versions: impl Iterator<Item = &'v VersionName>,
        copies: usize,
    ) -> Assignment {
        for version in versions {
            let mut domain_copies = BTreeMap::new();
            for _ in 0..copies {
                let Some(engine) = self.best_engine(version, &domain_copies) else {
                    break;
                };
                *domain_copies.entry(self.available[engine]).or_default() += 1;
                let assigned_versions = self.assigned.entry(engine.clone()).or_default();
                assigned_versions.insert(version.clone());
            }
        }
        self.assigned
    }

    /// Returns the best engine for the next copy of `version`.
    ///
    /// The engine with the fewest versions is best; among equals, one in the failure domain with
    /// the fewest copies of the version, then one that has the version already.
    /// `domain_copies` counts the copies of the version by failure domain.
    fn best_engine(
        &self,
        version: &VersionName,
        domain_copies: &BTreeMap<&DomainName, usize>,
    ) -> Option<&'a EngineName> {
        let candidates = self.available.iter();
        let candidates = candidates.filter(|(name, _)| !self.assigned[**name].contains(version));
        let best = candidates.min_by_key(|(name, domain)| {
            let own = self.current.and_then(|current| current.get(**name));
            let is_new = own.is_some_and(|own| !own.contains(version));
            let copies_in_domain = domain_copies.get(*domain).copied().unwrap_or_default();
            (self.assigned[**name].len(), copies_in_domain, is_new)
        });
        best.map(|(name, _)| *name)
    }
}

/// Returns the capacity of each version of the pools that `ops` rebalance.
pub(super) fn capacities(
    state: &ConfigState,
    fleet: &FleetView,
    ops: &[Op],
) -> Vec<VersionCapacity> {
    let assignments = ops.iter().filter_map(|op| match op {
        Op::Spread { pool, engines } => Some((state.pools.get(pool)?, engines)),
        _ => None,
    });
    let capacities = assignments.flat_map(|(pool, engines)| {
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
    let available = available_engines(state, fleet, &pool.name);
    let is_assigned_after =
        |name: &EngineName| after.get(name).is_none_or(|own| own.contains(version));
    let before = available
        .keys()
        .filter(|name| state.is_assigned(&pool.name, name, version));
    let load = PoolLoad::new(fleet.in_flight(&pool.name), available.len() as u32);
    let factor = state.pools.get(&pool.name).map(|pool| pool.load_factor);
    let bound = load_bound(load, factor.unwrap_or(DEFAULT_LOAD_FACTOR));
    VersionCapacity {
        version: version.clone(),
        pool: pool.name.clone(),
        engines_before: before.count() as u32,
        engines_after: available
            .keys()
            .filter(|name| is_assigned_after(name))
            .count() as u32,
        in_flight: in_flight(state, fleet, version),
        limit: pool.slots.map_or(bound, |slots| bound.min(slots)),
    }
}

/// Estimates the requests in flight of the teams that `version` serves.
///
/// This router's own requests are multiplied by the number of routers.
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
