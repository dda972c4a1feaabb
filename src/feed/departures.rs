//! Exchange of reports between routers about servers that leave.

use super::Feed;
use crate::{
    catalog::{DepartureReport, ServerKey},
    sync::lock,
    Instant,
};

impl Feed {
    /// Records that a server announced in a response to this router that it leaves; returns whether
    /// that was unknown.
    pub fn record_leaving(&self, server: ServerKey, now: Instant) -> bool {
        let mut server_list = lock(&self.server_list);
        let is_new = server_list.registry.record_leaving(server, now);
        if is_new {
            self.replace_catalog(&server_list);
        }
        is_new
    }

    /// Records the servers that announced to another router that they leave.
    pub fn receive_leaving(&self, servers: &[ServerKey], now: Instant) {
        if servers.is_empty() {
            return;
        }
        let mut server_list = lock(&self.server_list);
        if server_list.registry.receive_leaving(servers, now) {
            log::info!("servers leaving servers={servers:?} source=digest");
            self.replace_catalog(&server_list);
        }
    }

    /// Returns the servers that announced to this router that they leave, until the list says so.
    pub fn announced_leaving(&self) -> Vec<ServerKey> {
        lock(&self.server_list).registry.announced_leaving()
    }

    /// Returns the reports for subscribers about servers that leave.
    ///
    /// Digests only repeat what the sender received itself, which may have gone with its process.
    pub(super) fn departure_reports(&self, now: Instant) -> Vec<DepartureReport> {
        lock(&self.server_list).registry.departure_reports(now)
    }

    /// Records the reports of the router that feeds this one about servers that leave.
    pub(super) fn receive_departure_reports(&self, reports: &[DepartureReport], now: Instant) {
        let mut server_list = lock(&self.server_list);
        if server_list.registry.receive_departure_reports(reports, now) {
            log::info!("servers leaving servers={reports:?} source=feed");
            self.replace_catalog(&server_list);
        }
    }
}
