//! Which waiting requests count when a slot is asked for.

use ebonyspur::{
    admission::CrashRisk,
    steward::{GrantId, GrantRequest, HandOver, LoadLimit},
    Incarnation, Instant, RouterName,
};
use expect_test::expect;

use crate::support::{instance, router_with};

/// Says what `asking` is told that wants the fifth slot of one of two engines, while
/// four requests look for a slot at the steward and `waiting` others where it asks.
fn answer(asking: &str, waiting: u32) -> String {
    let cx = router_with(vec![instance("engine-1"), instance("engine-2")]);
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
    cx.steward.accept_hand_over(&name, book, now);
    let seekers = &cx.admission.slot_demand;
    let _seekers: Vec<_> = (0..4).map(|_| seekers.track(&engine.pool)).collect();
    let req = GrantRequest {
        engine: name,
        incarnation: Incarnation(1),
        grant: GrantId(1),
        waiting,
        limit: LoadLimit::Bound,
        crash_risk: CrashRisk::Low,
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
