//! Partitions of the claims, and the routers that own them.

use std::sync::Arc;

use crate::{membership::Peer, placement, Router, RouterName};

/// Number of partitions; each has its own stream in the log.
pub const PARTITIONS: usize = 16;

/// Maximum number of routers asked about a key before the asking router reads the log itself.
const MAX_ASKED_ROUTERS: usize = 2;

/// Returns the name of the stream of `partition`, which also determines its owner.
pub fn stream(partition: usize) -> String {
    format!("claims-{partition}")
}

impl Router {
    /// Returns the router to ask about the keys of `partition`, or `None` for this router.
    ///
    /// It is the owner, or the next router by rendezvous hashing when the owner is among the
    /// `unresponsive` routers. After `MAX_ASKED_ROUTERS` of these it is this router.
    pub(super) fn partition_owner(
        &self,
        partition: usize,
        unresponsive: &[RouterName],
    ) -> Option<Arc<Peer>> {
        if unresponsive.len() >= MAX_ASKED_ROUTERS {
            return None;
        }
        let leaving = self.membership.is_leaving();
        let view = self.membership.view();
        let own_name = &self.settings.name;
        let candidates = view
            .active_routers()
            .filter(|name| !(leaving && *name == own_name || unresponsive.contains(name)));
        let name = placement::rendezvous_first(&stream(partition), candidates)?;
        view.peer(name)
            .filter(|peer| peer.name != *own_name)
            .cloned()
    }
}
