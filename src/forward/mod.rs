//! Carries a request of a caller to a backend server and the whole answer back.
//!
//! The front end and the servers may speak any dialect of HTTP: a [`Wire`] reads and
//! writes its heads, and everything else is decided here.

mod attempts;
mod body;
mod buffered;
mod connection;
mod drain;
mod exchange;
mod health;
mod in_flight;
mod listener;
mod poison;
mod request;
mod serve;
mod state;
mod stream;
mod wire;

pub use self::{
    body::{text, whole, Body},
    connection::{open_connection, Connection, ConnectionPool, SendError},
    drain::{Drain, DrainStage},
    health::{HealthTracker, Observation},
    in_flight::{InFlight, InFlightGuard},
    listener::{serve, HttpHandler},
    poison::PoisonRequests,
    request::{ProxyRequest, Received, Routed},
    state::{Forwarder, Policy},
    wire::{ForwardParams, RequestHead, ResponseHead, RunOutcome, Wire},
};
