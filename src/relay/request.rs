//! Life cycle of a chat request, with one type for each stage.

use std::{collections::BTreeSet, sync::Arc};

use bytes::Bytes;

use super::{canary::CanaryPermit, AnswerStart, AnswerStream, ChatAnswer, EngineRequest};
use crate::{
    admission::{Class, DuplicateGuard, Fingerprint, Permit},
    membership::Engine,
    placement::Hint,
    steward::Slot,
    ChatId, EngineName, Error, PoolName, RequestId, Result, Router, TeamName,
};

/// Header that carries the request id to and from a backend server.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Metadata of a chat request, without its body.
#[derive(Debug, Clone)]
pub struct ChatHead {
    /// Request id, which all attempts share.
    pub id: RequestId,
    /// Team that sends the request.
    pub team: TeamName,
    /// Pool whose engines serve the request.
    pub pool: PoolName,
    /// Chat that the request belongs to.
    pub chat: ChatId,
    /// Engines that served the chat most recently.
    pub hint: Hint,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Priority class of the request.
    pub class: Class,
    /// Hash of the body, by which duplicates and poison requests are recognised.
    pub fingerprint: Fingerprint,
}

/// Stage of a request that has been read.
#[derive(Debug)]
pub struct Received;

/// Stage of a request that has been admitted and holds a permit.
pub struct Admitted {
    permit: Permit,
    pub(super) failed_engines: BTreeSet<EngineName>,
    pub(super) duplicate_guard: DuplicateGuard,
    /// Permit of the canary run, for a request that may crash engines.
    pub(super) canary: Option<CanaryPermit>,
    /// Whether a duplicate of the request may be in flight on an engine.
    pub(super) duplicate_seen: bool,
}

/// Stage of a request that holds a slot on an engine.
pub struct Placed {
    pub(super) admitted: Admitted,
    pub(super) slot: Slot,
}

/// Stage of a request that has been sent and whose answer has begun.
pub struct Dispatched {
    placed: Placed,
    engine_request: EngineRequest,
    answer_start: AnswerStart,
}

/// A chat request at stage `S`.
pub struct ChatRequest<S> {
    pub(super) head: ChatHead,
    pub(super) stage: S,
}

/// Error of a dispatch, with the request back at the stage before it was placed.
pub struct FailedDispatch {
    /// The request, which is not placed on the same engine again.
    pub req: ChatRequest<Admitted>,
    /// Error with which the dispatch failed.
    pub err: Error,
}

impl<S> ChatRequest<S> {
    /// Returns the metadata of the request.
    pub fn head(&self) -> &ChatHead {
        &self.head
    }
}

impl ChatRequest<Received> {
    /// Creates a request at its first stage.
    pub fn new(head: ChatHead) -> Self {
        let stage = Received;
        ChatRequest { head, stage }
    }

    /// Admits the request.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`crate::admission::Admission::admit`].
    pub fn admit(self, cx: &Router) -> Result<ChatRequest<Admitted>> {
        let permit = cx.admission.admit(&self.head.team, self.head.attempt)?;
        let duplicate_guard = cx.quarantine.duplicates.track(self.head.fingerprint);
        let stage = Admitted {
            permit,
            duplicate_seen: !duplicate_guard.is_first(),
            duplicate_guard,
            failed_engines: BTreeSet::new(),
            canary: None,
        };
        Ok(ChatRequest {
            head: self.head,
            stage,
        })
    }
}

impl ChatRequest<Placed> {
    /// Sends the request to its engine and waits for the answer to begin.
    ///
    /// # Errors
    ///
    /// Returns the request together with the error, so that the caller of this function can
    /// decide whether to place it again.
    pub async fn dispatch(
        self,
        cx: &Router,
        body: Bytes,
    ) -> std::result::Result<ChatRequest<Dispatched>, Box<FailedDispatch>> {
        let engine = self.stage.slot.engine().clone();
        let engine_request = EngineRequest::new(cx, self.head.clone(), body, engine);
        // After a failure, an idle connection may be broken as well.
        let new_connection = !self.stage.admitted.failed_engines.is_empty();
        match self.begin_answer(cx, &engine_request, new_connection).await {
            Ok(answer_start) => Ok(self.into_dispatched(engine_request, answer_start)),
            Err(err) => {
                engine_request.check_for_crash(cx, &err).await;
                let engine = self.stage.slot.engine();
                let refusing_engines = &cx.membership.refusing_engines;
                refusing_engines.record_failure(engine, &err, cx.clock.now());
                Err(self.into_failed(err))
            }
        }
    }

    async fn begin_answer(
        &self,
        cx: &Router,
        engine_request: &EngineRequest,
        new_connection: bool,
    ) -> Result<AnswerStart> {
        let answer = engine_request.send(cx, new_connection).await?;
        AnswerStart::read(answer, &self.head.id, cx.backends.progress_timeout()).await
    }

    fn into_failed(self, err: Error) -> Box<FailedDispatch> {
        let mut stage = self.stage.admitted;
        stage
            .failed_engines
            .insert(self.stage.slot.engine().name.clone());
        let req = ChatRequest {
            head: self.head,
            stage,
        };
        Box::new(FailedDispatch { req, err })
    }

    fn into_dispatched(
        self,
        engine_request: EngineRequest,
        answer_start: AnswerStart,
    ) -> ChatRequest<Dispatched> {
        let stage = Dispatched {
            placed: self.stage,
            engine_request,
            answer_start,
        };
        ChatRequest {
            head: self.head,
            stage,
        }
    }
}

impl ChatRequest<Dispatched> {
    /// Returns the engine that answers the request.
    pub fn engine(&self) -> &Arc<Engine> {
        self.stage.placed.slot.engine()
    }

    /// Returns the hint for the chat's next request.
    pub fn next_hint(&self) -> Hint {
        self.head.hint.with_served_by(self.engine())
    }

    /// Turns the request into its answer; a streamed answer keeps the slot and the permits.
    pub fn into_answer(self, cx: &Arc<Router>) -> ChatAnswer {
        let hint = self.next_hint();
        let guards = AnswerGuards {
            _permit: self.stage.placed.admitted.permit,
            _duplicate_guard: self.stage.placed.admitted.duplicate_guard,
            _canary: self.stage.placed.admitted.canary,
            _slot: self.stage.placed.slot,
        };
        match self.stage.answer_start {
            AnswerStart::Buffered(body) => {
                cx.quarantine
                    .record_success(self.head.fingerprint, cx.clock.now());
                ChatAnswer::Buffered { body, hint }
            }
            AnswerStart::Stream(start) => {
                let stream = AnswerStream::new(cx, self.stage.engine_request, *start, guards);
                let stream = Box::new(stream);
                ChatAnswer::Stream { stream, hint }
            }
        }
    }
}

/// Resources that a streamed answer holds until it is dropped.
pub(super) struct AnswerGuards {
    _permit: Permit,
    _duplicate_guard: DuplicateGuard,
    _canary: Option<CanaryPermit>,
    _slot: Slot,
}
