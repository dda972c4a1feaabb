//! Which requests count as waiting for a slot in their pool.

use std::{future::ready, pin::pin};

use ebonyspur::{
    admission::{Class, Fingerprint},
    relay::{ChatHead, ChatRequest},
};
use expect_test::expect;

use crate::support::{at, engine, instance, router_with};

/// Returns how many requests count as waiting after a request with `hint` got no slot on the
/// only engine.
async fn waiting_count(hint: &str) -> u32 {
    let cx = router_with(vec![instance("engine-1")]);
    // A takeover without a load report, in which no slot is granted.
    cx.steward.take_over(&engine(), at(0));
    let req = ChatRequest::new(ChatHead {
        id: cx.fresh_request_id(),
        team: "team-1".parse().expect("a name"),
        pool: engine().pool,
        chat: "chat-1".parse().expect("a name"),
        hint: hint.parse().expect("a hint"),
        attempt: 1,
        class: Class::Interactive,
        fingerprint: Fingerprint(1),
    });
    let admitted = req.admit(&cx).expect("room for one request");
    let mut placed = pin!(admitted.place(&cx));
    tokio::select! {
        biased;
        _ = &mut placed => panic!("no slot is free"),
        () = ready(()) => {}
    }
    cx.admission.slot_demand.count(&engine().pool)
}

/// A request that waits for its warm engine is not load that other engines could have.
#[tokio::test]
async fn only_requests_that_accept_any_engine_count_as_waiting() {
    let counts = [waiting_count("").await, waiting_count("engine-1@1").await];
    expect!["[1, 0]"].assert_eq(&format!("{counts:?}"));
}
