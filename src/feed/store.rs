//! The port to the platform's store.

use std::{future::Future, net::SocketAddr, time::Duration};

use crate::{catalog::Listed, placement::Placed, routes::RouteTable, Offset, Result};

/// What a read of the list of servers said.
#[derive(Debug)]
pub struct ServersRead {
    /// What is listed.
    pub changes: Vec<Listed>,
    /// Whether names that are not among the changes are absent.
    pub whole: bool,
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

/// Reads and writes records in the platform's store.
///
/// Records that cannot be read are logged and left out by the implementation.
pub trait Store: Send + Sync + 'static {
    /// Reads what changed in the list of servers since `from`, or the whole list.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time.
    fn read_servers(
        &self,
        from: Option<Offset>,
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

    /// Leaves word that a router is reached by others at `own`, and returns where others are.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time; the word may then be left.
    fn introduce(&self, own: SocketAddr) -> impl Future<Output = Result<Vec<SocketAddr>>> + Send;

    /// Saves where sessions were placed, in place of what was saved before.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time; it may then be saved.
    fn save_placements(&self, placed: &[Placed]) -> impl Future<Output = Result<()>> + Send;

    /// Returns where sessions were placed, as saved last.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time.
    fn saved_placements(&self) -> impl Future<Output = Result<Vec<Placed>>> + Send;
}
