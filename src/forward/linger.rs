//! Discards what a caller still sends after its last response.
//!
//! Closing a connection with unread bytes resets it, and the response may be lost.

use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Longest time for which bytes are discarded.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Largest number of bytes that are discarded.
const LINGER_BYTES: u64 = 256 * 1024;

/// Bytes that are discarded at a time.
const PART_BYTES: usize = 4 * 1024;

/// Discards what arrives at `stream`, whose write side is shut down, until the caller has closed it
/// or enough was discarded.
pub(super) async fn linger(stream: impl AsyncRead + Unpin) {
    let discard = async {
        let mut stream = stream.take(LINGER_BYTES);
        let mut part = [0; PART_BYTES];
        while matches!(stream.read(&mut part).await, Ok(len) if len > 0) {}
    };
    // The stream is dropped with the future.
    let _ = tokio::time::timeout(LINGER_TIME, discard).await;
}
