//! Carries one request to a backend server and its whole answer back.
//!
//! A request moves through the stages of [`ChatRequest`]; each stage owns what it has
//! acquired, and dropping the request at any stage gives everything back.

mod answer;
mod backend;
mod canary;
mod chat;
mod engine_request;
mod event;
mod keyed;
mod place;
mod probe;
mod request;
mod sequence;
mod service;
mod stream;

pub use self::{
    answer::AnswerStart,
    backend::BackendClients,
    chat::{chat, ChatAnswer},
    engine_request::EngineRequest,
    event::{Event, EventReader, Oversized, MAX_EVENT_BYTES},
    request::{Admitted, ChatHead, ChatRequest, Dispatched, FailedDispatch, Placed, Received},
    sequence::{EventKind, SequenceChecker},
    service::{call_service, ServiceAnswer, ServiceCall},
    stream::AnswerStream,
};
