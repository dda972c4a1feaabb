//! Reads bodies of requests and responses in full.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::Instant;

use super::buffers::Reservation;
use crate::Error;

/// Time to read a body, in addition to that which its bytes take at [`MIN_RATE`], and longest time
/// between two parts of it.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Lowest rate at which a body may arrive, in bytes a second.
const MIN_RATE: u32 = 500;

/// Failure to read a body in full.
#[derive(Debug)]
pub(super) enum ReadError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The router has no memory for the body.
    NoMemory(Error),
    /// The body did not arrive in time.
    Timeout,
    /// The body broke off.
    Broken(Box<dyn std::error::Error + Send + Sync>),
}

/// Part of a body that was received so far.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Received {
    bytes: usize,
    /// Time from the start to the latest part.
    latest: Duration,
}

/// Reads a body of at most `limit` bytes, within `timeout` of what was received so far; it holds
/// `reservation` until it is dropped.
///
/// # Errors
///
/// Returns why the body was not read in full.
pub(super) async fn read_whole<B>(
    body: B,
    limit: usize,
    mut reservation: Reservation,
    timeout: impl Fn(Received) -> Duration,
) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let started = Instant::now();
    let mut body = Limited::new(body, limit);
    let mut bytes = BytesMut::new();
    let mut received = Received::default();
    loop {
        let left = timeout(received).saturating_sub(started.elapsed());
        match tokio::time::timeout(left, body.frame()).await {
            Ok(None) => return Ok(reservation.attach_to(bytes)),
            Ok(Some(Ok(frame))) => {
                // Trailers are not passed on.
                if let Ok(part) = frame.into_data() {
                    bytes.extend_from_slice(&part);
                    reservation
                        .resize(bytes.capacity())
                        .map_err(ReadError::NoMemory)?;
                    received = Received {
                        bytes: bytes.len(),
                        latest: started.elapsed(),
                    };
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

/// Returns the time within which a body has to arrive in full of which `received` has, or another
/// part of it.
pub(super) fn steady_timeout(received: Received) -> Duration {
    let total = READ_TIMEOUT + Duration::from_secs(received.bytes as u64) / MIN_RATE;
    total.min(received.latest + READ_TIMEOUT)
}
