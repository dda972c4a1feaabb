//! Lookup with a hint: the caller is sent to the steward of a hinted engine, the router that counts
//! the engine's requests.

use ebonyspur::{
    infra::{Instance, InstanceChanges, InstanceKind, InstanceState},
    lookup::LookupAnswer,
    membership::View,
    placement::rendezvous_first,
    Incarnation,
};
use expect_test::expect;

use crate::support::{address_of, peer, planner};

fn router(number: usize) -> Instance {
    let peer = peer(number, &format!("d{number}"));
    Instance {
        name: peer.name.to_string(),
        kind: InstanceKind::Router,
        pool: None,
        address: peer.address,
        peer_address: Some(peer.peer_address),
        failure_domain: peer.domain,
        state: InstanceState::Live,
        incarnation: Incarnation(1),
    }
}

fn engine(name: &str, pool: &str, state: InstanceState) -> Instance {
    Instance {
        name: name.to_string(),
        kind: InstanceKind::Engine,
        pool: Some(pool.parse().unwrap()),
        peer_address: None,
        state,
        ..router(1)
    }
}

/// Returns the names of the engines whose steward is the router that a caller with `hint` is
/// sent to.
fn engines_of_chosen_router(hint: &str) -> String {
    let me = peer(0, "d0");
    let mut view = View::new(me.name.clone());
    let engines = [
        engine("leaving", "planners", InstanceState::Leaving),
        engine("elsewhere", "others", InstanceState::Live),
        engine("engine-1", "planners", InstanceState::Live),
        engine("engine-2", "planners", InstanceState::Live),
    ];
    view.apply_instances(InstanceChanges {
        version: 1,
        full: true,
        instances: (1..20).map(router).chain(engines).collect(),
        gone: Vec::new(),
    });
    let (me, service) = (address_of(me), planner());
    let chat = "chat-1".parse().unwrap();
    let hint = hint.parse().unwrap();
    let answer = LookupAnswer::new(&view, &me, &service, &chat, &hint).unwrap();
    let chosen = Some(&answer.addresses[0].router);
    let names = view.all_engines().map(|engine| engine.name.as_str());
    let stewarded = names.filter(|name| rendezvous_first(name, view.active_routers()) == chosen);
    stewarded.collect::<Vec<_>>().join(" ")
}

#[test]
fn the_steward_of_the_newest_hinted_engine_that_accepts_the_chat_is_chosen() {
    let hints = [
        "",
        "engine-1@1",
        "engine-2@1",
        "leaving@1,elsewhere@1,engine-1@1",
        "engine-2@7,engine-1@1",
    ];
    let lines = hints.map(|hint| format!("[{hint}] {}", engines_of_chosen_router(hint)));
    expect![[r#"
        [] engine-2
        [engine-1@1] engine-1
        [engine-2@1] engine-2
        [leaving@1,elsewhere@1,engine-1@1] engine-1
        [engine-2@7,engine-1@1] engine-1"#]]
    .assert_eq(&lines.join("\n"));
}
