//! Membership of the fleet: which routers and engines are alive, leaving or gone, and their load.
//!
//! Three sources feed the [`View`]: the platform's instance list, gossip updates from other
//! routers, and the answers of backend servers. Routers exchange updates as datagrams, a
//! bounded number of bytes a second whatever the size of the fleet.
//!
//! [`Gossip`] implements the SWIM protocol. It probes one random router each period, asks
//! others to probe a router that does not answer before it suspects that router, and
//! declares a suspect dead that does not refute the suspicion in time. One router of each
//! failure domain, its aggregator, sums up the load that its domain counts, so that the
//! number of load sums does not grow with the fleet.

mod budget;
mod crash_history;
mod gossip;
mod index;
mod lifecycle;
mod load;
mod member;
mod message;
mod probe;
mod refusing;
mod state;
mod task;
mod updates;
mod view;

pub use self::{
    budget::{ByteBudget, DATAGRAM_BYTES_PER_SECOND, MAX_BURST_BYTES, OVERHEAD_BYTES},
    crash_history::fetch_crash_history,
    gossip::{ClockSample, Gossip, LocalState, Outgoing, TICK},
    lifecycle::{CaughtUp, Leaving, Lifecycle, LifecyclePhase, Serving, Starting},
    load::{LoadSums, LOAD_TIMEOUT},
    member::{MemberState, MemberStates, SUSPICION_TIMEOUT},
    message::{
        Datagram, DatagramKind, Epoch, Health, LoadSum, PoolLoad, Update, MAX_DATAGRAM_BYTES,
    },
    probe::{ProbeAction, Prober},
    refusing::{RefusingEngines, REFUSAL_COOLDOWN},
    state::{Membership, ISOLATION_TIMEOUT},
    task::{follow_instances, receive_datagrams, run_gossip},
    updates::{UpdateQueue, MAX_QUEUED_UPDATES},
    view::{Engine, Peer, View},
};
