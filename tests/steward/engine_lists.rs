//! The load bound while the routers' lists of engines differ.

use ebonyspur::{
    membership::{LoadSum, PoolLoad, Update},
    steward::{LoadLimit, WaitingCounts},
    Incarnation,
};
use expect_test::expect;

use crate::support::{engine, instance, router, router_with};

/// Returns the load bound at a router that lists `listed` engines, while another router
/// reports 40 requests in flight on `counted` engines.
fn bound(listed: usize, counted: u32) -> u32 {
    let engines = (0..listed).map(|number| instance(&format!("engine-{number}")));
    let cx = router_with(engines.chain([instance("router-2")]).collect());
    let pool = engine().pool;
    let sum = LoadSum {
        router: router(2),
        incarnation: Incarnation(1),
        sequence: 1,
        age_ms: 0,
        pools: [(pool.clone(), PoolLoad::new(40, counted))].into(),
    };
    let now = cx.clock.now();
    assert!(cx.membership.view().apply_update(&Update::Load(sum), now));
    cx.bound(&pool, LoadLimit::Bound, WaitingCounts::default())
}

/// A steward that does not list a new engine yet must not overestimate the mean load.
#[test]
fn mean_load_includes_engines_counted_by_other_routers() {
    let bounds = [bound(4, 4), bound(4, 5), bound(5, 4)];
    expect!["[12, 9, 9]"].assert_eq(&format!("{bounds:?}"));
}
