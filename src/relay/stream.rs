//! Passes a streamed answer on to the caller, and resumes it when it is interrupted.

use std::sync::Arc;

use bytes::Bytes;

use super::{
    answer::{next_part, EventSource, StreamStart},
    request::AnswerGuards,
    EngineRequest, SequenceChecker,
};
use crate::{Category, Error, Result, Router};

/// Maximum number of times that one answer is resumed.
const MAX_RESUMES: u32 = 3;

/// A streamed answer whose parts are checked before they are passed on.
///
/// The stream ends without an error only after the explicit end of the answer. In any other
/// case it ends with an error, which the caller sees as an incomplete body.
pub struct AnswerStream {
    cx: Arc<Router>,
    request: EngineRequest,
    first: Option<Bytes>,
    source: EventSource,
    sequence: SequenceChecker,
    resume_count: u32,
    _guards: AnswerGuards,
}

impl AnswerStream {
    pub(super) fn new(
        cx: &Arc<Router>,
        request: EngineRequest,
        start: StreamStart,
        guards: AnswerGuards,
    ) -> Self {
        AnswerStream {
            cx: cx.clone(),
            request,
            first: Some(start.first),
            source: start.source,
            sequence: start.sequence,
            resume_count: 0,
            _guards: guards,
        }
    }

    /// Returns the next part, or `None` after the end of a complete answer.
    ///
    /// If the connection is lost or nothing arrives within the progress timeout, the answer
    /// is resumed after the last part, by the same engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot resume the answer or sends events that do not belong to
    /// it. The verdict is "may have run".
    pub async fn next_part(&mut self) -> Option<Result<Bytes>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        if self.sequence.is_ended() {
            return None;
        }
        loop {
            let err = match next_part(&mut self.source, &mut self.sequence).await {
                Ok(part) => {
                    self.record_success_at_end();
                    return Some(Ok(part));
                }
                Err(err) => err,
            };
            if let Err(err) = self.resume(err).await {
                return Some(Err(err));
            }
        }
    }

    /// Records that the request ran without a crash, if its answer is complete.
    fn record_success_at_end(&self) {
        if self.sequence.is_ended() {
            self.cx
                .quarantine
                .record_success(self.request.head().fingerprint, self.cx.clock.now());
        }
    }

    /// Returns whether the request is not quarantined and the team's retry budget allows a resume.
    fn may_resume(&self) -> bool {
        let head = self.request.head();
        let now = self.cx.clock.now();
        let allowed = self.cx.quarantine.check(head.fingerprint, now).is_ok();
        allowed && self.cx.admission.spend_retry(&head.team)
    }

    /// Asks the engine for the rest of the answer after the stream failed with `err`.
    ///
    /// # Errors
    ///
    /// Returns `err` if the answer may not be resumed, and the error of the resume if that
    /// fails.
    async fn resume(&mut self, err: Error) -> Result<()> {
        let resumable = matches!(err.classify(), Category::Cut | Category::Timeout);
        if !resumable {
            return Err(err);
        }
        let crashed = self.request.check_for_crash(&self.cx, &err).await;
        if crashed || self.resume_count >= MAX_RESUMES || !self.may_resume() {
            return Err(err);
        }
        self.resume_count += 1;
        log::info!(
            "resuming answer request={} error=\"{err}\"",
            self.request.head().id
        );
        let answer = match self
            .request
            .resume(&self.cx, self.sequence.next_number())
            .await
        {
            Ok(answer) => answer,
            Err(err) => {
                self.request.check_for_crash(&self.cx, &err).await;
                return Err(err);
            }
        };
        self.source = EventSource::new(answer.into_body(), self.cx.backends.progress_timeout());
        self.sequence.mark_resumed();
        Ok(())
    }
}
