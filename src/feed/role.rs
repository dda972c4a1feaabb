//! Decides which routers follow the store.

use std::time::Duration;

use crate::{
    placement::rendezvous_score,
    presence::{Peer, StoreStatus},
    RouterName,
};

/// Number of routers that follow the store at once.
///
/// Each makes two calls a second. When one stops, the others read the store themselves until
/// they agree on the next follower.
pub const FOLLOWER_COUNT: usize = 1;

/// Time between two checks of the role of this router.
pub(super) const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Rendezvous key by which all routers rank the fleet to choose followers.
const FOLLOWER_RANK_KEY: &str = "followers";

/// Source from which a router gets the contents of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The router reads the store and feeds other routers.
    Follower,
    /// Another router feeds this one.
    Subscriber,
}

impl Role {
    /// Returns the role of router `me`, given the live routers that it knows.
    ///
    /// The first [`FOLLOWER_COUNT`] routers in rendezvous order follow. A router that cannot
    /// reach the store is skipped, so that the next one takes its place.
    pub fn decide(me: &RouterName, store_reachable: bool, live: &[Peer]) -> Role {
        if store_reachable && reachable_before(me, live) < FOLLOWER_COUNT {
            Role::Follower
        } else {
            Role::Subscriber
        }
    }

    /// Returns whether router `me` is the first of the followers.
    pub fn is_first(me: &RouterName, store_reachable: bool, live: &[Peer]) -> bool {
        store_reachable && reachable_before(me, live) == 0
    }
}

/// Counts the routers that rank before `me` and reach the store.
fn reachable_before(me: &RouterName, live: &[Peer]) -> usize {
    let rank = rendezvous_score(FOLLOWER_RANK_KEY, me.as_str());
    let reachable = live
        .iter()
        .filter(|p| p.digest.store_status != StoreStatus::Unreachable);
    reachable
        .filter(|p| rendezvous_score(FOLLOWER_RANK_KEY, p.digest.from.as_str()) > rank)
        .count()
}
