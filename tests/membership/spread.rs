//! The time in which updates reach all routers, and the bytes that gossip costs, by fleet size.

use std::time::Duration;

use ebonyspur::{
    membership::{Update, DATAGRAM_BYTES_PER_SECOND},
    Incarnation,
};
use expect_test::expect;

use crate::network::{engine, Network};

/// Longest time until all routers know that an engine leaves and send it no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Starts a fleet whose routers all count some load, and runs it for a while.
fn settled_network(routers: usize, domains: usize) -> Network {
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

/// Announces at one router that an engine leaves; returns the time until all routers know it.
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
fn updates_reach_all_routers_in_time_at_a_bounded_cost() {
    let mut table = String::new();
    for (routers, domains) in [(19, 4), (76, 7), (150, 7)] {
        let mut network = settled_network(routers, domains);
        let bytes_per_router = bytes_per_second(&mut network);
        assert!(bytes_per_router <= DATAGRAM_BYTES_PER_SECOND);
        let took = time_to_spread(&mut network);
        assert!(took < LEAVE_LIMIT, "took {took:?} at {routers} routers");
        table +=
            &format!("{routers} routers: {bytes_per_router} bytes/s, engine leaves in {took:?}\n");
    }
    expect![[r#"
        19 routers: 1380 bytes/s, engine leaves in 400ms
        76 routers: 1658 bytes/s, engine leaves in 580ms
        150 routers: 1684 bytes/s, engine leaves in 880ms
    "#]]
    .assert_eq(&table);
}

#[test]
fn updates_reach_all_routers_in_time_at_20_percent_datagram_loss() {
    let mut network = settled_network(76, 7);
    network.loss = 20;
    let took = time_to_spread(&mut network);
    assert!(took < LEAVE_LIMIT, "took {took:?}");
}
