//! Life cycle of a request.

use std::{collections::BTreeSet, sync::Arc};

use bytes::Bytes;

use super::{trial::Trial, AnswerStream, ChatAnswer, Opening, Sent};
use crate::{
    admission::{Class, Fingerprint, OneCopy, Permit},
    membership::Engine,
    placement::Hint,
    steward::Slot,
    ChatId, EngineName, Error, PoolName, RequestId, Result, Router, TeamName,
};

/// Header that carries the request id to and from a backend server.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// What is known of a request from its headers.
#[derive(Debug, Clone)]
pub struct Head {
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
    pub(super) failed: BTreeSet<EngineName>,
    pub(super) copy: OneCopy,
    /// Leave to run a request that might crash engines.
    pub(super) trial: Option<Trial>,
    /// Whether a copy of the request may be on an engine.
    pub(super) contested: bool,
}

/// The request holds a slot on an engine.
pub struct Placed {
    pub(super) admitted: Admitted,
    pub(super) slot: Slot,
}

/// The request has been sent and its answer has begun.
pub struct Dispatched {
    placed: Placed,
    sent: Sent,
    opening: Opening,
}

/// A request at stage `S`.
pub struct Request<S> {
    pub(super) head: Head,
    pub(super) stage: S,
}

/// A dispatch that failed, with the request as it was before it was placed.
pub struct Failed {
    /// The request, which will not be placed on the same engine again.
    pub req: Request<Admitted>,
    /// Why it failed.
    pub err: Error,
}

impl<S> Request<S> {
    /// Returns what is known from the headers.
    pub fn head(&self) -> &Head {
        &self.head
    }
}

impl Request<Received> {
    /// Creates a request that has been read.
    pub fn new(head: Head) -> Self {
        let stage = Received;
        Request { head, stage }
    }

    /// Lets the request in.
    ///
    /// # Errors
    ///
    /// Fails as [`crate::admission::Admission::admit`] does.
    pub fn admit(self, cx: &Router) -> Result<Request<Admitted>> {
        let permit = cx.admission.admit(&self.head.team, self.head.attempt)?;
        let copy = cx.quarantine.copies.enter(self.head.fingerprint);
        let stage = Admitted {
            permit,
            contested: !copy.is_first(),
            copy,
            failed: BTreeSet::new(),
            trial: None,
        };
        Ok(Request {
            head: self.head,
            stage,
        })
    }
}

impl Request<Placed> {
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
    ) -> std::result::Result<Request<Dispatched>, Box<Failed>> {
        let engine = self.stage.slot.engine().clone();
        let sent = Sent::new(cx, self.head.clone(), body, engine);
        // After a failure, a connection that was idle is not trusted.
        let fresh = !self.stage.admitted.failed.is_empty();
        match self.open(cx, &sent, fresh).await {
            Ok(opening) => Ok(self.at_opening(sent, opening)),
            Err(err) => {
                sent.note_failure(cx, &err).await;
                let engine = self.stage.slot.engine();
                let refusing = &cx.membership.refusing;
                refusing.note_failure(engine, &err, cx.clock.now());
                Err(self.fail(err))
            }
        }
    }

    async fn open(&self, cx: &Router, sent: &Sent, fresh: bool) -> Result<Opening> {
        let answer = sent.send(cx, fresh).await?;
        Opening::read(answer, &self.head.id, cx.backends.progress()).await
    }

    fn fail(self, err: Error) -> Box<Failed> {
        let mut stage = self.stage.admitted;
        stage.failed.insert(self.stage.slot.engine().name.clone());
        let req = Request {
            head: self.head,
            stage,
        };
        Box::new(Failed { req, err })
    }

    fn at_opening(self, sent: Sent, opening: Opening) -> Request<Dispatched> {
        let stage = Dispatched {
            placed: self.stage,
            sent,
            opening,
        };
        Request {
            head: self.head,
            stage,
        }
    }
}

impl Request<Dispatched> {
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
        let holding = Holding {
            _permit: self.stage.placed.admitted.permit,
            _copy: self.stage.placed.admitted.copy,
            _trial: self.stage.placed.admitted.trial,
            _slot: self.stage.placed.slot,
        };
        match self.stage.opening {
            Opening::Whole(body) => {
                cx.quarantine.clear(self.head.fingerprint);
                ChatAnswer::Whole { body, hint }
            }
            Opening::Stream(begun) => {
                let stream = AnswerStream::new(cx, self.stage.sent, *begun, holding);
                let stream = Box::new(stream);
                ChatAnswer::Stream { stream, hint }
            }
        }
    }
}

/// The slot and the permit of an answer under way.
pub(super) struct Holding {
    _permit: Permit,
    _copy: OneCopy,
    _trial: Option<Trial>,
    _slot: Slot,
}
