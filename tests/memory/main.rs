//! Who is given up when the memory for callers is short.

use std::time::Duration;

use ebonyspur::{
    memory::{choose, Account, Holder, Phase},
    Clock, Instant,
};
use expect_test::expect;

const KB: usize = 1024;

fn holder(kb: usize, phase: Phase, since_ms: u64) -> Holder {
    Holder {
        bytes: kb * KB,
        phase,
        since: Instant::from_millis(since_ms),
    }
}

fn kept(until_ms: u64) -> Phase {
    Phase::Kept {
        until: Instant::from_millis(until_ms),
    }
}

#[test]
fn the_largest_that_stands_still_goes_first() {
    let now = Instant::from_millis(10_000);
    let mut holders = vec![
        ("idle since 1 s", holder(12, Phase::Standing, 1_000)),
        ("idle since 9.5 s", holder(12, Phase::Standing, 9_500)),
        ("stalled since 8 s", holder(300, Phase::Reading, 8_000)),
        ("stalled since 3 s", holder(300, Phase::Reading, 3_000)),
        ("small, stalled", holder(60, Phase::Reading, 2_000)),
        ("kept, past its time", holder(12, kept(9_000), 4_000)),
        ("kept since 5 s", holder(12, kept(20_000), 5_000)),
        ("kept since 2 s", holder(12, kept(17_000), 2_000)),
        ("kept since 9.5 s", holder(12, kept(24_500), 9_500)),
        ("running", holder(900, Phase::Running, 1_000)),
        ("large, arriving", holder(800, Phase::Reading, 9_900)),
        ("small, arriving", holder(90, Phase::Reading, 9_900)),
    ];
    let mut order = Vec::new();
    loop {
        let candidates = holders.iter().map(|(name, holder)| (*name, holder));
        let Some(name) = choose(candidates, 120 * KB, now) else {
            break;
        };
        holders.retain(|(other, _)| *other != name);
        order.push(name);
    }
    let kept: Vec<_> = holders.iter().map(|(name, _)| *name).collect();
    expect![[r#"
        goes: stalled since 3 s, stalled since 8 s, small, stalled, idle since 1 s, kept, past its time, large, arriving, kept since 2 s, kept since 5 s
        stays: idle since 9.5 s, kept since 9.5 s, running, small, arriving"#]]
    .assert_eq(&format!(
        "goes: {}\nstays: {}",
        order.join(", "),
        kept.join(", ")
    ));
}

/// Replays a crowd of bodies that stop short, and ordinary bodies that come afterwards.
#[tokio::test]
async fn a_crowd_that_stands_still_makes_room_for_ordinary_bodies() {
    let clock = Clock::new();
    let account = Account::with_limit(4_000 * KB);
    // At once, as each waits for a while before it is refused.
    let arrivals = [(); 40].map(|()| {
        let holding = account.holding(clock.now());
        tokio::spawn(async move {
            let opened = holding.open(clock).await;
            let read = opened.and(holding.read(200 * KB, clock).await);
            read.is_ok().then_some(holding)
        })
    });
    let mut crowd = Vec::new();
    let mut refused = 0;
    for arrival in arrivals {
        match arrival.await.expect("a task") {
            Some(holding) => crowd.push(holding),
            None => refused += 1,
        }
    }
    let mut lines = vec![format!(
        "crowd: {} stand, {refused} refused, {} bytes",
        crowd.len(),
        account.held().0
    )];
    std::thread::sleep(Duration::from_millis(1_050));
    let tasks: Vec<_> = crowd
        .into_iter()
        .map(|holding| tokio::spawn(async move { holding.given_up().await }))
        .collect();
    tokio::task::yield_now().await;
    let mut served = Vec::new();
    for _ in 0..20 {
        let holding = account.holding(clock.now());
        let opened = holding.open(clock).await;
        let read = opened.and(holding.read(72 * KB, clock).await);
        served.extend(read.is_ok().then_some(holding));
    }
    lines.push(format!(
        "ordinary bodies: {} of 20 read, {} of the crowd given up",
        served.len(),
        account.given_up()
    ));
    drop(tasks);
    expect![[r#"
        crowd: 12 stand, 28 refused, 3072000 bytes
        ordinary bodies: 20 of 20 read, 10 of the crowd given up"#]]
    .assert_eq(&lines.join("\n"));
}
