//! Accepts HTTP connections from callers and serves each one in its own task.

use std::{
    convert::Infallible, future::Future, io, net::SocketAddr, pin::Pin, sync::Arc, task::Poll,
    time::Duration,
};

use http::{header, HeaderValue, Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{watch, OwnedSemaphorePermit, Semaphore},
    time::Sleep,
};

use super::{
    body::BodyUnread,
    caller_connection::{CallerStream, CloseReason, ConnectionRecord},
    connection,
    exchange_body::{ExchangeBody, ExchangeGuard},
    Body, Deadline, DrainStage,
};
use crate::{
    memory::{Account, Holding},
    Clock,
};

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which connections that stand still are given up while no more may be accepted.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the connections, as a divisor, that is given up at a time.
const ROOM_DIVISOR: usize = 8;

/// Largest number of failed accepts after which a closing listener gives up the connections that
/// the kernel still has.
const MAX_QUEUE_FAILURES: u32 = 100;

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

/// Handles the requests that arrive at a listener.
pub trait HttpHandler: Clone + Send + Sync + Unpin + 'static {
    /// Handles one request and returns its response.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;

    /// Returns the time for which a connection may stay open without a request.
    fn idle_limit(&self) -> Duration;

    /// Returns the account of the memory that connections hold, if it is limited.
    fn memory(&self) -> Option<&Account> {
        None
    }
}

/// Serves the connections of `listener` until `stage` is [`DrainStage::Closing`] and all of them
/// have ended.
///
/// New ones are accepted until then, at the latest until `stage` is [`DrainStage::Finishing`], when
/// idle ones are closed. At most `max_connections` are open at a time.
pub async fn serve(
    listener: TcpListener,
    service: impl HttpHandler,
    max_connections: usize,
    clock: Clock,
    mut stage: watch::Receiver<DrainStage>,
) {
    let slots = Arc::new(Semaphore::new(max_connections));
    let other_slots = max_connections.saturating_sub(1) as u32;
    let spawn = {
        let (service, stage) = (service.clone(), stage.clone());
        move |stream, peer, slot: OwnedSemaphorePermit| {
            let task = serve_connection(stream, peer, service.clone(), clock, stage.clone());
            tokio::spawn(async move {
                task.await;
                drop(slot);
            });
        }
    };
    let mut is_closing = false;
    let mut last_stage = stage.clone();
    loop {
        let slot = tokio::select! {
            biased;
            () = reached(&mut last_stage, DrainStage::Finishing) => break,
            slot = free_slot(&slots, service.memory(), max_connections, clock) => slot,
        };
        let accepted = tokio::select! {
            // Connections that the kernel has accepted may hold whole requests.
            biased;
            accepted = listener.accept() => accepted,
            () = reached(&mut stage, DrainStage::Closing), if !is_closing => {
                is_closing = true;
                continue;
            }
            () = reached(&mut last_stage, DrainStage::Finishing) => break,
            _ = slots.acquire_many(other_slots), if is_closing => break,
        };
        match accepted {
            Ok((stream, peer)) => spawn(stream, peer, slot),
            Err(err) => pause_after(&err).await,
        }
    }
    let queued = accept_queued(listener, |stream, peer| {
        // They have been accepted and cannot wait for others to end.
        slots.add_permits(1);
        let slot = slots.clone().try_acquire_owned();
        spawn(stream, peer, slot.expect("a slot was added"));
    });
    let queued = queued.await;
    let all_slots = max_connections + queued;
    let open = all_slots - slots.available_permits();
    log::info!("listener closed connections={open} queued={queued}");
    let _ = slots.acquire_many(all_slots as u32).await;
}

/// Waits until another connection may be accepted; meanwhile some that stand still are given up.
async fn free_slot(
    slots: &Arc<Semaphore>,
    memory: Option<&Account>,
    max_connections: usize,
    clock: Clock,
) -> OwnedSemaphorePermit {
    loop {
        let slot = slots.clone().acquire_owned();
        match tokio::time::timeout(FULL_CHECK_INTERVAL, slot).await {
            Ok(slot) => return slot.expect("never closed"),
            Err(_) => {
                if let Some(memory) = memory {
                    memory.make_room(max_connections.div_ceil(ROOM_DIVISOR), clock.now());
                }
            }
        }
    }
}

/// Logs a failed accept, and waits until another one may succeed.
async fn pause_after(err: &io::Error) {
    log::warn!("cannot accept caller connection error=\"{err}\"");
    // Other errors concern all connections, for example when file descriptors have run out.
    if err.kind() != io::ErrorKind::ConnectionAborted {
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

/// Closes `listener` after it has passed the connections that the kernel has accepted by then to
/// `spawn`; returns their number.
///
/// The runtime may have no event of them yet, so the kernel is asked.
async fn accept_queued(
    listener: TcpListener,
    mut spawn: impl FnMut(TcpStream, SocketAddr),
) -> usize {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(err) => {
            log::warn!("cannot accept the last caller connections error=\"{err}\"");
            return 0;
        }
    };
    let (mut count, mut failures) = (0, 0);
    while failures < MAX_QUEUE_FAILURES {
        match listener.accept() {
            Ok((stream, peer)) => {
                let stream = stream
                    .set_nonblocking(true)
                    .and_then(|()| TcpStream::from_std(stream));
                match stream {
                    Ok(stream) => {
                        spawn(stream, peer);
                        count += 1;
                    }
                    Err(err) => {
                        log::warn!("cannot serve caller connection peer={peer} error=\"{err}\"");
                    }
                }
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return count,
            Err(err) => {
                failures += 1;
                pause_after(&err).await;
            }
        }
    }
    log::warn!("caller connections given up that the kernel has accepted failures={failures}");
    count
}

async fn serve_connection(
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
    let stream = CallerStream::new(stream, peer, record.clone(), clock);
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
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), hyper_service);
    tokio::pin!(connection);
    let overdue_timer = tokio::time::sleep(Duration::ZERO);
    tokio::pin!(overdue_timer);
    let mut drain_stage = stage.clone();
    let mut is_draining = false;
    let mut is_given_up = false;
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
            () = given_up(holding.as_ref()), if !is_given_up => {
                is_given_up = true;
                record.expire();
                let polled = std::future::poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx)));
                if let Poll::Ready(ended) = polled.await {
                    break ended;
                }
                // A request that is being read is answered, which closes the connection.
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
                connection.as_mut().graceful_shutdown();
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
                let polled = std::future::poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx)));
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
                    connection.as_mut().graceful_shutdown();
                    if record.is_receiving() {
                        // The rest of a first head would be awaited without end.
                        break Ok(());
                    }
                    break connection.await;
                }
            }
        }
    };
    record.record_end();
    if let Err(err) = ended {
        log::debug!("caller connection ended error=\"{err}\"");
    }
}

/// Holds the memory of an open connection.
async fn open(holding: Option<&Holding>, clock: Clock) -> Option<crate::Result<()>> {
    Some(holding?.open(clock).await)
}

/// Waits until the connection is given up for others.
async fn given_up(holding: Option<&Holding>) {
    match holding {
        Some(holding) => holding.given_up().await,
        None => std::future::pending().await,
    }
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

/// Waits until `stage` is at least `awaited` or its sender is dropped.
async fn reached(stage: &mut watch::Receiver<DrainStage>, awaited: DrainStage) {
    drop(stage.wait_for(|stage| *stage >= awaited).await);
}
