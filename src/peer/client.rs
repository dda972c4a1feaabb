//! Calls to other routers, over one connection and one task for each peer.

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

/// Longest time for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to open a connection and to prove the key on it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time a connection without calls stays open; shorter than at the server.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Most calls that wait for a connection to one peer.
const QUEUE_LEN: usize = 1_024;

struct Pending {
    req: Request,
    tx: oneshot::Sender<Reply>,
}

struct Link {
    address: SocketAddr,
    tx: mpsc::Sender<Pending>,
}

/// The connections to other routers.
pub struct PeerClient {
    hello: Hello,
    sealer: Authenticator,
    bytes: Counter<u64, AtomicU64>,
    links: Mutex<BTreeMap<RouterName, Link>>,
}

impl PeerClient {
    /// Creates the connections of router `me`, none of them open yet.
    pub fn new(me: RouterName, incarnation: crate::Incarnation, sealer: Authenticator) -> Self {
        PeerClient {
            hello: Hello {
                router: me,
                incarnation,
            },
            sealer,
            bytes: Counter::default(),
            links: Mutex::new(BTreeMap::new()),
        }
    }

    /// Counts the bytes that are sent in `bytes`.
    #[must_use]
    pub fn with_counter(mut self, bytes: Counter<u64, AtomicU64>) -> Self {
        self.bytes = bytes;
        self
    }

    /// Calls the router `name` at `address`.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives in time; the call may have been carried out.
    pub async fn call<C: Call>(
        &self,
        name: &RouterName,
        address: SocketAddr,
        call: C,
    ) -> Result<C::Answer> {
        let (tx, rx) = oneshot::channel();
        let req = call.into_request();
        let unavailable = || Error::may_have_run(Category::Unavailable, format!("router {name}"));
        self.link(name, address)
            .try_send(Pending { req, tx })
            .map_err(|_| unavailable())?;
        let reply = timeout(CALL_TIMEOUT, rx).await;
        let reply = reply
            .map_err(|_| unavailable())?
            .map_err(|_| unavailable())?;
        let mismatch = || Error::may_have_run(Category::Protocol, format!("router {name}"));
        C::from_reply(reply).ok_or_else(mismatch)
    }

    /// Returns the way to the task of a peer, and starts the task if there is none.
    fn link(&self, name: &RouterName, address: SocketAddr) -> mpsc::Sender<Pending> {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(name) {
            if link.address == address && !link.tx.is_closed() {
                return link.tx.clone();
            }
        }
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let opener = Opener {
            address,
            hello: self.hello.clone(),
            sealer: self.sealer.clone(),
            bytes: self.bytes.clone(),
        };
        tokio::spawn(drive(opener, rx));
        let link = Link {
            address,
            tx: tx.clone(),
        };
        links.insert(name.clone(), link);
        tx
    }
}

/// What is needed to open a connection.
struct Opener {
    address: SocketAddr,
    hello: Hello,
    sealer: Authenticator,
    bytes: Counter<u64, AtomicU64>,
}

/// Drives one connection until it fails; calls without an answer fail with it.
async fn drive(opener: Opener, rx: mpsc::Receiver<Pending>) {
    if let Err(err) = converse(&opener, rx).await {
        log::debug!(
            "peer connection failed to={} error=\"{err}\"",
            opener.address
        );
    }
}

async fn converse(opener: &Opener, mut rx: mpsc::Receiver<Pending>) -> io::Result<()> {
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    let connecting = TcpStream::connect(opener.address);
    let stream = tokio::time::timeout_at(deadline, connecting).await??;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let Opener {
        hello,
        sealer,
        bytes,
        ..
    } = opener;
    let opening = connect(sealer, hello, &mut reader, &mut writer, bytes);
    let mut channel = tokio::time::timeout_at(deadline, opening).await??;
    let mut waiting: Slab<oneshot::Sender<Reply>> = Slab::new();
    let mut progress = Instant::now();
    loop {
        let limit = if waiting.is_empty() {
            IDLE_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        tokio::select! {
            call = rx.recv() => {
                let Some(call) = call else { return Ok(()) };
                if waiting.is_empty() {
                    progress = Instant::now();
                }
                let number = waiting.insert(call.tx) as u64;
                let envelope = Envelope { number, body: call.req };
                timeout(CALL_TIMEOUT, channel.tx.write(&mut writer, &envelope)).await??;
            }
            reply = channel.rx.read::<_, Envelope<Reply>>(&mut reader) => {
                let reply = reply?;
                progress = Instant::now();
                let waiter = waiting.try_remove(reply.number as usize);
                // The caller may have given up; its answer is dropped.
                let _ = waiter.map(|tx| tx.send(reply.body));
            }
            // The next call opens a new connection instead of waiting on a silent one.
            () = sleep_until(progress + limit) => {
                return if waiting.is_empty() { Ok(()) } else { Err(io::ErrorKind::TimedOut.into()) };
            }
        }
    }
}
