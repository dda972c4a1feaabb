//! Accepts HTTP connections, one task for each.

use std::{net::SocketAddr, panic::AssertUnwindSafe, sync::Arc, time::Duration};

use gotham::{router::Router as Routes, service::call_handler, state::State};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{watch, Semaphore},
};

use crate::config::Limits;

/// Largest head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves `routes` until `stop` turns true, then lets every connection finish its request.
///
/// Returns once all connections have ended.
pub async fn serve(
    listener: TcpListener,
    routes: Routes,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(limits.connections));
    loop {
        let slot = slots.clone().acquire_owned().await.expect("never closed");
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped(&mut stop) => break,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let task = connection(stream, from, routes.clone(), limits.receive, stop.clone());
        tokio::spawn(async move {
            task.await;
            drop(slot);
        });
    }
    drop(listener);
    // The slot held at the break is dropped, so all of them are free again.
    let _ = slots.acquire_many(limits.connections as u32).await;
}

async fn connection(
    stream: TcpStream,
    from: SocketAddr,
    routes: Routes,
    receive: Duration,
    mut stop: watch::Receiver<bool>,
) {
    // Without it answers are only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let state = AssertUnwindSafe(State::from_request(req, from));
        call_handler(routes.clone(), state)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(receive)
        .max_buf_size(MAX_HEAD)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        _ = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!("caller connection ended from={from} error=\"{err}\"");
    }
}

/// Waits for the request to stop; a sender that is gone asks for it as well.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    drop(stop.wait_for(|stop| *stop).await);
}
