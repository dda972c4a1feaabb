//! Bodies of answers.

use bytes::Bytes;
use http::{header, HeaderValue, Response, StatusCode};
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full};

use crate::Error;

/// Body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Builds a body that is known whole.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a plain answer.
pub fn text(
    status: StatusCode,
    media_type: &'static str,
    text: impl Into<Bytes>,
) -> Response<Body> {
    let mut answer = Response::new(whole(text));
    *answer.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    answer
}
