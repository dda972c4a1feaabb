//! Datagrams that are truncated, foreign or altered.

use ebonyspur::{
    catalog::ServerKey,
    presence::{Message, Presence},
    Instant, RouterName,
};
use expect_test::expect;
use proptest::prelude::*;

use super::{digest, fleet::address};

#[test]
fn truncated_foreign_and_extended_datagrams_are_rejected() {
    let bytes = digest(1, 1).encode().unwrap();
    for len in 0..bytes.len() {
        assert!(Message::decode(&bytes[..len]).is_err(), "{len}");
    }
    let mut extended = bytes.clone();
    extended.push(0);
    let mut foreign = bytes.clone();
    foreign[0] = 5;
    let errors = [extended, foreign, Vec::new()]
        .map(|bytes| Message::decode(&bytes).expect_err("malformed").to_string());
    expect![[r#"
        bad_input: 1 bytes follow the message
        bad_input: the datagram has format 5
        bad_input: the datagram is empty"#]]
    .assert_eq(&errors.join("\n"));
}

#[test]
fn loads_beyond_any_number_of_requests_are_not_added_up_beyond_the_largest_number() {
    let presence = Presence::new(RouterName::new("me").unwrap(), address(1));
    for name in ["other", "third"] {
        let Message::Digest(mut forged) = digest(1, 1) else {
            panic!("a digest");
        };
        forged.router.name = RouterName::new(name).unwrap();
        forged.loads = vec![(ServerKey(7), u32::MAX)];
        presence.receive(&Message::Digest(forged), Instant::default());
    }
    let loads = presence.loads(Instant::default());
    assert_eq!(loads[&ServerKey(7)], u32::MAX);
}

proptest! {
    #[test]
    fn altered_datagrams_do_no_harm(
        changes in proptest::collection::vec((0_usize..200, any::<u8>()), 1..6),
    ) {
        let presence = Presence::new(RouterName::new("me").unwrap(), address(1));
        let mut bytes = digest(1, 1).encode().unwrap();
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        if let Ok(message) = Message::decode(&bytes) {
            presence.receive(&message, Instant::default());
        }
        prop_assert!(presence.fleet_size() <= 2);
    }

    #[test]
    fn digests_lead_to_the_same_state_in_any_order(
        order in Just((1..=6_u64).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let presence = Presence::new(RouterName::new("me").unwrap(), address(1));
        for sequence in order {
            presence.receive(&digest(1, sequence), Instant::from_millis(1));
        }
        let versions = presence.map_live(Instant::from_millis(2), |state| state.version);
        prop_assert_eq!(versions, vec![6]);
    }
}
