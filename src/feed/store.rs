//! The interface to the platform's store, which an adapter implements.

use std::{future::Future, net::SocketAddr, time::Duration};

use super::Position;
use crate::{
    admission::QuarantinedParts,
    catalog::{ColdTime, ServerChange},
    evacuation::EvacuationsRead,
    placement::SessionPlacement,
    routes::RouteTable,
    Result, UnixMillis,
};

/// Result of a read of the list of servers.
#[derive(Debug)]
pub struct ServersRead {
    /// Servers present or removed.
    pub changes: Vec<ServerChange>,
    /// Times until servers are warm, where their entries state them.
    pub cold_times: Vec<ColdTime>,
    /// Whether the list is complete, so that servers not among the changes are absent.
    pub full: bool,
    /// Position from which the next read continues; it grows from read to read.
    pub next: Position,
}

/// Result of a read of the operator's records: the route table and the evacuations.
#[derive(Debug)]
pub struct RoutesRead {
    /// The newest table, or `None` if there is no new one.
    pub table: Option<RouteTable>,
    /// The evacuations, or `None` if this deployment has none.
    pub evacuations: Option<EvacuationsRead>,
    /// Position from which the next read continues; it grows from read to read.
    pub next: Position,
}

/// State saved in the store for routers that start after the whole fleet has stopped.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// Addresses at which routers reach each other.
    pub routers: Vec<SocketAddr>,
    /// Sessions and the engines that hold their prompts, for each session the latest first.
    pub placements: Vec<SessionPlacement>,
    /// Quarantines, with the times that were left when the snapshot was saved.
    pub quarantined: Vec<QuarantinedParts>,
    /// Wall time at which the snapshot was saved.
    pub saved_at: UnixMillis,
}

/// Reads and writes records in the platform's store.
///
/// Implementations log and skip records that cannot be read.
pub trait Store: Send + Sync + 'static {
    /// Reads the complete list of servers, or with `from` the changes since that position, waiting
    /// up to `wait` for a change.
    ///
    /// If the store is no longer in the era of `from`, the list is complete.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time.
    fn read_servers(
        &self,
        from: Option<Position>,
        wait: Duration,
    ) -> impl Future<Output = Result<ServersRead>> + Send;

    /// Reads the newest route table and all evacuations, or with `from` waits up to `wait` for a newer
    /// table or changes of evacuations.
    ///
    /// If the store is no longer in the era of `from`, its newest table and all evacuations are
    /// returned.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time.
    fn read_routes(
        &self,
        from: Option<Position>,
        wait: Duration,
    ) -> impl Future<Output = Result<RoutesRead>> + Send;

    /// Saves a snapshot, replacing the previous one.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time; it may still have saved the snapshot.
    fn save_snapshot(&self, saved: &FleetSnapshot) -> impl Future<Output = Result<()>> + Send;

    /// Loads the snapshot saved last.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer in time.
    fn load_snapshot(&self) -> impl Future<Output = Result<FleetSnapshot>> + Send;
}
