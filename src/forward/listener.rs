//! Accepts HTTP connections from callers and serves each one in its own task.

use std::{future::Future, io, net::SocketAddr, os::fd::AsRawFd, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::body::Incoming;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{watch, OwnedSemaphorePermit, Semaphore},
};

use super::{caller_task::serve_connection, Body, DrainStage};
use crate::{memory::Account, Clock};

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which connections that stand still are given up while no more may be accepted.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the connections, as a divisor, that is given up at a time.
const ROOM_DIVISOR: usize = 8;

/// Largest number of failed accepts after which a closing listener gives up the connections that
/// the kernel still has.
const MAX_QUEUE_FAILURES: u32 = 100;

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
            slot = free_slot(&listener, &slots, service.memory(), max_connections, clock) => slot,
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

/// Waits until another connection may be accepted; while one waits for that, some that stand still
/// are given up.
async fn free_slot(
    listener: &TcpListener,
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
                if let Some(memory) = memory.filter(|_| has_waiting(listener)) {
                    memory.make_room(max_connections.div_ceil(ROOM_DIVISOR), clock.now());
                }
            }
        }
    }
}

/// Returns whether the kernel has a connection that was not accepted.
fn has_waiting(listener: &TcpListener) -> bool {
    let mut poll = libc::pollfd {
        fd: listener.as_raw_fd(),
        events: libc::POLLIN,
        revents: 0,
    };
    // SAFETY: the pointer is to one valid entry, and the descriptor is open.
    unsafe { libc::poll(&mut poll, 1, 0) == 1 }
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

/// Waits until `stage` is at least `awaited` or its sender is dropped.
pub(super) async fn reached(stage: &mut watch::Receiver<DrainStage>, awaited: DrainStage) {
    drop(stage.wait_for(|stage| *stage >= awaited).await);
}
