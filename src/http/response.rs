//! Builds HTTP answers, among them error responses in JSON.

use std::time::Duration;

use gotham::{helpers::http::Body, mime};
use http::{header, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use crate::{Category, Error, Verdict};

/// Header that carries the verdict.
pub(super) const VERDICT_HEADER: &str = "ebonyspur-verdict";

/// JSON body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    reason: Category,
    message: &'a str,
    verdict: Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Builds the error response for `err`.
pub(super) fn error_response(err: &Error) -> Response<Body> {
    let body = ErrorBody {
        reason: err.classify(),
        message: err.message(),
        verdict: err.verdict(),
        retry_after_ms: err.retry_after().map(|delay| delay.as_millis() as u64),
    };
    let mut answer = json(status_code(err.classify()), &body);
    let headers = answer.headers_mut();
    let verdict = header::HeaderValue::from_static(err.verdict().as_str());
    headers.insert(VERDICT_HEADER, verdict);
    if let Some(delay) = err.retry_after() {
        headers.insert(header::RETRY_AFTER, seconds_rounded_up(delay).into());
    }
    answer
}

/// Returns `delay` in seconds, rounded up.
fn seconds_rounded_up(delay: Duration) -> u64 {
    delay.as_millis().div_ceil(1_000) as u64
}

/// Builds an answer with `value` as its JSON body.
pub(super) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = status;
    let media_type = header::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    answer
}

/// Builds an answer with a plain text body.
pub(super) fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut answer = Response::new(full_body(text));
    *answer.status_mut() = status;
    let media_type = mime::TEXT_PLAIN_UTF_8.as_ref();
    let media_type = header::HeaderValue::from_str(media_type).expect("a valid media type");
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    answer
}

/// Builds a body from bytes that are all known, as opposed to a streamed body.
pub(super) fn full_body(bytes: impl Into<bytes::Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn status_code(category: Category) -> StatusCode {
    match category {
        Category::BadInput => StatusCode::BAD_REQUEST,
        Category::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Category::Unauthorized => StatusCode::UNAUTHORIZED,
        Category::NotFound => StatusCode::NOT_FOUND,
        Category::Conflict => StatusCode::CONFLICT,
        Category::KeyExpired => StatusCode::GONE,
        Category::Overloaded | Category::RetryBudget => StatusCode::TOO_MANY_REQUESTS,
        Category::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Category::Unavailable | Category::NotServing | Category::LogUnavailable => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Category::Backend | Category::Cut => StatusCode::BAD_GATEWAY,
        Category::Timeout => StatusCode::GATEWAY_TIMEOUT,
        Category::Settings | Category::Protocol | Category::Io | Category::Internal => {
            StatusCode::INTERNAL_SERVER_ERROR
        }
    }
}
