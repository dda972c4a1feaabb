//! How fast news spreads, and what the gossip costs, at growing sizes.

use std::time::Duration;

use ebonyspur::{
    membership::{Update, DATAGRAM_BYTES_PER_SECOND},
    Incarnation,
};
use expect_test::expect;

use crate::network::{engine, Network};

/// Time in which an engine that leaves must have no more new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Starts a fleet whose routers all count some load, and lets it settle.
fn settled(routers: usize, domains: usize) -> Network {
    let mut network = Network::new(routers, domains);
    for number in 0..routers {
        network.set_load(number, 3);
    }
    network.run(Duration::from_secs(5));
    network
}

fn bytes_per_second(network: &mut Network) -> u64 {
    let before: u64 = network.nodes.iter().map(|node| node.bytes).sum();
    network.run(Duration::from_secs(5));
    let after: u64 = network.nodes.iter().map(|node| node.bytes).sum();
    (after - before) / 5 / network.nodes.len() as u64
}

/// Lets one router learn that an engine leaves; returns the time until all know.
fn time_to_spread(network: &mut Network) -> Duration {
    let (name, incarnation) = (engine(1), Incarnation(5));
    let node = &mut network.nodes[0];
    node.view.mark_engine_leaving(&name, incarnation);
    node.gossip
        .announce(Update::EngineLeaving { name, incarnation });
    network.run_until(Duration::from_secs(30), |network| {
        let knows = |view: &ebonyspur::membership::View| {
            view.engine(&engine(1)).is_some_and(|engine| engine.leaving)
        };
        network.nodes.iter().all(|node| knows(&node.view))
    })
}

#[test]
fn news_is_everywhere_in_time_at_a_cost_that_does_not_grow() {
    let mut table = String::new();
    for (routers, domains) in [(19, 4), (76, 7), (150, 7)] {
        let mut network = settled(routers, domains);
        let cost = bytes_per_second(&mut network);
        assert!(cost <= DATAGRAM_BYTES_PER_SECOND);
        let took = time_to_spread(&mut network);
        assert!(took < LEAVE_LIMIT, "took {took:?} at {routers} routers");
        table += &format!("{routers} routers: {cost} bytes/s, engine leaves in {took:?}\n");
    }
    expect![[r#"
        19 routers: 1380 bytes/s, engine leaves in 400ms
        76 routers: 1658 bytes/s, engine leaves in 580ms
        150 routers: 1684 bytes/s, engine leaves in 880ms
    "#]]
    .assert_eq(&table);
}

#[test]
fn news_arrives_although_one_in_five_datagrams_is_lost() {
    let mut network = settled(76, 7);
    network.loss = 20;
    let took = time_to_spread(&mut network);
    assert!(took < LEAVE_LIMIT, "took {took:?}");
}
