//! Carries a request of a caller to a backend server and the whole answer back.
//!
//! The front end and the servers may speak any dialect of HTTP: a [`Wire`] reads and
//! writes its heads, and everything else is decided here.

mod answer;
mod attempts;
mod body;
mod crashes;
mod drain;
mod exchange;
mod health;
mod link;
mod listener;
mod load;
mod request;
mod serve;
mod state;
mod stream;
mod wire;

pub use self::{
    body::{text, whole, Body},
    crashes::Crashes,
    drain::{Drain, Stage},
    health::{Health, Note},
    link::{open, Link, Links, Sent},
    listener::{serve, Service},
    load::{Flight, Flights},
    request::{Received, Request, Routed},
    state::{Forwarder, Policy},
    wire::{AnswerHead, CallHead, Outcome, Passing, Wire},
};
