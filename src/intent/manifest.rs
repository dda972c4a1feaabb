//! Manifests: files that declare objects to create, change or remove.

use serde::{Deserialize, Serialize};

use crate::{
    config::{ConfigState, Model, Op, Pool, Service, Team},
    Category, Error, PoolName, Result, ServiceName, TeamName, VersionName,
};

/// Objects to create or replace, and names of objects to remove.
///
/// # Examples
///
/// ```
/// use ebonyspur::{config::ConfigState, intent::Manifest};
///
/// let objects = Manifest::from_yaml("teams: [{name: kerb, share: 3}]")?;
/// assert_eq!(objects.ops(&ConfigState::default()).len(), 1);
/// # Ok::<(), ebonyspur::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Manifest {
    /// Models to create or replace.
    pub models: Vec<Model>,
    /// Pools to create or replace.
    pub pools: Vec<Pool>,
    /// Services to create or replace.
    pub services: Vec<Service>,
    /// Teams to create or replace.
    pub teams: Vec<Team>,
    /// Objects to remove.
    pub remove: Removals,
}

/// Names of objects to remove.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Removals {
    /// Models to remove.
    pub models: Vec<VersionName>,
    /// Pools to remove.
    pub pools: Vec<PoolName>,
    /// Services to remove.
    pub services: Vec<ServiceName>,
    /// Teams to remove.
    pub teams: Vec<TeamName>,
}

impl Manifest {
    /// Parses the text of a manifest file.
    ///
    /// # Errors
    ///
    /// Returns [`Category::BadInput`] with the position of the first fault.
    pub fn from_yaml(text: &str) -> Result<Self> {
        serde_norway::from_str(text)
            .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))
    }

    /// Returns the operations that bring `state` to this manifest.
    ///
    /// Objects that `state` holds unchanged, and removals of missing objects, need none.
    pub fn ops(&self, state: &ConfigState) -> Vec<Op> {
        let mut ops = self.puts(state);
        ops.extend(self.remove.ops(state));
        ops
    }

    fn puts(&self, state: &ConfigState) -> Vec<Op> {
        let models = self.models.iter();
        let models = models.filter(|new| state.models.get(&new.name) != Some(new));
        let pools = self.pools.iter();
        let pools = pools.filter(|new| state.pools.get(&new.name) != Some(new));
        let services = self.services.iter();
        let services = services.filter(|new| state.services.get(&new.name) != Some(new));
        let teams = self.teams.iter();
        let teams = teams.filter(|new| state.desired_team(&new.name).as_ref() != Some(new));
        let ops = models.cloned().map(Op::PutModel);
        let ops = ops.chain(pools.cloned().map(Op::PutPool));
        let ops = ops.chain(services.cloned().map(Op::PutService));
        ops.chain(teams.cloned().map(Op::PutTeam)).collect()
    }
}

impl Removals {
    fn ops(&self, state: &ConfigState) -> Vec<Op> {
        let teams = self.teams.iter().cloned();
        let teams = teams.filter(|name| state.teams.contains_key(name));
        let services = self.services.iter().cloned();
        let services = services.filter(|name| state.services.contains_key(name));
        let pools = self.pools.iter().cloned();
        let pools = pools.filter(|name| state.pools.contains_key(name));
        let models = self.models.iter().cloned();
        let models = models.filter(|name| state.models.contains_key(name));
        let ops = teams.map(|name| Op::RemoveTeam { name });
        let ops = ops.chain(services.map(|name| Op::RemoveService { name }));
        let ops = ops.chain(pools.map(|name| Op::RemovePool { name }));
        ops.chain(models.map(|name| Op::RemoveModel { name }))
            .collect()
    }
}
