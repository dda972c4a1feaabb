//! A router that is cut off from the log service and from all other routers.

use ebonyspur::{
    infra::InstanceChanges,
    membership::{Membership, ISOLATION_TIMEOUT},
    Incarnation, Instant,
};

use crate::network::{instances, router};

fn membership(routers: usize) -> Membership {
    let membership = Membership::new(router(0), Incarnation(1));
    membership.apply_instances(InstanceChanges {
        version: 1,
        full: true,
        instances: instances(routers, 1),
        gone: Vec::new(),
    });
    membership
}

#[test]
fn a_router_without_contact_to_log_and_routers_is_isolated() {
    let membership = membership(3);
    let answered_at = Instant::from_millis(60_000);
    membership.record_log_answer(answered_at);
    let isolated = [0, 14_999, 15_000].map(|millis| {
        let after = std::time::Duration::from_millis(millis);
        membership.is_isolated(answered_at + after)
    });
    assert_eq!(isolated, [false, false, true]);
    membership.record_log_answer(answered_at + ISOLATION_TIMEOUT);
    assert!(!membership.is_isolated(answered_at + ISOLATION_TIMEOUT));
}

#[test]
fn a_router_that_knows_no_other_is_not_isolated_by_a_log_outage() {
    assert!(!membership(1).is_isolated(Instant::from_millis(3_600_000)));
}
