//! Decodes query parameters, headers and bodies of requests.

use std::{collections::HashMap, str::FromStr, time::Duration};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use uuid::Uuid;

use crate::{
    admission::Fingerprint, Category, ChatId, Error, RequestId, Result, TeamName, Verdict,
};

/// Returns the query parameters.
///
/// Values are not unescaped: they are names, which need no escapes, so an escaped value is
/// rejected as malformed.
pub(super) fn query(uri: &Uri) -> HashMap<&str, &str> {
    let pairs = uri.query().unwrap_or_default().split('&');
    pairs.filter_map(|pair| pair.split_once('=')).collect()
}

/// Parses the query parameter `key`.
pub(super) fn param<T: FromStr<Err = Error>>(query: &HashMap<&str, &str>, key: &str) -> Result<T> {
    let missing = || Error::not_run(Category::BadInput, format!("parameter {key} is missing"));
    let text = query.get(key).ok_or_else(missing)?;
    text.parse().map_err(|err| prefixed_error(key, &err))
}

/// Parses the header `key`, or returns `None` if it is absent.
pub(super) fn header<T: FromStr<Err = Error>>(headers: &HeaderMap, key: &str) -> Result<Option<T>> {
    let Some(value) = headers.get(key) else {
        return Ok(None);
    };
    let text = value.to_str();
    let text = text.map_err(|_| {
        Error::not_run(
            Category::BadInput,
            format!("header {key} is not visible ASCII text"),
        )
    })?;
    text.parse()
        .map(Some)
        .map_err(|err| prefixed_error(key, &err))
}

/// Returns an error whose message is that of `err` after the name of its parameter or header.
fn prefixed_error(key: &str, err: &Error) -> Error {
    Error::not_run(Category::BadInput, format!("{key}: {}", err.message()))
}

/// Request id, team and attempt number of a request.
pub(super) struct RequestMeta {
    pub(super) id: RequestId,
    pub(super) team: TeamName,
    pub(super) attempt: u32,
}

impl RequestMeta {
    /// Reads the metadata from the headers; a request without an id gets a new one.
    pub(super) fn from_headers(headers: &HeaderMap) -> Result<Self> {
        let missing = || Error::not_run(Category::BadInput, "header ebonyspur-team is missing");
        let team = header(headers, "ebonyspur-team")?.ok_or_else(missing)?;
        let attempt = header::<Attempt>(headers, "ebonyspur-attempt")?;
        let id = header::<RequestId>(headers, "x-request-id")?;
        Ok(RequestMeta {
            id: id.unwrap_or_else(new_request_id),
            team,
            attempt: attempt.map_or(1, |attempt| attempt.0),
        })
    }
}

/// Returns the weakest verdict that an error for this request may carry.
///
/// It is "not run" only if the headers prove that this is the first attempt. Otherwise an
/// earlier attempt may be in flight elsewhere.
pub(super) fn min_verdict(headers: &HeaderMap) -> Verdict {
    let has_id = headers.contains_key("x-request-id") || headers.contains_key("idempotency-key");
    let first = match headers.get("ebonyspur-attempt") {
        Some(attempt) => attempt == "1",
        None => !has_id,
    };
    if first {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// Number of an attempt, from 1.
struct Attempt(u32);

impl FromStr for Attempt {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.parse().ok().filter(|number| *number >= 1);
        let malformed = || Error::not_run(Category::BadInput, "must be an integer of at least 1");
        number.map(Attempt).ok_or_else(malformed)
    }
}

fn new_request_id() -> RequestId {
    let text = Uuid::new_v4().to_string();
    RequestId::new(&text).expect("a UUID is a valid name")
}

/// Returns a chat id, unique to the request, for a request that belongs to no chat.
pub(super) fn chat_id_from_request(id: &RequestId) -> ChatId {
    ChatId::new(id.as_str()).expect("a request id is a valid name")
}

/// Returns a chat id for a request without one; all duplicates of the request get the same id,
/// so that they are placed on the same engine.
pub(super) fn chat_id_from_fingerprint(fingerprint: Fingerprint) -> ChatId {
    let text = format!("body-{:016x}", fingerprint.0);
    ChatId::new(&text).expect("a prefix and a number are a valid name")
}

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Returns [`Category::TooLarge`] for a larger body, [`Category::Timeout`] for one that does
/// not arrive in time, and [`Category::BadInput`] for any other failure.
pub(super) async fn read_body(body: Body, limit: usize, timeout: Duration) -> Result<Bytes> {
    let collected = tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await;
    let timed_out = |_| Error::not_run(Category::Timeout, "the body did not arrive in time");
    match collected.map_err(timed_out)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => {
            let message = format!("the body exceeds {limit} bytes");
            Err(Error::not_run(Category::TooLarge, message))
        }
        Err(err) => Err(Error::not_run(Category::BadInput, err.to_string())),
    }
}
