//! Life cycle of a request.

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
pub(super) const REQUEST_ID: &str = "x-request-id";

/// What is known of a request from its headers.
#[derive(Debug, Clone)]
pub struct ChatHead {
    /// Identity of the request, the same for each attempt.
    pub id: RequestId,
    /// Team that sends it.
    pub team: TeamName,
    /// Pool that serves it.
    pub pool: PoolName,
    /// Chat it belongs to.
    pub chat: ChatId,
    /// Engines that served the chat last.
    pub hint: Hint,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// How soon the answer is needed.
    pub class: Class,
    /// Tells requests that crash engines from others.
    pub fingerprint: Fingerprint,
}

/// The request has been read.
#[derive(Debug)]
pub struct Received;

/// The request is let in.
pub struct Admitted {
    permit: Permit,
    pub(super) failed_engines: BTreeSet<EngineName>,
    pub(super) duplicate_guard: DuplicateGuard,
    /// Leave to run a request that might crash engines.
    pub(super) canary: Option<CanaryPermit>,
    /// Whether a copy of the request may be on an engine.
    pub(super) duplicate_seen: bool,
}

/// The request holds a slot on an engine.
pub struct Placed {
    pub(super) admitted: Admitted,
    pub(super) slot: Slot,
}

/// The request has been sent and its answer has begun.
pub struct Dispatched {
    placed: Placed,
    sent: EngineRequest,
    opening: AnswerStart,
}

/// A request at stage `S`.
pub struct ChatRequest<S> {
    pub(super) head: ChatHead,
    pub(super) stage: S,
}

/// A dispatch that failed, with the request as it was before it was placed.
pub struct FailedDispatch {
    /// The request, which will not be placed on the same engine again.
    pub req: ChatRequest<Admitted>,
    /// Why it failed.
    pub err: Error,
}

impl<S> ChatRequest<S> {
    /// Returns what is known from the headers.
    pub fn head(&self) -> &ChatHead {
        &self.head
    }
}

impl ChatRequest<Received> {
    /// Creates a request that has been read.
    pub fn new(head: ChatHead) -> Self {
        let stage = Received;
        ChatRequest { head, stage }
    }

    /// Lets the request in.
    ///
    /// # Errors
    ///
    /// Fails as [`crate::admission::Admission::admit`] does.
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
    /// Gives the request back together with the error, so that the caller of this
    /// function can decide whether to place it again.
    pub async fn dispatch(
        self,
        cx: &Router,
        body: Bytes,
    ) -> std::result::Result<ChatRequest<Dispatched>, Box<FailedDispatch>> {
        let engine = self.stage.slot.engine().clone();
        let sent = EngineRequest::new(cx, self.head.clone(), body, engine);
        // After a failure, a connection that was idle is not trusted.
        let fresh = !self.stage.admitted.failed_engines.is_empty();
        match self.open(cx, &sent, fresh).await {
            Ok(opening) => Ok(self.at_opening(sent, opening)),
            Err(err) => {
                sent.check_for_crash(cx, &err).await;
                let engine = self.stage.slot.engine();
                let refusing = &cx.membership.refusing;
                refusing.record_failure(engine, &err, cx.clock.now());
                Err(self.fail(err))
            }
        }
    }

    async fn open(&self, cx: &Router, sent: &EngineRequest, fresh: bool) -> Result<AnswerStart> {
        let answer = sent.send(cx, fresh).await?;
        AnswerStart::read(answer, &self.head.id, cx.backends.progress_timeout()).await
    }

    fn fail(self, err: Error) -> Box<FailedDispatch> {
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

    fn at_opening(self, sent: EngineRequest, opening: AnswerStart) -> ChatRequest<Dispatched> {
        let stage = Dispatched {
            placed: self.stage,
            sent,
            opening,
        };
        ChatRequest {
            head: self.head,
            stage,
        }
    }
}

impl ChatRequest<Dispatched> {
    /// Returns the engine that answers.
    pub fn engine(&self) -> &Arc<Engine> {
        self.stage.placed.slot.engine()
    }

    /// Returns the hint for the chat's next request.
    pub fn next_hint(&self) -> Hint {
        self.head.hint.with_served_by(self.engine())
    }

    /// Turns the request into its answer, which holds the slot and the permit.
    pub fn into_answer(self, cx: &Arc<Router>) -> ChatAnswer {
        let hint = self.next_hint();
        let holding = AnswerGuards {
            _permit: self.stage.placed.admitted.permit,
            _copy: self.stage.placed.admitted.duplicate_guard,
            _trial: self.stage.placed.admitted.canary,
            _slot: self.stage.placed.slot,
        };
        match self.stage.opening {
            AnswerStart::Buffered(body) => {
                cx.quarantine.record_success(self.head.fingerprint);
                ChatAnswer::Buffered { body, hint }
            }
            AnswerStart::Stream(begun) => {
                let stream = AnswerStream::new(cx, self.stage.sent, *begun, holding);
                let stream = Box::new(stream);
                ChatAnswer::Stream { stream, hint }
            }
        }
    }
}

/// The slot and the permit of an answer under way.
pub(super) struct AnswerGuards {
    _permit: Permit,
    _copy: DuplicateGuard,
    _trial: Option<CanaryPermit>,
    _slot: Slot,
}
