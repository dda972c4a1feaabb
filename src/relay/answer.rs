//! Reads the answer of an engine up to its first part.

use std::time::Duration;

use bytes::Bytes;
use http::{header::CONTENT_TYPE, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Deserialize;

use super::{sequence::answer_id, Event, EventKind, EventReader, SequenceChecker};
use crate::{Category, Error, RequestId, Result};

/// Largest buffered (not streamed) answer.
const MAX_BUFFERED_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// An engine's answer of which at least the first part has arrived.
pub enum AnswerStart {
    /// A streamed answer: its first part and the source of the remaining ones.
    Stream(Box<StreamStart>),
    /// A buffered answer: the complete JSON body.
    Buffered(Bytes),
}

/// A streamed answer whose first part has been read.
pub struct StreamStart {
    pub(super) first: Bytes,
    pub(super) sequence: SequenceChecker,
    pub(super) source: EventSource,
}

impl AnswerStart {
    /// Reads `answer` up to its first part, or completely when it is not streamed.
    ///
    /// # Errors
    ///
    /// Fails when the engine closes the connection, sends no event for `progress_timeout` or
    /// sends the answer to another request.
    pub(super) async fn read(
        answer: Response<Incoming>,
        request: &RequestId,
        progress_timeout: Duration,
    ) -> Result<Self> {
        if !is_stream(&answer) {
            let body = read_buffered(answer, progress_timeout).await?;
            check_answer_id(&body, &answer_id(request))?;
            return Ok(AnswerStart::Buffered(body));
        }
        let mut source = EventSource::new(answer.into_body(), progress_timeout);
        let mut sequence = SequenceChecker::new(request);
        let first = next_part(&mut source, &mut sequence).await?;
        Ok(AnswerStart::Stream(Box::new(StreamStart {
            first,
            sequence,
            source,
        })))
    }
}

/// Returns the next event of the answer; skips events that repeat an earlier part.
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

/// Reads complete events from a response body, with a time limit for each of them.
///
/// Dropping it before the end of the body closes the connection.
pub(super) struct EventSource {
    body: Incoming,
    events: EventReader,
    progress_timeout: Duration,
}

impl EventSource {
    pub(super) fn new(body: Incoming, progress_timeout: Duration) -> Self {
        EventSource {
            body,
            events: EventReader::new(),
            progress_timeout,
        }
    }

    /// Returns the next event; comments are none and may come without end.
    async fn next_event(&mut self) -> Result<Event> {
        let progress_timeout = self.progress_timeout;
        let event = tokio::time::timeout(progress_timeout, self.read_event()).await;
        event.map_err(|_| progress_timeout_error())?
    }

    async fn read_event(&mut self) -> Result<Event> {
        loop {
            let event = self.events.next_event();
            let event = event
                .map_err(|_| protocol_error("an event of the engine exceeds the size limit"))?;
            match event {
                Some(event) if event.is_comment => {}
                Some(event) => return Ok(event),
                None => {
                    let bytes = self.next_bytes().await?;
                    self.events.push(&bytes);
                }
            }
        }
    }

    async fn next_bytes(&mut self) -> Result<Bytes> {
        loop {
            let frame = self.body.frame().await.ok_or_else(|| {
                connection_lost_error(
                    "the engine closed the connection before the end of the answer",
                )
            })?;
            let frame = frame.map_err(|err| connection_lost_error(&err.to_string()))?;
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

async fn read_buffered(answer: Response<Incoming>, progress_timeout: Duration) -> Result<Bytes> {
    let body = Limited::new(answer.into_body(), MAX_BUFFERED_ANSWER_BYTES).collect();
    match tokio::time::timeout(progress_timeout, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) => Err(connection_lost_error(&err.to_string())),
        Err(_) => Err(progress_timeout_error()),
    }
}

#[derive(Deserialize)]
struct BufferedAnswer<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
}

fn check_answer_id(body: &[u8], expected: &str) -> Result<()> {
    let answer: BufferedAnswer<'_> =
        serde_json::from_slice(body).map_err(|err| protocol_error(&err.to_string()))?;
    if answer.id == expected {
        Ok(())
    } else {
        Err(protocol_error("the answer belongs to another request"))
    }
}

/// Creates the error for an answer that violates the protocol; a resume would not help.
fn protocol_error(message: &str) -> Error {
    Error::may_have_run(Category::Backend, message)
}

/// Creates the error for a lost connection; the engine may have crashed as well.
pub(super) fn connection_lost_error(message: &str) -> Error {
    Error::may_have_run(Category::Cut, message)
}

/// Creates the error for an engine that sent no event within the progress timeout.
fn progress_timeout_error() -> Error {
    Error::may_have_run(
        Category::Timeout,
        "the engine sent no event within the progress timeout",
    )
}
