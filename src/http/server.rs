//! Accepts HTTP connections and serves each on a task of its own.

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

/// Size of the read buffer, which limits the head of a request.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves `routes` until `stop` becomes true, then lets each connection finish its current
/// request.
///
/// Returns after all connections have ended.
pub async fn serve(
    listener: TcpListener,
    routes: Routes,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) {
    let connection_permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let permit = connection_permits
            .clone()
            .acquire_owned()
            .await
            .expect("never closed");
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = wait_for_stop(&mut stop) => break,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let task = serve_connection(
            stream,
            from,
            routes.clone(),
            limits.receive_timeout,
            stop.clone(),
        );
        tokio::spawn(async move {
            task.await;
            drop(permit);
        });
    }
    drop(listener);
    // The permit acquired in the last round has been dropped; wait for those of the connections.
    let _ = connection_permits
        .acquire_many(limits.max_connections as u32)
        .await;
}

async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    routes: Routes,
    receive_timeout: Duration,
    mut stop: watch::Receiver<bool>,
) {
    // A failure is harmless: small writes are only delayed.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req: Request<Incoming>| {
        let min_verdict = unhandled_min_verdict(req.headers());
        let state = AssertUnwindSafe(State::from_request(req, from));
        let answer = call_handler(routes.clone(), state);
        async move {
            answer
                .await
                .map(|answer| to_error_response(answer, min_verdict))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(receive_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        _ = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!("HTTP connection failed from={from} error=\"{err}\"");
    }
}

/// Returns the weakest verdict that an error may carry for a request that no handler has read.
///
/// If the headers identify the request, another attempt may be in flight elsewhere.
fn unhandled_min_verdict(headers: &HeaderMap) -> Verdict {
    let names = ["idempotency-key", "x-request-id", "ebonyspur-attempt"];
    if names.iter().any(|name| headers.contains_key(*name)) {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    }
}

/// Replaces an error answer without a verdict, which no handler made, by an error response
/// in the usual form.
fn to_error_response(answer: Response<Body>, min_verdict: Verdict) -> Response<Body> {
    let status = answer.status();
    let is_failure = status.is_client_error() || status.is_server_error();
    if !is_failure || answer.headers().contains_key(VERDICT_HEADER) {
        return answer;
    }
    let err = match status {
        StatusCode::NOT_FOUND => Error::not_run(Category::NotFound, "no such path"),
        _ if status.is_client_error() => Error::not_run(Category::BadInput, status.to_string()),
        _ => Error::may_have_run(Category::Io, "the request failed inside the router"),
    };
    let mut response = error_response(&err.with_verdict_at_least(min_verdict));
    *response.status_mut() = status;
    if let Some(allow) = answer.headers().get(header::ALLOW) {
        response.headers_mut().insert(header::ALLOW, allow.clone());
    }
    response
}

/// Waits until `stop` becomes true or its sender is dropped.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    drop(stop.wait_for(|stop| *stop).await);
}
