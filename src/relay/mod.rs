//! Carries one request to a backend server and its whole answer back.
//!
//! A request moves through the stages of [`Request`]; each stage owns what it has
//! acquired, and dropping the request at any stage gives everything back.

mod answer;
mod backend;
mod chat;
mod event;
mod keyed;
mod place;
mod probe;
mod request;
mod sent;
mod sequence;
mod service;
mod stream;
mod trial;

pub use self::{
    answer::Opening,
    backend::Backends,
    chat::{chat, ChatAnswer},
    event::{Event, EventReader, Oversized, MAX_EVENT},
    request::{Admitted, Dispatched, Failed, Head, Placed, Received, Request},
    sent::Sent,
    sequence::{Sequence, Step},
    service::{call_service, ServiceAnswer, ServiceCall},
    stream::AnswerStream,
};
