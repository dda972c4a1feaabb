//! Racks, failure domains and regions lost at once.

use std::{collections::BTreeSet, time::Duration};

use ebonyspur::membership::DATAGRAM_BYTES_PER_SECOND;
use expect_test::expect;

use crate::network::{router, Network};

const ROUTERS: usize = 76;

/// Routers of two regions, fewer since minutes pass.
const ROUTERS_OF_REGIONS: usize = 28;
const DOMAINS: usize = 7;

/// Domains below this number are in the first region.
const FIRST_REGION: usize = 4;

/// Longest time until a failed router has lost its duties everywhere.
const FAILURE_LIMIT: Duration = Duration::from_secs(10);

/// Longest time until routers that had lost each other share their duties again.
const HEAL_LIMIT: Duration = Duration::from_secs(15);

fn settled(routers: usize) -> Network {
    let mut network = Network::new(routers, DOMAINS);
    network.run(Duration::from_secs(5));
    network
}

fn lose(network: &mut Network, lost: impl Fn(usize) -> bool) -> Duration {
    for number in (0..ROUTERS).filter(|number| lost(*number)) {
        network.nodes[number].up = false;
    }
    network.run_until(FAILURE_LIMIT * 3, Network::agrees)
}

#[test]
fn routers_that_fail_together_lose_their_duties_within_seconds() {
    let mut table = String::new();
    let rack = |number: usize| number % DOMAINS == 2 && number < 4 * DOMAINS;
    let domain = |number: usize| number % DOMAINS == 2;
    for (name, lost) in [
        ("rack", &rack as &dyn Fn(usize) -> bool),
        ("domain", &domain),
    ] {
        let mut network = settled(ROUTERS);
        let took = lose(&mut network, lost);
        assert!(took < FAILURE_LIMIT, "took {took:?}");
        let left = network.live().len();
        table += &format!("{name}: {left} of {ROUTERS} left, agreed after {took:?}\n");
    }
    expect![[r#"
        rack: 72 of 76 left, agreed after 6.36s
        domain: 65 of 76 left, agreed after 9.58s
    "#]]
    .assert_eq(&table);
}

/// Returns the routers of the first or of the other region.
fn region(first: bool) -> BTreeSet<ebonyspur::RouterName> {
    let numbers =
        (0..ROUTERS_OF_REGIONS).filter(|number| (number % DOMAINS < FIRST_REGION) == first);
    numbers.map(router).collect()
}

fn bytes(network: &Network) -> u64 {
    network.nodes.iter().map(|node| node.bytes).sum()
}

/// Runs for `time` and returns the bytes a second of a router.
fn cost(network: &mut Network, time: Duration) -> u64 {
    let before = bytes(network);
    network.run(time);
    (bytes(network) - before) / time.as_secs() / network.nodes.len() as u64
}

#[test]
fn regions_that_lose_each_other_for_minutes_share_their_duties_again() {
    let mut network = settled(ROUTERS_OF_REGIONS);
    network.latency = 80;
    let whole = cost(&mut network, Duration::from_secs(10));
    for (number, node) in network.nodes.iter_mut().enumerate() {
        node.side = u8::from(number % DOMAINS >= FIRST_REGION);
    }
    let parted = cost(&mut network, Duration::from_secs(300));
    assert_eq!(network.active_routers(0), region(true));
    assert_eq!(network.active_routers(FIRST_REGION), region(false));
    for node in &mut network.nodes {
        node.side = 0;
    }
    let took = network.run_until(HEAL_LIMIT * 3, Network::agrees);
    assert!(took < HEAL_LIMIT, "took {took:?}");
    let healed = cost(&mut network, Duration::from_secs(10));
    assert!(whole.max(parted).max(healed) <= DATAGRAM_BYTES_PER_SECOND);
    expect![[r#"
        whole: 1373 bytes/s
        parted for 300s: 1155 bytes/s
        agreed after 2.8s
        healed: 1454 bytes/s
    "#]]
    .assert_eq(&format!(
        "whole: {whole} bytes/s\nparted for 300s: {parted} bytes/s\n\
         agreed after {took:?}\nhealed: {healed} bytes/s\n"
    ));
}
