//! Orders to engines and their reports, as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{config::Role, Offset, VersionName};

/// An order to an engine, which is one step towards its desired state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Fetches a version from the weight store.
    Load {
        /// Version to load.
        version: VersionName,
    },
    /// Makes a loaded version ready for its first request.
    Warm {
        /// Version to warm.
        version: VersionName,
    },
    /// Frees a version once its requests have ended.
    Unload {
        /// Version to unload.
        version: VersionName,
    },
    /// Changes the role of the engine.
    SetRole {
        /// New role.
        role: Role,
    },
}

/// An order as sent to an engine, with a fencing number.
#[derive(Debug, Serialize)]
pub struct FencedOrder<'a> {
    /// Fencing number of the sender's lease.
    pub fence: Offset,
    /// Order to carry out.
    #[serde(flatten)]
    pub order: &'a Order,
}

/// State of a version on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum VersionState {
    /// The weights of the version are being fetched.
    Loading,
    /// The version is in memory and not warmed yet.
    Loaded,
    /// The version is ready for requests.
    Warm,
    /// The version could not be loaded.
    Failed {
        /// Reason reported by the engine.
        reason: String,
    },
}

/// Report of an engine on its own state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// State of each version that is loaded, is being loaded or has failed to load.
    pub versions: BTreeMap<VersionName, VersionState>,
    /// Present role of the engine.
    #[serde(default)]
    pub role: Role,
    /// Highest fencing number that the engine has accepted.
    #[serde(default)]
    pub fence: Offset,
    /// Whether the engine refuses orders with a lower fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}
