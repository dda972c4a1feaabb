//! Which routers and engines are alive, leaving or gone, and what they last said.
//!
//! Three sources feed the [`View`]: the platform's instance list, rumours from other
//! routers, and what a backend server answers. Routers exchange rumours as datagrams,
//! a bounded number of bytes a second whatever the size of the fleet.

mod life;
mod message;
mod task;
mod view;

pub use self::{
    life::{CaughtUp, Leaving, Life, Phase, Serving, Starting},
    message::{Datagram, LoadSum, PoolLoad, Rumour, MAX_DATAGRAM},
    task::{follow_instances, gossip, receive},
    view::{Engine, Membership, Peer, View},
};
