//! Reads bodies of requests and responses in full.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::Instant;

/// Time to read a body, in addition to that which its bytes take at [`MIN_RATE`].
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Lowest rate at which a body may arrive, in bytes a second.
const MIN_RATE: u32 = 500;

/// Failure to read a body in full.
#[derive(Debug)]
pub(super) enum ReadError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    Timeout,
    /// The body broke off.
    Broken(Box<dyn std::error::Error + Send + Sync>),
}

/// Reads a body of at most `limit` bytes, within `timeout` of the number of bytes received so far.
///
/// # Errors
///
/// Returns why the body was not read in full.
pub(super) async fn read_whole<B>(
    body: B,
    limit: usize,
    timeout: impl Fn(usize) -> Duration,
) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let started = Instant::now();
    let mut body = Limited::new(body, limit);
    let mut bytes = BytesMut::new();
    loop {
        let left = timeout(bytes.len()).saturating_sub(started.elapsed());
        match tokio::time::timeout(left, body.frame()).await {
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Ok(frame))) => {
                // Trailers are not passed on.
                if let Ok(part) = frame.into_data() {
                    bytes.extend_from_slice(&part);
                }
            }
            Ok(Some(Err(err))) if err.is::<LengthLimitError>() => {
                return Err(ReadError::TooLarge);
            }
            Ok(Some(Err(err))) => return Err(ReadError::Broken(err)),
            Err(_) => return Err(ReadError::Timeout),
        }
    }
}

/// Returns the time in which a body has to arrive of which `received` bytes have.
pub(super) fn steady_timeout(received: usize) -> Duration {
    READ_TIMEOUT + Duration::from_secs(received as u64) / MIN_RATE
}
