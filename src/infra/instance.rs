//! Client of the platform's instance list.
//!
//! The list names live and leaving instances and lags behind the instances themselves.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::JsonClient;
use crate::{id::check_name, DomainName, Incarnation, PoolName, Result};

/// Longest time for a response, on top of the wait that the request asks for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Kind of an instance.
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

/// Whether an instance is staying or leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance takes new requests.
    Live,
    /// The instance finishes its requests and takes no new ones.
    Leaving,
}

/// One entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the router, engine or server.
    pub name: String,
    /// Whether the instance is a router, an engine or a plain server.
    pub kind: InstanceKind,
    /// Pool of an engine or server; routers have none.
    #[serde(default)]
    pub pool: Option<PoolName>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for other routers; only routers have one.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Failure domain of the instance.
    pub failure_domain: DomainName,
    /// Whether the instance is staying or leaving.
    pub state: InstanceState,
    /// Incarnation of the process, which changes when it restarts.
    #[serde(default)]
    pub incarnation: Incarnation,
}

/// Changes of the instance list since one of its versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceChanges {
    /// Version of the list after these changes.
    pub version: u64,
    /// Whether `instances` is the whole list rather than what changed.
    pub full: bool,
    /// New and changed instances.
    pub instances: Vec<Instance>,
    /// Names of instances that have been removed.
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

    /// Reads the changes since version `since`, and waits up to `wait` for the first.
    ///
    /// Instances with malformed names are ignored.
    ///
    /// # Errors
    ///
    /// Fails when no valid response arrives in time.
    pub async fn changes(&self, since: u64, wait: Duration) -> Result<InstanceChanges> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/instances?since={since}&wait_ms={wait_ms}");
        let mut changes: InstanceChanges = self.client.get(&path, wait + RESPONSE_TIMEOUT).await?;
        let has_valid_name = |instance: &Instance| check_name(&instance.name).is_ok();
        changes.instances.retain(has_valid_name);
        Ok(changes)
    }
}
