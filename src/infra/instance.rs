//! The instance list: live and leaving instances, with a lag.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::JsonClient;
use crate::{id::check_name, DomainName, Incarnation, PoolName, Result};

/// Longest time for an answer beyond the wait that was asked for.
const TIMEOUT: Duration = Duration::from_secs(2);

/// What an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A router of this fleet.
    Router,
    /// A model engine.
    Engine,
    /// A plain backend server.
    Server,
}

/// Whether an instance stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance works.
    Live,
    /// The instance finishes what it has and takes nothing new.
    Leaving,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the router, engine or server.
    pub name: String,
    /// What it is.
    pub kind: InstanceKind,
    /// Pool of an engine or server.
    #[serde(default)]
    pub pool: Option<PoolName>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for other routers; only routers have one.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Failure domain.
    pub failure_domain: DomainName,
    /// Whether it stays.
    pub state: InstanceState,
    /// Which life of the instance this is.
    #[serde(default)]
    pub incarnation: Incarnation,
}

/// What changed in the list since a version of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceChanges {
    /// Version of the list after these changes.
    pub version: u64,
    /// Whether `instances` is the whole list rather than what changed.
    pub full: bool,
    /// Instances that are new or changed.
    pub instances: Vec<Instance>,
    /// Names of instances that are gone.
    #[serde(default)]
    pub gone: Vec<String>,
}

/// Client of the instance list.
#[derive(Debug, Clone)]
pub struct InstanceList {
    client: JsonClient,
}

impl InstanceList {
    /// Creates the client.
    pub fn new(client: JsonClient) -> Self {
        InstanceList { client }
    }

    /// Reads the changes since version `since`, waiting up to `wait` for one.
    ///
    /// Instances with malformed names are left out.
    ///
    /// # Errors
    ///
    /// Fails when no readable answer arrives in time.
    pub async fn changes(&self, since: u64, wait: Duration) -> Result<InstanceChanges> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/instances?since={since}&wait_ms={wait_ms}");
        let mut changes: InstanceChanges = self.client.get(&path, wait + TIMEOUT).await?;
        let well_named = |instance: &Instance| check_name(&instance.name).is_ok();
        changes.instances.retain(well_named);
        Ok(changes)
    }
}
