//! The bounded table of chats and their last engines.

use ebonyspur::{placement::ChatDirectory, ChatId};
use expect_test::expect;

use crate::support::engine;

fn chat(number: usize) -> ChatId {
    ChatId::new(&format!("chat-{number}")).unwrap()
}

#[test]
fn the_last_two_engines_of_a_chat_are_remembered() {
    let mut directory = ChatDirectory::with_capacity(64);
    for number in [1, 1, 2, 3] {
        directory.record(&chat(1), &engine(number));
    }
    expect!["engine-3@1,engine-2@1"].assert_eq(&directory.get(&chat(1)).to_string());
    assert!(directory.get(&chat(2)).is_empty());
}

#[test]
fn the_table_is_bounded_and_evicts_the_oldest_chats() {
    let mut directory = ChatDirectory::with_capacity(13_000_000 / 380);
    let bytes = directory.bytes();
    for number in 0..200_000 {
        directory.record(&chat(number), &engine(number % 600));
    }
    assert_eq!(directory.bytes(), bytes);
    assert!(bytes < 2 << 20, "{bytes} bytes");
    let known = |from: usize| (from..from + 1_000).filter(|n| !directory.get(&chat(*n)).is_empty());
    assert!(known(199_000).count() > 950);
    assert!(known(0).count() < 50);
}
