//! Discovery of the other routers, their loads and what they report, by datagrams.
//!
//! Each router announces its own state in a [`Digest`] several times a second. In a fleet of some
//! dozens it goes to all others. In a larger one it goes to one of the relays of the router's
//! failure domain; the relays sum the loads, exchange the sums and what else was announced, and send
//! a [`Summary`] to each of their clients. The datagrams of most routers then do not grow with the
//! fleet.
//!
//! A crashed router disappears from the addresses given to callers within two seconds, and the load
//! of a server is known within a second.

mod clients;
mod digest;
mod message;
mod packing;
mod peers;
mod pending_updates;
mod relays;
mod round;
mod router_state;
mod seeds;
mod state;
mod summary;
mod sums;
mod task;
mod updates;
mod view;

pub(crate) use self::pending_updates::{count_within, PendingUpdates};
pub use self::{
    digest::Digest,
    message::{Message, MAX_DATAGRAM_BYTES},
    peers::{PEER_REMOVAL_TIMEOUT, PEER_TIMEOUT},
    relays::DIRECT_FLEET_SIZE,
    router_state::{RelayRole, RouterKey, RouterPhase, RouterState, StoreStatus},
    state::{Outgoing, Presence, Received, Reception, DIGEST_PERIOD},
    summary::{KnownRouter, LoadRange, Summary},
    task::{announce, receive, CHANGE_REPEAT_DELAY},
    updates::Updates,
};
