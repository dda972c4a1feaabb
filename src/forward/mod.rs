//! Forwards the requests of callers to backend servers and relays their responses.
//!
//! Callers and servers may speak any dialect of HTTP: a [`Wire`] parses and writes the
//! heads of messages, and all decisions are made here.

mod activity;
mod attempts;
mod body;
mod buffered;
mod caller_connection;
mod caller_task;
mod connection;
mod drain;
mod event_buffer;
mod exchange;
mod exchange_body;
mod failover;
mod fingerprint;
mod health;
mod in_flight;
mod linger;
mod listener;
mod peer_stream;
mod request;
mod response_body;
mod resume;
mod selection;
mod serve;
mod state;
mod stream;
mod successor;
mod tcp_info;
mod unanswered;
mod warm_up;
mod whole_body;
mod wire;

use self::body::Deadline;
pub use self::{
    activity::Activity,
    body::{full_body, text_response, Body},
    connection::{open_connection, Connection, ConnectionPool, SendError},
    drain::{Drain, DrainStage},
    health::{HealthTracker, Observation},
    in_flight::{InFlight, InFlightGuard},
    listener::{serve, HttpHandler},
    request::{ProxyRequest, Received, Routed},
    state::{Forwarder, Policy},
    wire::{ForwardParams, RequestHead, ResponseHead, RunOutcome, Wire},
};
