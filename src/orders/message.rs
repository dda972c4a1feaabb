//! Orders to engines and their reports, as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{config::Role, Offset, VersionName};

/// One step of an engine towards the wanted state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Fetches a version from the weight store.
    Load {
        /// What to load.
        version: VersionName,
    },
    /// Makes a loaded version ready for its first request.
    Warm {
        /// What to warm.
        version: VersionName,
    },
    /// Frees a version once its requests have ended.
    Unload {
        /// What to unload.
        version: VersionName,
    },
    /// Changes the role.
    SetRole {
        /// The role from now on.
        role: Role,
    },
}

/// An order as it is sent.
#[derive(Debug, Serialize)]
pub struct FencedOrder<'a> {
    /// Fencing number of the sender's lease.
    pub fence: Offset,
    /// The order.
    #[serde(flatten)]
    pub order: &'a Order,
}

/// How far a version is on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum VersionState {
    /// Its weights are being fetched.
    Loading,
    /// It is in memory.
    Loaded,
    /// It is ready to serve.
    Warm,
    /// It could not be loaded.
    Failed {
        /// Why, in the engine's words.
        reason: String,
    },
}

/// What an engine reports of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Versions that are loaded or on their way.
    pub versions: BTreeMap<VersionName, VersionState>,
    /// Role.
    #[serde(default)]
    pub role: Role,
    /// Highest fencing number it has accepted.
    #[serde(default)]
    pub fence: Offset,
    /// Whether it refuses orders with a lower fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}
