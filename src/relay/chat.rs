//! One chat request from its admission to its answer.

use std::sync::Arc;

use bytes::Bytes;
use http::{header::CONTENT_TYPE, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Deserialize;

use super::{
    request::Holding, sequence::answer_id, AnswerStream, Dispatched, Head, Received, Request,
    Sequence,
};
use crate::{placement::Hint, Category, Error, Result, Router, Verdict};

/// Largest answer that is not streamed, in bytes.
const MAX_WHOLE_ANSWER: usize = 8 * 1024 * 1024;

/// Most engines that one request is sent to.
const MAX_DISPATCHES: usize = 3;

/// The answer to a chat request.
pub enum ChatAnswer {
    /// The answer in parts.
    Stream {
        /// The parts.
        stream: Box<AnswerStream>,
        /// Hint for the chat's next request.
        hint: Hint,
    },
    /// The answer at once, as JSON.
    Whole {
        /// The JSON text.
        body: Bytes,
        /// Hint for the chat's next request.
        hint: Hint,
    },
}

/// Serves a chat request.
///
/// # Errors
///
/// Fails with the verdict of all attempts made here. A request is sent to another
/// engine only when it has not run and the team's retry budget allows it.
pub async fn chat(cx: &Arc<Router>, head: Head, body: Bytes) -> Result<ChatAnswer> {
    let req = Request::<Received>::new(head).admit(cx)?;
    let req = dispatch_with_retries(cx, req, body).await?;
    let hint = req.next_hint();
    let id = req.head().id.clone();
    let (holding, answer) = req.into_answer();
    if is_stream(&answer) {
        let progress = cx.backends.progress();
        let sequence = Sequence::new(&id);
        let stream = AnswerStream::new(answer.into_body(), sequence, progress, holding);
        let stream = Box::new(stream);
        return Ok(ChatAnswer::Stream { stream, hint });
    }
    let body = whole_answer(cx, answer, holding).await?;
    check_answer_id(&body, &answer_id(&id))?;
    Ok(ChatAnswer::Whole { body, hint })
}

async fn dispatch_with_retries(
    cx: &Arc<Router>,
    mut req: Request<super::Admitted>,
    body: Bytes,
) -> Result<Request<Dispatched>> {
    let mut dispatches = 0;
    loop {
        let placed = req.place(cx).await?;
        dispatches += 1;
        let failed = match placed.dispatch(cx, body.clone()).await {
            Ok(dispatched) => return Ok(dispatched),
            Err(failed) => failed,
        };
        let team = &failed.req.head().team;
        let again = failed.err.verdict() == Verdict::NotRun
            && failed.err.classify() != Category::BadInput
            && dispatches < MAX_DISPATCHES
            && cx.admission.may_retry(team);
        if !again {
            return Err(failed.err);
        }
        req = failed.req;
    }
}

fn is_stream(answer: &Response<Incoming>) -> bool {
    let media_type = answer.headers().get(CONTENT_TYPE);
    media_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

async fn whole_answer(cx: &Router, answer: Response<Incoming>, _holding: Holding) -> Result<Bytes> {
    let body = Limited::new(answer.into_body(), MAX_WHOLE_ANSWER).collect();
    match tokio::time::timeout(cx.backends.progress(), body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) => Err(Error::may_have_run(Category::Backend, err.to_string())),
        Err(_) => Err(Error::may_have_run(
            Category::Timeout,
            "the engine is silent",
        )),
    }
}

#[derive(Deserialize)]
struct WholeAnswer<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
}

fn check_answer_id(body: &[u8], expected: &str) -> Result<()> {
    let answer: WholeAnswer<'_> = serde_json::from_slice(body)
        .map_err(|err| Error::may_have_run(Category::Backend, err.to_string()))?;
    if answer.id == expected {
        Ok(())
    } else {
        let message = "the answer belongs to another request";
        Err(Error::may_have_run(Category::Backend, message))
    }
}
