//! The objects that operators create, change and remove.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    admission::Class, Category, Error, PoolName, Result, ServiceName, TeamName, VersionName,
};

/// A team of callers, its share of the capacity and the version that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Weight of the team in the division of scarce capacity, at least 1.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Classes that the team may use; all of them when empty.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub classes: BTreeSet<Class>,
    /// Version that serves the team; any version when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionName>,
}

impl Team {
    /// Checks that the team may send requests of `class`.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Unauthorized`] when the team's classes do not include `class`.
    pub fn check_class(&self, class: Class) -> Result<()> {
        if self.classes.is_empty() || self.classes.contains(&class) {
            return Ok(());
        }
        let message = format!("team {} may not use this class", self.name);
        Err(Error::not_run(Category::Unauthorized, message))
    }
}

fn default_share() -> u32 {
    1
}

/// Kind of backend that serves a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, which stream chat completions.
    Chat,
    /// Plain servers, which answer each request with one response.
    Plain,
}

/// A service that callers address by name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Kind of backend that serves the service.
    pub kind: ServiceKind,
    /// Pool whose engines or servers serve the service.
    pub pool: PoolName,
}

/// A pool of interchangeable engines or servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// Bound on the load of an engine, as a multiple of the pool's mean, above 1.
    #[serde(default = "default_load_factor")]
    pub load_factor: f64,
    /// Requests that one engine of the pool can run at once, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Versions and adapters that the engines of the pool load.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub versions: BTreeSet<VersionName>,
}

/// Load factor of pools that set none, as a multiple of the mean load.
pub const DEFAULT_LOAD_FACTOR: f64 = 1.25;

fn default_load_factor() -> f64 {
    DEFAULT_LOAD_FACTOR
}

/// A model, its versions and its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: VersionName,
    /// Versions that pools may load.
    pub versions: BTreeSet<VersionName>,
    /// Adapters that pools may load.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub adapters: BTreeSet<VersionName>,
}

impl Model {
    /// Returns whether `version` is a version or an adapter of the model.
    pub fn includes_version(&self, version: &VersionName) -> bool {
        self.versions.contains(version) || self.adapters.contains(version)
    }
}

/// Phases of inference that an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Processes prompts and generates tokens.
    #[default]
    Mixed,
    /// Processes prompts only.
    Prefill,
    /// Generates tokens only.
    Decode,
}
