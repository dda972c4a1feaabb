//! Distribution of routes and servers from the platform's store to the routers.
//!
//! A few routers (followers) read the store and feed the others (subscribers), so that the
//! number of calls to the store hardly grows with the fleet. Subscribers feed further ones along
//! a [tree](upstreams). Each router decides on its own which routers follow and which one feeds
//! it, from the digests of the others: the first ones by [rank](FeedRank) that reach the store.
//! A router whose data is too old reads the store itself.

mod departures;
mod evacuations;
mod follow;
mod frame;
mod peer_clock;
mod poll;
mod position;
mod retry;
mod role;
mod serve;
mod server_list;
mod snapshot;
mod state;
mod store;
mod subscribe;
mod tree;
mod warm_ups;

pub use self::{
    follow::{follow_routes, follow_servers},
    frame::{FeedMessage, MAX_FRAME_BYTES},
    peer_clock::PeerClock,
    poll::StorePoll,
    position::{ListVersion, Position, StoreEra},
    retry::retry_period,
    role::{FeedNode, FeedRank, Role, FOLLOWER_COUNT},
    serve::serve_subscribers,
    snapshot::run_snapshots,
    state::{Feed, Revision, MAX_STALENESS},
    store::{FleetSnapshot, RoutesRead, ServersRead, Store},
    subscribe::subscribe,
    tree::{upstreams, FAN_OUT},
};
