//! The port to the platform's store.

use std::{future::Future, net::SocketAddr, time::Duration};

use crate::{catalog::Listed, routes::RouteTable, Result};

/// What a read of the list of servers said.
#[derive(Debug)]
pub struct ServersRead<C> {
    /// What is listed.
    pub changes: Vec<Listed>,
    /// Whether names that are not among the changes are absent.
    pub whole: bool,
    /// Where the next read goes on.
    pub cursor: C,
}

/// What a read of the route table said.
#[derive(Debug)]
pub struct RoutesRead<C> {
    /// The newest table, if a new one was read.
    pub table: Option<RouteTable>,
    /// Where the next read goes on.
    pub cursor: C,
}

/// Reads and writes records in the platform's store.
///
/// Records that cannot be read are logged and left out by the implementation.
pub trait Store: Send + Sync + 'static {
    /// Position in one of the store's sequences of records.
    type Cursor: Clone + Send + Sync;

    /// Reads what changed in the list of servers since `from`, or the whole list.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time.
    fn read_servers(
        &self,
        from: Option<&Self::Cursor>,
    ) -> impl Future<Output = Result<ServersRead<Self::Cursor>>> + Send;

    /// Reads the newest route table; with `from`, waits up to `wait` for a newer one.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time.
    fn read_routes(
        &self,
        from: Option<&Self::Cursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<RoutesRead<Self::Cursor>>> + Send;

    /// Leaves word that a router is reached by others at `own`, and returns where others are.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time; the word may then be left.
    fn introduce(&self, own: SocketAddr) -> impl Future<Output = Result<Vec<SocketAddr>>> + Send;
}
