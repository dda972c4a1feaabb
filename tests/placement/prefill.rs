//! Prompts that engines are reading, as routers tell each other.

use std::{sync::Arc, time::Duration};

use ebonyspur::{
    catalog::ServerKey,
    placement::{Prefills, SessionKey, MIN_ANNOUNCED_TOKENS},
    Instant,
};
use expect_test::expect;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn a_read_is_known_to_all_until_its_end_and_never_for_long() {
    let (here, there) = (Arc::new(Prefills::default()), Prefills::default());
    let (first, second) = (SessionKey::new(1), SessionKey::new(2));
    let engine = ServerKey(7);
    let read = here.begin((first, engine), 9_000, at(0));
    assert!(read.is_some());
    assert!(
        here.begin((first, engine), 9_000, at(1)).is_none(),
        "told already"
    );
    let short = here.begin((second, engine), MIN_ANNOUNCED_TOKENS - 1, at(1));
    assert!(short.is_none(), "too short to be told");
    let lost = here.begin((second, ServerKey(8)), 2_000, at(1));
    there.receive(&here.next_updates(), at(2));
    let mut lines = vec![format!("begun {:?}", there.pending_tokens(at(2)))];
    drop(read);
    there.receive(&here.next_updates(), at(3));
    lines.push(format!("ended {:?}", there.pending_tokens(at(3))));
    // The end of the other read is never told.
    std::mem::forget(lost);
    lines.push(format!("later {:?}", there.pending_tokens(at(1_600))));
    expect![[r#"
        begun {ServerKey(7): 9000, ServerKey(8): 2000}
        ended {ServerKey(8): 2000}
        later {}"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn news_of_a_read_goes_out_twice_and_its_end_replaces_its_beginning() {
    let here = Arc::new(Prefills::default());
    let read = here.begin((SessionKey::new(1), ServerKey(7)), 9_000, at(0));
    let mut told = vec![here.next_updates()];
    drop(read);
    told.extend([
        here.next_updates(),
        here.next_updates(),
        here.next_updates(),
    ]);
    let tokens: Vec<Vec<u32>> = told
        .iter()
        .map(|news| news.iter().map(|news| news.tokens).collect())
        .collect();
    expect!["[[9000], [0], [0], []]"].assert_eq(&format!("{tokens:?}"));
}

/// Replays the first two seconds of a fleet whose engines hold no prompt: requests of 71
/// sessions at 19 routers, each of which hears of a read after `lag_ms`. Returns the tokens
/// that engines read for the first time and again.
fn start_of_a_fleet(lag_ms: Option<u64>) -> (u64, u64) {
    const TOKENS: u32 = 10_000;
    /// Tokens that an engine reads in a millisecond.
    const SPEED: u64 = 85;
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let routers: Vec<_> = (0..19).map(|_| Arc::new(Prefills::default())).collect();
    let mut news: Vec<(u64, usize, Vec<_>)> = Vec::new();
    let mut held = std::collections::BTreeSet::new();
    let mut reads: Vec<(u64, SessionKey, Option<_>)> = Vec::new();
    let (mut first, mut again) = (0, 0);
    let mut waiting: Vec<(usize, u64)> = Vec::new();
    for ms in 0..2_000 {
        let (ended, rest) = reads.drain(..).partition(|(end, ..)| *end <= ms);
        reads = rest;
        for (_, session, read) in ended {
            held.insert(session);
            drop(read);
        }
        for (router, prefills) in routers.iter().enumerate() {
            let told = prefills.next_updates();
            if let (Some(lag), false) = (lag_ms, told.is_empty()) {
                news.push((ms + lag, router, told));
            }
        }
        news.retain(|(due, from, told)| {
            for (number, router) in routers.iter().enumerate() {
                if *due <= ms && number != *from {
                    router.receive(told, at(ms));
                }
            }
            *due > ms
        });
        let mut due = std::mem::take(&mut waiting);
        if ms % 20 == 0 {
            due.push((rng.random_range(0..19), rng.random_range(0..71)));
        }
        for (router, session) in due {
            // Each session has its own engine, so that only copies of a read add up.
            let (key, engine) = (SessionKey::new(session), ServerKey(session as u32));
            if held.contains(&key) {
                continue;
            }
            let now = at(ms);
            if lag_ms.is_some() && routers[router].is_underway((key, engine), now) {
                waiting.push((router, session));
                continue;
            }
            let reading = reads.iter().any(|(_, other, _)| *other == key);
            *(if reading { &mut again } else { &mut first }) += u64::from(TOKENS);
            let read = routers[router].begin((key, engine), TOKENS, now);
            // Three other prompts are read before this one.
            reads.push((ms + 4 * u64::from(TOKENS) / SPEED, key, read));
        }
    }
    (first, again)
}

#[test]
fn at_the_start_of_a_fleet_prompts_are_read_once() {
    let lines = [None, Some(300), Some(5)].map(|lag| {
        let (first, again) = start_of_a_fleet(lag);
        format!("news after {lag:?} ms: {first} tokens read first, {again} again")
    });
    expect![[r#"
        news after None ms: 580000 tokens read first, 110000 again
        news after Some(300) ms: 580000 tokens read first, 80000 again
        news after Some(5) ms: 580000 tokens read first, 0 again"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn who_waits_is_woken_by_the_end_of_a_read() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(async {
        let here = Arc::new(Prefills::default());
        let read = here.begin((SessionKey::new(1), ServerKey(7)), 9_000, at(0));
        let ended = here.ended();
        drop(read);
        let woken = tokio::time::timeout(Duration::from_secs(20), ended).await;
        assert!(woken.is_ok());
    });
}
