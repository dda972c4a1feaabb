//! Bodies of servers' responses, of which a part may have been read already.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{Clock, Instant};

/// Time for which a server sends data before it counts as past the beginning of its response.
///
/// Bytes alone do not prove it: a server may crash on a request within its first event or after it.
const BEGINNING: Duration = Duration::from_millis(500);

/// Body of a response.
pub(super) struct ResponseBody {
    /// Data that was read and is yielded first.
    read: Option<Bytes>,
    rest: Incoming,
    clock: Clock,
    /// Time at which the first and the latest data were read.
    data_times: Option<(Instant, Instant)>,
    /// Latest time at which all data that had arrived was read.
    drained_at: Instant,
    is_established: bool,
}

impl ResponseBody {
    /// Creates the body from one of which nothing was read.
    pub(super) fn new(body: Incoming, clock: Clock) -> Self {
        ResponseBody {
            read: None,
            rest: body,
            clock,
            data_times: None,
            drained_at: clock.now(),
            is_established: false,
        }
    }

    /// Yields `bytes` before what was not read yet.
    pub(super) fn unread(&mut self, bytes: Bytes) {
        self.read = Some(bytes).filter(|bytes| !bytes.is_empty());
    }

    /// Returns whether any data was received.
    pub(super) fn has_data(&self) -> bool {
        self.data_times.is_some()
    }

    /// Returns whether the server may still be at the beginning of its response, on which it may
    /// crash.
    ///
    /// This and [`is_established`](Self::is_established) are both false for a body of which some
    /// data may have arrived long before it was read.
    pub(super) fn is_beginning(&self) -> bool {
        self.data_times
            .is_none_or(|(first, latest)| latest.since(first) < BEGINNING)
    }

    /// Returns whether the server has certainly come past the beginning of its response.
    pub(super) fn is_established(&self) -> bool {
        self.is_established
    }

    /// Returns a time after which the data that was read last has arrived.
    pub(super) fn drained_at(&self) -> Instant {
        self.drained_at
    }

    /// Waits for the first data, which the next read yields, or the end; returns whether there is
    /// data.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off before.
    pub(super) async fn await_data(&mut self) -> Result<bool, hyper::Error> {
        while let Some(frame) = self.frame().await.transpose()? {
            let bytes = frame.into_data().unwrap_or_default();
            if !bytes.is_empty() {
                self.unread(bytes);
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn record_data(&mut self, now: Instant) {
        let (first, latest) = self.data_times.get_or_insert((now, now));
        *latest = now;
        self.is_established |= self.drained_at.since(*first) >= BEGINNING;
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(bytes) = self.read.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let polled = Pin::new(&mut self.rest).poll_frame(cx);
        match &polled {
            Poll::Pending => self.drained_at = self.clock.now(),
            Poll::Ready(Some(Ok(frame))) if frame.data_ref().is_some_and(|b| !b.is_empty()) => {
                let now = self.clock.now();
                self.record_data(now);
            }
            Poll::Ready(_) => {}
        }
        polled
    }
}
