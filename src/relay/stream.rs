//! A streamed answer on its way to the caller.

use std::sync::Arc;

use bytes::Bytes;

use super::{
    answer::{next_part, EventSource, StreamStart},
    request::AnswerGuards,
    EngineRequest, SequenceChecker,
};
use crate::{Category, Error, Result, Router};

/// Most times that one answer is resumed.
const MAX_RESUMES: u32 = 3;

/// The parts of an answer, each checked before it is passed on.
///
/// The stream ends cleanly only after the explicit end of the answer; anything else
/// ends in an error, which the caller sees as a broken body.
pub struct AnswerStream {
    cx: Arc<Router>,
    sent: EngineRequest,
    first: Option<Bytes>,
    source: EventSource,
    sequence: SequenceChecker,
    resumes: u32,
    _holding: AnswerGuards,
}

impl AnswerStream {
    pub(super) fn new(
        cx: &Arc<Router>,
        sent: EngineRequest,
        begun: StreamStart,
        holding: AnswerGuards,
    ) -> Self {
        AnswerStream {
            cx: cx.clone(),
            sent,
            first: Some(begun.first),
            source: begun.source,
            sequence: begun.sequence,
            resumes: 0,
            _holding: holding,
        }
    }

    /// Returns the next part, or `None` after the end of a whole answer.
    ///
    /// An answer that is cut or falls silent is resumed after the last part, at the
    /// engine that gave it.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot go on or sends what does not belong to the answer.
    /// The request may have run.
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
                    self.clear_at_end();
                    return Some(Ok(part));
                }
                Err(err) => err,
            };
            if let Err(err) = self.resume(err).await {
                return Some(Err(err));
            }
        }
    }

    fn clear_at_end(&self) {
        if self.sequence.is_ended() {
            self.cx
                .quarantine
                .record_success(self.sent.head().fingerprint);
        }
    }

    /// Returns whether the engine may be risked again, and the budget allows it.
    fn may_run_again(&self) -> bool {
        let head = self.sent.head();
        let now = self.cx.clock.now();
        let allowed = self.cx.quarantine.check(head.fingerprint, now).is_ok();
        allowed && self.cx.admission.spend_retry(&head.team)
    }

    /// Asks the engine for the rest of the answer, or returns why that is no use.
    async fn resume(&mut self, err: Error) -> Result<()> {
        let resumable = matches!(err.classify(), Category::Cut | Category::Timeout);
        if !resumable {
            return Err(err);
        }
        let died = self.sent.check_for_crash(&self.cx, &err).await;
        if died || self.resumes >= MAX_RESUMES || !self.may_run_again() {
            return Err(err);
        }
        self.resumes += 1;
        log::info!(
            "answer resumed request={} error=\"{err}\"",
            self.sent.head().id
        );
        let answer = match self
            .sent
            .resume(&self.cx, self.sequence.next_number())
            .await
        {
            Ok(answer) => answer,
            Err(err) => {
                self.sent.check_for_crash(&self.cx, &err).await;
                return Err(err);
            }
        };
        self.source = EventSource::new(answer.into_body(), self.cx.backends.progress_timeout());
        self.sequence.mark_resumed();
        Ok(())
    }
}
