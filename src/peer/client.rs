//! Calls to other routers, with one connection and one task for each peer.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{atomic::AtomicU64, Mutex},
    time::Duration,
};

use prometheus_client::metrics::counter::Counter;
use slab::Slab;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::{sleep_until, timeout, Instant},
};

use super::{
    connect,
    message::{Envelope, Hello},
    Authenticator, Call, Reply, Request,
};
use crate::{sync::lock, Category, Error, Result, RouterName};

/// Longest time to wait for the reply to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to open a connection and complete its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that a connection without pending calls stays open.
///
/// It is shorter than the idle timeout of the server, so the client closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest number of calls queued for the connection to one peer.
const MAX_QUEUED_CALLS: usize = 1_024;

/// A call that waits to be sent, with the channel for its reply.
struct PendingCall {
    req: Request,
    tx: oneshot::Sender<Reply>,
}

/// The queue of calls of a task that holds the connection to one peer.
struct PeerQueue {
    address: SocketAddr,
    tx: mpsc::Sender<PendingCall>,
}

/// Calls other routers, over connections that it opens when they are needed.
pub struct PeerClient {
    hello: Hello,
    authenticator: Authenticator,
    bytes_sent: Counter<u64, AtomicU64>,
    queues: Mutex<BTreeMap<RouterName, PeerQueue>>,
}

impl PeerClient {
    /// Creates a client that calls as router `me`; opens no connection yet.
    pub fn new(
        me: RouterName,
        incarnation: crate::Incarnation,
        authenticator: Authenticator,
    ) -> Self {
        PeerClient {
            hello: Hello {
                router: me,
                incarnation,
            },
            authenticator,
            bytes_sent: Counter::default(),
            queues: Mutex::new(BTreeMap::new()),
        }
    }

    /// Counts the bytes that the client sends in `bytes_sent`.
    #[must_use]
    pub fn with_counter(mut self, bytes_sent: Counter<u64, AtomicU64>) -> Self {
        self.bytes_sent = bytes_sent;
        self
    }

    /// Calls the router `name` at `address` and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails when the queue of the peer is full or no reply of the expected type arrives in
    /// time; the call may have been carried out.
    pub async fn call<C: Call>(
        &self,
        name: &RouterName,
        address: SocketAddr,
        call: C,
    ) -> Result<C::Answer> {
        let (tx, rx) = oneshot::channel();
        let req = call.into_request();
        let unavailable =
            || Error::may_have_run(Category::Unavailable, format!("router {name}: no reply"));
        self.queue(name, address)
            .try_send(PendingCall { req, tx })
            .map_err(|_| unavailable())?;
        let reply = timeout(CALL_TIMEOUT, rx).await;
        let reply = reply
            .map_err(|_| unavailable())?
            .map_err(|_| unavailable())?;
        let mismatch = || {
            Error::may_have_run(
                Category::Protocol,
                format!("router {name}: unexpected reply type"),
            )
        };
        C::from_reply(reply).ok_or_else(mismatch)
    }

    /// Returns the queue of the task that serves a peer; starts the task if none runs.
    fn queue(&self, name: &RouterName, address: SocketAddr) -> mpsc::Sender<PendingCall> {
        let mut queues = lock(&self.queues);
        if let Some(queue) = queues.get(name) {
            if queue.address == address && !queue.tx.is_closed() {
                return queue.tx.clone();
            }
        }
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CALLS);
        let connector = Connector {
            address,
            hello: self.hello.clone(),
            authenticator: self.authenticator.clone(),
            bytes_sent: self.bytes_sent.clone(),
        };
        tokio::spawn(run_connection(connector, rx));
        let queue = PeerQueue {
            address,
            tx: tx.clone(),
        };
        queues.insert(name.clone(), queue);
        tx
    }
}

/// The parameters for opening a connection to one peer.
struct Connector {
    address: SocketAddr,
    hello: Hello,
    authenticator: Authenticator,
    bytes_sent: Counter<u64, AtomicU64>,
}

/// Runs one connection until it ends; calls that still wait for a reply then fail.
async fn run_connection(connector: Connector, rx: mpsc::Receiver<PendingCall>) {
    if let Err(err) = exchange_calls(&connector, rx).await {
        log::debug!(
            "connection to peer failed to={} error=\"{err}\"",
            connector.address
        );
    }
}

/// Opens a connection, sends the queued calls on it and matches the replies to them.
async fn exchange_calls(
    connector: &Connector,
    mut rx: mpsc::Receiver<PendingCall>,
) -> io::Result<()> {
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    let connecting = TcpStream::connect(connector.address);
    let stream = tokio::time::timeout_at(deadline, connecting).await??;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let Connector {
        hello,
        authenticator,
        bytes_sent,
        ..
    } = connector;
    let handshake = connect(authenticator, hello, &mut reader, &mut writer, bytes_sent);
    let mut channel = tokio::time::timeout_at(deadline, handshake).await??;
    let mut reply_senders: Slab<oneshot::Sender<Reply>> = Slab::new();
    let mut last_progress = Instant::now();
    loop {
        let max_silence = if reply_senders.is_empty() {
            IDLE_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        tokio::select! {
            call = rx.recv() => {
                let Some(call) = call else { return Ok(()) };
                if reply_senders.is_empty() {
                    last_progress = Instant::now();
                }
                let number = reply_senders.insert(call.tx) as u64;
                let envelope = Envelope { number, body: call.req };
                timeout(CALL_TIMEOUT, channel.tx.write(&mut writer, &envelope)).await??;
            }
            reply = channel.rx.read::<_, Envelope<Reply>>(&mut reader) => {
                let reply = reply?;
                last_progress = Instant::now();
                let reply_sender = reply_senders.try_remove(reply.number as usize);
                // A caller that no longer waits has dropped its receiver, so the send may fail.
                let _ = reply_sender.map(|tx| tx.send(reply.body));
            }
            // Closing a silent connection makes the next call open a new one.
            () = sleep_until(last_progress + max_silence) => {
                return if reply_senders.is_empty() { Ok(()) } else { Err(io::ErrorKind::TimedOut.into()) };
            }
        }
    }
}
