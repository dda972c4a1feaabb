//! Reads the bodies of requests.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{Category, Error, Result};

/// Time to read a body, in addition to that which its bytes take at [`MIN_RATE`].
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Lowest rate at which a body may arrive, in bytes a second.
const MIN_RATE: u32 = 500;

/// Reads a body of at most `limit` bytes, within `caller_timeout` if there is one.
///
/// # Errors
///
/// Returns an error with the verdict "not run": [`Category::TooLarge`] for a body that exceeds
/// `limit`, [`Category::Timeout`] for one that takes too long and [`Category::BadInput`] for one that
/// breaks off.
pub(super) async fn read_body(
    body: Incoming,
    limit: usize,
    caller_timeout: Option<Duration>,
) -> Result<Bytes> {
    let started = Instant::now();
    let mut body = Limited::new(body, limit);
    let mut bytes = BytesMut::new();
    loop {
        let timeout = READ_TIMEOUT + Duration::from_secs(bytes.len() as u64) / MIN_RATE;
        let timeout = timeout.min(caller_timeout.unwrap_or(Duration::MAX));
        match tokio::time::timeout_at(started + timeout, body.frame()).await {
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Ok(frame))) => {
                // Trailers are not passed on.
                if let Ok(part) = frame.into_data() {
                    bytes.extend_from_slice(&part);
                }
            }
            Ok(Some(Err(err))) if err.is::<LengthLimitError>() => {
                let message = format!("the body exceeds {limit} bytes");
                return Err(Error::not_run(Category::TooLarge, message));
            }
            Ok(Some(Err(err))) => {
                return Err(Error::not_run(Category::BadInput, err.to_string()));
            }
            Err(_) => {
                let message = "the body did not arrive in time";
                return Err(Error::not_run(Category::Timeout, message));
            }
        }
    }
}
