//! The tree along which routers feed each other.
//!
//! The followers are at its top, and the other routers below them by rank, so that the routers
//! with the fastest links feed most of the others and the work of each is independent of the
//! size of the fleet.

use std::{cmp::Reverse, net::SocketAddr};

use super::{FeedNode, FeedRank};
use crate::presence::StoreStatus;

/// Number of routers that one router feeds.
///
/// Two levels below the follower hold 272 routers.
pub const FAN_OUT: usize = 16;

/// Returns the addresses of the routers above the one with rank `me`: the one that is to feed it
/// first, and the follower last.
///
/// Returns no address when no router follows the store.
pub fn upstreams(me: FeedRank, live: &[FeedNode]) -> Vec<SocketAddr> {
    let follows = |node: &FeedNode| node.store_status == StoreStatus::Following;
    let mut nodes: Vec<_> = live
        .iter()
        .filter(|node| follows(node) || node.is_current)
        .collect();
    nodes.sort_unstable_by_key(|node| Reverse((follows(node), node.rank)));
    let mut addresses = Vec::new();
    if !nodes.first().is_some_and(|node| follows(node)) {
        return addresses;
    }
    let mut position = nodes
        .iter()
        .filter(|node| follows(node) || node.rank > me)
        .count();
    while position > 0 {
        position = (position - 1) / FAN_OUT;
        addresses.push(nodes[position].address);
    }
    addresses
}
