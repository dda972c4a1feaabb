//! Prefills in progress, as announced between routers.

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
fn a_prefill_is_known_to_other_routers_until_it_ends_or_expires() {
    let (here, there) = (Arc::new(Prefills::default()), Prefills::default());
    let (first, second) = (SessionKey::new(1), SessionKey::new(2));
    let engine = ServerKey(7);
    let prefill = here.begin((first, engine), 9_000, at(0));
    assert!(prefill.is_some());
    assert!(
        here.begin((first, engine), 9_000, at(1)).is_none(),
        "already in progress"
    );
    let short = here.begin((second, engine), MIN_ANNOUNCED_TOKENS - 1, at(1));
    assert!(short.is_none(), "too short to be announced");
    let lost = here.begin((second, ServerKey(8)), 2_000, at(1));
    there.receive(&here.next_updates(), at(2));
    let mut lines = vec![format!("begun {:?}", there.pending_tokens(at(2)))];
    drop(prefill);
    there.receive(&here.next_updates(), at(3));
    lines.push(format!("ended {:?}", there.pending_tokens(at(3))));
    // The end of the other prefill is never announced, as if its datagrams were lost.
    std::mem::forget(lost);
    lines.push(format!("later {:?}", there.pending_tokens(at(1_600))));
    expect![[r#"
        begun {ServerKey(7): 9000, ServerKey(8): 2000}
        ended {ServerKey(8): 2000}
        later {}"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn the_tokens_of_one_engine_add_up_without_overflow() {
    let here = Arc::new(Prefills::default());
    let engine = ServerKey(7);
    let prefills = [1, 2].map(|session| {
        let placement = (SessionKey::new(session), engine);
        here.begin(placement, u32::MAX, at(0)).expect("begun")
    });
    assert_eq!(here.pending_tokens(at(1))[&engine], u32::MAX);
    drop(prefills);
}

#[test]
fn an_update_is_announced_twice_and_the_end_of_a_prefill_replaces_its_start() {
    let here = Arc::new(Prefills::default());
    let prefill = here.begin((SessionKey::new(1), ServerKey(7)), 9_000, at(0));
    let mut announced = vec![here.next_updates()];
    drop(prefill);
    announced.extend([
        here.next_updates(),
        here.next_updates(),
        here.next_updates(),
    ]);
    let tokens: Vec<Vec<u32>> = announced
        .iter()
        .map(|updates| updates.iter().map(|update| update.tokens).collect())
        .collect();
    expect!["[[9000], [0], [0], []]"].assert_eq(&format!("{tokens:?}"));
}

/// Simulates the first two seconds of a fleet whose engines hold no prompt, with requests of 71
/// sessions at 19 routers.
///
/// Announcements arrive at the other routers after `lag_ms`, or never for `None`. Returns the
/// number of tokens that engines prefill for the first time, and the number prefilled again
/// while the first prefill of the same prompt is in progress.
fn simulate_fleet_start(lag_ms: Option<u64>) -> (u64, u64) {
    const TOKENS: u32 = 10_000;
    /// Prefill rate of an engine.
    const TOKENS_PER_MS: u64 = 85;
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let routers: Vec<_> = (0..19).map(|_| Arc::new(Prefills::default())).collect();
    let mut in_transit: Vec<(u64, usize, Vec<_>)> = Vec::new();
    let mut cached_sessions = std::collections::BTreeSet::new();
    let mut prefills_in_progress: Vec<(u64, SessionKey, Option<_>)> = Vec::new();
    let (mut first, mut again) = (0, 0);
    let mut waiting: Vec<(usize, u64)> = Vec::new();
    for ms in 0..2_000 {
        let (ended, rest) = prefills_in_progress
            .drain(..)
            .partition(|(end, ..)| *end <= ms);
        prefills_in_progress = rest;
        for (_, session, prefill) in ended {
            cached_sessions.insert(session);
            drop(prefill);
        }
        for (router, prefills) in routers.iter().enumerate() {
            let updates = prefills.next_updates();
            if let (Some(lag), false) = (lag_ms, updates.is_empty()) {
                in_transit.push((ms + lag, router, updates));
            }
        }
        in_transit.retain(|(due, from, updates)| {
            for (number, router) in routers.iter().enumerate() {
                if *due <= ms && number != *from {
                    router.receive(updates, at(ms));
                }
            }
            *due > ms
        });
        let mut due = std::mem::take(&mut waiting);
        if ms % 20 == 0 {
            due.push((rng.random_range(0..19), rng.random_range(0..71)));
        }
        for (router, session) in due {
            // Each session has its own engine, so that only repeated prefills are counted again.
            let (key, engine) = (SessionKey::new(session), ServerKey(session as u32));
            if cached_sessions.contains(&key) {
                continue;
            }
            let now = at(ms);
            if lag_ms.is_some() && routers[router].is_in_progress((key, engine), now) {
                waiting.push((router, session));
                continue;
            }
            let in_progress = prefills_in_progress
                .iter()
                .any(|(_, other, _)| *other == key);
            *(if in_progress { &mut again } else { &mut first }) += u64::from(TOKENS);
            let prefill = routers[router].begin((key, engine), TOKENS, now);
            // Three other prompts are processed before this one.
            prefills_in_progress.push((ms + 4 * u64::from(TOKENS) / TOKENS_PER_MS, key, prefill));
        }
    }
    (first, again)
}

#[test]
fn prompts_are_prefilled_once_at_the_start_of_a_fleet_if_announcements_are_fast() {
    let lines = [None, Some(300), Some(5)].map(|lag| {
        let (first, again) = simulate_fleet_start(lag);
        format!("announcement lag {lag:?} ms: {first} tokens prefilled first, {again} again")
    });
    expect![[r#"
        announcement lag None ms: 580000 tokens prefilled first, 110000 again
        announcement lag Some(300) ms: 580000 tokens prefilled first, 80000 again
        announcement lag Some(5) ms: 580000 tokens prefilled first, 0 again"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_waiting_task_is_woken_by_the_end_of_a_prefill() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(async {
        let here = Arc::new(Prefills::default());
        let prefill = here.begin((SessionKey::new(1), ServerKey(7)), 9_000, at(0));
        let ended = here.ended();
        drop(prefill);
        let woken = tokio::time::timeout(Duration::from_secs(20), ended).await;
        assert!(woken.is_ok());
    });
}
