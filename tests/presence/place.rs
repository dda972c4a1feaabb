//! The place of a router in the fleet, by which it has its part of what cold servers take.

use ebonyspur::{
    presence::{Digest, Message, Presence, RouterState},
    DomainName, Incarnation, Instant, RouterName,
};
use expect_test::expect;

use crate::fleet::address;

fn router(name: &str, number: u64) -> RouterState {
    let name = RouterName::new(name).unwrap();
    let domain = DomainName::new("d1").unwrap();
    let peer = address(number as _);
    RouterState::new(name, Incarnation(1), domain, peer, peer)
}

#[test]
fn a_router_that_is_cut_off_keeps_the_place_that_it_had() {
    let me = router("m", 1);
    let presence = Presence::new(me.name.clone(), me.peer_address);
    let mut lines = Vec::new();
    for second in 0..40 {
        let now = Instant::from_millis(1_000 * second + 1);
        let others: &[_] = match second {
            0..2 => &[],
            2..6 => &["a", "z"],
            6..30 => &["z"],
            _ => &[],
        };
        for (number, name) in others.iter().enumerate() {
            let digest = Digest {
                sequence: second,
                ..Digest::new(router(name, 2 + number as u64))
            };
            presence.receive(&Message::Digest(Box::new(digest)), now);
        }
        presence.next_round(Digest::new(me.clone()), true, now);
        let place = presence.fleet_place(now);
        let place = place.map(|place| format!("{} of {}", place.index, place.size));
        let line = format!("{place:?}");
        if lines.last().is_none_or(|(_, last)| *last != line) {
            lines.push((second, line));
        }
    }
    expect![[r#"[(0, "None"), (3, "Some(\"1 of 3\")"), (25, "Some(\"0 of 2\")")]"#]]
        .assert_eq(&format!("{lines:?}"));
}
