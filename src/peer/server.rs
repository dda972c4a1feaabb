//! Accepts connections of other routers and replies to their requests.

use std::{io, sync::Arc, time::Duration};

use futures_util::{stream::FuturesUnordered, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use super::{
    accept,
    message::{Envelope, Hello},
    Authenticator, Channel, Purpose, Reply, Request, MAX_FRAME_BYTES,
};
use crate::{inspect::Dump, once, Router};

/// Longest time for a client to complete the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time to wait for the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time to write a reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest number of accepted connections.
pub const MAX_CONNECTIONS: usize = 1_024;

/// Largest number of connections whose handshake is not complete.
pub const MAX_UNAUTHENTICATED_CONNECTIONS: usize = 64;

/// Largest number of replies that one connection computes at the same time.
///
/// No further request is read while so many are in progress.
const MAX_DELAYED_REPLIES: usize = 1_024;

/// Delay after a failed accept, such as when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections of other routers until the task is dropped.
///
/// Connections beyond the limits are closed at once and counted as refused.
pub async fn serve(cx: Arc<Router>, listener: TcpListener) {
    let open = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let unauthenticated = Arc::new(Semaphore::new(MAX_UNAUTHENTICATED_CONNECTIONS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("accepting a peer connection failed error=\"{err}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let permits = (
            open.clone().try_acquire_owned(),
            unauthenticated.clone().try_acquire_owned(),
        );
        let (Ok(open), Ok(unauthenticated)) = permits else {
            cx.metrics.peer_connections_refused.inc();
            continue;
        };
        tokio::spawn(serve_connection(cx.clone(), stream, open, unauthenticated));
    }
}

/// Performs the handshake of a connection and serves its requests until it ends.
async fn serve_connection(
    cx: Arc<Router>,
    mut stream: TcpStream,
    _open: OwnedSemaphorePermit,
    unauthenticated: OwnedSemaphorePermit,
) {
    let authenticator = Authenticator::new(&cx.settings.peer_keys, Purpose::Frame);
    // Without this option replies are only slower.
    let _ = stream.set_nodelay(true);
    let bytes = &cx.metrics.peer_bytes_sent;
    let accepted = timeout(
        HANDSHAKE_TIMEOUT,
        accept(&authenticator, &mut stream, bytes),
    )
    .await;
    drop(unauthenticated);
    let Ok(Ok((hello, channel))) = accepted else {
        cx.metrics.peer_connections_refused.inc();
        return;
    };
    if let Err(err) = serve_requests(&cx, &hello, channel, &mut stream).await {
        log::debug!(
            "peer connection closed with an error from={} error=\"{err}\"",
            hello.router
        );
        if err.kind() == io::ErrorKind::InvalidData {
            cx.metrics.peer_connections_refused.inc();
        }
    }
}

/// Reads requests and writes their replies.
///
/// The reply to a [`Request::Key`] may wait for the log and be written after later ones.
async fn serve_requests(
    cx: &Router,
    hello: &Hello,
    mut channel: Channel,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut delayed_replies = FuturesUnordered::new();
    loop {
        let reply = tokio::select! {
            call = timeout(IDLE_TIMEOUT, channel.rx.read(stream)), if delayed_replies.len() < MAX_DELAYED_REPLIES => {
                let call: Envelope<Request> = call??;
                let may_wait = matches!(call.body, Request::Key(_));
                let reply = reply_to_call(cx, hello, call);
                if may_wait {
                    // The reply may take long; later requests are served meanwhile.
                    delayed_replies.push(reply);
                    continue;
                }
                reply.await
            }
            Some(reply) = delayed_replies.next() => reply,
        };
        timeout(WRITE_TIMEOUT, channel.tx.write(stream, &reply)).await??;
    }
}

async fn reply_to_call(cx: &Router, from: &Hello, call: Envelope<Request>) -> Envelope<Reply> {
    Envelope {
        number: call.number,
        body: handle_request(cx, from, call.body).await,
    }
}

/// Carries out the request of another router and returns the reply.
async fn handle_request(cx: &Router, from: &Hello, req: Request) -> Reply {
    match req {
        Request::Grant(req) => Reply::Grant(cx.handle_grant(&from.router, from.incarnation, &req)),
        Request::Release(req) => {
            let (router, incarnation, now) = (&from.router, from.incarnation, cx.clock.now());
            cx.steward
                .release(&req.engine, router, incarnation, req.grant, now);
            Reply::Released
        }
        Request::ConfigHead(_) => {
            let known = cx.config.is_synced();
            Reply::ConfigHead(known.then(|| cx.config.current().applied))
        }
        Request::Dump => Reply::Dump(dump_text(cx)),
        Request::ConfigSince(req) => Reply::ConfigSince(cx.config.changes_since(&req)),
        Request::Renew(req) => {
            Reply::Renew(cx.handle_renewal(&from.router, from.incarnation, &req))
        }
        Request::HandOver(req) => {
            Reply::HandOver(cx.steward.hand_over(&req.engine, cx.clock.now()))
        }
        Request::Key(req) => Reply::Key(once::handle_request(cx, from, req).await),
        Request::BeginCanary(req) => {
            Reply::BeginCanary(cx.handle_begin_canary(&from.router, from.incarnation, &req))
        }
        Request::EndCanary(req) => {
            cx.end_canary(&from.router, from.incarnation, &req);
            Reply::Ack
        }
        Request::CrashReport(req) => {
            cx.record_engine_crash(&req.0);
            Reply::Ack
        }
        Request::CrashHistory => Reply::CrashHistory(cx.quarantine.records(cx.clock.now())),
    }
}

/// Returns the state dump as JSON text, or an object with its size when it is too large for
/// a frame.
fn dump_text(cx: &Router) -> String {
    let text = serde_json::to_string(&Dump::new(cx)).unwrap_or_default();
    if text.len() < MAX_FRAME_BYTES / 2 {
        return text;
    }
    let len = text.len();
    format!(
        "{{\"too_large_bytes\":{len},\"router\":\"{}\"}}",
        cx.settings.name
    )
}
