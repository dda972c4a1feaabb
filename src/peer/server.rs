//! Answers the calls of other routers.

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
    Authenticator, Channel, Purpose, Reply, Request, MAX_FRAME,
};
use crate::{inspect::Dump, once, Router};

/// Longest time for a client to prove its key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time a connection may carry nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time for the other end to take an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Most connections from routers.
pub const MAX_CONNECTIONS: usize = 1_024;

/// Most connections whose other end has not proved its key.
pub const MAX_HALF_OPEN: usize = 64;

/// Most answers that one connection holds back.
const MAX_HELD: usize = 1_024;

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections of other routers until the task is dropped.
///
/// Connections beyond the limits are closed at once, and counted.
pub async fn serve(cx: Arc<Router>, listener: TcpListener) {
    let open = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let half_open = Arc::new(Semaphore::new(MAX_HALF_OPEN));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("peer accept failed error=\"{err}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let places = (
            open.clone().try_acquire_owned(),
            half_open.clone().try_acquire_owned(),
        );
        let (Ok(open), Ok(half_open)) = places else {
            cx.metrics.peer_connections_refused.inc();
            continue;
        };
        tokio::spawn(connection(cx.clone(), stream, open, half_open));
    }
}

async fn connection(
    cx: Arc<Router>,
    mut stream: TcpStream,
    _open: OwnedSemaphorePermit,
    half_open: OwnedSemaphorePermit,
) {
    let sealer = Authenticator::new(&cx.settings.peer_keys, Purpose::Frame);
    // Without it answers are only slower.
    let _ = stream.set_nodelay(true);
    let bytes = &cx.metrics.peer_bytes_sent;
    let accepted = timeout(HANDSHAKE_TIMEOUT, accept(&sealer, &mut stream, bytes)).await;
    drop(half_open);
    let Ok(Ok((hello, channel))) = accepted else {
        cx.metrics.peer_connections_refused.inc();
        return;
    };
    if let Err(err) = answer_calls(&cx, &hello, channel, &mut stream).await {
        log::debug!(
            "peer connection ended from={} error=\"{err}\"",
            hello.router
        );
        if err.kind() == io::ErrorKind::InvalidData {
            cx.metrics.peer_connections_refused.inc();
        }
    }
}

async fn answer_calls(
    cx: &Router,
    hello: &Hello,
    mut channel: Channel,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut held = FuturesUnordered::new();
    loop {
        let reply = tokio::select! {
            call = timeout(IDLE_TIMEOUT, channel.rx.read(stream)), if held.len() < MAX_HELD => {
                let call: Envelope<Request> = call??;
                let waits = matches!(call.body, Request::Key(_));
                let reply = answer_call(cx, hello, call);
                if waits {
                    // Calls behind it are not held up.
                    held.push(reply);
                    continue;
                }
                reply.await
            }
            Some(reply) = held.next() => reply,
        };
        timeout(WRITE_TIMEOUT, channel.tx.write(stream, &reply)).await??;
    }
}

async fn answer_call(cx: &Router, from: &Hello, call: Envelope<Request>) -> Envelope<Reply> {
    Envelope {
        number: call.number,
        body: answer(cx, from, call.body).await,
    }
}

async fn answer(cx: &Router, from: &Hello, req: Request) -> Reply {
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
        Request::Key(req) => Reply::Key(once::answer(cx, from, req).await),
        Request::BeginCanary(req) => {
            Reply::BeginCanary(cx.answer_begin_canary(&from.router, from.incarnation, &req))
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

/// Returns the state dump, or what is wrong with it when it does not fit a frame.
fn dump_text(cx: &Router) -> String {
    let text = serde_json::to_string(&Dump::new(cx)).unwrap_or_default();
    if text.len() < MAX_FRAME / 2 {
        return text;
    }
    let len = text.len();
    format!(
        "{{\"too_large_bytes\":{len},\"router\":\"{}\"}}",
        cx.settings.name
    )
}
