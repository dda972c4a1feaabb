//! The text that query commands and plans print.

use expect_test::expect;

use super::{command::run, support::Fleet};

/// Replaces the words that differ between runs, such as ids, addresses and times, by `~`.
fn normalized(text: &str) -> String {
    let words = text.split_inclusive([' ', '\n']);
    let normalize = |word: &str| {
        let trimmed = word.trim_end();
        let is_variable =
            trimmed.starts_with("plan-") || trimmed.contains("127.0.0.1") || trimmed.ends_with('Z');
        let is_variable = is_variable
            || (trimmed.parse::<f64>().is_ok() && trimmed.contains('.') && !trimmed.ends_with('.'));
        let separator = if word.ends_with('\n') { "\n" } else { " " };
        match (is_variable, trimmed.is_empty() && separator == " ") {
            (true, _) => format!("~{separator}"),
            (_, true) => String::new(),
            _ => format!("{trimmed}{separator}"),
        }
    };
    words.map(normalize).collect()
}

#[test]
fn objects_events_and_plans_are_printed_as_text() {
    let mut fleet = Fleet::start(2, 1);
    let mut text = String::new();
    let mut show = |fleet: &Fleet, args: &[&str]| {
        let shown = run(fleet, args);
        text += &format!("$ {}\n{}{}", args.join(" "), shown.out, shown.err);
    };
    show(&fleet, &["status"]);
    show(&fleet, &["plan", "drain", "engine-2", "--out", "d.plan"]);
    show(&fleet, &["confirm", "d.plan", "--wait"]);
    show(&fleet, &["plan", "show", "d.plan"]);
    show(&fleet, &["get", "engines"]);
    show(&fleet, &["get", "teams"]);
    show(&fleet, &["get", "pools", "--output", "json"]);
    show(&fleet, &["events"]);
    let text = normalized(&text);
    expect![[r#"
        $ status
        ROUTER APPLIED STATE
        router-1 1 live
        $ plan drain engine-2 --out d.plan
        ~ at offset 1

        Steps:
        1. engine/engine-2: take no new work; work in flight ends by itself

        Chats that lose their cached prompt prefix: about 0
        plus the paused chats cached by engine-2
        (requests in flight now: of a pool, in proportion to the engines it loses; of a moved team, those at this router times the number of routers. Chats that pause now and return later are not counted)

        Capacity:
        pool planners: engines 2 -> 1, 0 in flight, load bound per engine 1 -> 1, left: unknown, because the pool sets no number of slots

        Nothing has changed. Confirm with: ebonyspur confirm d.plan
        $ confirm d.plan --wait
        ~ was accepted at offset 1
        applied by 1 of 1 routers after ~ s
        $ plan show d.plan
        ~ at offset 1

        Steps:
        1. engine/engine-2: take no new work; work in flight ends by itself

        Chats that lose their cached prompt prefix: about 0
        plus the paused chats cached by engine-2
        (requests in flight now: of a pool, in proportion to the engines it loses; of a moved team, those at this router times the number of routers. Chats that pause now and return later are not counted)

        Capacity:
        pool planners: engines 2 -> 1, 0 in flight, load bound per engine 1 -> 1, left: unknown, because the pool sets no number of slots
        $ get engines
        NAME ADDRESS FAILURE_DOMAIN POOL ROLE STATE
        engine-1 ~ d2 planners mixed live
        engine-2 ~ d3 planners mixed drained
        service-1 ~ d2 trades mixed live
        $ get teams
        NAME SHARE
        kerb 1
        $ get pools --output json
        [{"load_factor":1.25,"name":"planners"},{"load_factor":1.25,"name":"trades"}]
        $ events
        ~ offset 0 accepted first by test: team/kerb pool/planners pool/trades service/planner service/trade
        ~ offset 1 accepted ~ by test: engine/engine-2 capacity/planners
    "#]].assert_eq(&text);
    fleet.add_router("");
    fleet.await_ready();
    let state = run(&fleet, &["state", "router-2"]).json();
    assert_eq!(state["router"], "router-2");
}
