//! Simulated routers and the network between them, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use ebonyspur::{
    infra::{Instance, InstanceChanges, InstanceKind, InstanceState},
    membership::{
        ClockSample, Datagram, Gossip, LocalState, Outgoing, PoolLoad, View,
        DATAGRAM_BYTES_PER_SECOND, MAX_BURST_BYTES, MAX_DATAGRAM_BYTES, OVERHEAD_BYTES, TICK,
    },
    DomainName, EngineName, Incarnation, Instant, PoolName, RouterName, UnixMillis,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Virtual time between two steps of the simulation.
pub const STEP: Duration = Duration::from_millis(20);

/// Most datagrams that are queued for a paused router; later ones are lost.
const MAX_BACKLOG: usize = 100;

/// A simulated router.
#[derive(Debug)]
pub struct Node {
    pub gossip: Gossip,
    pub view: View,
    pub own: LocalState,
    pub up: bool,
    pub paused: bool,
    /// Side of a network split; routers only reach those on the same side.
    pub side: u8,
    /// Bytes sent so far, with headers.
    pub bytes: u64,
    incarnation: u64,
    /// Bytes sent beyond the refill rate of the byte budget.
    excess: f64,
    rng: Pcg64Mcg,
}

/// All simulated routers and the datagrams in flight.
#[derive(Debug)]
pub struct Network {
    pub now: Instant,
    pub nodes: Vec<Node>,
    /// Share of the datagrams that are lost, in percent.
    pub loss: u32,
    /// Longest latency of a datagram, in milliseconds.
    pub latency: u64,
    pub domains: usize,
    in_flight_datagrams: Vec<(Instant, usize, Datagram)>,
    rng: Pcg64Mcg,
}

pub fn router(number: usize) -> RouterName {
    RouterName::new(&format!("router-{number:03}")).expect("a valid name")
}

pub fn pool() -> PoolName {
    PoolName::new("planners").expect("a valid name")
}

pub fn engine(number: usize) -> EngineName {
    EngineName::new(&format!("engine-{number}")).expect("a valid name")
}

/// Returns the instance list of a fleet: its routers and four engines.
pub fn instances(routers: usize, domains: usize) -> Vec<Instance> {
    let instance = |name: String, kind, number, domain: usize| Instance {
        name,
        kind,
        pool: (kind == InstanceKind::Engine).then(pool),
        address: address(number),
        peer_address: (kind == InstanceKind::Router).then(|| address(number)),
        failure_domain: DomainName::new(&format!("d{domain}")).expect("a valid name"),
        state: InstanceState::Live,
        incarnation: Incarnation(5),
    };
    let routers = (0..routers).map(|number| {
        let name = router(number).to_string();
        instance(name, InstanceKind::Router, number, number % domains)
    });
    let engines = (0..4).map(|number| {
        let name = engine(number).to_string();
        instance(name, InstanceKind::Engine, 900 + number, 0)
    });
    routers.chain(engines).collect()
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000))
}

fn router_number(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!("addresses are of version 4");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Network {
    /// Starts `routers` routers in `domains` failure domains, all on the instance list.
    pub fn new(routers: usize, domains: usize) -> Self {
        let mut network = Network {
            now: Instant::from_millis(1_000),
            nodes: Vec::new(),
            loss: 0,
            latency: 20,
            domains,
            in_flight_datagrams: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(11),
        };
        let list = network.list(routers);
        for number in 0..routers {
            let mut view = View::new(router(number));
            view.apply_instances(list.clone());
            network.nodes.push(Node {
                gossip: Gossip::new(router(number), Incarnation(1)),
                view,
                own: LocalState::default(),
                up: true,
                paused: false,
                side: 0,
                bytes: 0,
                incarnation: 1,
                excess: 0.0,
                rng: Pcg64Mcg::seed_from_u64(number as u64),
            });
        }
        network
    }

    fn list(&self, routers: usize) -> InstanceChanges {
        InstanceChanges {
            version: 1,
            full: true,
            instances: instances(routers, self.domains),
            gone: Vec::new(),
        }
    }

    /// Sets the requests in flight that a router counts on its engines.
    pub fn set_load(&mut self, number: usize, in_flight: u32) {
        let load = PoolLoad::new(in_flight, 1);
        self.nodes[number].own.loads = BTreeMap::from([(pool(), load)]);
    }

    /// Replaces a router by a new incarnation with empty state.
    pub fn restart(&mut self, number: usize) {
        let list = self.list(self.nodes.len());
        let node = &mut self.nodes[number];
        node.incarnation += 1;
        node.gossip = Gossip::new(router(number), Incarnation(node.incarnation));
        node.view = View::new(router(number));
        node.view.apply_instances(list);
        node.own = LocalState::default();
        node.up = true;
        node.paused = false;
        node.excess = 0.0;
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` returns true, at most for `limit`; returns the time that passed.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Network) -> bool) -> Duration {
        let start = self.now;
        while !done(self) && self.now < start + limit {
            self.step();
        }
        self.now.since(start)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.refill();
        self.deliver();
        let ticks_each = (TICK.as_millis() / STEP.as_millis()) as u64;
        let turn = self.now.as_micros() / STEP.as_micros() as u64;
        for number in 0..self.nodes.len() {
            if (turn + number as u64).is_multiple_of(ticks_each) {
                self.tick(number);
            }
        }
    }

    fn clock_sample(&self) -> ClockSample {
        ClockSample {
            now: self.now,
            wall: UnixMillis(self.now.as_micros() / 1_000),
        }
    }

    fn tick(&mut self, number: usize) {
        let at = self.clock_sample();
        let node = &mut self.nodes[number];
        if node.up && !node.paused {
            let due = node
                .gossip
                .tick(&mut node.view, &node.own, at, &mut node.rng);
            self.send(number, due);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight_datagrams)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.in_flight_datagrams = later;
        for (at, to, datagram) in due {
            if self.nodes[to].up && self.nodes[to].paused {
                self.delay_for_paused(at, to, datagram);
            } else if self.nodes[to].up {
                self.receive(to, &datagram);
            }
        }
    }

    fn delay_for_paused(&mut self, at: Instant, to: usize, datagram: Datagram) {
        let queued = self
            .in_flight_datagrams
            .iter()
            .filter(|(_, other, _)| *other == to);
        if queued.count() < MAX_BACKLOG {
            self.in_flight_datagrams.push((at + STEP, to, datagram));
        }
    }

    fn receive(&mut self, to: usize, datagram: &Datagram) {
        let at = self.clock_sample();
        let node = &mut self.nodes[to];
        let answers = node.gossip.receive(&mut node.view, datagram, at);
        self.send(to, answers);
    }

    fn send(&mut self, from: usize, due: Vec<Outgoing>) {
        for Outgoing { to, datagram } in due {
            self.check_budget(from, &datagram);
            let to = router_number(to);
            let lost = self.rng.random_range(0..100) < self.loss;
            if !lost && self.nodes[from].side == self.nodes[to].side {
                let latency = Duration::from_millis(self.rng.random_range(0..=self.latency));
                self.in_flight_datagrams
                    .push((self.now + latency, to, datagram));
            }
        }
    }

    /// Asserts that a sent datagram keeps within the byte budget by its encoded size.
    fn check_budget(&mut self, from: usize, datagram: &Datagram) {
        let encoded = postcard::to_stdvec(datagram).expect("an encoded datagram");
        assert!(encoded.len() <= datagram.max_len(), "{datagram:?}");
        let len = encoded.len() + OVERHEAD_BYTES;
        assert!(len <= MAX_DATAGRAM_BYTES + OVERHEAD_BYTES);
        let node = &mut self.nodes[from];
        node.bytes += len as u64;
        node.excess += len as f64;
        assert!(
            node.excess <= (MAX_BURST_BYTES + 1) as f64,
            "beyond the budget"
        );
    }

    fn refill(&mut self) {
        let refill = STEP.as_secs_f64() * DATAGRAM_BYTES_PER_SECOND as f64;
        for node in &mut self.nodes {
            node.excess = (node.excess - refill).max(0.0);
        }
    }

    /// Returns the routers that router `number` counts as active.
    pub fn active_routers(&self, number: usize) -> BTreeSet<RouterName> {
        self.nodes[number].view.active_routers().cloned().collect()
    }

    /// Returns the routers that are up.
    pub fn live(&self) -> BTreeSet<RouterName> {
        let up = self.nodes.iter().enumerate().filter(|(_, node)| node.up);
        up.map(|(number, _)| router(number)).collect()
    }

    /// Returns whether each router that is up counts exactly the routers that are up as active.
    pub fn agrees(&self) -> bool {
        let live = self.live();
        let mut up = (0..self.nodes.len()).filter(|number| self.nodes[*number].up);
        up.all(|number| self.active_routers(number) == live)
    }
}
