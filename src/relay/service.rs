//! One call of a plain service.

use std::sync::Arc;

use bytes::Bytes;
use http::{header::CONTENT_TYPE, HeaderName, Method, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::{backend::url, keyed::call_keyed, request::REQUEST_ID};
use crate::{
    membership::Engine,
    once::IdempotencyKey,
    placement::{self, Hint},
    Category, Error, PoolName, RequestId, Result, Router, TeamName, Verdict,
};

/// Largest answer, in bytes.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// Header by which a server can recognise a repeated call.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Identity of the call.
    pub id: RequestId,
    /// Team that calls.
    pub team: TeamName,
    /// Pool that serves it.
    pub pool: PoolName,
    /// HTTP method.
    pub method: Method,
    /// Path on the server, with the query.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Verdict that errors have at least, for what earlier attempts may have done.
    pub min_verdict: Verdict,
    /// Key, when the call must not be repeated.
    pub key: Option<IdempotencyKey>,
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// Whether the answer was recorded by an earlier attempt.
    pub replayed: bool,
}

impl ServiceAnswer {
    /// Returns whether the call has run, as far as the status of the server tells.
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
/// Fails with the verdict of all attempts that are known here.
pub async fn call_service(cx: &Arc<Router>, call: ServiceCall) -> Result<ServiceAnswer> {
    let floor = call.min_verdict;
    let permit = cx.admission.admit(&call.team, call.attempt);
    let permit = permit.map_err(|err| err.with_verdict_at_least(floor))?;
    if call.key.is_some() {
        return call_keyed(cx, call, permit).await;
    }
    let answer = call_unkeyed(cx, &call).await;
    answer.map_err(|err| err.with_verdict_at_least(floor))
}

/// Sends a call without a key to one server after the other while it may be repeated.
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
    // An idle connection may be gone, which only an idempotent call survives.
    let answer = match call.method.is_idempotent() {
        true => cx.backends.send(req).await?,
        false => cx.backends.send_on_new_connection(req).await?,
    };
    read_answer(cx, answer).await
}

/// Returns the servers that may take the call, the preferred one first.
pub(super) fn candidate_servers(cx: &Router, call: &ServiceCall) -> Vec<Arc<Engine>> {
    let servers = cx.open_engines(&call.pool);
    placement::candidates(call.id.as_str(), &Hint::default(), &servers)
}

pub(super) fn backend_request(
    call: &ServiceCall,
    server: &Engine,
) -> Result<http::Request<Full<Bytes>>> {
    let mut req = http::Request::builder()
        .method(call.method.clone())
        .uri(url(server.address, &call.path))
        .header(REQUEST_ID, call.id.as_str());
    if let Some(content_type) = &call.content_type {
        req = req.header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = &call.key {
        req = req.header(IDEMPOTENCY_KEY, key.call.as_str());
    }
    req.body(Full::new(call.body.clone()))
        .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))
}

pub(super) async fn read_answer(cx: &Router, answer: Response<Incoming>) -> Result<ServiceAnswer> {
    let status = answer.status().as_u16();
    let content_type = answer.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_string();
    let body = Limited::new(answer.into_body(), MAX_ANSWER).collect();
    let body = tokio::time::timeout(cx.backends.progress_timeout(), body).await;
    let body = body.map_err(|_| Error::may_have_run(Category::Timeout, "the server is silent"))?;
    let body = body.map_err(|err| Error::may_have_run(Category::Backend, err.to_string()))?;
    Ok(ServiceAnswer {
        status,
        content_type,
        body: body.to_bytes(),
        replayed: false,
    })
}
