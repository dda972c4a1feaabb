//! Which routers are there, and what each last said of itself.
//!
//! In a fleet of some dozens each router tells all others directly, several times a
//! second, so that a dead router leaves the answers to callers within two seconds and
//! the load of a server is known within half a second. [`membership`](crate::membership)
//! bounds the bytes of a router in fleets of hundreds, at the cost of seconds.

mod digest;
mod state;
mod task;

pub use self::{
    digest::{Digest, RouterPhase, StoreStatus, MAX_DIGEST_BYTES},
    state::{Peer, Presence, DIGEST_PERIOD, FORGET_AFTER, PEER_TIMEOUT},
    task::{announce, receive},
};
