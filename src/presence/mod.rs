//! Discovery of the other routers by digests that each router sends to all others.
//!
//! Digests go out several times a second. In a fleet of some dozens, a crashed router thus
//! disappears from the addresses given to callers within two seconds, and the load of a server
//! is known within half a second. [`membership`](crate::membership) bounds the bytes that a
//! router sends in fleets of hundreds, at the cost of seconds.

mod digest;
mod pending_updates;
mod state;
mod task;

pub(crate) use self::pending_updates::PendingUpdates;
pub use self::{
    digest::{Digest, RouterPhase, StoreStatus, MAX_DIGEST_BYTES},
    state::{Peer, Presence, DIGEST_PERIOD, PEER_REMOVAL_TIMEOUT, PEER_TIMEOUT},
    task::{announce, receive},
};
