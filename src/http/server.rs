//! Accepts HTTP connections, one task for each.

use std::{net::SocketAddr, panic::AssertUnwindSafe, sync::Arc, time::Duration};

use gotham::{helpers::http::Body, router::Router as Routes, service::call_handler, state::State};
use http::{header, HeaderMap, Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{watch, Semaphore},
};

use super::response::{error_response, VERDICT_HEADER};
use crate::{config::Limits, Category, Error, Verdict};

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
    let slots = Arc::new(Semaphore::new(limits.max_connections));
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
        let task = connection(
            stream,
            from,
            routes.clone(),
            limits.receive_timeout,
            stop.clone(),
        );
        tokio::spawn(async move {
            task.await;
            drop(slot);
        });
    }
    drop(listener);
    // The slot held at the break is dropped, so all of them are free again.
    let _ = slots.acquire_many(limits.max_connections as u32).await;
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
    let service = service_fn(move |req: Request<Incoming>| {
        let floor = verdict_floor(req.headers());
        let state = AssertUnwindSafe(State::from_request(req, from));
        let answer = call_handler(routes.clone(), state);
        async move { answer.await.map(|answer| with_verdict(answer, floor)) }
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

/// Returns the strongest verdict for a request that no handler has read.
///
/// Another attempt of a request that has a name may be under way elsewhere.
fn verdict_floor(headers: &HeaderMap) -> Verdict {
    let names = ["idempotency-key", "x-request-id", "ebonyspur-attempt"];
    if names.iter().any(|name| headers.contains_key(*name)) {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    }
}

/// Gives the failures that no handler has answered the form of all others.
fn with_verdict(answer: Response<Body>, floor: Verdict) -> Response<Body> {
    let status = answer.status();
    let is_failure = status.is_client_error() || status.is_server_error();
    if !is_failure || answer.headers().contains_key(VERDICT_HEADER) {
        return answer;
    }
    let err = match status {
        StatusCode::NOT_FOUND => Error::not_run(Category::NotFound, "no such path"),
        _ if status.is_client_error() => Error::not_run(Category::BadInput, status.to_string()),
        _ => Error::may_have_run(Category::Io, "the request has failed in the router"),
    };
    let mut refusal = error_response(&err.with_verdict_at_least(floor));
    *refusal.status_mut() = status;
    if let Some(allow) = answer.headers().get(header::ALLOW) {
        refusal.headers_mut().insert(header::ALLOW, allow.clone());
    }
    refusal
}

/// Waits for the request to stop; a sender that is gone asks for it as well.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    drop(stop.wait_for(|stop| *stop).await);
}
