//! The port to the platform's store.

use std::{future::Future, net::SocketAddr, time::Duration};

use crate::{
    catalog::ServerChange, placement::SessionPlacement, routes::RouteTable, Offset, Result,
};

/// What a read of the list of servers said.
#[derive(Debug)]
pub struct ServersRead {
    /// What is listed.
    pub changes: Vec<ServerChange>,
    /// Whether names that are not among the changes are absent.
    pub full: bool,
    /// Where the next read goes on; a later read gives a higher one.
    pub next: Offset,
}

/// What a read of the route table said.
#[derive(Debug)]
pub struct RoutesRead {
    /// The newest table, if a new one was read.
    pub table: Option<RouteTable>,
    /// Where the next read goes on; a later read gives a higher one.
    pub next: Offset,
}

/// What outlives the processes of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// Where routers reach each other.
    pub routers: Vec<SocketAddr>,
    /// Engines that hold the prompts of sessions, for each session the latest first.
    pub placements: Vec<SessionPlacement>,
}

/// Reads and writes records in the platform's store.
///
/// Records that cannot be read are logged and left out by the implementation.
pub trait Store: Send + Sync + 'static {
    /// Reads the whole list of servers; with `from`, what changed since, waiting up to
    /// `wait` for a change.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time.
    fn read_servers(
        &self,
        from: Option<Offset>,
        wait: Duration,
    ) -> impl Future<Output = Result<ServersRead>> + Send;

    /// Reads the newest route table; with `from`, waits up to `wait` for a newer one.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time.
    fn read_routes(
        &self,
        from: Option<Offset>,
        wait: Duration,
    ) -> impl Future<Output = Result<RoutesRead>> + Send;

    /// Saves what is to outlive the processes, in place of what was saved before.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time; it may then be saved.
    fn save_snapshot(&self, saved: &FleetSnapshot) -> impl Future<Output = Result<()>> + Send;

    /// Returns what was saved last.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time.
    fn load_snapshot(&self) -> impl Future<Output = Result<FleetSnapshot>> + Send;
}
