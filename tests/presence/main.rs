//! Discovery in virtual time: which routers know each other, and how soon a dead one is removed.

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

/// Returns a digest of the router `other` in the given incarnation.
fn digest(incarnation: u64, sequence: u64) -> Digest {
    Digest {
        from: RouterName::new("other").unwrap(),
        incarnation: Incarnation(incarnation),
        sequence,
        address: address(2),
        peer_address: address(2),
        domain: DomainName::new("d1").unwrap(),
        phase: RouterPhase::Serving,
        store_status: StoreStatus::Reachable,
        is_current: true,
        link_mbps: 100,
        loads: Vec::new(),
        placements: Vec::new(),
        prefills: Vec::new(),
        server_limits: Vec::new(),
        part_updates: Default::default(),
        stalled_servers: Vec::new(),
        leaving_servers: Vec::new(),
        crashes: Vec::new(),
        known_addresses: Vec::new(),
        routes_version: 0,
    }
}

/// A simulated fleet whose datagrams arrive immediately or are lost.
struct Fleet {
    routers: BTreeMap<SocketAddr, (RouterName, Presence)>,
    dead: Vec<SocketAddr>,
    now: Instant,
    loss: f64,
    rng: Pcg64Mcg,
}

impl Fleet {
    /// Starts `count` routers that know only the address of the first one.
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
                    self.send_digest(from);
                }
            }
            self.now = self.now + DIGEST_PERIOD;
        }
    }

    fn send_digest(&mut self, from: SocketAddr) {
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
            is_current: true,
            link_mbps: 100,
            loads: vec![(ServerKey(7), 2)],
            placements: Vec::new(),
            prefills: Vec::new(),
            server_limits: Vec::new(),
            part_updates: Default::default(),
            stalled_servers: Vec::new(),
            leaving_servers: Vec::new(),
            crashes: Vec::new(),
            known_addresses: round.known_addresses,
            routes_version: 0,
        };
        for to in round.targets {
            let is_lost = self.rng.random_bool(self.loss);
            if let Some((_, presence)) = self.routers.get(&to).filter(|_| !is_lost) {
                if !self.dead.contains(&to) {
                    presence.receive(digest.clone(), self.now);
                }
            }
        }
    }

    /// Returns the minimum and the maximum number of other serving routers known to a live one.
    fn serving_counts(&self) -> (usize, usize) {
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
    expect!["(18, 18)"].assert_eq(&format!("{:?}", fleet.serving_counts()));
}

#[test]
fn a_dead_router_is_not_returned_after_two_seconds_and_is_back_once_it_sends_again() {
    let mut fleet = Fleet::new(19);
    fleet.run(Duration::from_secs(3));
    fleet.dead = vec![address(4), address(9)];
    fleet.run(Duration::from_secs(2));
    let gone = fleet.serving_counts();
    fleet.dead.clear();
    fleet.run(Duration::from_millis(600));
    expect!["(16, 16) then (18, 18)"]
        .assert_eq(&format!("{gone:?} then {:?}", fleet.serving_counts()));
}

#[test]
fn a_datagram_loss_of_ten_percent_hides_at_most_one_router() {
    let mut fleet = Fleet::new(19);
    fleet.loss = 0.1;
    fleet.run(Duration::from_secs(5));
    let mut fewest = usize::MAX;
    for _ in 0..30 {
        fleet.run(Duration::from_secs(1));
        fewest = fewest.min(fleet.serving_counts().0);
    }
    assert!(fewest >= 17, "{fewest} of 18 routers known");
}

#[test]
fn loads_are_summed_over_live_routers() {
    let mut fleet = Fleet::new(5);
    fleet.run(Duration::from_secs(2));
    let load = |fleet: &Fleet| fleet.routers[&address(1)].1.loads(fleet.now)[&ServerKey(7)];
    let all = load(&fleet);
    fleet.dead = vec![address(2), address(3)];
    fleet.run(Duration::from_secs(2));
    expect!["8 then 4"].assert_eq(&format!("{all} then {}", load(&fleet)));
}

#[test]
fn late_digests_and_those_of_an_earlier_incarnation_are_ignored() {
    let presence = Presence::new(RouterName::new("me").unwrap(), address(1));
    let versions = [(2, 5), (2, 4), (2, 5), (1, 9), (2, 6), (3, 1)];
    let accepted = versions.map(|(incarnation, sequence)| {
        presence.receive(digest(incarnation, sequence), Instant::default())
    });
    expect!["[true, false, false, false, true, true]"].assert_eq(&format!("{accepted:?}"));
}

#[test]
fn a_router_restarted_with_its_clock_set_back_is_accepted_once_its_earlier_incarnation_timed_out() {
    let presence = Presence::new(RouterName::new("me").unwrap(), address(1));
    let at = Instant::from_millis;
    presence.receive(digest(5_000, 9), at(0));
    let before = presence.receive(digest(4_000, 1), at(1_000));
    let after = presence.receive(digest(4_000, 2), at(1_600));
    let serving = presence.serving_addresses(at(1_700)).len();
    expect!["false true 1"].assert_eq(&format!("{before} {after} {serving}"));
}
