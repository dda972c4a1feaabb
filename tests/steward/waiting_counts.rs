//! Which waiting requests raise the load bound when a router asks for a slot.

use ebonyspur::{
    admission::CrashRisk,
    steward::{GrantId, GrantRequest, HandOver, LoadLimit},
    Incarnation, Instant, RouterName,
};
use expect_test::expect;

use crate::support::{instance, router_with};

/// Returns the reply to router `requester`, which asks for the fifth slot of one of two
/// engines while four requests at the steward and `waiting` others at `requester` need a slot.
fn answer(requester: &str, waiting: u32) -> String {
    let cx = router_with(vec![instance("engine-1"), instance("engine-2")]);
    let name = "engine-1".parse().expect("a valid name");
    let engine = cx.membership.view().engine(&name).cloned().expect("listed");
    let now = Instant::from_millis(0);
    cx.steward.take_over(&engine, now);
    let hand_over = HandOver {
        incarnation: Incarnation(1),
        holders: Vec::new(),
        unattributed: 4,
        complete: true,
    };
    cx.steward.accept_hand_over(&name, hand_over, now);
    let slot_demand = &cx.admission.slot_demand;
    let _guards: Vec<_> = (0..4).map(|_| slot_demand.track(&engine.pool)).collect();
    let req = GrantRequest {
        engine: name,
        incarnation: Incarnation(1),
        grant: GrantId(1),
        waiting,
        limit: LoadLimit::Bound,
        crash_risk: CrashRisk::Low,
    };
    let requester = RouterName::new(requester).expect("a valid name");
    format!("{:?}", cx.handle_grant(&requester, Incarnation(1), &req))
}

/// The steward leaves out one of its four requests only when that request asks for the slot.
#[test]
fn steward_counts_all_its_waiting_requests_when_another_router_asks() {
    expect!["Granted"].assert_eq(&answer("router-2", 0));
    expect!["Full"].assert_eq(&answer("router-1", 3));
}
