//! Routers that fail, pause, restart, leave, or are split by the network.

use std::time::Duration;

use ebonyspur::membership::Health;

use crate::network::{router, Network};

/// Longest time that any condition below is waited for.
const LIMIT: Duration = Duration::from_secs(30);

#[test]
fn all_routers_drop_a_failed_router_within_seconds() {
    let mut network = Network::new(19, 4);
    network.run(Duration::from_secs(5));
    network.nodes[3].up = false;
    let took = network.run_until(LIMIT, Network::agrees);
    assert!(took < Duration::from_secs(10), "took {took:?}");
}

#[test]
fn no_router_is_declared_dead_at_30_percent_datagram_loss() {
    let mut network = Network::new(19, 4);
    network.loss = 30;
    let took = network.run_until(Duration::from_secs(60), |network| !network.agrees());
    assert_eq!(took, Duration::from_secs(60), "all routers stay active");
}

#[test]
fn a_router_declared_dead_during_a_pause_refutes_it() {
    let mut network = Network::new(10, 2);
    network.run(Duration::from_secs(5));
    network.nodes[0].paused = true;
    network.run(Duration::from_secs(10));
    assert_eq!(
        network.nodes[1].view.member_state(&router(0)).health,
        Health::Dead
    );
    network.nodes[0].paused = false;
    let took = network.run_until(LIMIT, Network::agrees);
    assert!(took < Duration::from_secs(4), "took {took:?}");
    assert!(network.nodes[0].gossip.epoch().refutation > 0);
}

#[test]
fn a_router_restarts_its_suspicion_timers_after_a_pause() {
    let mut network = Network::new(10, 2);
    network.run(Duration::from_secs(5));
    let now = network.now;
    let node = &mut network.nodes[0];
    let epoch = node.view.member_state(&router(5)).epoch;
    node.view
        .apply_health(&router(5), epoch, Health::Suspect, now);
    node.paused = true;
    // Datagrams sent to the router during its pause are lost.
    node.side = 1;
    network.run(Duration::from_secs(60));
    network.nodes[0].paused = false;
    network.run(Duration::from_millis(400));
    assert_eq!(
        network.nodes[0].view.member_state(&router(5)).health,
        Health::Suspect
    );
    network.nodes[0].side = 0;
    let took = network.run_until(LIMIT, Network::agrees);
    assert!(took < Duration::from_secs(4), "took {took:?}");
}

#[test]
fn routers_agree_after_a_network_split_ends() {
    let mut network = Network::new(12, 3);
    network.run(Duration::from_secs(5));
    for node in &mut network.nodes[..5] {
        node.side = 1;
    }
    network.run(Duration::from_secs(20));
    assert_eq!(
        (
            network.active_routers(0).len(),
            network.active_routers(11).len()
        ),
        (5, 7)
    );
    for node in &mut network.nodes {
        node.side = 0;
    }
    let took = network.run_until(LIMIT, Network::agrees);
    assert!(took < Duration::from_secs(15), "took {took:?}");
}

#[test]
fn a_router_that_left_is_active_again_after_a_restart() {
    let mut network = Network::new(8, 2);
    network.run(Duration::from_secs(5));
    network.nodes[2].own.leaving = true;
    let left = |network: &Network| (0..8).all(|n| n == 2 || network.active_routers(n).len() == 7);
    let took = network.run_until(LIMIT, left);
    assert!(took < Duration::from_secs(2), "took {took:?}");
    network.restart(2);
    let took = network.run_until(LIMIT, Network::agrees);
    assert!(took < Duration::from_secs(10), "took {took:?}");
}
