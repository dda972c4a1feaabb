//! Reads bodies of requests and responses in full.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::Instant;

use crate::{
    memory::{Holding, Reservation},
    Clock, Error, Result,
};

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

/// Memory for a body that is read.
pub(super) trait Room {
    /// Gets room for `capacity` bytes.
    ///
    /// # Errors
    ///
    /// Fails when there is no memory for them.
    async fn grow(&mut self, capacity: usize) -> Result<()>;

    /// Returns the whole body with the memory that it holds.
    fn attach_to(self, bytes: BytesMut) -> Bytes;
}

impl Room for Reservation {
    async fn grow(&mut self, capacity: usize) -> Result<()> {
        self.resize(capacity)
    }

    fn attach_to(self, bytes: BytesMut) -> Bytes {
        Reservation::attach_to(self, bytes)
    }
}

/// Memory for the body of a caller's request, which its connection holds until the request ends.
pub(super) struct CallerRoom<'a> {
    holding: &'a Holding,
    clock: Clock,
}

impl<'a> CallerRoom<'a> {
    /// Creates the room for one body, which holds nothing yet.
    pub(super) fn new(holding: &'a Holding, clock: Clock) -> Self {
        CallerRoom { holding, clock }
    }
}

impl Room for CallerRoom<'_> {
    async fn grow(&mut self, capacity: usize) -> Result<()> {
        self.holding.read(capacity, self.clock).await
    }

    fn attach_to(self, bytes: BytesMut) -> Bytes {
        bytes.freeze()
    }
}

/// Reads a body of at most `limit` bytes, within `timeout` of what was received so far; it holds
/// `room` for them.
///
/// # Errors
///
/// Returns why the body was not read in full.
pub(super) async fn read_whole<B>(
    body: B,
    limit: usize,
    mut room: impl Room,
    timeout: impl Fn(Received) -> Duration,
) -> std::result::Result<Bytes, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let started = Instant::now();
    let mut body = Limited::new(body, limit);
    let mut bytes = BytesMut::new();
    let mut received = Received::default();
    room.grow(0).await.map_err(ReadError::NoMemory)?;
    loop {
        let left = timeout(received).saturating_sub(started.elapsed());
        match tokio::time::timeout(left, body.frame()).await {
            Ok(None) => return Ok(room.attach_to(bytes)),
            Ok(Some(Ok(frame))) => {
                // Trailers are not passed on.
                if let Ok(part) = frame.into_data() {
                    let capacity = next_capacity(&bytes, part.len());
                    room.grow(capacity).await.map_err(ReadError::NoMemory)?;
                    bytes.reserve(capacity - bytes.len());
                    bytes.extend_from_slice(&part);
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

/// Returns the capacity of `bytes` with room for `more`.
fn next_capacity(bytes: &BytesMut, more: usize) -> usize {
    let needed = bytes.len() + more;
    match needed <= bytes.capacity() {
        true => bytes.capacity(),
        false => needed.max(2 * bytes.capacity()),
    }
}

/// Returns the time within which a body has to arrive in full of which `received` has, or another
/// part of it.
pub(super) fn steady_timeout(received: Received) -> Duration {
    let total = READ_TIMEOUT + Duration::from_secs(received.bytes as u64) / MIN_RATE;
    total.min(received.latest + READ_TIMEOUT)
}
