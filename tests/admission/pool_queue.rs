//! Waiting in the queue, as the tasks of requests do it.

use std::{sync::Arc, time::Duration};

use ebonyspur::{
    admission::{Class, PoolQueues, QueueEntry, Waiter},
    Category, Clock, EngineName, PoolName, Verdict,
};

use crate::model::team;

fn pool() -> PoolName {
    PoolName::new("planners").expect("a valid name")
}

fn enqueue(lines: &Arc<PoolQueues>, clock: Clock, patience: Duration) -> Waiter {
    let applicant = QueueEntry {
        team: &team("kerb"),
        share: 1,
        class: Class::Interactive,
        deadline: clock.now() + patience,
    };
    lines.enqueue(&pool(), applicant, clock).expect("room")
}

#[tokio::test]
async fn a_freed_slot_wakes_the_holder_of_the_turn() {
    let (lines, clock) = (Arc::<PoolQueues>::default(), Clock::new());
    let engine = EngineName::new("engine-1").expect("a valid name");
    let first = enqueue(&lines, clock, Duration::from_secs(60));
    assert!(first.wait_for_turn().await.expect("the turn").is_empty());
    lines.notify_slot_freed(&pool(), &engine);
    first.back_off().await;
    assert_eq!(first.wait_for_turn().await.expect("the turn"), [engine]);
}

#[tokio::test]
async fn the_turn_goes_on_when_its_holder_is_placed_or_gives_up() {
    let (lines, clock) = (Arc::<PoolQueues>::default(), Clock::new());
    let patience = Duration::from_secs(60);
    let [first, second, third] = [(); 3].map(|()| enqueue(&lines, clock, patience));
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
    assert!(!lines.is_waiting(&pool()));
}

#[tokio::test]
async fn the_wait_ends_at_its_deadline() {
    let (lines, clock) = (Arc::<PoolQueues>::default(), Clock::new());
    let first = enqueue(&lines, clock, Duration::from_secs(60));
    let second = enqueue(&lines, clock, Duration::from_millis(20));
    first.wait_for_turn().await.expect("the turn");
    let err = second.wait_for_turn().await.expect_err("a refusal");
    assert_eq!(
        (err.classify(), err.verdict()),
        (Category::Overloaded, Verdict::NotRun)
    );
    assert!(err.retry_after().is_some());
}
