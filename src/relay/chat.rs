//! One chat request from its admission to its answer.

use std::sync::Arc;

use bytes::Bytes;

use super::{Admitted, AnswerStream, ChatHead, ChatRequest, Dispatched, Received};
use crate::{placement::Hint, Category, Result, Router, Verdict};

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
    Buffered {
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
/// Fails with the verdict of all attempts made here. A chat changes nothing but caches,
/// so it is sent to another engine, while the team's retry budget allows it, as long as
/// no part of an answer was passed on.
pub async fn chat(cx: &Arc<Router>, head: ChatHead, body: Bytes) -> Result<ChatAnswer> {
    let req = ChatRequest::<Received>::new(head).admit(cx)?;
    let req = dispatch_with_retries(cx, req, body).await?;
    Ok(req.into_answer(cx))
}

async fn dispatch_with_retries(
    cx: &Arc<Router>,
    mut req: ChatRequest<Admitted>,
    body: Bytes,
) -> Result<ChatRequest<Dispatched>> {
    let mut verdict = Verdict::NotRun;
    let mut dispatches = 0;
    loop {
        let convicted = cx.quarantine.check(req.head().fingerprint, cx.clock.now());
        convicted.map_err(|err| err.with_verdict_at_least(verdict))?;
        let placed = req.place(cx).await;
        let placed = placed.map_err(|err| err.with_verdict_at_least(verdict))?;
        let failed = match placed.dispatch(cx, body.clone()).await {
            Ok(dispatched) => return Ok(dispatched),
            Err(failed) => failed,
        };
        dispatches += 1;
        verdict = verdict.or(failed.err.verdict());
        let again = failed.err.classify() != Category::BadInput
            && dispatches < MAX_DISPATCHES
            && cx.admission.spend_retry(&failed.req.head().team);
        if !again {
            return Err(failed.err.with_verdict_at_least(verdict));
        }
        req = failed.req;
    }
}
