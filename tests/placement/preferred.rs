//! The order in which engines are tried for a chat.

use ebonyspur::placement::{preferred_engines, Hint};
use expect_test::expect;

use crate::support::{engine, engines, names};

fn ranked(hint: &str, count: usize) -> String {
    let hint: Hint = hint.parse().unwrap();
    names(&preferred_engines("chat-1", &hint, &engines(count), 4))
}

#[test]
fn hinted_engines_come_first_and_a_joining_engine_moves_no_warm_chat() {
    let hint = "engine-2@1,engine-5@1,engine-7@0";
    expect!["engine-2 engine-5 engine-4 engine-0 engine-1 engine-3"].assert_eq(&ranked(hint, 6));
    assert!(ranked(hint, 40).starts_with("engine-2 engine-5 "));
}

#[test]
fn an_engine_that_leaves_moves_only_its_own_chats() {
    let first = |chat: usize, skip: usize| {
        let skipped = engine(skip).name;
        let all = engines(12);
        let remaining = all.iter().filter(|engine| engine.name != skipped);
        let chat = format!("chat-{chat}");
        names(&preferred_engines(&chat, &Hint::default(), remaining, 1))
    };
    let moved = (0..1_000).filter(|chat| first(*chat, 99) != first(*chat, 4));
    let placed_on_it = (0..1_000).filter(|chat| first(*chat, 99) == "engine-4");
    assert_eq!(moved.collect::<Vec<_>>(), placed_on_it.collect::<Vec<_>>());
}
