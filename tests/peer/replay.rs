//! The replay filter for datagrams.

use ebonyspur::{
    membership::{Datagram, DatagramKind, Epoch},
    peer::{ReplayFilter, MAX_SENDERS, MAX_SEND_TIME_SKEW},
    Incarnation, RouterName, UnixMillis,
};

const NOW: UnixMillis = UnixMillis(1_000_000);

fn name(number: u64) -> RouterName {
    RouterName::new(&format!("router-{number}")).expect("a valid name")
}

fn datagram(from: u64, incarnation: u64, sequence: u64) -> Datagram {
    Datagram {
        from: name(from),
        to: name(0),
        epoch: Epoch {
            incarnation: Incarnation(incarnation),
            refutation: 0,
        },
        sequence,
        sent_at: NOW,
        kind: DatagramKind::Gossip,
        updates: Vec::new(),
    }
}

#[test]
fn each_sequence_number_of_an_incarnation_is_accepted_once_in_any_order() {
    let mut filter = ReplayFilter::default();
    let numbers = [10, 12, 11, 10, 11, 12, 300, 172, 173, 173, 301];
    let accepted = numbers.map(|number| filter.accept(&datagram(1, 5, number), NOW));
    let expected = [
        true, true, true, false, false, false, true, false, true, false, true,
    ];
    assert_eq!(accepted, expected);
}

#[test]
fn an_earlier_incarnation_is_rejected_after_a_later_one() {
    let mut filter = ReplayFilter::default();
    let incarnations = [5, 6, 5, 6];
    let mut sequence = 0;
    let accepted = incarnations.map(|incarnation| {
        sequence += 1;
        filter.accept(&datagram(1, incarnation, sequence), NOW)
    });
    assert_eq!(accepted, [true, true, false, true]);
}

#[test]
fn a_datagram_beyond_the_clock_skew_is_rejected() {
    let mut filter = ReplayFilter::default();
    let limit = MAX_SEND_TIME_SKEW.as_millis() as u64;
    let at = |wall| ReplayFilter::default().accept(&datagram(1, 5, 1), UnixMillis(wall));
    let walls = [
        NOW.0 - limit - 1,
        NOW.0 - limit,
        NOW.0 + limit,
        NOW.0 + limit + 1,
    ];
    assert_eq!(walls.map(at), [false, true, true, false]);
    assert!(filter.accept(&datagram(1, 5, 1), NOW));
}

#[test]
fn the_number_of_tracked_senders_is_bounded() {
    let mut filter = ReplayFilter::default();
    for sender in 0..2 * MAX_SENDERS as u64 {
        assert!(filter.accept(&datagram(sender, 5, 1), NOW));
    }
    assert_eq!(filter.len(), MAX_SENDERS);
}
