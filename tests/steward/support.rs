//! Helpers: one engine, its steward, and the routers that hold grants on it.

use std::sync::Arc;

use ebonyspur::{
    admission::CrashRisk,
    infra::{Instance, InstanceChanges, InstanceKind, InstanceState},
    membership::Engine,
    steward::{GrantHolder, GrantId, GrantReply, HandOver, RouterGrants, Steward},
    DomainName, EngineName, Incarnation, Instant, PoolName, Router, RouterName, Settings,
};

const SETTINGS: &str = "
router: {name: router-1, failure_domain: d1}
listen: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'}
platform: {url: 'http://127.0.0.1:4'}
peers: {keys: [key-of-the-test-fleet]}
";

/// Returns `router-1` with `instances` on its instance list.
pub fn router_with(instances: Vec<Instance>) -> Arc<Router> {
    let cx = Router::new(Settings::from_yaml(SETTINGS).expect("valid settings"));
    cx.membership.apply_instances(InstanceChanges {
        version: 1,
        full: true,
        instances,
        gone: Vec::new(),
    });
    cx
}

/// Returns a live instance: a router when `name` starts with `router`, otherwise an engine.
pub fn instance(name: &str) -> Instance {
    let is_router = name.starts_with("router");
    Instance {
        name: name.to_string(),
        kind: if is_router {
            InstanceKind::Router
        } else {
            InstanceKind::Engine
        },
        pool: (!is_router).then(|| "planners".parse().expect("a valid name")),
        address: ([127, 0, 0, 1], 1).into(),
        peer_address: is_router.then(|| ([127, 0, 0, 1], 2).into()),
        failure_domain: "d2".parse().expect("a valid name"),
        state: InstanceState::Live,
        incarnation: Incarnation(1),
    }
}

/// Returns the engine that the tests use.
pub fn engine() -> Engine {
    Engine {
        name: EngineName::new("engine-1").unwrap(),
        pool: PoolName::new("planners").unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: DomainName::new("d1").unwrap(),
        incarnation: Incarnation(1),
        leaving: false,
    }
}

pub fn router(number: u64) -> RouterName {
    RouterName::new(&format!("router-{number}")).unwrap()
}

pub fn holder(number: u64, grant: u64) -> GrantHolder {
    GrantHolder {
        router: router(number),
        incarnation: Incarnation(1),
        grant: GrantId(grant),
    }
}

pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns a steward that has settled with an empty grant ledger at time 0.
pub fn settled() -> Steward {
    let steward = Steward::default();
    steward.take_over(&engine(), at(0));
    let empty = HandOver {
        incarnation: Incarnation(1),
        holders: Vec::new(),
        unattributed: 0,
        complete: true,
    };
    steward.accept_hand_over(&engine().name, empty, at(0));
    steward
}

/// Asks for `grants` for router `number`, and returns how many were granted.
pub fn ask(
    steward: &Steward,
    number: u64,
    grants: std::ops::Range<u64>,
    bound: u32,
    now: u64,
) -> usize {
    let granted = grants.filter(|grant| {
        let holder = holder(number, *grant);
        ask_as(steward, holder, CrashRisk::Low, bound, now) == GrantReply::Granted
    });
    granted.count()
}

/// Asks for one grant for a request of crash risk `crash_risk`.
pub fn ask_as(
    steward: &Steward,
    holder: GrantHolder,
    crash_risk: CrashRisk,
    bound: u32,
    now: u64,
) -> GrantReply {
    steward.grant(&engine(), holder, crash_risk, bound, at(now))
}

/// Renews `grants` of router `number`; other grants of it below `before` have ended.
pub fn renew(steward: &Steward, number: u64, grants: &[u64], before: u64, now: u64) -> bool {
    let grants: Vec<_> = grants.iter().copied().map(GrantId).collect();
    let router_grants = RouterGrants {
        router: &router(number),
        incarnation: Incarnation(1),
        grants: &grants,
        before: GrantId(before),
    };
    steward.renew(&engine().name, &router_grants, at(now))
}

/// Returns the stage of the stewardship and the number of occupied slots.
pub fn state(steward: &Steward) -> String {
    let name = engine().name;
    let occupied = steward.in_flight().get(&name).copied();
    let stage = steward.stages().get(&name).copied().unwrap_or("none");
    format!("{stage} {occupied:?}")
}
