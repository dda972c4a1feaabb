//! The HTTP interface for callers.

use std::{future::Future, io, sync::Arc};

use futures_util::stream;
use gotham::{
    helpers::http::Body,
    prelude::*,
    router::{builder::build_simple_router, Router as Routes},
};
use http::{header, HeaderMap, HeaderValue, Method, Response, StatusCode, Uri};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};

use super::{
    endpoint::{Endpoint, HttpRequest},
    request::{self, RequestMeta},
    response::{full_body, json},
};
use crate::{
    admission::{Class, Fingerprint},
    config::{Service, ServiceKind},
    lookup::{self, ANSWER_TTL},
    once::IdempotencyKey,
    placement::Hint,
    relay::{self, AnswerStream, ChatAnswer, ChatHead, ServiceAnswer, ServiceCall},
    Category, ChatId, Error, RequestId, Result, Router, ServiceName, TeamName, Verdict,
};

/// Header that carries the placement hint, in requests and answers.
const HINT_HEADER: &str = "ebonyspur-hint";

/// Returns the HTTP routes of the interface for callers.
pub fn routes(cx: Arc<Router>) -> Routes {
    build_simple_router(|route| {
        let endpoint = Endpoint::new(&cx, |cx, req| with_metrics(cx, req, get_route));
        route.get("/v1/route").to_new_handler(endpoint);
        let endpoint = Endpoint::new(&cx, |cx, req| with_metrics(cx, req, post_chat));
        route.post("/v1/chat/completions").to_new_handler(endpoint);
        let endpoint = Endpoint::new(&cx, |cx, req| with_metrics(cx, req, call_service));
        let methods = vec![Method::GET, Method::POST, Method::PUT, Method::DELETE];
        route
            .request(methods, "/v1/services/*")
            .to_new_handler(endpoint);
    })
}

/// Runs a handler, and records its result and duration in the metrics.
async fn with_metrics<H, F>(cx: Arc<Router>, req: HttpRequest, handler: H) -> Result<Response<Body>>
where
    H: FnOnce(Arc<Router>, HttpRequest) -> F,
    F: Future<Output = Result<Response<Body>>>,
{
    let started = cx.clock.now();
    let answer = handler(cx.clone(), req).await;
    cx.metrics.count_answer(answer.as_ref().err());
    let duration = cx.clock.now().since(started);
    cx.metrics.answer_seconds.observe(duration.as_secs_f64());
    answer
}

#[derive(Serialize)]
struct RouteAnswer {
    addresses: Vec<RouteAddress>,
    valid_seconds: u64,
    ticket: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    hint: Option<String>,
}

#[derive(Serialize)]
struct RouteAddress {
    router: String,
    address: String,
    failure_domain: String,
}

async fn get_route(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    cx.check_serving()?;
    let query = request::query(&req.uri);
    let team = request::param(&query, "team")?;
    let service: ServiceName = request::param(&query, "service")?;
    let chat = match query.contains_key("chat") {
        true => request::param(&query, "chat")?,
        false => request::chat_id_from_request(&cx.fresh_request_id()),
    };
    let hint = request::header::<Hint>(&req.headers, HINT_HEADER)?.unwrap_or_default();
    let state = cx.config.current();
    state.team(&team)?;
    let service = state.service(&service)?;
    let answer = {
        let view = cx.membership.view();
        lookup::LookupAnswer::new(&view, &cx.address(), service, &chat, &hint)?
    };
    let answer = RouteAnswer {
        addresses: answer.addresses.iter().map(encode_address).collect(),
        valid_seconds: ANSWER_TTL.as_secs(),
        ticket: cx.issue_ticket().to_string(),
        hint: (!hint.is_empty()).then(|| hint.to_string()),
    };
    Ok(json(StatusCode::OK, &answer))
}

fn encode_address(address: &lookup::RouterAddress) -> RouteAddress {
    RouteAddress {
        router: address.router.to_string(),
        address: address.address.to_string(),
        failure_domain: address.domain.to_string(),
    }
}

/// Fields of a chat request that the router reads; all others are for the engine only.
#[derive(Deserialize)]
struct ChatBody {
    model: String,
}

async fn post_chat(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    let (context, meta) = read_meta(&req.headers)?;
    let answer = answer_chat(&cx, meta, req).await;
    answer.map_err(|err| context.record_error(&cx, err.with_verdict_at_least(context.min_verdict)))
}

/// Context in which an error of a request is logged and recorded.
struct ErrorContext {
    id: RequestId,
    team: TeamName,
    min_verdict: Verdict,
}

/// Reads the metadata of a request, and the context for its errors.
fn read_meta(headers: &HeaderMap) -> Result<(ErrorContext, RequestMeta)> {
    let min_verdict = request::min_verdict(headers);
    let meta =
        RequestMeta::from_headers(headers).map_err(|err| err.with_verdict_at_least(min_verdict))?;
    let context = ErrorContext {
        id: meta.id.clone(),
        team: meta.team.clone(),
        min_verdict,
    };
    Ok((context, meta))
}

impl ErrorContext {
    /// Logs and records an error, with the verdict that the caller receives.
    fn record_error(&self, cx: &Router, err: Error) -> Error {
        let (id, team, verdict) = (&self.id, &self.team, err.verdict());
        log::info!("request refused request={id} team={team} verdict={verdict} error=\"{err}\"");
        cx.refusals.record(id, team, &err, cx.clock.wall());
        err
    }
}

async fn answer_chat(
    cx: &Arc<Router>,
    meta: RequestMeta,
    req: HttpRequest,
) -> Result<Response<Body>> {
    cx.check_serving()?;
    cx.admission.check(&meta.team, meta.attempt)?;
    let limits = &cx.settings.limits;
    let body = request::read_body(req.body, limits.max_body_bytes, limits.receive_timeout).await?;
    let chat_body: ChatBody = serde_json::from_slice(&body)
        .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))?;
    let name = ServiceName::new(&chat_body.model)?;
    let service = find_service(cx, &meta, &name, ServiceKind::Chat)?;
    let chat = request::header::<ChatId>(&req.headers, "ebonyspur-chat")?;
    let class = request::header::<Class>(&req.headers, "ebonyspur-class")?.unwrap_or_default();
    cx.config.current().team(&meta.team)?.check_class(class)?;
    let fingerprint = Fingerprint::of(&body);
    let head = ChatHead {
        chat: chat.unwrap_or_else(|| request::chat_id_from_fingerprint(fingerprint)),
        hint: request::header(&req.headers, HINT_HEADER)?.unwrap_or_default(),
        class,
        id: meta.id,
        team: meta.team,
        pool: service.pool,
        attempt: meta.attempt,
        fingerprint,
    };
    let id = head.id.clone();
    let answer = relay::chat(cx, head, body).await?;
    let mut answer = match answer {
        ChatAnswer::Stream { stream, hint } => with_hint(stream_answer(id.clone(), stream), &hint),
        ChatAnswer::Buffered { body, hint } => {
            let mut answer = Response::new(full_body(body));
            set_header(
                &mut answer,
                header::CONTENT_TYPE.as_str(),
                "application/json",
            );
            with_hint(answer, &hint)
        }
    };
    set_header(&mut answer, "x-request-id", id.as_str());
    Ok(answer)
}

fn find_service(
    cx: &Router,
    meta: &RequestMeta,
    name: &ServiceName,
    kind: ServiceKind,
) -> Result<Service> {
    let state = cx.config.current();
    state.team(&meta.team)?;
    let service = state.service(name)?;
    if service.kind != kind {
        let message = format!("service {name} does not serve this kind of request");
        return Err(Error::not_run(Category::BadInput, message));
    }
    Ok(service.clone())
}

/// Streams the parts of an answer; an error aborts the body, so that the caller sees that it
/// is incomplete.
fn stream_answer(id: RequestId, stream: Box<AnswerStream>) -> Response<Body> {
    let parts = stream::unfold(Some((id, stream)), |state| async move {
        let (id, mut stream) = state?;
        let part = stream.next_part().await?;
        let part = part.map(Frame::data).inspect_err(|err| {
            log::warn!("answer aborted request={id} error=\"{err}\"");
        });
        let rest = part.is_ok().then_some((id, stream));
        Some((part.map_err(io::Error::other), rest))
    });
    let mut answer = Response::new(StreamBody::new(parts).boxed_unsync());
    set_header(
        &mut answer,
        header::CONTENT_TYPE.as_str(),
        "text/event-stream",
    );
    set_header(&mut answer, header::CACHE_CONTROL.as_str(), "no-store");
    answer
}

fn with_hint(mut answer: Response<Body>, hint: &Hint) -> Response<Body> {
    set_header(&mut answer, HINT_HEADER, &hint.to_string());
    answer
}

fn set_header(answer: &mut Response<Body>, key: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(key, value);
    }
}

async fn call_service(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    let (context, meta) = read_meta(&req.headers)?;
    let call = read_call(&cx, context.min_verdict, meta, req).await;
    let call = call
        .map_err(|err| context.record_error(&cx, err.with_verdict_at_least(context.min_verdict)))?;
    let answer = relay::call_service(&cx, call).await;
    let answer = answer.map_err(|err| context.record_error(&cx, err))?;
    Ok(encode_answer(answer))
}

async fn read_call(
    cx: &Router,
    min_verdict: Verdict,
    meta: RequestMeta,
    req: HttpRequest,
) -> Result<ServiceCall> {
    cx.check_serving()?;
    let (name, path) = split_service_path(&req.uri)?;
    let service = find_service(cx, &meta, &name, ServiceKind::Plain)?;
    cx.admission.check(&meta.team, meta.attempt)?;
    let limits = &cx.settings.limits;
    let body = request::read_body(req.body, limits.max_body_bytes, limits.receive_timeout).await?;
    let key = request::header(&req.headers, "idempotency-key")?.map(|call| IdempotencyKey {
        team: meta.team.clone(),
        service: name,
        call,
    });
    let content_type = req.headers.get(header::CONTENT_TYPE);
    Ok(ServiceCall {
        id: meta.id,
        team: meta.team,
        pool: service.pool,
        method: req.method,
        path,
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_string),
        body,
        attempt: meta.attempt,
        min_verdict,
        key,
    })
}

fn encode_answer(answer: ServiceAnswer) -> Response<Body> {
    let verdict = answer.verdict();
    let mut encoded = Response::new(full_body(answer.body));
    *encoded.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_header(
        &mut encoded,
        header::CONTENT_TYPE.as_str(),
        &answer.content_type,
    );
    set_header(
        &mut encoded,
        super::response::VERDICT_HEADER,
        verdict.as_str(),
    );
    if answer.replayed {
        set_header(&mut encoded, "ebonyspur-replayed", "true");
    }
    encoded
}

/// Splits `/v1/services/<service>/<path>` into the service name, and the path on the server
/// with the query.
fn split_service_path(uri: &Uri) -> Result<(ServiceName, String)> {
    let rest = uri.path().trim_start_matches("/v1/services/");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let name = ServiceName::new(name)?;
    let query = uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok((name, format!("/{path}{query}")))
}
