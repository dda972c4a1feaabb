//! The byte budget for datagrams, and the bounds on remembered updates.

use std::time::Duration;

use ebonyspur::{
    membership::{
        ByteBudget, Update, UpdateQueue, View, DATAGRAM_BYTES_PER_SECOND, MAX_BURST_BYTES,
        MAX_QUEUED_UPDATES,
    },
    Incarnation, Instant,
};

use crate::network::{engine, router};

#[test]
fn the_byte_budget_allows_a_burst_and_then_its_rate() {
    let mut budget = ByteBudget::new(Instant::default());
    let mut sent = 0;
    for tick in 0..100 {
        let now = Instant::default() + Duration::from_millis(100) * tick;
        while budget.take(100, 0, now) {
            sent += 100;
        }
    }
    let allowed = MAX_BURST_BYTES + DATAGRAM_BYTES_PER_SECOND * 99 / 10;
    assert!(
        (allowed - 100..=allowed).contains(&sent),
        "{sent} of {allowed}"
    );
}

fn leaving(number: usize) -> Update {
    let (name, incarnation) = (engine(number), Incarnation(1));
    Update::EngineLeaving { name, incarnation }
}

#[test]
fn retransmissions_of_an_update_grow_with_the_logarithm_of_the_fleet_size() {
    let sends = [16, 64, 256].map(|fleet_size| {
        let mut queue = UpdateQueue::new();
        queue.push(leaving(1));
        let mut sends = 0;
        while !queue.take(1_000, fleet_size).is_empty() {
            sends += 1;
        }
        sends
    });
    assert_eq!(sends, [20, 28, 36]);
}

#[test]
fn the_update_queue_is_bounded() {
    let mut queue = UpdateQueue::new();
    let mut view = View::new(router(0));
    for number in 0..10 * MAX_QUEUED_UPDATES {
        queue.push(leaving(number));
        view.apply_update(&leaving(number), Instant::default());
        assert!(queue.len() <= MAX_QUEUED_UPDATES);
    }
    queue.push(leaving(1));
    queue.push(leaving(1));
    assert_eq!(queue.len(), MAX_QUEUED_UPDATES);
}
