//! Connections between routers: typed calls as sealed frames over TCP.
//!
//! One task serves each accepted connection and one task drives the connection to
//! each peer. The messages belong to the slices; this module only carries them. Both
//! ends prove a shared key, and what was recorded of one connection counts on no other.

mod auth;
mod client;
mod frame;
mod handshake;
mod message;
mod replay;
mod server;

pub use self::{
    auth::{Authenticator, Purpose, TAG_LEN},
    client::PeerClient,
    frame::{FrameReader, FrameWriter, MAX_FRAME},
    handshake::{accept, connect, Channel},
    message::{Call, DumpRequest, Hello, Reply, Request},
    replay::{ReplayFilter, MAX_CLOCK_SKEW, MAX_SENDERS},
    server::{serve, MAX_CONNECTIONS, MAX_HALF_OPEN},
};
