//! Sends a chat request to its engine, and sends it again to resume its answer.

use std::sync::Arc;

use bytes::Bytes;
use http::{header::CONTENT_TYPE, HeaderName, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{backend::url, probe, request::REQUEST_ID_HEADER, ChatHead};
use crate::{
    admission::{Class, Crash},
    membership::Engine,
    Category, Error, Incarnation, Result, Router, VersionName,
};

/// Header that carries the priority class to an engine.
const PRIORITY_HEADER: &str = "x-priority";

/// Header that carries the chat id to an engine.
const CHAT_HEADER: &str = "x-chat";

/// Header that names the model version to serve the request with.
const VERSION_HEADER: &str = "x-version";

/// Header that asks to resume an answer after the event with this number.
const LAST_EVENT_ID_HEADER: HeaderName = HeaderName::from_static("last-event-id");

/// State of the incarnation of an engine that a request was sent to.
enum EngineState {
    Ended,
    Running,
    /// A process listens at the address of the engine, which may be the next incarnation.
    Unknown,
}

/// A chat request and the engine that it is sent to.
pub struct EngineRequest {
    head: ChatHead,
    body: Bytes,
    engine: Arc<Engine>,
    version: Option<VersionName>,
    is_resumed: bool,
}

impl EngineRequest {
    /// Creates the request to `engine`, with the version that its team is on now.
    pub(super) fn new(cx: &Router, head: ChatHead, body: Bytes, engine: Arc<Engine>) -> Self {
        let config = cx.config.current();
        let team = config.teams.get(&head.team);
        EngineRequest {
            version: team.and_then(|team| team.version.clone()),
            head,
            body,
            engine,
            is_resumed: false,
        }
    }

    /// Returns the metadata of the request.
    pub fn head(&self) -> &ChatHead {
        &self.head
    }

    /// Sends the request, on a new connection if `new_connection` is set.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer, or answers with an error status.
    pub(super) async fn send(
        &self,
        cx: &Router,
        new_connection: bool,
    ) -> Result<Response<Incoming>> {
        let req = self.build_request(None)?;
        let answer = match new_connection {
            true => cx.backends.send_on_new_connection(req).await,
            false => cx.backends.send(req).await,
        };
        answer.and_then(check_status)
    }

    /// Asks the same incarnation of the engine for the parts from number `next` on.
    ///
    /// # Errors
    ///
    /// Fails when that incarnation is no longer live, does not answer, or answers with an
    /// error status.
    pub(super) async fn resume(&mut self, cx: &Router, next: u64) -> Result<Response<Incoming>> {
        if !self.is_listed(cx, self.engine.incarnation) {
            let message = "the engine that began the answer is no longer live";
            return Err(Error::may_have_run(Category::Cut, message));
        }
        self.is_resumed = true;
        let req = self.build_request(next.checked_sub(1))?;
        let answer = cx
            .backends
            .send_on_new_connection(req)
            .await
            .and_then(check_status);
        answer.map_err(|err| Error::may_have_run(err.classify(), err.message()))
    }

    /// Returns whether the instance list has the engine at `incarnation`.
    fn is_listed(&self, cx: &Router, incarnation: Incarnation) -> bool {
        self.listed_incarnation(cx) == Some(incarnation)
    }

    fn listed_incarnation(&self, cx: &Router) -> Option<Incarnation> {
        let view = cx.membership.view();
        view.engine(&self.engine.name)
            .map(|engine| engine.incarnation)
    }

    /// Returns the crash of the incarnation that broke off the request, if it has crashed.
    ///
    /// Once the crash of the incarnation that began the answer counts, a later one ran the resumed
    /// request.
    fn possible_crash(&self, cx: &Router) -> Crash {
        let mut crash = Crash {
            fingerprint: self.head.fingerprint,
            engine: self.engine.name.clone(),
            incarnation: self.engine.incarnation,
        };
        if self.is_resumed && cx.quarantine.has_crash(&crash, cx.clock.now()) {
            if let Some(listed) = self.listed_incarnation(cx) {
                crash.incarnation = listed;
            }
        }
        crash
    }

    /// Records a crash if the engine ended with this request in flight; returns whether it did.
    ///
    /// An engine that was restarted at once may look alive. If its state is unknown, a
    /// possible crash is recorded, which counts once a new incarnation is listed.
    pub(super) async fn check_for_crash(&self, cx: &Router, err: &Error) -> bool {
        if err.classify() != Category::Cut {
            return false;
        }
        let crash = self.possible_crash(cx);
        match self.engine_state(cx, crash.incarnation).await {
            EngineState::Ended => {}
            EngineState::Running => return false,
            EngineState::Unknown => {
                cx.quarantine
                    .record_possible_crash(crash.clone(), cx.clock.now());
                // The new incarnation may have been listed before the possible crash was recorded.
                if self.is_listed(cx, crash.incarnation) {
                    return false;
                }
            }
        }
        let (id, engine) = (&self.head.id, &self.engine.name);
        log::warn!("engine crashed with a request in flight engine={engine} request={id}");
        cx.report_crash(&crash).await;
        true
    }

    /// Finds out whether the engine still runs at `incarnation`.
    async fn engine_state(&self, cx: &Router, incarnation: Incarnation) -> EngineState {
        if !self.is_listed(cx, incarnation) {
            return EngineState::Ended;
        }
        let address = self.engine.address;
        match probe::read_incarnation(address, &cx.backends).await {
            Some(reported) if reported == incarnation => EngineState::Running,
            Some(_) => EngineState::Ended,
            None if probe::refuses_connections(address, cx.settings.limits.connect_timeout)
                .await =>
            {
                EngineState::Ended
            }
            None => EngineState::Unknown,
        }
    }

    fn build_request(&self, last_event: Option<u64>) -> Result<http::Request<Full<Bytes>>> {
        let priority = match self.head.class {
            Class::Interactive => "1",
            Class::Draft => "0",
        };
        let mut req = http::Request::post(url(self.engine.address, "/v1/chat/completions"))
            .header(CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, self.head.id.as_str())
            .header(PRIORITY_HEADER, priority)
            .header(CHAT_HEADER, self.head.chat.as_str());
        if let Some(version) = &self.version {
            req = req.header(VERSION_HEADER, version.as_str());
        }
        if let Some(last_event) = last_event {
            req = req.header(LAST_EVENT_ID_HEADER, last_event);
        }
        req.body(Full::new(self.body.clone()))
            .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))
    }
}

/// Returns the answer if its status is a success, and an error otherwise.
///
/// The verdict of the error is "may have run", as an engine may refuse a request that it has
/// begun to run.
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
