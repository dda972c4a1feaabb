//! Decides which routers follow the store.

use std::{net::SocketAddr, time::Duration};

use super::FAN_OUT;
use crate::{
    placement::rendezvous_score,
    presence::{RouterPhase, RouterState, StoreStatus},
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

/// Bandwidth of a router's link, in Mbit/s, for each subscriber beyond [`FAN_OUT`].
///
/// A table of 70 KB then takes at most 0.3 s more than to [`FAN_OUT`] subscribers.
const LINK_MBPS_PER_EXTRA_SUBSCRIBER: u32 = 2;

/// Source from which a router gets the contents of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The router reads the store and feeds other routers.
    Follower,
    /// Another router feeds this one.
    Subscriber,
}

/// Place of a router in the order in which routers follow the store and feed others: those with
/// the fastest links first, and among equal ones by rendezvous hashing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedRank {
    link_mbps: u32,
    score: u64,
}

/// A live router, as far as the choice of followers and the feed tree depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedNode {
    /// Rank of the router.
    pub rank: FeedRank,
    /// Address at which the router accepts subscribers.
    pub address: SocketAddr,
    /// Whether the router reaches and follows the store.
    pub store_status: StoreStatus,
    /// Whether the router serves callers with current routes and servers.
    pub is_current: bool,
    /// Whether the router is shutting down.
    pub is_leaving: bool,
}

impl FeedRank {
    /// Creates the rank of the router `name`, whose link has `link_mbps` Mbit/s.
    pub fn new(name: &RouterName, link_mbps: u32) -> Self {
        FeedRank {
            link_mbps,
            score: rendezvous_score(FOLLOWER_RANK_KEY, name.as_str()),
        }
    }

    /// Returns a seed that differs from router to router.
    pub(super) fn seed(self) -> u64 {
        self.score
    }

    /// Returns the maximum number of routers that a router of this rank feeds at once.
    ///
    /// While routers start or disagree on the order, more than [`FAN_OUT`] of them may choose the
    /// same one; a fast link bears more of them than a slow one, on which requests would wait.
    pub fn max_subscribers(&self) -> usize {
        FAN_OUT + (self.link_mbps / LINK_MBPS_PER_EXTRA_SUBSCRIBER) as usize
    }
}

impl FeedNode {
    /// Creates the node of a router that announced `state`.
    pub fn new(state: &RouterState) -> Self {
        FeedNode {
            rank: FeedRank::new(&state.name, state.link_mbps),
            address: state.peer_address,
            store_status: state.store_status,
            is_current: state.phase == RouterPhase::Serving && state.is_current,
            is_leaving: state.phase == RouterPhase::Leaving,
        }
    }
}

impl Role {
    /// Returns the role of the router with rank `me`, given the live routers that it knows.
    ///
    /// The first [`FOLLOWER_COUNT`] routers by rank follow. A router that cannot reach the store
    /// or is shutting down is skipped, so that the next one takes its place; `can_follow` is false
    /// if this applies to the router itself.
    pub fn decide(me: FeedRank, can_follow: bool, live: &[FeedNode]) -> Role {
        if can_follow && candidates_before(me, live) < FOLLOWER_COUNT {
            Role::Follower
        } else {
            Role::Subscriber
        }
    }

    /// Returns whether the router with rank `me` is the first of the followers.
    pub fn is_first(me: FeedRank, can_follow: bool, live: &[FeedNode]) -> bool {
        can_follow && candidates_before(me, live) == 0
    }
}

/// Counts the routers that rank before `me` and may follow the store.
fn candidates_before(me: FeedRank, live: &[FeedNode]) -> usize {
    let candidates = live
        .iter()
        .filter(|node| node.store_status != StoreStatus::Unreachable && !node.is_leaving);
    candidates.filter(|node| node.rank > me).count()
}
