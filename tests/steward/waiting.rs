//! Which waiting requests count when a slot is asked for.

use ebonyspur::{
    platform::{Instance, InstanceChanges, InstanceKind, InstanceState},
    steward::{GrantId, GrantRequest, HandOver, Limit},
    Incarnation, Instant, Router, RouterName, Settings,
};
use expect_test::expect;

const SETTINGS: &str = "
router: {name: router-1, failure_domain: d1}
listen: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'}
platform: {url: 'http://127.0.0.1:4'}
peers: {keys: [key-of-the-test-fleet]}
";

fn instance(number: u64) -> Instance {
    Instance {
        name: format!("engine-{number}"),
        kind: InstanceKind::Engine,
        pool: Some("planners".parse().expect("a name")),
        address: ([127, 0, 0, 1], 1).into(),
        peer_address: None,
        failure_domain: "d1".parse().expect("a name"),
        state: InstanceState::Live,
        incarnation: Incarnation(1),
    }
}

/// Says what `asking` is told that wants the fifth slot of one of two engines, while
/// four requests look for a slot at the steward and `waiting` others where it asks.
fn answer(asking: &str, waiting: u32) -> String {
    let cx = Router::new(Settings::from_yaml(SETTINGS).expect("sound settings"));
    cx.membership.apply_instances(InstanceChanges {
        version: 1,
        full: true,
        instances: vec![instance(1), instance(2)],
        gone: Vec::new(),
    });
    let name = "engine-1".parse().expect("a name");
    let engine = cx.membership.view().engine(&name).cloned().expect("listed");
    let now = Instant::from_millis(0);
    cx.steward.take_over(&engine, now);
    let book = HandOver {
        incarnation: Incarnation(1),
        holders: Vec::new(),
        unattributed: 4,
        complete: true,
    };
    cx.steward.accept(&name, book, now);
    let seekers = &cx.admission.seekers;
    let _seekers: Vec<_> = (0..4).map(|_| seekers.enter(&engine.pool)).collect();
    let req = GrantRequest {
        engine: name,
        incarnation: Incarnation(1),
        grant: GrantId(1),
        waiting,
        limit: Limit::Bound,
    };
    let asking = RouterName::new(asking).expect("a name");
    format!("{:?}", cx.answer_grant(&asking, Incarnation(1), &req))
}

/// The four leave out the request that asks only when it is one of them.
#[test]
fn the_steward_counts_all_its_waiting_requests_when_another_router_asks() {
    expect!["Granted"].assert_eq(&answer("router-2", 0));
    expect!["Full"].assert_eq(&answer("router-1", 3));
}
