//! The objects that operators create, change and remove.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{admission::Class, PoolName, ServiceName, TeamName, VersionName};

/// A team and its part of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Weight of the team when capacity is scarce, from 1.
    #[serde(default = "one")]
    pub share: u32,
    /// Classes that the team may use; all of them when empty.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub classes: BTreeSet<Class>,
    /// Version that serves the team; any version when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionName>,
}

fn one() -> u32 {
    1
}

/// What stands behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream chats.
    Chat,
    /// Plain servers.
    Plain,
}

/// A service that callers address by name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// What stands behind it.
    pub kind: ServiceKind,
    /// Pool that serves it.
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
    /// Versions and adapters that the engines of the pool are to have loaded.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub versions: BTreeSet<VersionName>,
}

/// Bound used by pools that set none, as a multiple of the mean load.
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
    /// Versions that engines may be ordered to load.
    pub versions: BTreeSet<VersionName>,
    /// Adapters that engines may be ordered to load.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub adapters: BTreeSet<VersionName>,
}

impl Model {
    /// Returns whether `version` is a version or an adapter of the model.
    pub fn has(&self, version: &VersionName) -> bool {
        self.versions.contains(version) || self.adapters.contains(version)
    }
}

/// Which part of the work an engine does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Reads prompts and generates tokens.
    #[default]
    Mixed,
    /// Reads prompts only.
    Prefill,
    /// Generates tokens only.
    Decode,
}
