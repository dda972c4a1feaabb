//! Decides which routers follow the store.

use std::time::Duration;

use crate::{
    placement::rendezvous_score,
    presence::{Peer, StoreStatus},
    RouterName,
};

/// Routers that follow the store at once.
///
/// Each makes two calls a second; at its end the others read by themselves until they agree
/// on the next one.
pub const FOLLOWER_COUNT: usize = 1;

/// Time between two looks at the role of this router.
pub(super) const ROLE_PERIOD: Duration = Duration::from_millis(250);

/// Key that ranks the routers, the same at each of them.
const RANKED_FOR: &str = "followers";

/// Where a router has the contents of the store from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It reads the store and feeds others.
    Follower,
    /// Another router feeds it.
    Subscriber,
}

impl Role {
    /// Returns the role of router `me`, which hears the routers `live`.
    ///
    /// The first routers in rendezvous order follow. One that the store does not answer
    /// is passed over, so that another one takes its place.
    pub fn decide(me: &RouterName, able: bool, live: &[Peer]) -> Role {
        if able && able_before(me, live) < FOLLOWER_COUNT {
            Role::Follower
        } else {
            Role::Subscriber
        }
    }

    /// Returns whether router `me` is the first of those that follow.
    pub fn is_first(me: &RouterName, able: bool, live: &[Peer]) -> bool {
        able && able_before(me, live) == 0
    }
}

/// Counts the routers before `me` that the store answers.
fn able_before(me: &RouterName, live: &[Peer]) -> usize {
    let rank = rendezvous_score(RANKED_FOR, me.as_str());
    let able = live
        .iter()
        .filter(|p| p.digest.store_status != StoreStatus::Unreachable);
    able.filter(|p| rendezvous_score(RANKED_FOR, p.digest.from.as_str()) > rank)
        .count()
}
