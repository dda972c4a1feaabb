//! Routers in virtual time: who hears whom, and how soon a dead one is noticed.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use ebonyspur::{
    catalog::ServerKey,
    presence::{Digest, Presence, RouterPhase, StoreStatus, DIGEST_PERIOD},
    DomainName, Incarnation, Instant, RouterName,
};
use expect_test::expect;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7340).into()
}

/// Returns what another router says in one of its lives.
fn described(life: u64, sequence: u64) -> Digest {
    Digest {
        from: RouterName::new("other").unwrap(),
        incarnation: Incarnation(life),
        sequence,
        address: address(2),
        peer_address: address(2),
        domain: DomainName::new("d1").unwrap(),
        phase: RouterPhase::Serving,
        store_status: StoreStatus::Reachable,
        loads: Vec::new(),
        placements: Vec::new(),
        prefills: Vec::new(),
        stalled_servers: Vec::new(),
        crashes: Vec::new(),
        known_addresses: Vec::new(),
    }
}

/// A fleet whose datagrams arrive at once or are lost.
struct Fleet {
    routers: BTreeMap<SocketAddr, (RouterName, Presence)>,
    dead: Vec<SocketAddr>,
    now: Instant,
    loss: f64,
    rng: Pcg64Mcg,
}

impl Fleet {
    /// Starts `count` routers that know the first one's address only.
    fn new(count: usize) -> Self {
        let routers = (1..=count).map(|number| {
            let name = RouterName::new(&format!("r{number}")).unwrap();
            let presence = Presence::new(name.clone(), address(number));
            presence.add_seeds([address(1)], Instant::default());
            (address(number), (name, presence))
        });
        Fleet {
            routers: routers.collect(),
            dead: Vec::new(),
            now: Instant::default(),
            loss: 0.0,
            rng: Pcg64Mcg::seed_from_u64(5),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for from in self.routers.keys().copied().collect::<Vec<_>>() {
                if !self.dead.contains(&from) {
                    self.tell(from);
                }
            }
            self.now = self.now + DIGEST_PERIOD;
        }
    }

    fn tell(&mut self, from: SocketAddr) {
        let (name, presence) = &self.routers[&from];
        let round = presence.next_round(self.now);
        let digest = Digest {
            from: name.clone(),
            incarnation: Incarnation(1),
            sequence: round.sequence,
            address: from,
            peer_address: from,
            domain: DomainName::new("d1").unwrap(),
            phase: RouterPhase::Serving,
            store_status: StoreStatus::Reachable,
            loads: vec![(ServerKey(7), 2)],
            placements: Vec::new(),
            prefills: Vec::new(),
            stalled_servers: Vec::new(),
            crashes: Vec::new(),
            known_addresses: round.known,
        };
        for to in round.targets {
            let lost = self.rng.random_bool(self.loss);
            if let Some((_, presence)) = self.routers.get(&to).filter(|_| !lost) {
                if !self.dead.contains(&to) {
                    presence.receive(digest.clone(), self.now);
                }
            }
        }
    }

    /// Returns the fewest and the most routers that a live one names.
    fn named(&self) -> (usize, usize) {
        let live = self
            .routers
            .iter()
            .filter(|(at, _)| !self.dead.contains(at));
        let counts: Vec<_> = live
            .map(|(_, (_, p))| p.serving_addresses(self.now).len())
            .collect();
        (*counts.iter().min().unwrap(), *counts.iter().max().unwrap())
    }
}

#[test]
fn routers_that_know_one_seed_find_all_others_within_two_seconds() {
    let mut fleet = Fleet::new(19);
    fleet.run(Duration::from_secs(2));
    expect!["(18, 18)"].assert_eq(&format!("{:?}", fleet.named()));
}

#[test]
fn a_dead_router_is_not_named_after_two_seconds_and_is_back_when_it_speaks() {
    let mut fleet = Fleet::new(19);
    fleet.run(Duration::from_secs(3));
    fleet.dead = vec![address(4), address(9)];
    fleet.run(Duration::from_secs(2));
    let gone = fleet.named();
    fleet.dead.clear();
    fleet.run(Duration::from_millis(600));
    expect!["(16, 16) then (18, 18)"].assert_eq(&format!("{gone:?} then {:?}", fleet.named()));
}

#[test]
fn lost_datagrams_hide_nobody() {
    let mut fleet = Fleet::new(19);
    fleet.loss = 0.1;
    fleet.run(Duration::from_secs(5));
    let mut fewest = usize::MAX;
    for _ in 0..30 {
        fleet.run(Duration::from_secs(1));
        fewest = fewest.min(fleet.named().0);
    }
    assert!(fewest >= 17, "{fewest} of 18 named");
}

#[test]
fn loads_are_summed_over_the_routers_heard_lately() {
    let mut fleet = Fleet::new(5);
    fleet.run(Duration::from_secs(2));
    let load = |fleet: &Fleet| fleet.routers[&address(1)].1.loads(fleet.now)[&ServerKey(7)];
    let all = load(&fleet);
    fleet.dead = vec![address(2), address(3)];
    fleet.run(Duration::from_secs(2));
    expect!["8 then 4"].assert_eq(&format!("{all} then {}", load(&fleet)));
}

#[test]
fn late_datagrams_and_those_of_an_earlier_life_are_ignored() {
    let presence = Presence::new(RouterName::new("me").unwrap(), address(1));
    let order = [(2, 5), (2, 4), (2, 5), (1, 9), (2, 6), (3, 1)];
    let taken =
        order.map(|(life, number)| presence.receive(described(life, number), Instant::default()));
    expect!["[true, false, false, false, true, true]"].assert_eq(&format!("{taken:?}"));
}

#[test]
fn a_router_that_starts_again_after_its_clock_was_set_back_is_heard_once_the_earlier_life_is_silent(
) {
    let presence = Presence::new(RouterName::new("me").unwrap(), address(1));
    let at = Instant::from_millis;
    presence.receive(described(5_000, 9), at(0));
    let before = presence.receive(described(4_000, 1), at(1_000));
    let after = presence.receive(described(4_000, 2), at(1_600));
    let named = presence.serving_addresses(at(1_700)).len();
    expect!["false true 1"].assert_eq(&format!("{before} {after} {named}"));
}
