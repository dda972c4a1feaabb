//! Life cycle of a request.

use std::{collections::BTreeSet, sync::Arc};

use bytes::Bytes;
use http::{header::CONTENT_TYPE, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use super::backend::url;
use crate::{
    admission::{Class, Permit},
    membership::Engine,
    placement::Hint,
    steward::Slot,
    Category, ChatId, EngineName, Error, PoolName, RequestId, Result, Router, TeamName,
};

/// Header that carries the request id to and from a backend server.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Header that carries the priority class to an engine.
const PRIORITY: &str = "x-priority";

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
}

/// The request has been read.
#[derive(Debug)]
pub struct Received;

/// The request is let in.
pub struct Admitted {
    permit: Permit,
    failed: BTreeSet<EngineName>,
}

/// The request holds a slot on an engine.
pub struct Placed {
    admitted: Admitted,
    slot: Slot,
}

/// The request has been sent and its answer has begun.
pub struct Dispatched {
    placed: Placed,
    answer: Response<Incoming>,
}

/// A request at stage `S`.
pub struct Request<S> {
    head: Head,
    stage: S,
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
        let stage = Admitted {
            permit,
            failed: BTreeSet::new(),
        };
        Ok(Request {
            head: self.head,
            stage,
        })
    }
}

impl Request<Admitted> {
    /// Finds an engine below its bound and takes a slot on it.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when each engine is at its bound and
    /// [`Category::Unavailable`] when there is none.
    pub async fn place(self, cx: &Arc<Router>) -> Result<Request<Placed>> {
        let mut refusal = Error::not_run(Category::Unavailable, "no engine is live");
        for engine in self.candidates(cx) {
            match Slot::acquire(cx, &engine).await {
                Ok(slot) => return Ok(self.at_slot(slot)),
                Err(err) => refusal = err,
            }
        }
        Err(refusal)
    }

    fn candidates(&self, cx: &Router) -> Vec<Arc<Engine>> {
        let state = cx.config.current();
        let view = cx.membership.view();
        let open = |engine: &&Arc<Engine>| {
            let shut = engine.leaving || state.drained.contains(&engine.name);
            !shut && !self.stage.failed.contains(&engine.name)
        };
        let engines = view.engines(&self.head.pool).filter(open);
        cx.candidates(&self.head.chat, &self.head.hint, engines)
    }

    fn at_slot(self, slot: Slot) -> Request<Placed> {
        let stage = Placed {
            admitted: self.stage,
            slot,
        };
        Request {
            head: self.head,
            stage,
        }
    }
}

impl Request<Placed> {
    /// Sends the request to its engine and waits for the answer to begin.
    ///
    /// # Errors
    ///
    /// Gives the request back together with the error, so that the caller of this
    /// function can decide by the verdict whether to place it again.
    pub async fn dispatch(
        self,
        cx: &Router,
        body: Bytes,
    ) -> std::result::Result<Request<Dispatched>, Box<Failed>> {
        let req = match self.message(body) {
            Ok(req) => req,
            Err(err) => return Err(self.fail(err)),
        };
        match cx.backends.send(req).await.and_then(check_status) {
            Ok(answer) => Ok(self.at_answer(answer)),
            Err(err) => Err(self.fail(err)),
        }
    }

    fn message(&self, body: Bytes) -> Result<http::Request<Full<Bytes>>> {
        let engine = self.stage.slot.engine();
        let priority = match self.head.class {
            Class::Interactive => "1",
            Class::Draft => "0",
        };
        http::Request::post(url(engine.address, "/v1/chat/completions"))
            .header(CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, self.head.id.as_str())
            .header(PRIORITY, priority)
            .header("x-chat", self.head.chat.as_str())
            .body(Full::new(body))
            .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))
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

    fn at_answer(self, answer: Response<Incoming>) -> Request<Dispatched> {
        let stage = Dispatched {
            placed: self.stage,
            answer,
        };
        Request {
            head: self.head,
            stage,
        }
    }
}

/// Accepts only an answer that the engine has begun; a refusal means nothing ran.
fn check_status(answer: Response<Incoming>) -> Result<Response<Incoming>> {
    let status = answer.status();
    if status.is_success() {
        return Ok(answer);
    }
    let message = format!("the engine answered {status}");
    Err(match status.as_u16() {
        429 => Error::not_run(Category::Overloaded, message),
        503 => Error::not_run(Category::Unavailable, message),
        400..=499 => Error::not_run(Category::BadInput, message),
        _ => Error::may_have_run(Category::Backend, message),
    })
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

    /// Splits off the answer; what remains holds the slot and the permit.
    pub(super) fn into_answer(self) -> (Holding, Response<Incoming>) {
        let holding = Holding {
            _permit: self.stage.placed.admitted.permit,
            _slot: self.stage.placed.slot,
        };
        (holding, self.stage.answer)
    }
}

/// The slot and the permit of an answer under way.
pub(super) struct Holding {
    _permit: Permit,
    _slot: Slot,
}
