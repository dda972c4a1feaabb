//! Racks, failure domains and regions that fail or are cut off as a whole.

use std::{collections::BTreeSet, time::Duration};

use ebonyspur::membership::DATAGRAM_BYTES_PER_SECOND;
use expect_test::expect;

use crate::network::{router, Network};

const ROUTERS: usize = 76;

/// Number of routers in two regions; fewer than `ROUTERS`, as that test runs for minutes of
/// virtual time.
const ROUTERS_OF_REGIONS: usize = 28;
const DOMAINS: usize = 7;

/// Number of failure domains in the first region, which come first.
const FIRST_REGION_DOMAINS: usize = 4;

/// Longest time until all routers agree that failed routers are not active.
const FAILURE_LIMIT: Duration = Duration::from_secs(10);

/// Longest time until all routers agree again after a network split.
const HEAL_LIMIT: Duration = Duration::from_secs(15);

fn settled(routers: usize) -> Network {
    let mut network = Network::new(routers, DOMAINS);
    network.run(Duration::from_secs(5));
    network
}

/// Stops the routers for which `is_lost` returns true; returns the time until the others agree.
fn stop_routers(network: &mut Network, is_lost: impl Fn(usize) -> bool) -> Duration {
    for number in (0..ROUTERS).filter(|number| is_lost(*number)) {
        network.nodes[number].up = false;
    }
    network.run_until(FAILURE_LIMIT * 3, Network::agrees)
}

#[test]
fn all_routers_drop_routers_that_fail_together_within_seconds() {
    let mut table = String::new();
    let rack = |number: usize| number % DOMAINS == 2 && number < 4 * DOMAINS;
    let domain = |number: usize| number % DOMAINS == 2;
    for (name, is_lost) in [
        ("rack", &rack as &dyn Fn(usize) -> bool),
        ("domain", &domain),
    ] {
        let mut network = settled(ROUTERS);
        let took = stop_routers(&mut network, is_lost);
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

/// Returns the routers of the first region, or of the second one if `first` is false.
fn region(first: bool) -> BTreeSet<ebonyspur::RouterName> {
    let numbers =
        (0..ROUTERS_OF_REGIONS).filter(|number| (number % DOMAINS < FIRST_REGION_DOMAINS) == first);
    numbers.map(router).collect()
}

fn bytes(network: &Network) -> u64 {
    network.nodes.iter().map(|node| node.bytes).sum()
}

/// Runs the network for `time`; returns the mean bytes per second that a router sends.
fn bytes_per_second(network: &mut Network, time: Duration) -> u64 {
    let before = bytes(network);
    network.run(time);
    (bytes(network) - before) / time.as_secs() / network.nodes.len() as u64
}

#[test]
fn regions_agree_after_a_network_split_of_minutes() {
    let mut network = settled(ROUTERS_OF_REGIONS);
    network.latency = 80;
    let before_split = bytes_per_second(&mut network, Duration::from_secs(10));
    for (number, node) in network.nodes.iter_mut().enumerate() {
        node.side = u8::from(number % DOMAINS >= FIRST_REGION_DOMAINS);
    }
    let during_split = bytes_per_second(&mut network, Duration::from_secs(300));
    assert_eq!(network.active_routers(0), region(true));
    assert_eq!(network.active_routers(FIRST_REGION_DOMAINS), region(false));
    for node in &mut network.nodes {
        node.side = 0;
    }
    let took = network.run_until(HEAL_LIMIT * 3, Network::agrees);
    assert!(took < HEAL_LIMIT, "took {took:?}");
    let after_split = bytes_per_second(&mut network, Duration::from_secs(10));
    assert!(before_split.max(during_split).max(after_split) <= DATAGRAM_BYTES_PER_SECOND);
    expect![[r#"
        before the split: 1373 bytes/s
        during the split of 300s: 1155 bytes/s
        agreed after 2.8s
        after the split: 1454 bytes/s
    "#]]
    .assert_eq(&format!(
        "before the split: {before_split} bytes/s\n\
         during the split of 300s: {during_split} bytes/s\n\
         agreed after {took:?}\nafter the split: {after_split} bytes/s\n"
    ));
}
