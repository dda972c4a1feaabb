//! Decides which datagrams a router sends to other routers, and when.

mod incoming;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{seq::IteratorRandom, Rng, RngExt};

use super::{
    ByteBudget, Datagram, DatagramKind, Epoch, Health, LoadSum, Peer, PoolLoad, ProbeAction,
    Prober, Update, UpdateQueue, View, MAX_DATAGRAM_BYTES, OVERHEAD_BYTES,
};
use crate::{Incarnation, Instant, Offset, PoolName, RouterName, UnixMillis};

/// Time between two calls of [`Gossip::tick`].
pub const TICK: Duration = Duration::from_millis(200);

/// Shortest time between two ticks that counts as a pause of this router.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);

/// Number of routers that are asked to probe one that does not answer.
const INDIRECT_PROBES: usize = 3;

/// Number of routers that receive the same updates in one tick.
const UPDATE_FAN_OUT: usize = 3;

/// On average, the gossip of one in this many ticks goes to a router believed dead instead of a
/// live one.
const TICKS_PER_DEAD_TARGET: u32 = 5;

/// Shortest time between two load reports of this router.
const LOAD_REPORT_PERIOD: Duration = Duration::from_millis(400);

/// Time between two load reports per router of the failure domain.
///
/// It bounds the rate of reports that the domain's aggregator receives.
const LOAD_REPORT_PERIOD_PER_MEMBER: Duration = Duration::from_millis(50);

/// Most bytes of updates on a probe or an ack.
const MAX_PIGGYBACK_BYTES: usize = 160;

/// Bytes of the budget that gossip leaves for probes and acks.
const PROBE_RESERVE_BYTES: usize = 1_000;

/// Both clocks, read at the same time.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockSample {
    /// Monotonic time.
    pub now: Instant,
    /// Wall-clock time.
    pub wall: UnixMillis,
}

/// State of this router that its gossip carries.
#[derive(Debug, Clone, Default)]
pub struct LocalState {
    /// Configuration offset up to which this router has applied the stream.
    pub config_head: Offset,
    /// Load that this router counts, by pool.
    pub loads: BTreeMap<PoolName, PoolLoad>,
    /// Whether this router takes no new work.
    pub leaving: bool,
}

/// A datagram and its destination.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Address of the destination.
    pub to: SocketAddr,
    /// Datagram to send.
    pub datagram: Datagram,
}

/// Gossip state of this router: its epoch, its probes and its queued updates.
#[derive(Debug)]
pub struct Gossip {
    me: RouterName,
    epoch: Epoch,
    sequence: u64,
    prober: Prober,
    queue: UpdateQueue,
    budget: ByteBudget,
    last_tick: Option<Instant>,
    next_report_at: Instant,
    last_received: Instant,
    leave_announced: bool,
    outgoing: Vec<Outgoing>,
}

impl Gossip {
    /// Creates the gossip state of one incarnation of router `me`.
    pub fn new(me: RouterName, incarnation: Incarnation) -> Self {
        Gossip {
            me,
            epoch: Epoch {
                incarnation,
                refutation: 0,
            },
            sequence: 0,
            prober: Prober::default(),
            queue: UpdateQueue::new(),
            budget: ByteBudget::new(Instant::default()),
            last_tick: None,
            next_report_at: Instant::default(),
            last_received: Instant::default(),
            leave_announced: false,
            outgoing: Vec::new(),
        }
    }

    /// Returns when this router last received a datagram of another one.
    pub fn last_received(&self) -> Instant {
        self.last_received
    }

    /// Returns the epoch of this router.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Queues an update for all other routers.
    pub fn announce(&mut self, update: Update) {
        self.queue.push(update);
    }

    /// Advances probes, suspicions and reports, and returns the datagrams to send.
    pub fn tick(
        &mut self,
        view: &mut View,
        own: &LocalState,
        at: ClockSample,
        rng: &mut impl Rng,
    ) -> Vec<Outgoing> {
        self.detect_pause(view, at.now);
        self.announce_leave(own);
        for (name, epoch) in view.expire(at.now) {
            log::warn!("router declared dead name={name}");
            self.queue_health(&name, epoch, Health::Dead);
        }
        self.probe(view, at, rng);
        self.report_load(view, own, at);
        self.send_queued_updates(view, at, rng);
        self.gossip_state(view, own, at, rng);
        std::mem::take(&mut self.outgoing)
    }

    /// Cancels the probe and restarts all suspicion timers after a pause of this router.
    ///
    /// Answers that came in during the pause were not processed, so the routers that
    /// seem late may be healthy.
    fn detect_pause(&mut self, view: &mut View, now: Instant) {
        let last = self.last_tick.replace(now);
        if last.is_some_and(|last| now.since(last) >= PAUSE_THRESHOLD) {
            self.prober.cancel();
            view.restart_suspicion_timers(now);
        }
    }

    fn announce_leave(&mut self, own: &LocalState) {
        if own.leaving && !self.leave_announced {
            self.leave_announced = true;
            self.queue.push(Update::RouterLeaving {
                name: self.me.clone(),
                incarnation: self.epoch.incarnation,
            });
        }
    }

    fn queue_health(&mut self, name: &RouterName, epoch: Epoch, health: Health) {
        self.queue.push(Update::Health {
            name: name.clone(),
            epoch,
            health,
        });
    }

    fn probe(&mut self, view: &mut View, at: ClockSample, rng: &mut impl Rng) {
        match self.prober.next_action(at.now) {
            ProbeAction::Wait => {}
            ProbeAction::Probe => {
                let live = view.peers().filter(|peer| !view.is_dead(&peer.name));
                if let Some(peer) = live.choose(rng).cloned() {
                    let number = self.prober.start(&peer.name, at.now);
                    self.send_with_updates(view, &peer, DatagramKind::Probe(number), at);
                }
            }
            ProbeAction::ProbeAgain { target, number } => {
                self.probe_again(view, &target, number, at, rng);
            }
            ProbeAction::Suspect(target) => self.suspect(view, &target, at),
        }
    }

    fn probe_again(
        &mut self,
        view: &View,
        target: &RouterName,
        number: u32,
        at: ClockSample,
        rng: &mut impl Rng,
    ) {
        if let Some(peer) = view.peer(target).cloned() {
            self.send_with_updates(view, &peer, DatagramKind::Probe(number), at);
        }
        let helpers = view.peers().filter(|peer| peer.name != *target);
        let helpers = helpers.filter(|peer| !view.is_dead(&peer.name));
        let helpers: Vec<_> = helpers.cloned().sample(rng, INDIRECT_PROBES);
        for helper in helpers {
            let target = target.clone();
            let kind = DatagramKind::IndirectProbe { number, target };
            self.send_with_updates(view, &helper, kind, at);
        }
    }

    /// Suspects a router, and sends it the suspicion first, so that it can refute it.
    fn suspect(&mut self, view: &mut View, target: &RouterName, at: ClockSample) {
        let epoch = view.member_state(target).epoch;
        if view.apply_health(target, epoch, Health::Suspect, at.now) {
            log::info!("router suspected name={target}");
            self.queue_health(target, epoch, Health::Suspect);
        }
        if let Some(peer) = view.peer(target).cloned() {
            self.send_with_updates(view, &peer, DatagramKind::Gossip, at);
        }
    }

    /// Sends the load that this router counts in a report to the aggregator of its failure domain.
    fn report_load(&mut self, view: &mut View, own: &LocalState, at: ClockSample) {
        if at.now < self.next_report_at {
            return;
        }
        let members = view.domain_members().len() as u32;
        self.next_report_at =
            at.now + LOAD_REPORT_PERIOD.max(LOAD_REPORT_PERIOD_PER_MEMBER * members);
        let Some(peer) = view.own_aggregator().cloned() else {
            return view.set_own_reported_load(BTreeMap::new());
        };
        let sum = self.own_load_sum(own.loads.clone());
        if self.send(&peer, DatagramKind::LoadReport(sum), Vec::new(), 0, at) {
            view.set_own_reported_load(own.loads.clone());
        }
    }

    fn own_load_sum(&self, pools: BTreeMap<PoolName, PoolLoad>) -> LoadSum {
        LoadSum {
            router: self.me.clone(),
            incarnation: self.epoch.incarnation,
            sequence: self.sequence,
            age_ms: 0,
            pools,
        }
    }

    /// Sends queued updates to several routers, so that all routers have them within seconds.
    fn send_queued_updates(&mut self, view: &View, at: ClockSample, rng: &mut impl Rng) {
        if self.queue.is_empty() {
            return;
        }
        let live = view.peers().filter(|peer| !view.is_dead(&peer.name));
        let peers: Vec<_> = live.cloned().sample(rng, UPDATE_FAN_OUT);
        for peer in peers {
            let available_bytes = self.available_bytes(&peer, PROBE_RESERVE_BYTES);
            let updates = self.queue.take(available_bytes, view.peers().count());
            if !updates.is_empty() {
                self.send(
                    &peer,
                    DatagramKind::Gossip,
                    updates,
                    PROBE_RESERVE_BYTES,
                    at,
                );
            }
        }
    }

    fn gossip_state(&mut self, view: &View, own: &LocalState, at: ClockSample, rng: &mut impl Rng) {
        let to_dead = rng.random_ratio(1, TICKS_PER_DEAD_TARGET);
        let dead = view.peers().filter(|peer| view.is_dead(&peer.name));
        let live = view.peers().filter(|peer| !view.is_dead(&peer.name));
        let target = to_dead.then(|| dead.choose(rng)).flatten();
        let Some(peer) = target.or_else(|| live.choose(rng)).cloned() else {
            return;
        };
        let mut updates = vec![Update::ConfigHead(own.config_head)];
        let mut left = self.available_bytes(&peer, PROBE_RESERVE_BYTES);
        for sum in self.load_sums(view, own, at.now) {
            let update = Update::Load(sum);
            if update.max_len() <= left {
                left -= update.max_len();
                updates.push(update);
            }
        }
        self.send(
            &peer,
            DatagramKind::Gossip,
            updates,
            PROBE_RESERVE_BYTES,
            at,
        );
    }

    fn load_sums(&self, view: &View, own: &LocalState, now: Instant) -> Vec<LoadSum> {
        let mut sums = view.recent_loads(now);
        if view.own_aggregator().is_none() {
            sums.insert(0, self.own_load_sum(view.domain_load(own.loads.clone())));
        }
        sums
    }

    /// Returns the bytes available for updates in a datagram to `peer`, besides a first
    /// [`Update::ConfigHead`].
    fn available_bytes(&self, peer: &Peer, reserve_bytes: usize) -> usize {
        let first = vec![Update::ConfigHead(Offset(0))];
        let empty = self.datagram(peer, DatagramKind::Gossip, first, ClockSample::default());
        let taken = empty.max_len() + OVERHEAD_BYTES;
        let left = self.budget.left().saturating_sub(reserve_bytes);
        left.min(MAX_DATAGRAM_BYTES).saturating_sub(taken)
    }

    fn datagram(
        &self,
        to: &Peer,
        kind: DatagramKind,
        updates: Vec<Update>,
        at: ClockSample,
    ) -> Datagram {
        Datagram {
            from: self.me.clone(),
            to: to.name.clone(),
            epoch: self.epoch,
            sequence: self.sequence,
            sent_at: at.wall,
            kind,
            updates,
        }
    }

    fn send_with_updates(
        &mut self,
        view: &View,
        peer: &Peer,
        kind: DatagramKind,
        at: ClockSample,
    ) -> bool {
        let available_bytes = MAX_PIGGYBACK_BYTES.min(self.available_bytes(peer, 0));
        let updates = self.queue.take(available_bytes, view.peers().count());
        self.send(peer, kind, updates, 0, at)
    }

    /// Queues a datagram if the byte budget allows it; returns whether it did.
    fn send(
        &mut self,
        peer: &Peer,
        kind: DatagramKind,
        updates: Vec<Update>,
        reserve_bytes: usize,
        at: ClockSample,
    ) -> bool {
        self.sequence += 1;
        let datagram = self.datagram(peer, kind, updates, at);
        let len = datagram.max_len() + OVERHEAD_BYTES;
        let allowed = self.budget.take(len, reserve_bytes, at.now);
        if allowed {
            let to = peer.peer_address;
            self.outgoing.push(Outgoing { to, datagram });
        }
        allowed
    }
}
