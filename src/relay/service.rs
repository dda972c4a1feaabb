//! Calls plain services.

use std::sync::Arc;

use bytes::Bytes;
use http::{header::CONTENT_TYPE, HeaderName, Method, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::{backend::url, keyed::call_keyed, request::REQUEST_ID_HEADER};
use crate::{
    membership::Engine,
    once::IdempotencyKey,
    placement::{self, Hint},
    Category, Error, PoolName, RequestId, Result, Router, TeamName, Verdict,
};

/// Largest answer of a plain service.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Header that lets a server recognise a repeated call.
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Request id of the call, which all attempts share.
    pub id: RequestId,
    /// Team that makes the call.
    pub team: TeamName,
    /// Pool whose servers serve the call.
    pub pool: PoolName,
    /// HTTP method of the call.
    pub method: Method,
    /// Path on the server, including the query.
    pub path: String,
    /// Media type of the request body.
    pub content_type: Option<String>,
    /// Body of the request.
    pub body: Bytes,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Weakest verdict that an error may carry, as earlier attempts may have run.
    pub min_verdict: Verdict,
    /// Idempotency key of a call that must not be repeated.
    pub key: Option<IdempotencyKey>,
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the answer's body.
    pub content_type: String,
    /// Body of the answer.
    pub body: Bytes,
    /// Whether the answer is the recorded one of an earlier attempt.
    pub replayed: bool,
}

impl ServiceAnswer {
    /// Returns "ran" for a success status and "may have run" for any other.
    pub fn verdict(&self) -> Verdict {
        if (200..300).contains(&self.status) {
            Verdict::Ran
        } else {
            Verdict::MayHaveRun
        }
    }
}

/// Calls a plain service, at most once where the call has a key.
///
/// # Errors
///
/// Fails with the combined verdict of all attempts that this router knows of.
pub async fn call_service(cx: &Arc<Router>, call: ServiceCall) -> Result<ServiceAnswer> {
    let min_verdict = call.min_verdict;
    let permit = cx.admission.admit(&call.team, call.attempt);
    let permit = permit.map_err(|err| err.with_verdict_at_least(min_verdict))?;
    if call.key.is_some() {
        return call_keyed(cx, call, permit).await;
    }
    let answer = call_unkeyed(cx, &call).await;
    answer.map_err(|err| err.with_verdict_at_least(min_verdict))
}

/// Sends a call without an idempotency key to one server after another, as long as it may be
/// repeated.
async fn call_unkeyed(cx: &Router, call: &ServiceCall) -> Result<ServiceAnswer> {
    let mut failure = Error::not_run(Category::Unavailable, "no server is live");
    for (index, server) in candidate_servers(cx, call).into_iter().enumerate() {
        if index > 0 && !cx.admission.spend_retry(&call.team) {
            break;
        }
        match exchange(cx, call, &server).await {
            Ok(answer) => return Ok(answer),
            Err(err) => failure = err.with_verdict_at_least(failure.verdict()),
        }
        if failure.verdict() != Verdict::NotRun && !call.method.is_idempotent() {
            break;
        }
    }
    Err(failure)
}

async fn exchange(cx: &Router, call: &ServiceCall, server: &Engine) -> Result<ServiceAnswer> {
    let req = backend_request(call, server)?;
    // An idle connection may be lost during the call; only an idempotent call can be repeated.
    let answer = match call.method.is_idempotent() {
        true => cx.backends.send(req).await?,
        false => cx.backends.send_on_new_connection(req).await?,
    };
    read_answer(cx, answer).await
}

/// Returns the servers that may take the call, in order of preference.
pub(super) fn candidate_servers(cx: &Router, call: &ServiceCall) -> Vec<Arc<Engine>> {
    let servers = cx.open_engines(&call.pool);
    placement::candidates(call.id.as_str(), &Hint::default(), &servers)
}

/// Builds the HTTP request for `call` to `server`.
pub(super) fn backend_request(
    call: &ServiceCall,
    server: &Engine,
) -> Result<http::Request<Full<Bytes>>> {
    let mut req = http::Request::builder()
        .method(call.method.clone())
        .uri(url(server.address, &call.path))
        .header(REQUEST_ID_HEADER, call.id.as_str());
    if let Some(content_type) = &call.content_type {
        req = req.header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = &call.key {
        req = req.header(IDEMPOTENCY_KEY_HEADER, key.call.as_str());
    }
    req.body(Full::new(call.body.clone()))
        .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))
}

/// Reads the complete answer of a server.
///
/// # Errors
///
/// Fails when the answer is too large, is cut off or does not arrive within the progress
/// timeout.
pub(super) async fn read_answer(cx: &Router, answer: Response<Incoming>) -> Result<ServiceAnswer> {
    let status = answer.status().as_u16();
    let content_type = answer.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_string();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect();
    let body = tokio::time::timeout(cx.backends.progress_timeout(), body).await;
    let body = body.map_err(|_| {
        Error::may_have_run(
            Category::Timeout,
            "the answer of the backend server did not arrive in time",
        )
    })?;
    let body = body.map_err(|err| Error::may_have_run(Category::Backend, err.to_string()))?;
    Ok(ServiceAnswer {
        status,
        content_type,
        body: body.to_bytes(),
        replayed: false,
    })
}
