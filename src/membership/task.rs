//! The tasks of membership: follow the instance list, send and receive datagrams.

use std::{sync::Arc, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;

use super::{ClockSample, Datagram, LocalState, Outgoing, Update, MAX_DATAGRAM_BYTES, TICK};
use crate::{
    admission::Crash,
    infra::{Instance, InstanceKind, InstanceState},
    peer::{Authenticator, Purpose, ReplayFilter},
    EngineName, Incarnation, Result, Router,
};

/// Longest time the instance list may hold back an empty answer.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read of the instance list or of a socket.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Bytes of the headers of IP and UDP on a datagram.
const HEADERS_LEN: usize = 20 + 8;

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
    let changes = cx.infra.instances.changes(since, wait).await?;
    let leaving = |instance: &&Instance| {
        instance.kind != InstanceKind::Router && instance.state == InstanceState::Leaving
    };
    for instance in changes.instances.iter().filter(leaving) {
        if let Ok(name) = EngineName::new(&instance.name) {
            cx.mark_engine_leaving(&name, instance.incarnation);
        }
    }
    for instance in &changes.instances {
        if let Ok(name) = EngineName::new(&instance.name) {
            cx.engine_lives(&name, instance.incarnation);
        }
    }
    cx.membership.apply_instances(changes);
    Ok(())
}

/// Sends what is due, one tick after the other.
pub async fn run_gossip(cx: Arc<Router>, socket: Arc<UdpSocket>) {
    let sealer = Authenticator::new(&cx.settings.peer_keys, Purpose::Datagram);
    let mut rng = Pcg64Mcg::seed_from_u64(cx.incarnation.0);
    let mut period = tokio::time::interval(TICK);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        let due = cx.tick_gossip(&mut rng);
        send_all(&cx, &socket, &sealer, due).await;
    }
}

impl Router {
    fn tick_gossip(&self, rng: &mut Pcg64Mcg) -> Vec<Outgoing> {
        let own = LocalState {
            config_head: self.config.current().applied,
            loads: self.counted_loads(),
            leaving: self.membership.is_leaving(),
        };
        let at = self.moment();
        let mut gossip = self.membership.gossip();
        gossip.tick(&mut self.membership.view(), &own, at, rng)
    }

    fn moment(&self) -> ClockSample {
        ClockSample {
            now: self.clock.now(),
            wall: self.clock.wall(),
        }
    }

    /// Notes that an engine died with a request in flight, and tells the other routers.
    pub fn record_engine_crash(&self, crash: &Crash) {
        if self.quarantine.record_crash(crash, self.clock.now()) {
            let rumour = Update::EngineCrashed(crash.clone());
            self.membership.gossip().announce(rumour);
        }
    }

    /// Counts the deaths that a life of an engine on the instance list proves.
    fn engine_lives(&self, name: &EngineName, life: Incarnation) {
        let ended = self.quarantine.take_confirmed(name, life, self.clock.now());
        for crash in ended {
            log::warn!("engine restarted engine={name} with a request in flight");
            self.record_engine_crash(&crash);
        }
    }

    /// Notes that a life of an engine takes no new work, and tells the other routers.
    pub fn mark_engine_leaving(&self, name: &EngineName, incarnation: Incarnation) {
        let mut gossip = self.membership.gossip();
        if self
            .membership
            .view()
            .mark_engine_leaving(name, incarnation)
        {
            let name = name.clone();
            gossip.announce(Update::EngineLeaving { name, incarnation });
        }
    }
}

async fn send_all(cx: &Router, socket: &UdpSocket, sealer: &Authenticator, due: Vec<Outgoing>) {
    for Outgoing { to, datagram } in due {
        match send(socket, sealer, to, &datagram).await {
            Ok(len) => {
                let bytes = (len + HEADERS_LEN) as u64;
                cx.metrics.datagram_bytes_sent.inc_by(bytes);
            }
            Err(err) => log::debug!("datagram not sent to={to} error=\"{err}\""),
        }
    }
}

async fn send(
    socket: &UdpSocket,
    sealer: &Authenticator,
    to: std::net::SocketAddr,
    datagram: &Datagram,
) -> std::io::Result<usize> {
    let payload = postcard::to_stdvec(datagram).map_err(std::io::Error::other)?;
    let sealed = sealer.sign(&payload);
    if sealed.len() > MAX_DATAGRAM_BYTES {
        return Err(std::io::Error::other("datagram too large"));
    }
    socket.send_to(&sealed, to).await
}

/// Receives datagrams until the task is dropped; unreadable ones are counted and dropped.
pub async fn receive_datagrams(cx: Arc<Router>, socket: Arc<UdpSocket>) {
    let sealer = Authenticator::new(&cx.settings.peer_keys, Purpose::Datagram);
    let mut replays = ReplayFilter::default();
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                log::warn!("datagrams unreadable error=\"{err}\"");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        let datagram = open(&sealer, &buf[..len]);
        let datagram = datagram.filter(|datagram| cx.accepts(datagram, &mut replays));
        let Some(datagram) = datagram else {
            log::debug!("datagram dropped from={from}");
            cx.metrics.datagrams_dropped.inc();
            continue;
        };
        let answers = cx.merge_datagram(&datagram);
        send_all(&cx, &socket, &sealer, answers).await;
    }
}

impl Router {
    fn accepts(&self, datagram: &Datagram, replays: &mut ReplayFilter) -> bool {
        let wall = self.clock.wall();
        datagram.to == self.settings.name && replays.accept(datagram, wall)
    }

    fn merge_datagram(&self, datagram: &Datagram) -> Vec<Outgoing> {
        let at = self.moment();
        for rumour in &datagram.updates {
            if let Update::EngineCrashed(crash) = rumour {
                self.record_engine_crash(crash);
            }
        }
        let mut gossip = self.membership.gossip();
        gossip.receive(&mut self.membership.view(), datagram, at)
    }
}

fn open(sealer: &Authenticator, sealed: &[u8]) -> Option<Datagram> {
    let payload = sealer.verify(sealed)?;
    postcard::from_bytes(payload).ok()
}
