//! Checks that a streamed answer is whole, in order and for the request that was sent.

use serde::Deserialize;

use super::Event;
use crate::{Category, Error, RequestId, Result};

/// Data of the event that ends an answer.
const END: &str = "[DONE]";

/// What an event means for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// The event is the next part; it goes to the caller.
    Part,
    /// The event repeats a part that the caller has; it is dropped.
    Repeated,
    /// The event ends the answer; it goes to the caller.
    End,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
}

/// Place in an answer: the parts so far, and whether it has ended.
#[derive(Debug)]
pub struct SequenceChecker {
    expected_id: String,
    next_number: u64,
    ended: bool,
    resumed: bool,
    broken: bool,
}

impl SequenceChecker {
    /// Creates the place before the first part of the answer to `request`.
    pub fn new(request: &RequestId) -> Self {
        SequenceChecker {
            expected_id: answer_id(request),
            next_number: 0,
            ended: false,
            resumed: false,
            broken: false,
        }
    }

    /// Checks the next event.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Backend`] when the event belongs to another request, a part is
    /// missing before it, the answer has already ended, or an earlier event was refused.
    pub fn accept(&mut self, event: &Event) -> Result<EventKind> {
        if self.broken {
            return Err(broken("an earlier event was refused"));
        }
        let step = self.check(event);
        self.broken = step.is_err();
        step
    }

    fn check(&mut self, event: &Event) -> Result<EventKind> {
        if self.ended {
            return Err(broken("an event follows the end"));
        }
        let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
        if event.data == END {
            return self.accept_end(number);
        }
        let chunk: Chunk<'_> =
            serde_json::from_str(&event.data).map_err(|_| broken("an event is not a chunk"))?;
        if chunk.id != self.expected_id {
            return Err(broken("an event belongs to another request"));
        }
        let number = number.ok_or_else(|| broken("an event has no number"))?;
        if number < self.next_number && self.resumed {
            return Err(broken(
                "the engine began another answer instead of resuming",
            ));
        }
        if number < self.next_number {
            return Ok(EventKind::Repeated);
        }
        if number > self.next_number {
            return Err(broken("an event is missing"));
        }
        self.next_number += 1;
        self.resumed = false;
        Ok(EventKind::Part)
    }

    /// Ends the answer; an end that is numbered shows whether parts are missing before it.
    fn accept_end(&mut self, number: Option<u64>) -> Result<EventKind> {
        if number.is_some_and(|number| number != self.next_number) {
            return Err(broken("an event is missing before the end"));
        }
        self.ended = true;
        Ok(EventKind::End)
    }

    /// The engine was asked to go on with the next part.
    ///
    /// Until that part arrives, an earlier one shows that the engine began anew, with
    /// words that need not go with those the caller has.
    pub fn mark_resumed(&mut self) {
        self.resumed = true;
    }

    /// Returns the number of the next part.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Returns whether the answer is whole.
    pub fn is_ended(&self) -> bool {
        self.ended
    }
}

/// Returns the `id` that the answer to `request` carries.
pub(super) fn answer_id(request: &RequestId) -> String {
    format!("chatcmpl-{request}")
}

fn broken(message: &str) -> Error {
    Error::may_have_run(Category::Backend, message)
}
