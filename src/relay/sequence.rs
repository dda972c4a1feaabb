//! Checks that a streamed answer is complete, in order and belongs to the request.

use serde::Deserialize;

use super::Event;
use crate::{Category, Error, RequestId, Result};

/// Data of the event that ends an answer.
const END_DATA: &str = "[DONE]";

/// Kind of an event of a streamed answer, which decides whether it is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// The next part of the answer; it is passed to the caller.
    Part,
    /// A part that the caller has received already; it is dropped.
    Repeated,
    /// The end of the answer; it is passed to the caller.
    End,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
}

/// Checks the events of one streamed answer, and counts its parts.
#[derive(Debug)]
pub struct SequenceChecker {
    expected_id: String,
    next_number: u64,
    ended: bool,
    resumed: bool,
    failed: bool,
}

impl SequenceChecker {
    /// Creates the checker of the answer to `request`, before its first part.
    pub fn new(request: &RequestId) -> Self {
        SequenceChecker {
            expected_id: answer_id(request),
            next_number: 0,
            ended: false,
            resumed: false,
            failed: false,
        }
    }

    /// Checks the next event and returns its kind.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Backend`] when the event is malformed or belongs to another request, a
    /// part is missing before it, the answer has already ended, or an earlier event was
    /// rejected.
    pub fn accept(&mut self, event: &Event) -> Result<EventKind> {
        if self.failed {
            return Err(protocol_error("an earlier event was rejected"));
        }
        let kind = self.check(event);
        self.failed = kind.is_err();
        kind
    }

    fn check(&mut self, event: &Event) -> Result<EventKind> {
        if self.ended {
            return Err(protocol_error("an event follows the end of the answer"));
        }
        let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
        if event.data == END_DATA {
            return self.accept_end(number);
        }
        let chunk: Chunk<'_> = serde_json::from_str(&event.data)
            .map_err(|_| protocol_error("an event is not a chat completion chunk"))?;
        if chunk.id != self.expected_id {
            return Err(protocol_error("an event belongs to another request"));
        }
        let number = number.ok_or_else(|| protocol_error("an event has no numeric id"))?;
        if number < self.next_number && self.resumed {
            return Err(protocol_error(
                "the engine started a new answer instead of resuming",
            ));
        }
        if number < self.next_number {
            return Ok(EventKind::Repeated);
        }
        if number > self.next_number {
            return Err(protocol_error("an event is missing"));
        }
        self.next_number += 1;
        self.resumed = false;
        Ok(EventKind::Part)
    }

    /// Ends the answer; the number of the end event, if it has one, shows whether parts are
    /// missing before it.
    fn accept_end(&mut self, number: Option<u64>) -> Result<EventKind> {
        if number.is_some_and(|number| number != self.next_number) {
            return Err(protocol_error("an event is missing before the end"));
        }
        self.ended = true;
        Ok(EventKind::End)
    }

    /// Marks the answer as resumed: the engine was asked to continue with the next part.
    ///
    /// An earlier part that arrives instead shows that the engine started a new answer, whose
    /// text need not continue the parts that the caller has received.
    pub fn mark_resumed(&mut self) {
        self.resumed = true;
    }

    /// Returns the number of the next part.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Returns whether the answer is complete.
    pub fn is_ended(&self) -> bool {
        self.ended
    }
}

/// Returns the value of the `id` field in the answer to `request`.
pub(super) fn answer_id(request: &RequestId) -> String {
    format!("chatcmpl-{request}")
}

/// Creates the error for a stream that violates the protocol.
fn protocol_error(message: &str) -> Error {
    Error::may_have_run(Category::Backend, message)
}
