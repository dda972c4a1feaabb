//! A streamed answer on its way to the caller.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{request::Holding, Event, EventReader, Sequence, Step};
use crate::{Category, Error, Result};

/// The parts of an answer, each checked before it is passed on.
///
/// The stream ends cleanly only after the explicit end of the answer; anything else
/// ends in an error, which the caller sees as a broken body.
pub struct AnswerStream {
    body: Incoming,
    events: EventReader,
    sequence: Sequence,
    progress: Duration,
    _holding: Holding,
}

impl AnswerStream {
    pub(super) fn new(
        body: Incoming,
        sequence: Sequence,
        progress: Duration,
        holding: Holding,
    ) -> Self {
        AnswerStream {
            body,
            events: EventReader::new(),
            sequence,
            progress,
            _holding: holding,
        }
    }

    /// Returns the next part, or `None` after the end of a whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the engine breaks off, falls silent or sends what does not belong to
    /// the answer. The request may have run.
    pub async fn next_part(&mut self) -> Option<Result<Bytes>> {
        if self.sequence.is_ended() {
            return None;
        }
        loop {
            let event = match self.next_event().await {
                Ok(event) => event,
                Err(err) => return Some(Err(err)),
            };
            match self.sequence.accept(&event) {
                Ok(Step::Part | Step::End) => return Some(Ok(event.raw)),
                Ok(Step::Repeated) => {}
                Err(err) => return Some(Err(err)),
            }
        }
    }

    async fn next_event(&mut self) -> Result<Event> {
        loop {
            let event = self.events.next_event();
            let event = event.map_err(|_| broken("an event is too large"))?;
            if let Some(event) = event {
                return Ok(event);
            }
            let bytes = self.next_bytes().await?;
            self.events.push(&bytes);
        }
    }

    async fn next_bytes(&mut self) -> Result<Bytes> {
        loop {
            let frame = tokio::time::timeout(self.progress, self.body.frame()).await;
            let frame = frame.map_err(|_| silent())?;
            let frame = frame.ok_or_else(|| broken("the answer has no end"))?;
            let frame = frame.map_err(|err| broken(&err.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(bytes);
            }
        }
    }
}

fn broken(message: &str) -> Error {
    Error::may_have_run(Category::Backend, message)
}

fn silent() -> Error {
    Error::may_have_run(Category::Timeout, "the engine is silent")
}
