//! Datagrams that were recorded and are sent again.

use ebonyspur::{
    membership::{Datagram, DatagramKind, Epoch},
    peer::{ReplayFilter, MAX_CLOCK_SKEW, MAX_SENDERS},
    Incarnation, RouterName, UnixMillis,
};

const NOW: UnixMillis = UnixMillis(1_000_000);

fn name(number: u64) -> RouterName {
    RouterName::new(&format!("router-{number}")).expect("a valid name")
}

fn datagram(from: u64, life: u64, sequence: u64) -> Datagram {
    Datagram {
        from: name(from),
        to: name(0),
        epoch: Epoch {
            incarnation: Incarnation(life),
            refutation: 0,
        },
        sequence,
        sent_at: NOW,
        kind: DatagramKind::Gossip,
        updates: Vec::new(),
    }
}

#[test]
fn each_number_of_a_life_counts_once_in_any_order() {
    let mut replays = ReplayFilter::default();
    let numbers = [10, 12, 11, 10, 11, 12, 300, 172, 173, 173, 301];
    let accepted = numbers.map(|number| replays.accept(&datagram(1, 5, number), NOW));
    let expected = [
        true, true, true, false, false, false, true, false, true, false, true,
    ];
    assert_eq!(accepted, expected);
}

#[test]
fn an_earlier_life_is_refused_once_a_later_one_was_heard() {
    let mut replays = ReplayFilter::default();
    let lives = [5, 6, 5, 6];
    let mut sequence = 0;
    let accepted = lives.map(|life| {
        sequence += 1;
        replays.accept(&datagram(1, life, sequence), NOW)
    });
    assert_eq!(accepted, [true, true, false, true]);
}

#[test]
fn a_datagram_from_another_time_is_refused() {
    let mut replays = ReplayFilter::default();
    let limit = MAX_CLOCK_SKEW.as_millis() as u64;
    let at = |wall| ReplayFilter::default().accept(&datagram(1, 5, 1), UnixMillis(wall));
    let walls = [
        NOW.0 - limit - 1,
        NOW.0 - limit,
        NOW.0 + limit,
        NOW.0 + limit + 1,
    ];
    assert_eq!(walls.map(at), [false, true, true, false]);
    assert!(replays.accept(&datagram(1, 5, 1), NOW));
}

#[test]
fn the_memory_of_senders_is_bounded() {
    let mut replays = ReplayFilter::default();
    for sender in 0..2 * MAX_SENDERS as u64 {
        assert!(replays.accept(&datagram(sender, 5, 1), NOW));
    }
    assert_eq!(replays.len(), MAX_SENDERS);
}
