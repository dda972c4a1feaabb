//! A router that is cut off from the log and from all others.

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
fn a_router_that_hears_neither_log_nor_others_is_isolated() {
    let membership = membership(3);
    let heard = Instant::from_millis(60_000);
    membership.record_log_answer(heard);
    let isolated = [0, 14_999, 15_000].map(|millis| {
        let after = std::time::Duration::from_millis(millis);
        membership.is_isolated(heard + after)
    });
    assert_eq!(isolated, [false, false, true]);
    membership.record_log_answer(heard + ISOLATION_TIMEOUT);
    assert!(!membership.is_isolated(heard + ISOLATION_TIMEOUT));
}

#[test]
fn a_router_that_knows_no_other_is_not_isolated_by_an_outage_of_the_log() {
    assert!(!membership(1).is_isolated(Instant::from_millis(3_600_000)));
}
