//! Bodies of responses to callers.

use bytes::Bytes;
use http::{header, HeaderValue, Response, StatusCode};
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full};

use crate::{Error, Instant};

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Extension of a response with the time at which its body ends, complete or not.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadline(pub(super) Instant);

/// Extension of a response to a request whose body was not read in full, so that its connection
/// ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyUnread;

/// Builds a body from bytes that are known in full.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a response with a text body.
pub fn text_response(
    status: StatusCode,
    media_type: &'static str,
    text: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    response
}
