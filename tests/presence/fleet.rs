//! A simulated fleet in virtual time, whose datagrams take some time or are lost.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use ebonyspur::{
    catalog::ServerKey,
    presence::{
        Digest, Message, Presence, RelayRole, RouterPhase, RouterState, Updates,
        CHANGE_REPEAT_DELAY, DIGEST_PERIOD,
    },
    DomainName, Incarnation, Instant, RouterName,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time that a datagram takes within a failure domain.
const DOMAIN_LATENCY: Duration = Duration::from_micros(300);

/// Time that a datagram takes between failure domains.
const LATENCY: Duration = Duration::from_micros(1_700);

/// Time from an urgent change to the datagrams that announce it.
const URGENT_DELAY: Duration = Duration::from_millis(2);

/// The same at a relay.
const URGENT_RELAY_DELAY: Duration = Duration::from_millis(20);

/// Length of the headers of a datagram in bytes.
const HEADER_BYTES: usize = 28;

pub fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    ([10, 0, high, low], 7340).into()
}

fn number_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is no address of a router");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}

/// A router of the fleet.
pub struct Router {
    pub presence: Presence,
    pub state: RouterState,
    /// Loads that the router announces.
    pub loads: Vec<(ServerKey, u32)>,
    /// Updates that the next digest announces.
    pub updates: Updates,
    pub is_dead: bool,
    /// Updates that this router has received, and when.
    pub heard: Vec<(Updates, Instant)>,
    pub sent_bytes: usize,
    pub received_bytes: usize,
    has_urgent_round: bool,
}

/// What happens at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Round { of: usize, is_periodic: bool },
    Arrival { to: SocketAddr, bytes: Vec<u8> },
}

/// Routers by number, from 1.
pub struct Fleet {
    pub routers: BTreeMap<usize, Router>,
    pub now: Instant,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Pairs of routers between which no datagram arrives.
    pub is_cut: fn(usize, usize) -> bool,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    next_event: u64,
    rng: Pcg64Mcg,
}

impl Fleet {
    /// Starts `count` routers of one failure domain that know only the address of the first one.
    pub fn new(count: usize) -> Self {
        Fleet::with_domains(count, 1, 1)
    }

    /// Starts `count` routers of `domains` failure domains that know the addresses of the first
    /// `seeds`.
    pub fn with_domains(count: usize, domains: usize, seeds: usize) -> Self {
        let mut fleet = Fleet {
            routers: BTreeMap::new(),
            now: Instant::default(),
            loss: 0.0,
            is_cut: |_, _| false,
            events: BinaryHeap::new(),
            next_event: 0,
            rng: Pcg64Mcg::seed_from_u64(5),
        };
        for number in 1..=count {
            fleet.start(number, 1, domains, seeds);
        }
        fleet
    }

    /// Starts a router, or starts it again in another incarnation.
    pub fn start(&mut self, number: usize, incarnation: u64, domains: usize, seeds: usize) {
        let name = RouterName::new(&format!("router-{number}")).unwrap();
        let presence = Presence::new(name.clone(), address(number));
        presence.add_seeds((1..=seeds).map(address), self.now);
        let domain = format!("d{}", number % domains + 1);
        let domain = DomainName::new(&domain).unwrap();
        let (incarnation, at) = (Incarnation(incarnation), address(number));
        let state = RouterState {
            phase: RouterPhase::Serving,
            is_current: true,
            link_mbps: [20, 100, 200][number % 3],
            routes_version: 1,
            ..RouterState::new(name, incarnation, domain, at, at)
        };
        let router = Router {
            presence,
            state,
            loads: vec![(ServerKey(7), 2)],
            updates: Updates::default(),
            is_dead: false,
            heard: Vec::new(),
            sent_bytes: 0,
            received_bytes: 0,
            has_urgent_round: false,
        };
        let is_restart = self.routers.insert(number, router).is_some();
        if !is_restart {
            let delay = Duration::from_micros(self.rng.random_range(0..300_000));
            let round = Event::Round {
                of: number,
                is_periodic: true,
            };
            self.schedule(delay, round);
        }
    }

    /// Lets a router announce `updates`, or its changed state, without delay.
    pub fn announce(&mut self, number: usize, updates: Updates) {
        let router = self.routers.get_mut(&number).unwrap();
        router.updates = updates;
        self.request_round(number);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            match event {
                Event::Round { of, is_periodic } => self.send_round(of, is_periodic),
                Event::Arrival { to, bytes } => self.deliver(to, &bytes),
            }
        }
        self.now = end;
    }

    pub fn kill(&mut self, numbers: impl IntoIterator<Item = usize>) {
        for number in numbers {
            self.routers.get_mut(&number).unwrap().is_dead = true;
        }
    }

    pub fn revive(&mut self) {
        for router in self.routers.values_mut() {
            router.is_dead = false;
        }
    }

    /// Returns the live routers.
    pub fn live(&self) -> impl Iterator<Item = &Router> {
        self.routers.values().filter(|router| !router.is_dead)
    }

    /// Returns the minimum and the maximum number of other serving routers known to a live one.
    pub fn serving_counts(&self) -> (usize, usize) {
        let counts = self
            .live()
            .map(|router| router.presence.serving_addresses(self.now).len());
        min_max(counts)
    }

    /// Returns the minimum and the maximum load of a server as known to a live router.
    pub fn loads(&self, server: ServerKey) -> (usize, usize) {
        let loads = self.live().map(|router| {
            let loads = router.presence.loads(self.now);
            loads.get(&server).copied().unwrap_or_default() as usize
        });
        min_max(loads)
    }

    /// Runs in steps of 100 ms until `is_reached` holds; returns the time that it took.
    pub fn time_until(&mut self, is_reached: impl Fn(&Fleet) -> bool) -> Duration {
        let started = self.now;
        while !is_reached(self) && self.now.since(started) < Duration::from_secs(60) {
            self.run(Duration::from_millis(100));
        }
        self.now.since(started)
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .push(Reverse((self.now + delay, self.next_event, event)));
    }

    fn request_round(&mut self, of: usize) {
        let router = self.routers.get_mut(&of).unwrap();
        if !std::mem::replace(&mut router.has_urgent_round, true) {
            let delay = match router.presence.relay_role() {
                RelayRole::Relay => URGENT_RELAY_DELAY,
                _ => URGENT_DELAY,
            };
            let round = Event::Round {
                of,
                is_periodic: false,
            };
            self.schedule(delay, round);
        }
    }

    fn send_round(&mut self, of: usize, is_periodic: bool) {
        if is_periodic {
            let round = Event::Round { of, is_periodic };
            self.schedule(DIGEST_PERIOD, round);
        }
        let router = self.routers.get_mut(&of).unwrap();
        router.has_urgent_round &= is_periodic;
        if router.is_dead {
            return;
        }
        let digest = Digest {
            loads: router.loads.clone(),
            updates: std::mem::take(&mut router.updates),
            ..Digest::new(router.state.clone())
        };
        let outgoing = router.presence.next_round(digest, is_periodic, self.now);
        if router.presence.has_repeats() && !router.has_urgent_round {
            router.has_urgent_round = true;
            let round = Event::Round {
                of,
                is_periodic: false,
            };
            self.schedule(CHANGE_REPEAT_DELAY, round);
        }
        for datagram in outgoing {
            let bytes = datagram.message.encode().expect("encoded");
            assert!(
                bytes.len() <= 1_400,
                "{} bytes: {:?}",
                bytes.len(),
                datagram.message
            );
            for to in datagram.to {
                self.send(of, to, bytes.clone());
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let sender = self.routers.get_mut(&from).unwrap();
        sender.sent_bytes += bytes.len() + HEADER_BYTES;
        let domain = sender.state.domain.clone();
        let number = number_of(to);
        let Some(receiver) = self.routers.get(&number) else {
            return;
        };
        let latency = if receiver.state.domain == domain {
            DOMAIN_LATENCY
        } else {
            LATENCY
        };
        if (self.is_cut)(from, number) || self.rng.random_bool(self.loss) {
            return;
        }
        self.schedule(latency, Event::Arrival { to, bytes });
    }

    fn deliver(&mut self, to: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let number = number_of(to);
        let Some(router) = self.routers.get_mut(&number) else {
            return;
        };
        if router.is_dead {
            return;
        }
        router.received_bytes += bytes.len() + HEADER_BYTES;
        let message = Message::decode(bytes).expect("decoded");
        let updates = message.received().updates;
        if !updates.is_empty() {
            router.heard.push((updates.clone(), now));
        }
        if router.presence.receive(&message, now).is_urgent {
            self.request_round(number);
        }
    }
}

fn min_max(counts: impl Iterator<Item = usize>) -> (usize, usize) {
    let counts: Vec<_> = counts.collect();
    let min = counts.iter().min().expect("a live router");
    let max = counts.iter().max().expect("a live router");
    (*min, *max)
}
