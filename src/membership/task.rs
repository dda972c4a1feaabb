//! Membership tasks: follow the instance list, send datagrams and receive them.

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

/// Longest time for which a long poll of the instance list waits for changes.
const MAX_POLL_WAIT: Duration = Duration::from_secs(10);

/// Delay after a failed read of the instance list or of the socket.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 20 + 8;

/// Follows the instance list until the task is dropped.
pub async fn follow_instances(cx: Arc<Router>) {
    loop {
        if let Err(err) = read_instances(&cx).await {
            log::warn!("reading the instance list failed error=\"{err}\"");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn read_instances(cx: &Router) -> Result<()> {
    let (since, has_instance_list) = {
        let view = cx.membership.view();
        (view.instance_list_version(), view.has_instance_list())
    };
    let wait = if has_instance_list {
        MAX_POLL_WAIT
    } else {
        Duration::ZERO
    };
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
            cx.record_confirmed_crashes(&name, instance.incarnation);
        }
    }
    cx.membership.apply_instances(changes);
    Ok(())
}

/// Sends the datagrams that are due at each tick, until the task is dropped.
pub async fn run_gossip(cx: Arc<Router>, socket: Arc<UdpSocket>) {
    let authenticator = Authenticator::new(&cx.settings.peer_keys, Purpose::Datagram);
    let mut rng = Pcg64Mcg::seed_from_u64(cx.incarnation.0);
    let mut period = tokio::time::interval(TICK);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        let due = cx.tick_gossip(&mut rng);
        send_all(&cx, &socket, &authenticator, due).await;
    }
}

impl Router {
    fn tick_gossip(&self, rng: &mut Pcg64Mcg) -> Vec<Outgoing> {
        let own = LocalState {
            config_head: self.config.current().applied,
            loads: self.counted_loads(),
            leaving: self.membership.is_leaving(),
        };
        let at = self.clock_sample();
        let mut gossip = self.membership.gossip();
        gossip.tick(&mut self.membership.view(), &own, at, rng)
    }

    fn clock_sample(&self) -> ClockSample {
        ClockSample {
            now: self.clock.now(),
            wall: self.clock.wall(),
        }
    }

    /// Records that an engine crashed with a request in flight, and gossips the crash if it
    /// was unknown.
    pub fn record_engine_crash(&self, crash: &Crash) {
        if self.quarantine.record_crash(crash, self.clock.now()) {
            let update = Update::EngineCrashed(crash.clone());
            self.membership.gossip().announce(update);
        }
    }

    /// Records the crashes of earlier incarnations of an engine that its listed incarnation proves.
    fn record_confirmed_crashes(&self, name: &EngineName, incarnation: Incarnation) {
        let crashes = self
            .quarantine
            .take_confirmed(name, incarnation, self.clock.now());
        for crash in crashes {
            log::warn!("engine restarted with a request in flight engine={name}");
            self.record_engine_crash(&crash);
        }
    }

    /// Marks an incarnation of an engine as leaving, and gossips that if it was unknown.
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

async fn send_all(
    cx: &Router,
    socket: &UdpSocket,
    authenticator: &Authenticator,
    due: Vec<Outgoing>,
) {
    for Outgoing { to, datagram } in due {
        match send(socket, authenticator, to, &datagram).await {
            Ok(len) => {
                let bytes = (len + HEADER_BYTES) as u64;
                cx.metrics.datagram_bytes_sent.inc_by(bytes);
            }
            Err(err) => log::debug!("datagram not sent to={to} error=\"{err}\""),
        }
    }
}

async fn send(
    socket: &UdpSocket,
    authenticator: &Authenticator,
    to: std::net::SocketAddr,
    datagram: &Datagram,
) -> std::io::Result<usize> {
    let payload = postcard::to_stdvec(datagram).map_err(std::io::Error::other)?;
    let signed = authenticator.sign(&payload);
    if signed.len() > MAX_DATAGRAM_BYTES {
        return Err(std::io::Error::other(
            "the signed datagram exceeds the maximum size",
        ));
    }
    socket.send_to(&signed, to).await
}

/// Receives and merges datagrams until the task is dropped.
///
/// A datagram that is forged, malformed, replayed or for another router is dropped and counted.
pub async fn receive_datagrams(cx: Arc<Router>, socket: Arc<UdpSocket>) {
    let authenticator = Authenticator::new(&cx.settings.peer_keys, Purpose::Datagram);
    let mut replays = ReplayFilter::default();
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                log::warn!("receiving a datagram failed error=\"{err}\"");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let datagram = verify_and_decode(&authenticator, &buf[..len]);
        let datagram = datagram.filter(|datagram| cx.accepts(datagram, &mut replays));
        let Some(datagram) = datagram else {
            log::debug!("datagram dropped from={from}");
            cx.metrics.datagrams_dropped.inc();
            continue;
        };
        let answers = cx.merge_datagram(&datagram);
        send_all(&cx, &socket, &authenticator, answers).await;
    }
}

impl Router {
    fn accepts(&self, datagram: &Datagram, replays: &mut ReplayFilter) -> bool {
        let wall = self.clock.wall();
        datagram.to == self.settings.name && replays.accept(datagram, wall)
    }

    fn merge_datagram(&self, datagram: &Datagram) -> Vec<Outgoing> {
        let at = self.clock_sample();
        for update in &datagram.updates {
            if let Update::EngineCrashed(crash) = update {
                self.record_engine_crash(crash);
            }
        }
        let mut gossip = self.membership.gossip();
        gossip.receive(&mut self.membership.view(), datagram, at)
    }
}

fn verify_and_decode(authenticator: &Authenticator, signed: &[u8]) -> Option<Datagram> {
    let payload = authenticator.verify(signed)?;
    postcard::from_bytes(payload).ok()
}
