//! Answers the calls of other routers.

use std::{io, sync::Arc, time::Duration};

use bytes::BytesMut;
use tokio::net::{TcpListener, TcpStream};

use super::{
    message::{Envelope, Hello},
    read_frame, write_frame, Purpose, Reply, Request, Sealer,
};
use crate::Router;

/// Longest time for the first frame of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time a connection may carry nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections of other routers until the task is dropped.
pub async fn serve(cx: Arc<Router>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(connection(cx.clone(), stream))),
            Err(err) => {
                log::warn!("peer accept failed error=\"{err}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(cx: Arc<Router>, mut stream: TcpStream) {
    let sealer = Sealer::new(&cx.settings.peer_keys, Purpose::Frame);
    if let Err(err) = answer_calls(&cx, &sealer, &mut stream).await {
        log::debug!("peer connection ended error=\"{err}\"");
    }
}

async fn answer_calls(cx: &Router, sealer: &Sealer, stream: &mut TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = BytesMut::new();
    let hello: Hello =
        tokio::time::timeout(HELLO_TIMEOUT, read_frame(stream, sealer, &mut buf)).await??;
    loop {
        let next = read_frame(stream, sealer, &mut buf);
        let call: Envelope<Request> = tokio::time::timeout(IDLE_TIMEOUT, next).await??;
        let reply = Envelope {
            number: call.number,
            body: answer(cx, &hello, call.body),
        };
        write_frame(stream, sealer, &reply).await?;
    }
}

fn answer(cx: &Router, from: &Hello, req: Request) -> Reply {
    match req {
        Request::Grant(req) => Reply::Grant(cx.answer_grant(&from.router, from.incarnation, &req)),
        Request::Release(req) => {
            let (router, incarnation, now) = (&from.router, from.incarnation, cx.clock.now());
            cx.steward
                .release(&req.engine, router, incarnation, req.grant, now);
            Reply::Released
        }
        Request::Renew(req) => {
            Reply::Renew(cx.answer_renewal(&from.router, from.incarnation, &req))
        }
        Request::HandOver(req) => {
            Reply::HandOver(cx.steward.hand_over(&req.engine, cx.clock.now()))
        }
    }
}
