//! The answer of an engine, read as far as the first part.

use std::time::Duration;

use bytes::Bytes;
use http::{header::CONTENT_TYPE, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Deserialize;

use super::{sequence::answer_id, Event, EventKind, EventReader, SequenceChecker};
use crate::{Category, Error, RequestId, Result};

/// Largest answer that is not streamed, in bytes.
const MAX_WHOLE_ANSWER: usize = 8 * 1024 * 1024;

/// An answer that has begun.
pub enum AnswerStart {
    /// The first part of a streamed answer, and where the others come from.
    Stream(Box<StreamStart>),
    /// The answer at once, as JSON.
    Buffered(Bytes),
}

/// A streamed answer after its first part.
pub struct StreamStart {
    pub(super) first: Bytes,
    pub(super) sequence: SequenceChecker,
    pub(super) source: EventSource,
}

impl AnswerStart {
    /// Reads `answer` up to its first part, or whole when it is not streamed.
    ///
    /// # Errors
    ///
    /// Fails when the engine breaks off, stays silent for `progress` or answers another
    /// request.
    pub(super) async fn read(
        answer: Response<Incoming>,
        request: &RequestId,
        progress: Duration,
    ) -> Result<Self> {
        if !is_stream(&answer) {
            let body = read_whole(answer, progress).await?;
            check_answer_id(&body, &answer_id(request))?;
            return Ok(AnswerStart::Buffered(body));
        }
        let mut source = EventSource::new(answer.into_body(), progress);
        let mut sequence = SequenceChecker::new(request);
        let first = next_part(&mut source, &mut sequence).await?;
        Ok(AnswerStart::Stream(Box::new(StreamStart {
            first,
            sequence,
            source,
        })))
    }
}

/// Reads events until one belongs to the answer and is new.
pub(super) async fn next_part(
    source: &mut EventSource,
    sequence: &mut SequenceChecker,
) -> Result<Bytes> {
    loop {
        let event = source.next_event().await?;
        match sequence.accept(&event)? {
            EventKind::Part | EventKind::End => return Ok(event.raw),
            EventKind::Repeated => {}
        }
    }
}

/// Whole events of a body, each awaited for a limited time.
///
/// Dropping it before the end of the body closes the connection.
pub(super) struct EventSource {
    body: Incoming,
    events: EventReader,
    progress: Duration,
}

impl EventSource {
    pub(super) fn new(body: Incoming, progress: Duration) -> Self {
        EventSource {
            body,
            events: EventReader::new(),
            progress,
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
            let frame = frame.ok_or_else(|| cut("the answer has no end"))?;
            let frame = frame.map_err(|err| cut(&err.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(bytes);
            }
        }
    }
}

fn is_stream(answer: &Response<Incoming>) -> bool {
    let media_type = answer.headers().get(CONTENT_TYPE);
    media_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

async fn read_whole(answer: Response<Incoming>, progress: Duration) -> Result<Bytes> {
    let body = Limited::new(answer.into_body(), MAX_WHOLE_ANSWER).collect();
    match tokio::time::timeout(progress, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) => Err(cut(&err.to_string())),
        Err(_) => Err(silent()),
    }
}

#[derive(Deserialize)]
struct WholeAnswer<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
}

fn check_answer_id(body: &[u8], expected: &str) -> Result<()> {
    let answer: WholeAnswer<'_> =
        serde_json::from_slice(body).map_err(|err| broken(&err.to_string()))?;
    if answer.id == expected {
        Ok(())
    } else {
        Err(broken("the answer belongs to another request"))
    }
}

/// The engine does not keep the protocol; asking it again would not help.
fn broken(message: &str) -> Error {
    Error::may_have_run(Category::Backend, message)
}

/// The connection is gone, perhaps with the engine.
pub(super) fn cut(message: &str) -> Error {
    Error::may_have_run(Category::Cut, message)
}

fn silent() -> Error {
    Error::may_have_run(Category::Timeout, "the engine is silent")
}
