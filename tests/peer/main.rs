//! Between routers: who is let in, and what malformed or repeated bytes come to.

mod decode;
mod handshake;
mod replay;
mod server;
