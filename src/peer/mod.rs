//! Connections between routers: typed calls as sealed frames over TCP.
//!
//! One task serves each accepted connection and one task drives the connection to
//! each peer. The messages belong to the slices; this module only carries them.

mod client;
mod frame;
mod message;
mod replay;
mod seal;
mod server;

pub use self::{
    client::Peers,
    frame::{read_frame, write_frame, MAX_FRAME},
    message::{Call, DumpRequest, Reply, Request},
    replay::{Replays, FRESHNESS, MAX_SENDERS},
    seal::{Purpose, Sealer, SEAL_LEN},
    server::serve,
};
