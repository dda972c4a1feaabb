//! Sends requests to backend servers and passes their answers back.
//!
//! A chat request moves through the stages of [`ChatRequest`]. Each stage owns the resources
//! that it has acquired; dropping the request at any stage releases them.

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
    event::{Event, EventBoundary, EventReader, Oversized, MAX_EVENT_BYTES},
    request::{Admitted, ChatHead, ChatRequest, Dispatched, FailedDispatch, Placed, Received},
    sequence::{EventKind, SequenceChecker},
    service::{call_service, ServiceAnswer, ServiceCall},
    stream::AnswerStream,
};
