//! Serves one connection of a caller until it ends or has to be closed.

use std::{
    convert::Infallible, future::Future, net::SocketAddr, pin::Pin, task::Poll, time::Duration,
};

use http::{header, HeaderValue, Request};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch, time::Sleep};

use super::{
    body::BodyUnread,
    caller_connection::{CallerStream, CloseReason, ConnectionRecord},
    connection,
    exchange_body::{ExchangeBody, ExchangeGuard},
    linger::linger,
    listener::reached,
    Deadline, DrainStage, HttpHandler,
};
use crate::{memory::Holding, Clock};

/// Shortest time between two checks whether a connection is idle.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two checks whether a connection can be closed after the last responses.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Largest head of a request, in bytes; also the limit to which read buffers grow.
const MAX_HEAD_BYTES: usize = 20 * 1024;

/// Time after its deadline from which a response is given up.
///
/// A body that the caller reads ends at the deadline by itself.
const OVERDUE_MARGIN: Duration = Duration::from_millis(200);

/// Serves the connection `stream` from `peer`.
pub(super) async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    service: impl HttpHandler,
    clock: Clock,
    mut stage: watch::Receiver<DrainStage>,
) {
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| connection::set_keepalive(&stream));
    if let Err(err) = configured {
        log::debug!("cannot set options of caller socket error=\"{err}\"");
    }
    let holding = service.memory().map(|memory| memory.holding(clock.now()));
    if let Some(Err(err)) = open(holding.as_ref(), clock).await {
        log::debug!("caller connection refused peer={peer} error=\"{err}\"");
        return;
    }
    let record = ConnectionRecord::new(service.idle_limit(), clock.now());
    let stream = CallerStream::new(stream, peer, record.clone(), holding.clone(), clock);
    let hyper_service = {
        let (service, record) = (service.clone(), record.clone());
        let stage = stage.clone();
        let holding = holding.clone();
        service_fn(move |mut req: Request<Incoming>| {
            let (service, record) = (service.clone(), record.clone());
            let stage = stage.clone();
            let holding = holding.clone();
            async move {
                let mut exchange = ExchangeGuard::begin(record.clone(), service.clone(), clock);
                if let Some(holding) = holding {
                    exchange.hold(holding.clone());
                    req.extensions_mut().insert(holding);
                }
                let mut response = service.handle(req).await;
                let is_unread = response.extensions_mut().remove::<BodyUnread>().is_some();
                if is_unread {
                    record.begin_lingering();
                }
                if is_unread || *stage.borrow() != DrainStage::Serving {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                if let Some(deadline) = response.extensions_mut().remove::<Deadline>() {
                    record.set_overdue_at(deadline.0 + OVERDUE_MARGIN);
                }
                exchange.announce_idle_limit(response.headers_mut());
                let _exchange = exchange;
                Ok::<_, Infallible>(response.map(|body| ExchangeBody { body, _exchange }))
            }
        })
    };
    let mut connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), hyper_service);
    let overdue_timer = tokio::time::sleep(Duration::ZERO);
    tokio::pin!(overdue_timer);
    let mut drain_stage = stage.clone();
    let mut is_draining = false;
    let mut closes_unannounced = false;
    let mut is_closing = false;
    let ended = loop {
        let now = clock.now();
        let close_at = record.close_at(service.idle_limit());
        let wait = match close_at {
            Some(close_at) => close_at.since(now),
            None if is_closing => CLOSING_CHECK_INTERVAL,
            // An exchange that ends later leaves the connection open for at least the idle limit.
            None => service.idle_limit().max(MIN_CHECK_INTERVAL),
        };
        tokio::select! {
            // What has arrived is read before the connection may be closed.
            biased;
            ended = &mut connection => break ended,
            () = becomes_overdue(&record, clock, overdue_timer.as_mut()) => {
                record.record_close(CloseReason::Overdue, clock.now());
                break Ok(());
            }
            () = given_up(holding.as_ref(), &record) => {
                record.expire();
                let polled = std::future::poll_fn(|cx| Poll::Ready(Pin::new(&mut connection).poll(cx)));
                if let Poll::Ready(ended) = polled.await {
                    break ended;
                }
                // A request that had arrived is answered, and the connection stays unless it is refused.
                if !record.is_exchange() {
                    record.record_close(CloseReason::GivenUp, clock.now());
                    break Ok(());
                }
            }
            () = reached(&mut drain_stage, DrainStage::Draining), if !is_draining => {
                is_draining = true;
                // The head of the response may be written already and announce no close.
                closes_unannounced = record.is_exchange();
            }
            () = exchange_ended(&record), if closes_unannounced => {
                closes_unannounced = false;
                Pin::new(&mut connection).graceful_shutdown();
            }
            () = reached(&mut stage, DrainStage::Finishing), if !is_closing => {
                is_closing = true;
                record.begin_closing();
            }
            _ = tokio::time::sleep(wait) => {
                let is_due = || {
                    let close_at = record.close_at(service.idle_limit());
                    close_at.is_some_and(|close_at| close_at <= clock.now())
                };
                if !is_due() {
                    continue;
                }
                // The next read then also finds bytes of which the runtime has no event yet. Only
                // those still on their way can cross the close.
                record.expire();
                let polled = std::future::poll_fn(|cx| Poll::Ready(Pin::new(&mut connection).poll(cx)));
                if let Poll::Ready(ended) = polled.await {
                    break ended;
                }
                if is_due() {
                    let reason = if is_closing {
                        CloseReason::Closing
                    } else {
                        CloseReason::Idle
                    };
                    record.record_close(reason, clock.now());
                    Pin::new(&mut connection).graceful_shutdown();
                    if record.is_receiving() {
                        // The rest of a first head would be awaited without end.
                        break Ok(());
                    }
                    break (&mut connection).await;
                }
            }
        }
    };
    record.record_end();
    let is_ended_by_itself = ended.is_ok() && !record.is_closed();
    if let Err(err) = ended {
        log::debug!("caller connection ended error=\"{err}\"");
    }
    if is_ended_by_itself && record.is_lingering() {
        // The buffers are released before, so that only the socket is held meanwhile.
        let stream = connection.into_parts().io.into_inner();
        // Boxed because a connection holds the memory of its task while it is open.
        let lingering = Box::pin(linger(stream));
        tokio::select! {
            () = lingering => {}
            () = given_up(holding.as_ref(), &record) => {}
        }
    }
}

/// Holds the memory of an open connection.
async fn open(holding: Option<&Holding>, clock: Clock) -> Option<crate::Result<()>> {
    Some(holding?.open(clock).await)
}

/// Waits until the connection is given up for others while no request is in progress.
///
/// A request in progress learns of it by itself.
async fn given_up(holding: Option<&Holding>, record: &ConnectionRecord) {
    let Some(holding) = holding else {
        return std::future::pending().await;
    };
    let given_up = holding.given_up();
    tokio::pin!(given_up);
    std::future::poll_fn(|cx| match record.is_exchange() {
        true => Poll::Pending,
        false => given_up.as_mut().poll(cx),
    })
    .await;
}

/// Waits until the last request that was read has its response.
///
/// The record changes only while the connection is polled, which the same task does.
async fn exchange_ended(record: &ConnectionRecord) {
    std::future::poll_fn(|_| {
        if record.is_exchange() {
            Poll::Pending
        } else {
            Poll::Ready(())
        }
    })
    .await;
}

/// Waits until the response in progress is overdue.
///
/// While its caller reads nothing, the connection does not poll it.
async fn becomes_overdue(record: &ConnectionRecord, clock: Clock, mut timer: Pin<&mut Sleep>) {
    let mut timer_at = None;
    std::future::poll_fn(|cx| {
        let overdue_at = record.overdue_at();
        let Some(at) = overdue_at else {
            return Poll::Pending;
        };
        if timer_at.replace(at) != overdue_at {
            let left = at.since(clock.now());
            timer.as_mut().reset(tokio::time::Instant::now() + left);
        }
        timer.as_mut().poll(cx)
    })
    .await;
}
