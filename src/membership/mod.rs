//! Which routers and engines are alive, leaving or gone, and what they last said.
//!
//! Three sources feed the [`View`]: the platform's instance list, rumours from other
//! routers, and what a backend server answers. Routers exchange rumours as datagrams,
//! a bounded number of bytes a second whatever the size of the fleet.
//!
//! [`Gossip`] probes one random router a period, asks others to probe it before it
//! suspects it, and declares it dead when it does not refute the suspicion in time. One
//! router of each failure domain sums up the load that its domain counts, so that the
//! number of sums does not grow with the fleet.

mod budget;
mod gossip;
mod index;
mod life;
mod load;
mod message;
mod probe;
mod reach;
mod rumours;
mod standing;
mod state;
mod suspects;
mod task;
mod view;

pub use self::{
    budget::{ByteBudget, DATAGRAM_BYTES_PER_SECOND, MAX_BURST_BYTES, OVERHEAD_BYTES},
    gossip::{Gossip, Moment, OwnState, Sending, TICK},
    life::{CaughtUp, Leaving, Life, Phase, Serving, Starting},
    load::{LoadSums, LOAD_TIMEOUT},
    message::{Datagram, Epoch, Health, Kind, LoadSum, PoolLoad, Rumour, MAX_DATAGRAM},
    probe::{Prober, Step},
    reach::{Refusing, AVOIDANCE},
    rumours::{RumourQueue, MAX_RUMOURS},
    standing::{Standing, Standings, SUSPICION_TIMEOUT},
    state::{Membership, ISOLATION_TIMEOUT},
    suspects::learn_suspects,
    task::{follow_instances, gossip, receive},
    view::{Engine, Peer, View},
};
