//! Serves one chat request, from its admission to its answer.

use std::sync::Arc;

use bytes::Bytes;

use super::{Admitted, AnswerStream, ChatHead, ChatRequest, Dispatched, Received};
use crate::{placement::Hint, Category, Result, Router, Verdict};

/// Maximum number of times that one request is sent to an engine.
const MAX_DISPATCHES: usize = 3;

/// The answer to a chat request.
pub enum ChatAnswer {
    /// An answer that is streamed part by part.
    Stream {
        /// Source of the parts.
        stream: Box<AnswerStream>,
        /// Hint for the chat's next request.
        hint: Hint,
    },
    /// A buffered answer.
    Buffered {
        /// The complete JSON body.
        body: Bytes,
        /// Hint for the chat's next request.
        hint: Hint,
    },
}

/// Admits a chat request, sends it to an engine and returns its answer once it has begun.
///
/// A chat request changes nothing but caches, so until an answer has begun it is retried on
/// other engines as far as the team's retry budget allows.
///
/// # Errors
///
/// Fails with the combined verdict of all attempts that this router made.
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
        let allowed = cx.quarantine.check(req.head().fingerprint, cx.clock.now());
        allowed.map_err(|err| err.with_verdict_at_least(verdict))?;
        let placed = req.place(cx).await;
        let placed = placed.map_err(|err| err.with_verdict_at_least(verdict))?;
        let failed = match placed.dispatch(cx, body.clone()).await {
            Ok(dispatched) => return Ok(dispatched),
            Err(failed) => failed,
        };
        dispatches += 1;
        verdict = verdict.strongest(failed.err.verdict());
        let may_retry = failed.err.classify() != Category::BadInput
            && dispatches < MAX_DISPATCHES
            && cx.admission.spend_retry(&failed.req.head().team);
        if !may_retry {
            return Err(failed.err.with_verdict_at_least(verdict));
        }
        req = failed.req;
    }
}
