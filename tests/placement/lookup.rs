//! Lookup of the router addresses for a caller.

use ebonyspur::{
    infra::{Instance, InstanceChanges, InstanceKind, InstanceState},
    lookup::{LookupAnswer, RouterAddress},
    membership::View,
    placement::Hint,
    ChatId, Incarnation,
};
use expect_test::expect;

use crate::support::{address_of, peer, planner};

fn instance(number: usize, domain: &str, state: InstanceState) -> Instance {
    let peer = peer(number, domain);
    Instance {
        name: peer.name.to_string(),
        kind: InstanceKind::Router,
        pool: None,
        address: peer.address,
        peer_address: Some(peer.peer_address),
        failure_domain: peer.domain,
        state,
        incarnation: Incarnation(1),
    }
}

/// Looks up a chat at `router-0` in domain d1; `others` gives domains and states of the other
/// routers in the instance list.
fn look_up(others: &[(&str, InstanceState)]) -> String {
    let me = peer(0, "d1");
    let mut view = View::new(me.name.clone());
    let listed = others.iter().enumerate();
    let instances = listed.map(|(at, (domain, state))| instance(at + 1, domain, *state));
    view.apply_instances(InstanceChanges {
        version: 1,
        full: true,
        instances: instances.collect(),
        gone: Vec::new(),
    });
    let (me, service) = (address_of(me), planner());
    let chat = ChatId::new("chat-1").unwrap();
    let answer = LookupAnswer::new(&view, &me, &service, &chat, &Hint::default()).unwrap();
    let show = |a: &RouterAddress| format!("{}/{}", a.router, a.domain);
    let shown: Vec<_> = answer.addresses.iter().map(show).collect();
    shown.join(" ")
}

use InstanceState::{Leaving, Live};

#[test]
fn addresses_are_in_different_failure_domains() {
    let found = look_up(&[("d1", Live), ("d1", Live), ("d2", Live), ("d3", Live)]);
    let mut domains: Vec<_> = found.split(' ').map(|a| a.split('/').nth(1)).collect();
    domains.sort_unstable();
    expect![[r#"[Some("d1"), Some("d2"), Some("d3")]"#]].assert_eq(&format!("{domains:?}"));
}

#[test]
fn fewer_than_three_domains_still_give_three_routers() {
    let found = look_up(&[("d1", Live), ("d1", Live), ("d2", Live)]);
    assert_eq!(found.split(' ').count(), 3, "{found}");
    assert!(found.contains("d2"), "{found}");
}

#[test]
fn a_leaving_router_is_not_returned() {
    let found = look_up(&[("d2", Leaving), ("d3", Leaving)]);
    expect!["router-0/d1"].assert_eq(&found);
}
