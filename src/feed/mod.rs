//! How routers learn what the platform's store says.
//!
//! A few routers follow the store and feed the others, so that the calls to the store
//! hardly grow with the fleet. Which routers follow is decided by each router alone from
//! the digests of the others: the first in rendezvous order that the store answers. A
//! router that no follower feeds reads the store itself.

mod follow;
mod frame;
mod role;
mod serve;
mod snapshot;
mod state;
mod store;
mod subscribe;

pub use self::{
    follow::{follow_routes, follow_servers},
    frame::{FeedMessage, MAX_FRAME_BYTES},
    role::{Role, FOLLOWER_COUNT},
    serve::serve,
    snapshot::run_snapshots,
    state::{Feed, Revision, MAX_STALENESS},
    store::{FleetSnapshot, RoutesRead, ServersRead, Store},
    subscribe::subscribe,
};
