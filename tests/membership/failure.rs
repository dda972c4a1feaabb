//! Failed, paused, restarted and parted routers.

use std::time::Duration;

use ebonyspur::membership::Health;

use crate::network::{router, Network};

const LIMIT: Duration = Duration::from_secs(30);

#[test]
fn a_failed_router_loses_its_duties_everywhere_within_seconds() {
    let mut network = Network::new(19, 4);
    network.run(Duration::from_secs(5));
    network.nodes[3].up = false;
    let took = network.run_until(LIMIT, Network::agrees);
    assert!(took < Duration::from_secs(10), "took {took:?}");
}

#[test]
fn no_router_is_declared_dead_while_three_in_ten_datagrams_are_lost() {
    let mut network = Network::new(19, 4);
    network.loss = 30;
    let took = network.run_until(Duration::from_secs(60), |network| !network.agrees());
    assert_eq!(took, Duration::from_secs(60), "all stay on duty");
}

#[test]
fn a_router_that_was_paused_refutes_its_death() {
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
fn a_router_that_was_paused_gives_its_suspects_their_time_again() {
    let mut network = Network::new(10, 2);
    network.run(Duration::from_secs(5));
    let now = network.now;
    let node = &mut network.nodes[0];
    let epoch = node.view.member_state(&router(5)).epoch;
    node.view
        .apply_health(&router(5), epoch, Health::Suspect, now);
    node.paused = true;
    // What has come in during the pause is lost.
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
fn a_split_heals() {
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
fn a_restarted_router_takes_duties_again_after_it_had_left() {
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
