//! Engines, services and routers for the tests.

use std::sync::Arc;

use ebonyspur::{
    config::{Service, ServiceKind},
    lookup::RouterAddress,
    membership::{Engine, Peer},
    DomainName, EngineName, Incarnation, PoolName, RouterName,
};

/// Returns `count` engines, `engine-0` first.
pub fn engines(count: usize) -> Vec<Arc<Engine>> {
    (0..count).map(|number| Arc::new(engine(number))).collect()
}

/// Returns engine `engine-{number}`.
pub fn engine(number: usize) -> Engine {
    Engine {
        name: EngineName::new(&format!("engine-{number}")).unwrap(),
        pool: PoolName::new("planners").unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: DomainName::new("d1").unwrap(),
        incarnation: Incarnation(1),
        leaving: false,
    }
}

/// Returns the names of `engines`, separated by spaces.
pub fn names(engines: &[Arc<Engine>]) -> String {
    let names: Vec<_> = engines.iter().map(|engine| engine.name.as_str()).collect();
    names.join(" ")
}

/// Returns the service whose chats the engines serve.
pub fn planner() -> Service {
    Service {
        name: "planner".parse().unwrap(),
        kind: ServiceKind::Chat,
        pool: "planners".parse().unwrap(),
    }
}

/// Returns the address that lookups return for a router.
pub fn address_of(peer: Peer) -> RouterAddress {
    RouterAddress {
        router: peer.name,
        address: peer.address,
        domain: peer.domain,
    }
}

/// Returns router `router-{number}` in failure domain `domain`.
pub fn peer(number: usize, domain: &str) -> Peer {
    Peer {
        name: RouterName::new(&format!("router-{number}")).unwrap(),
        address: ([127, 0, 0, 1], number as u16).into(),
        peer_address: ([127, 0, 0, 2], number as u16).into(),
        domain: DomainName::new(domain).unwrap(),
        incarnation: Incarnation(1),
        leaving: false,
    }
}
