//! Accepts HTTP connections, one task for each.

use std::{
    convert::Infallible,
    future::Future,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{watch, Semaphore},
};

use super::{connection, Body};
use crate::{Clock, Instant};

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time beyond the limit for which a connection without a request stays open.
///
/// The caller's clock starts when the answer has arrived there.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Largest head of a request, in bytes; also the size to which read buffers grow.
const MAX_HEAD_BYTES: usize = 20 * 1024;

/// What answers the requests of a listener.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;

    /// Returns how long a connection may stay open without a request.
    fn idle_limit(&self) -> Duration;
}

/// Serves the connections of `listener` until `closing` turns true and they have ended.
pub async fn serve(
    listener: TcpListener,
    service: impl HttpHandler,
    connections: usize,
    clock: Clock,
    mut closing: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(connections));
    loop {
        let slot = slots.clone().acquire_owned().await.expect("never closed");
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed(&mut closing) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("connections not accepted error=\"{err}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let task = connection(stream, service.clone(), clock, closing.clone());
        tokio::spawn(async move {
            task.await;
            drop(slot);
        });
    }
    drop(listener);
    // The slot held at the break is dropped, so all of them are free again at the end.
    let _ = slots.acquire_many(connections as u32).await;
}

async fn connection(
    stream: TcpStream,
    service: impl HttpHandler,
    clock: Clock,
    mut closing: watch::Receiver<bool>,
) {
    let watched = stream
        .set_nodelay(true)
        .and_then(|()| connection::set_keepalive(&stream));
    if let Err(err) = watched {
        log::debug!("connection without options error=\"{err}\"");
    }
    let asked = Arc::new(AtomicU64::new(clock.now().as_micros()));
    let answered = {
        let (service, asked) = (service.clone(), asked.clone());
        service_fn(move |req| {
            let (service, asked) = (service.clone(), asked.clone());
            async move {
                asked.store(clock.now().as_micros(), Ordering::Relaxed);
                let answer = service.handle(req).await;
                asked.store(clock.now().as_micros(), Ordering::Relaxed);
                Ok::<_, Infallible>(answer)
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), answered);
    tokio::pin!(connection);
    let mut shut = false;
    loop {
        let idle = clock
            .now()
            .since(Instant::from_micros(asked.load(Ordering::Relaxed)));
        let limit = service.idle_limit() + IDLE_SLACK;
        tokio::select! {
            ended = &mut connection => {
                if let Err(err) = ended {
                    log::debug!("caller connection ended error=\"{err}\"");
                }
                return;
            }
            _ = closed(&mut closing), if !shut => {
                shut = true;
                connection.as_mut().graceful_shutdown();
            }
            _ = tokio::time::sleep(limit.saturating_sub(idle).max(IDLE_SLACK)), if !shut => {
                let idle = clock.now().since(Instant::from_micros(asked.load(Ordering::Relaxed)));
                if idle >= limit {
                    shut = true;
                    // An answer under way is finished first.
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Waits for the request to close; a sender that is gone asks for it as well.
async fn closed(closing: &mut watch::Receiver<bool>) {
    drop(closing.wait_for(|closing| *closing).await);
}
