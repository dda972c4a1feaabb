//! Calls to other routers, over one connection and one task for each peer.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Mutex, time::Duration};

use bytes::BytesMut;
use slab::Slab;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
};

use super::{
    message::{Envelope, Hello},
    read_frame, write_frame, Call, Reply, Request, Sealer,
};
use crate::{sync::lock, Category, Error, Result, RouterName};

/// Longest time for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

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
pub struct Peers {
    hello: Hello,
    sealer: Sealer,
    links: Mutex<BTreeMap<RouterName, Link>>,
}

impl Peers {
    /// Creates the connections of router `me`, none of them open yet.
    pub fn new(me: RouterName, incarnation: crate::Incarnation, sealer: Sealer) -> Self {
        Peers {
            hello: Hello {
                router: me,
                incarnation,
            },
            sealer,
            links: Mutex::new(BTreeMap::new()),
        }
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
        let reply = tokio::time::timeout(CALL_TIMEOUT, rx).await;
        let reply = reply
            .map_err(|_| unavailable())?
            .map_err(|_| unavailable())?;
        let mismatch = || Error::may_have_run(Category::Protocol, format!("router {name}"));
        C::answer(reply).ok_or_else(mismatch)
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
        let task = drive(address, self.hello.clone(), self.sealer.clone(), rx);
        tokio::spawn(task);
        let link = Link {
            address,
            tx: tx.clone(),
        };
        links.insert(name.clone(), link);
        tx
    }
}

/// Drives one connection until it fails; calls without an answer fail with it.
async fn drive(address: SocketAddr, hello: Hello, sealer: Sealer, rx: mpsc::Receiver<Pending>) {
    if let Err(err) = converse(address, &hello, &sealer, rx).await {
        log::debug!("peer connection failed to={address} error=\"{err}\"");
    }
}

async fn converse(
    address: SocketAddr,
    hello: &Hello,
    sealer: &Sealer,
    mut rx: mpsc::Receiver<Pending>,
) -> io::Result<()> {
    let connect = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    write_frame(&mut writer, sealer, hello).await?;
    let mut buf = BytesMut::new();
    let mut waiting: Slab<oneshot::Sender<Reply>> = Slab::new();
    loop {
        tokio::select! {
            call = rx.recv() => {
                let Some(call) = call else { return Ok(()) };
                let number = waiting.insert(call.tx) as u64;
                let envelope = Envelope { number, body: call.req };
                write_frame(&mut writer, sealer, &envelope).await?;
            }
            reply = read_frame::<_, Envelope<Reply>>(&mut reader, sealer, &mut buf) => {
                let reply = reply?;
                let waiter = waiting.try_remove(reply.number as usize);
                // The caller may have given up; its answer is dropped.
                let _ = waiter.map(|tx| tx.send(reply.body));
            }
        }
    }
}
