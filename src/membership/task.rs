//! The tasks of membership: follow the instance list, send and receive datagrams.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{seq::IteratorRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;

use super::{Datagram, LoadSum, Rumour, MAX_DATAGRAM};
use crate::{
    peer::{Purpose, Sealer},
    Result, Router,
};

/// Longest time the instance list may hold back an empty answer.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read of the instance list.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between two datagrams.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);

/// Most load sums of other routers in one datagram.
const RELAYED_LOADS: usize = 8;

/// Follows the instance list until the task is dropped.
pub async fn follow_instances(cx: Arc<Router>) {
    loop {
        if let Err(err) = read_instances(&cx).await {
            log::warn!("instance list unreadable error=\"{err}\"");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn read_instances(cx: &Router) -> Result<()> {
    let (since, listed) = {
        let view = cx.membership.view();
        (view.version(), view.is_listed())
    };
    let wait = if listed { POLL_WAIT } else { Duration::ZERO };
    let changes = cx.platform.instances.changes(since, wait).await?;
    cx.membership.apply_instances(changes);
    Ok(())
}

/// Sends one datagram a period to a random router.
pub async fn gossip(cx: Arc<Router>, socket: Arc<UdpSocket>) {
    let sealer = Sealer::new(&cx.settings.peer_keys, Purpose::Datagram);
    let mut rng = Pcg64Mcg::seed_from_u64(cx.incarnation.0);
    let mut sequence = 0;
    let mut period = tokio::time::interval(GOSSIP_PERIOD);
    loop {
        period.tick().await;
        sequence += 1;
        let Some(to) = random_peer(&cx, &mut rng) else {
            continue;
        };
        let datagram = compose(&cx, sequence);
        if let Err(err) = send(&socket, &sealer, to, &datagram).await {
            log::debug!("datagram not sent to={to} error=\"{err}\"");
        }
    }
}

fn random_peer(cx: &Router, rng: &mut impl Rng) -> Option<SocketAddr> {
    let view = cx.membership.view();
    let peer = view.peers().choose(rng)?;
    Some(peer.peer_address)
}

fn compose(cx: &Router, sequence: u64) -> Datagram {
    let mut rumours = vec![Rumour::ConfigHead(cx.config.current().applied)];
    if cx.membership.phase() == "leaving" {
        rumours.push(Rumour::RouterLeaving {
            name: cx.settings.name.clone(),
            incarnation: cx.incarnation,
        });
    }
    rumours.push(Rumour::Load(own_load(cx, sequence)));
    let relayed = cx.membership.view().recent_loads(RELAYED_LOADS);
    rumours.extend(relayed.into_iter().map(Rumour::Load));
    Datagram {
        from: cx.settings.name.clone(),
        incarnation: cx.incarnation,
        sequence,
        rumours,
    }
}

fn own_load(cx: &Router, sequence: u64) -> LoadSum {
    let pools: BTreeMap<_, _> = cx.steward.loads();
    LoadSum {
        router: cx.settings.name.clone(),
        incarnation: cx.incarnation,
        sequence,
        pools,
    }
}

async fn send(
    socket: &UdpSocket,
    sealer: &Sealer,
    to: SocketAddr,
    datagram: &Datagram,
) -> std::io::Result<()> {
    let payload = postcard::to_stdvec(datagram).map_err(std::io::Error::other)?;
    let sealed = sealer.seal(&payload);
    if sealed.len() > MAX_DATAGRAM {
        return Err(std::io::Error::other("datagram too large"));
    }
    socket.send_to(&sealed, to).await.map(drop)
}

/// Receives datagrams until the task is dropped; unreadable ones are counted and dropped.
pub async fn receive(cx: Arc<Router>, socket: Arc<UdpSocket>) {
    let sealer = Sealer::new(&cx.settings.peer_keys, Purpose::Datagram);
    let mut buf = [0; MAX_DATAGRAM];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        match open(&sealer, &buf[..len]) {
            Some(datagram) => cx.membership.receive(&datagram, cx.clock.now()),
            None => {
                log::debug!("datagram dropped from={from}");
                cx.metrics.datagrams_dropped.inc();
            }
        }
    }
}

fn open(sealer: &Sealer, sealed: &[u8]) -> Option<Datagram> {
    let payload = sealer.open(sealed)?;
    postcard::from_bytes(payload).ok()
}
