//! Bodies of servers' responses, of which a part may have been read already.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Body of a response.
pub(super) struct ResponseBody {
    /// Data that was read and is yielded first.
    read: Option<Bytes>,
    rest: Incoming,
}

impl ResponseBody {
    /// Creates the body from one of which nothing was read.
    pub(super) fn new(body: Incoming) -> Self {
        ResponseBody {
            read: None,
            rest: body,
        }
    }

    /// Yields `bytes` before what was not read yet.
    pub(super) fn unread(&mut self, bytes: Bytes) {
        self.read = Some(bytes).filter(|bytes| !bytes.is_empty());
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
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.read.take() {
            Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }
}
