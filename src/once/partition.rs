//! The streams that claims are spread over, and the routers that follow them.

use std::sync::Arc;

use crate::{membership::Peer, placement, Router, RouterName};

/// Number of streams that claims are spread over.
pub const PARTITIONS: usize = 16;

/// Most routers that are asked for a claim before the asking router reads the log itself.
const MAX_ASKED: usize = 2;

/// Returns the name of the stream of `partition`, by which its owner is found.
pub fn stream(partition: usize) -> String {
    format!("claims-{partition}")
}

impl Router {
    /// Returns the router to ask about the keys of `partition`, or `None` when it is this one.
    ///
    /// That is the owner, or its successor when the owner is among the `silent` ones.
    pub(super) fn partition_owner(
        &self,
        partition: usize,
        silent: &[RouterName],
    ) -> Option<Arc<Peer>> {
        if silent.len() >= MAX_ASKED {
            return None;
        }
        let leaving = self.membership.is_leaving();
        let view = self.membership.view();
        let me = &self.settings.name;
        let candidates = view
            .active_routers()
            .filter(|name| !(leaving && *name == me || silent.contains(name)));
        let name = placement::rendezvous_first(&stream(partition), candidates)?;
        view.peer(name).filter(|peer| peer.name != *me).cloned()
    }
}
