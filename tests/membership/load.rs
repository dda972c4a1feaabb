//! The total load of the fleet as each router computes it from the load sums.

use std::time::Duration;

use ebonyspur::{
    membership::{LoadSum, LoadSums, LOAD_TIMEOUT},
    Incarnation, Instant,
};
use expect_test::expect;

use crate::network::{pool, router, Network};

/// Returns the smallest and the largest total that any live router computes.
fn totals(network: &Network) -> (u32, u32) {
    let up = network.nodes.iter().filter(|node| node.up);
    let total = |node: &crate::network::Node| {
        let own = node.own.loads.get(&pool()).copied().unwrap_or_default();
        own.in_flight + node.view.remote_load(&pool()).in_flight
    };
    let totals: Vec<_> = up.map(total).collect();
    let least = totals.iter().min().copied().unwrap_or(0);
    (least, totals.iter().max().copied().unwrap_or(0))
}

#[test]
fn each_router_knows_the_total_load() {
    let mut network = Network::new(30, 4);
    for number in 0..30 {
        network.set_load(number, number as u32);
    }
    network.run(Duration::from_secs(10));
    assert_eq!(totals(&network), (435, 435));
}

#[test]
fn the_load_of_dead_routers_expires() {
    let mut network = Network::new(30, 4);
    for number in 0..30 {
        network.set_load(number, 10);
    }
    network.run(Duration::from_secs(10));
    for number in 0..6 {
        network.nodes[number].up = false;
    }
    network.run(Duration::from_secs(20));
    assert_eq!(totals(&network), (240, 240));
}

#[test]
fn the_total_load_follows_a_change() {
    let mut network = Network::new(30, 4);
    for number in 0..30 {
        network.set_load(number, 10);
    }
    network.run(Duration::from_secs(10));
    for number in 0..30 {
        network.set_load(number, 30);
    }
    let mut seen = String::new();
    for second in 1..=5 {
        network.run(Duration::from_secs(1));
        seen += &format!("after {second} s: {:?}\n", totals(&network));
    }
    expect![[r#"
        after 1 s: (320, 900)
        after 2 s: (900, 900)
        after 3 s: (900, 900)
        after 4 s: (900, 900)
        after 5 s: (900, 900)
    "#]]
    .assert_eq(&seen);
}

#[test]
fn a_load_sum_expires_although_routers_pass_it_on() {
    let sum = LoadSum {
        router: router(0),
        incarnation: Incarnation(1),
        sequence: 1,
        age_ms: 0,
        pools: Default::default(),
    };
    let hop = LOAD_TIMEOUT * 2 / 3;
    let mut now = Instant::from_millis(1_000);
    let mut sums = vec![sum];
    let mut hops = 0;
    while !sums.is_empty() && hops < 10 {
        let mut next = LoadSums::default();
        for sum in &sums {
            next.merge(sum, now);
        }
        now = now + hop;
        next.expire(now, |_| true);
        sums = next.recent(now);
        hops += 1;
    }
    assert_eq!(hops, 2);
}
