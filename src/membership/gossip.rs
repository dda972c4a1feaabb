//! Decides what a router sends to others.

mod incoming;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{seq::IteratorRandom, Rng, RngExt};

use super::{
    ByteBudget, Datagram, DatagramKind, Epoch, Health, LoadSum, Peer, PoolLoad, ProbeAction,
    Prober, Update, UpdateQueue, View, MAX_DATAGRAM_BYTES, OVERHEAD_BYTES,
};
use crate::{Incarnation, Instant, Offset, PoolName, RouterName, UnixMillis};

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(200);

/// Time between two ticks that shows that this router was paused.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Routers that are asked to probe one that does not answer.
const HELPERS: usize = 3;

/// Routers that get the same news at once.
const NEWS_FAN_OUT: usize = 3;

/// One tick in so many also goes to a router that is believed dead.
const TICKS_PER_DEAD: u32 = 5;

/// Shortest time between two reports of the own load.
const REPORT_PERIOD: Duration = Duration::from_millis(400);

/// Time between two reports for each router of the domain, which spares the one they go to.
const REPORT_PERIOD_PER_MEMBER: Duration = Duration::from_millis(50);

/// Bytes of rumours on a probe or its answer.
const PIGGYBACK_BYTES: usize = 160;

/// Bytes kept back from gossip for probes and their answers.
const PROBE_RESERVE_BYTES: usize = 1_000;

/// The two clocks at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockSample {
    /// Monotonic time.
    pub now: Instant,
    /// Wall time.
    pub wall: UnixMillis,
}

/// What this router tells of itself.
#[derive(Debug, Clone, Default)]
pub struct LocalState {
    /// Configuration offset applied.
    pub config_head: Offset,
    /// Load counted here by pool.
    pub loads: BTreeMap<PoolName, PoolLoad>,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// The datagram.
    pub datagram: Datagram,
}

/// The gossip of one router.
#[derive(Debug)]
pub struct Gossip {
    me: RouterName,
    epoch: Epoch,
    sequence: u64,
    prober: Prober,
    news: UpdateQueue,
    budget: ByteBudget,
    ticked: Option<Instant>,
    report_due: Instant,
    last_received: Instant,
    said_leaving: bool,
    out: Vec<Outgoing>,
}

impl Gossip {
    /// Creates the gossip of one life of router `me`.
    pub fn new(me: RouterName, incarnation: Incarnation) -> Self {
        Gossip {
            me,
            epoch: Epoch {
                incarnation,
                refutation: 0,
            },
            sequence: 0,
            prober: Prober::default(),
            news: UpdateQueue::new(),
            budget: ByteBudget::new(Instant::default()),
            ticked: None,
            report_due: Instant::default(),
            last_received: Instant::default(),
            said_leaving: false,
            out: Vec::new(),
        }
    }

    /// Returns when a datagram of another router last came in.
    pub fn last_received(&self) -> Instant {
        self.last_received
    }

    /// Returns what this router says of its own standing.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Spreads news that this router was the first to learn.
    pub fn announce(&mut self, rumour: Update) {
        self.news.push(rumour);
    }

    /// Returns the datagrams that are due.
    pub fn tick(
        &mut self,
        view: &mut View,
        own: &LocalState,
        at: ClockSample,
        rng: &mut impl Rng,
    ) -> Vec<Outgoing> {
        self.notice_pause(view, at.now);
        self.say_leaving(own);
        for (name, epoch) in view.expire(at.now) {
            log::warn!("router dead name={name}");
            self.spread_health(&name, epoch, Health::Dead);
        }
        self.probe(view, at, rng);
        self.report(view, own, at);
        self.spread_news(view, at, rng);
        self.gossip(view, own, at, rng);
        std::mem::take(&mut self.out)
    }

    /// After a pause, what is late is late because of this router.
    fn notice_pause(&mut self, view: &mut View, now: Instant) {
        let last = self.ticked.replace(now);
        if last.is_some_and(|last| now.since(last) >= PAUSE) {
            self.prober.cancel();
            view.restart_suspicion_timers(now);
        }
    }

    fn say_leaving(&mut self, own: &LocalState) {
        if own.leaving && !self.said_leaving {
            self.said_leaving = true;
            self.news.push(Update::RouterLeaving {
                name: self.me.clone(),
                incarnation: self.epoch.incarnation,
            });
        }
    }

    fn spread_health(&mut self, name: &RouterName, epoch: Epoch, health: Health) {
        self.news.push(Update::Health {
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
                    self.send_with_news(view, &peer, DatagramKind::Probe(number), at);
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
            self.send_with_news(view, &peer, DatagramKind::Probe(number), at);
        }
        let helpers = view.peers().filter(|peer| peer.name != *target);
        let helpers = helpers.filter(|peer| !view.is_dead(&peer.name));
        let helpers: Vec<_> = helpers.cloned().sample(rng, HELPERS);
        for helper in helpers {
            let target = target.clone();
            let kind = DatagramKind::IndirectProbe { number, target };
            self.send_with_news(view, &helper, kind, at);
        }
    }

    /// Suspects a router, and tells it first of all, so that it can refute.
    fn suspect(&mut self, view: &mut View, target: &RouterName, at: ClockSample) {
        let epoch = view.member_state(target).epoch;
        if view.apply_health(target, epoch, Health::Suspect, at.now) {
            log::info!("router suspected name={target}");
            self.spread_health(target, epoch, Health::Suspect);
        }
        if let Some(peer) = view.peer(target).cloned() {
            self.send_with_news(view, &peer, DatagramKind::Gossip, at);
        }
    }

    /// Tells the router that sums up this domain what is counted here.
    fn report(&mut self, view: &mut View, own: &LocalState, at: ClockSample) {
        if at.now < self.report_due {
            return;
        }
        let members = view.domain_members().len() as u32;
        self.report_due = at.now + REPORT_PERIOD.max(REPORT_PERIOD_PER_MEMBER * members);
        let Some(peer) = view.own_aggregator().cloned() else {
            return view.set_own_reported_load(BTreeMap::new());
        };
        let sum = self.sum(own.loads.clone());
        if self.send(&peer, DatagramKind::LoadReport(sum), Vec::new(), 0, at) {
            view.set_own_reported_load(own.loads.clone());
        }
    }

    fn sum(&self, pools: BTreeMap<PoolName, PoolLoad>) -> LoadSum {
        LoadSum {
            router: self.me.clone(),
            incarnation: self.epoch.incarnation,
            sequence: self.sequence,
            age_ms: 0,
            pools,
        }
    }

    /// Sends news to several routers at once, so that it is everywhere within seconds.
    fn spread_news(&mut self, view: &View, at: ClockSample, rng: &mut impl Rng) {
        if self.news.is_empty() {
            return;
        }
        let live = view.peers().filter(|peer| !view.is_dead(&peer.name));
        let peers: Vec<_> = live.cloned().sample(rng, NEWS_FAN_OUT);
        for peer in peers {
            let room = self.room(&peer, PROBE_RESERVE_BYTES);
            let rumours = self.news.take(room, view.peers().count());
            if !rumours.is_empty() {
                self.send(
                    &peer,
                    DatagramKind::Gossip,
                    rumours,
                    PROBE_RESERVE_BYTES,
                    at,
                );
            }
        }
    }

    fn gossip(&mut self, view: &View, own: &LocalState, at: ClockSample, rng: &mut impl Rng) {
        let to_dead = rng.random_ratio(1, TICKS_PER_DEAD);
        let dead = view.peers().filter(|peer| view.is_dead(&peer.name));
        let live = view.peers().filter(|peer| !view.is_dead(&peer.name));
        let target = to_dead.then(|| dead.choose(rng)).flatten();
        let Some(peer) = target.or_else(|| live.choose(rng)).cloned() else {
            return;
        };
        let mut rumours = vec![Update::ConfigHead(own.config_head)];
        let mut left = self.room(&peer, PROBE_RESERVE_BYTES);
        for sum in self.load_sums(view, own, at.now) {
            let rumour = Update::Load(sum);
            if rumour.max_len() <= left {
                left -= rumour.max_len();
                rumours.push(rumour);
            }
        }
        self.send(
            &peer,
            DatagramKind::Gossip,
            rumours,
            PROBE_RESERVE_BYTES,
            at,
        );
    }

    fn load_sums(&self, view: &View, own: &LocalState, now: Instant) -> Vec<LoadSum> {
        let mut sums = view.recent_loads(now);
        if view.own_aggregator().is_none() {
            sums.insert(0, self.sum(view.domain_load(own.loads.clone())));
        }
        sums
    }

    /// Returns the room for rumours in a datagram to `peer`, besides the first one.
    fn room(&self, peer: &Peer, reserve: usize) -> usize {
        let first = vec![Update::ConfigHead(Offset(0))];
        let empty = self.datagram(peer, DatagramKind::Gossip, first, ClockSample::default());
        let taken = empty.max_len() + OVERHEAD_BYTES;
        let left = self.budget.left().saturating_sub(reserve);
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
            sent: at.wall,
            kind,
            updates,
        }
    }

    fn send_with_news(
        &mut self,
        view: &View,
        peer: &Peer,
        kind: DatagramKind,
        at: ClockSample,
    ) -> bool {
        let room = PIGGYBACK_BYTES.min(self.room(peer, 0));
        let rumours = self.news.take(room, view.peers().count());
        self.send(peer, kind, rumours, 0, at)
    }

    /// Queues a datagram when the budget allows it; returns whether it did.
    fn send(
        &mut self,
        peer: &Peer,
        kind: DatagramKind,
        rumours: Vec<Update>,
        reserve: usize,
        at: ClockSample,
    ) -> bool {
        self.sequence += 1;
        let datagram = self.datagram(peer, kind, rumours, at);
        let len = datagram.max_len() + OVERHEAD_BYTES;
        let allowed = self.budget.take(len, reserve, at.now);
        if allowed {
            let to = peer.peer_address;
            self.out.push(Outgoing { to, datagram });
        }
        allowed
    }
}
