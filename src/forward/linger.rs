//! Discards what a caller still sends after its last response.
//!
//! Closing a connection with unread bytes resets it, and the response may be lost.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, ReadBuf},
    time::Sleep,
};

/// Longest time for which bytes are discarded.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Largest number of bytes that are discarded.
const LINGER_BYTES: usize = 256 * 1024;

/// Bytes that are discarded at a time.
const PART_BYTES: usize = 4 * 1024;

/// What is left to discard.
pub(super) struct Linger {
    timer: Pin<Box<Sleep>>,
    left: usize,
}

impl Linger {
    /// Starts to discard bytes, for half a second at most.
    pub(super) fn new() -> Self {
        Linger {
            timer: Box::pin(tokio::time::sleep(LINGER_TIME)),
            left: LINGER_BYTES,
        }
    }

    /// Discards what has arrived; ready when the caller has closed or enough was discarded.
    pub(super) fn poll(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        let mut part = [0; PART_BYTES];
        while self.left > 0 {
            let mut buf = ReadBuf::new(&mut part);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.left = self.left.saturating_sub(buf.filled().len());
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return self.timer.as_mut().poll(cx),
            }
        }
        Poll::Ready(())
    }
}
