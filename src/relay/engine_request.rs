//! A chat request as it is sent to its engine, and sent again to resume its answer.

use std::sync::Arc;

use bytes::Bytes;
use http::{header::CONTENT_TYPE, HeaderName, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{backend::url, probe, request::REQUEST_ID, ChatHead};
use crate::{
    admission::{Class, Crash},
    membership::Engine,
    Category, Error, Result, Router, VersionName,
};

/// Header that carries the priority class to an engine.
const PRIORITY: &str = "x-priority";

/// Header that carries the chat to an engine.
const CHAT: &str = "x-chat";

/// Header that names the version that is to serve the request.
const VERSION: &str = "x-version";

/// Header by which an answer is resumed after the event with this number.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// What became of one life of an engine.
enum EngineState {
    Ended,
    Running,
    /// Something listens at its address, which may be its next life.
    Unknown,
}

/// A request and the engine that it was sent to.
pub struct EngineRequest {
    head: ChatHead,
    body: Bytes,
    engine: Arc<Engine>,
    version: Option<VersionName>,
}

impl EngineRequest {
    /// Creates the request that is about to be sent to `engine`.
    pub(super) fn new(cx: &Router, head: ChatHead, body: Bytes, engine: Arc<Engine>) -> Self {
        let config = cx.config.current();
        let team = config.teams.get(&head.team);
        EngineRequest {
            version: team.and_then(|team| team.version.clone()),
            head,
            body,
            engine,
        }
    }

    /// Returns what is known of the request from its headers.
    pub fn head(&self) -> &ChatHead {
        &self.head
    }

    /// Sends the request; `fresh` asks for a connection of its own.
    pub(super) async fn send(&self, cx: &Router, fresh: bool) -> Result<Response<Incoming>> {
        let req = self.message(None)?;
        let answer = match fresh {
            true => cx.backends.send_on_new_connection(req).await,
            false => cx.backends.send(req).await,
        };
        answer.and_then(check_status)
    }

    /// Asks the same life of the engine for the parts from number `next` on.
    ///
    /// # Errors
    ///
    /// Fails when the engine is gone, does not answer or refuses.
    pub(super) async fn resume(&self, cx: &Router, next: u64) -> Result<Response<Incoming>> {
        if !self.engine_is_live(cx) {
            let message = "the engine that began the answer is gone";
            return Err(Error::may_have_run(Category::Cut, message));
        }
        let req = self.message(next.checked_sub(1))?;
        let answer = cx
            .backends
            .send_on_new_connection(req)
            .await
            .and_then(check_status);
        answer.map_err(|err| Error::may_have_run(err.classify(), err.message()))
    }

    fn engine_is_live(&self, cx: &Router) -> bool {
        let view = cx.membership.view();
        let known = view.engine(&self.engine.name);
        known.is_some_and(|engine| engine.incarnation == self.engine.incarnation)
    }

    /// Suspects this request when the engine died with it in flight; returns whether it did.
    ///
    /// An engine that was restarted at once may seem alive: it is watched for a new life.
    pub(super) async fn check_for_crash(&self, cx: &Router, err: &Error) -> bool {
        if err.classify() != Category::Cut {
            return false;
        }
        let crash = Crash {
            fingerprint: self.head.fingerprint,
            engine: self.engine.name.clone(),
            incarnation: self.engine.incarnation,
        };
        match self.fate_of_engine(cx).await {
            EngineState::Ended => {}
            EngineState::Running => return false,
            EngineState::Unknown => {
                cx.quarantine
                    .record_possible_crash(crash.clone(), cx.clock.now());
                // Its new life may have been listed before it was watched.
                if self.engine_is_live(cx) {
                    return false;
                }
            }
        }
        let (id, engine) = (&self.head.id, &self.engine.name);
        log::warn!("engine died engine={engine} request={id}");
        cx.report_crash(&crash).await;
        true
    }

    /// Tells what became of the life of the engine that the request was sent to.
    async fn fate_of_engine(&self, cx: &Router) -> EngineState {
        if !self.engine_is_live(cx) {
            return EngineState::Ended;
        }
        let address = self.engine.address;
        match probe::read_incarnation(address, &cx.backends).await {
            Some(life) if life == self.engine.incarnation => EngineState::Running,
            Some(_) => EngineState::Ended,
            None if probe::refuses_connections(address, cx.settings.limits.connect_timeout)
                .await =>
            {
                EngineState::Ended
            }
            None => EngineState::Unknown,
        }
    }

    fn message(&self, last: Option<u64>) -> Result<http::Request<Full<Bytes>>> {
        let priority = match self.head.class {
            Class::Interactive => "1",
            Class::Draft => "0",
        };
        let mut req = http::Request::post(url(self.engine.address, "/v1/chat/completions"))
            .header(CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, self.head.id.as_str())
            .header(PRIORITY, priority)
            .header(CHAT, self.head.chat.as_str());
        if let Some(version) = &self.version {
            req = req.header(VERSION, version.as_str());
        }
        if let Some(last) = last {
            req = req.header(LAST_EVENT_ID, last);
        }
        req.body(Full::new(self.body.clone()))
            .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))
    }
}

/// Accepts only an answer that the engine has begun.
///
/// A refusal does not prove that nothing ran: an engine may refuse after it began.
fn check_status(answer: Response<Incoming>) -> Result<Response<Incoming>> {
    let status = answer.status();
    if status.is_success() {
        return Ok(answer);
    }
    let category = match status.as_u16() {
        429 => Category::Overloaded,
        503 => Category::Unavailable,
        400..=499 => Category::BadInput,
        _ => Category::Backend,
    };
    let message = format!("the engine answered {status}");
    Err(Error::may_have_run(category, message))
}
