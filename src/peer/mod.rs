//! Connections between routers: typed calls in authenticated frames over TCP.
//!
//! One task serves each accepted connection, and one task runs the connection to each
//! peer. The slices define the messages; this module only transports them. Both ends
//! prove that they hold a shared key, and frames recorded on one connection are rejected
//! on any other.

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
    frame::{FrameReader, FrameWriter, MAX_FRAME_BYTES},
    handshake::{accept, connect, Channel},
    message::{Call, DumpRequest, Hello, Reply, Request},
    replay::{ReplayFilter, MAX_SENDERS, MAX_SEND_TIME_SKEW},
    server::{serve, MAX_CONNECTIONS, MAX_UNAUTHENTICATED_CONNECTIONS},
};
