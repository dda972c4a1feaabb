//! Connections between routers: the handshake, and malformed and replayed messages.

mod decode;
mod handshake;
mod replay;
mod server;
