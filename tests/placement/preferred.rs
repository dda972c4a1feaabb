//! The order in which engines are tried.

use ebonyspur::{
    membership::Engine,
    placement::{preferred, Hint, Preference, Spill},
};
use expect_test::expect;

use crate::support::{engine, engines, names};

fn ranked(hint: &str, count: usize, spill: Spill) -> String {
    with_busy("none", hint, count, spill)
}

fn with_busy(busy: &str, hint: &str, count: usize, spill: Spill) -> String {
    let load = |engine: &Engine| (engine.name.as_str() == busy).then_some(9);
    let pref = Preference {
        ranks: 4,
        spill,
        load: &load,
    };
    let hint: Hint = hint.parse().unwrap();
    names(&preferred("chat-1", &hint, &engines(count), &pref))
}

#[test]
fn hinted_engines_come_first_and_a_joining_engine_moves_no_warm_chat() {
    let hint = "engine-2@1,engine-5@1,engine-7@0";
    expect!["engine-2 engine-5 engine-4 engine-0 engine-1 engine-3"].assert_eq(&ranked(
        hint,
        6,
        Spill::NextRank,
    ));
    assert!(ranked(hint, 40, Spill::NextRank).starts_with("engine-2 engine-5 "));
}

#[test]
fn a_busy_engine_goes_behind_those_of_unknown_load() {
    let by_rank = ranked("", 4, Spill::NextRank);
    let (first, others) = by_rank.split_once(' ').unwrap();
    let by_load = with_busy(first, "", 4, Spill::LeastLoaded);
    assert_eq!(by_load, format!("{others} {first}"));
    assert_eq!(with_busy(first, "", 4, Spill::RankThenLoad), by_rank);
}

#[test]
fn an_engine_that_goes_moves_only_its_own_chats() {
    let first = |chat: usize, skip: usize| {
        let pref = Preference {
            ranks: 1,
            spill: Spill::NextRank,
            load: &|_| None,
        };
        let gone = engine(skip).name;
        let all = engines(12);
        let left = all.iter().filter(|engine| engine.name != gone);
        names(&preferred(
            &format!("chat-{chat}"),
            &Hint::default(),
            left,
            &pref,
        ))
    };
    let moved = (0..1_000).filter(|chat| first(*chat, 99) != first(*chat, 4));
    let were_on_it = (0..1_000).filter(|chat| first(*chat, 99) == "engine-4");
    assert_eq!(moved.collect::<Vec<_>>(), were_on_it.collect::<Vec<_>>());
}
