//! Waiting for the turn in the queue of a pool.

use std::{sync::Arc, time::Duration};

use ebonyspur::{
    admission::{Class, PoolQueues, QueueEntry, Waiter},
    Category, Clock, EngineName, PoolName, Verdict,
};

use crate::model::team;

fn pool() -> PoolName {
    PoolName::new("planners").expect("a valid name")
}

fn enqueue(queues: &Arc<PoolQueues>, clock: Clock, timeout: Duration) -> Waiter {
    let entry = QueueEntry {
        team: &team("kerb"),
        share: 1,
        class: Class::Interactive,
        deadline: clock.now() + timeout,
    };
    queues.enqueue(&pool(), entry, clock).expect("room")
}

#[tokio::test]
async fn freed_slot_wakes_the_holder_of_the_turn() {
    let (queues, clock) = (Arc::<PoolQueues>::default(), Clock::new());
    let engine = EngineName::new("engine-1").expect("a valid name");
    let first = enqueue(&queues, clock, Duration::from_secs(60));
    assert!(first.wait_for_turn().await.expect("the turn").is_empty());
    queues.notify_slot_freed(&pool(), &engine);
    first.back_off().await;
    assert_eq!(first.wait_for_turn().await.expect("the turn"), [engine]);
}

#[tokio::test]
async fn turn_passes_on_when_its_holder_gets_a_slot_or_leaves() {
    let (queues, clock) = (Arc::<PoolQueues>::default(), Clock::new());
    let timeout = Duration::from_secs(60);
    let [first, second, third] = [(); 3].map(|()| enqueue(&queues, clock, timeout));
    first.wait_for_turn().await.expect("the turn");
    first.leave_with_slot();
    second
        .wait_for_turn()
        .await
        .expect("the turn after a placement");
    drop(second);
    third
        .wait_for_turn()
        .await
        .expect("the turn after a caller has gone");
    drop(third);
    assert!(!queues.is_waiting(&pool()));
}

#[tokio::test]
async fn waiting_ends_at_the_deadline() {
    let (queues, clock) = (Arc::<PoolQueues>::default(), Clock::new());
    let first = enqueue(&queues, clock, Duration::from_secs(60));
    let second = enqueue(&queues, clock, Duration::from_millis(20));
    first.wait_for_turn().await.expect("the turn");
    let err = second.wait_for_turn().await.expect_err("a passed deadline");
    assert_eq!(
        (err.classify(), err.verdict()),
        (Category::Overloaded, Verdict::NotRun)
    );
    assert!(err.retry_after().is_some());
}
