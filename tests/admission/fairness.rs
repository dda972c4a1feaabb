//! Shares of the teams and classes in the fair queue while some teams surge.

use ebonyspur::{
    admission::{Class, FairQueue, QueueEntry, MAX_WAITING, MAX_WAITING_PER_TEAM},
    Instant,
};
use expect_test::expect;

use crate::model::{arrivals, team, Model, Policy};

const DEADLINE: Instant = Instant::from_millis(1_000);

#[test]
fn surge_of_two_teams_leaves_the_others_their_share() {
    let names = ["a", "b", "c", "d"];
    let shares: Vec<_> = names.iter().map(|name| (*name, 1)).collect();
    let mut model = Model::new(Policy::Fair(FairQueue::new()), &shares);
    while model.now.as_micros() < 30_000_000 {
        let surge = (10..20).contains(&(model.now.as_micros() / 1_000_000));
        let rate = |name: &str| if surge && name < "c" { 90 } else { 9 };
        let now = model.now;
        let requests = names.iter().flat_map(|name| {
            let count = arrivals(rate(name), now);
            (0..count).map(|_| (team(name), Class::Interactive))
        });
        let requests: Vec<_> = requests.collect();
        model.step(requests.into_iter());
    }
    let rates = names.map(|name| {
        let of = |seconds| model.rate(seconds, |team, _| team.as_str() == name);
        format!(
            "{name}: {:.1}/s in the surge, {:.1}/s after",
            of(12..20),
            of(22..30)
        )
    });
    expect![[r#"
        a: 10.9/s in the surge, 11.1/s after
        b: 10.9/s in the surge, 11.1/s after
        c: 8.9/s in the surge, 9.0/s after
        d: 8.9/s in the surge, 8.9/s after"#]]
    .assert_eq(&rates.join("\n"));
}

#[test]
fn turns_are_proportional_to_shares() {
    let mut queue = FairQueue::new();
    let mut owners = std::collections::HashMap::new();
    for _ in 0..40 {
        for (name, share) in [("small", 1), ("large", 3)] {
            let team = team(name);
            let class = Class::Interactive;
            let entry = QueueEntry {
                team: &team,
                share,
                class,
                deadline: DEADLINE,
            };
            owners.insert(queue.enqueue(entry).expect("room").id, name);
        }
    }
    let turns = (0..40).map(|_| {
        let id = queue.grant_turn(Instant::default()).expect("a turn");
        queue.remove_placed(id);
        owners[&id]
    });
    assert_eq!(turns.filter(|name| *name == "large").count(), 30);
}

#[test]
fn idle_team_accumulates_neither_turns_nor_debt() {
    let mut queue = FairQueue::new();
    let (busy, idle) = (team("busy"), team("idle"));
    let entry = |team| QueueEntry {
        team,
        share: 1,
        class: Class::Interactive,
        deadline: DEADLINE,
    };
    let mut order = String::new();
    let mut owners = std::collections::HashMap::new();
    for _ in 0..20 {
        owners.insert(queue.enqueue(entry(&busy)).expect("room").id, 'b');
    }
    for turn in 0..14 {
        if turn == 6 {
            for _ in 0..6 {
                owners.insert(queue.enqueue(entry(&idle)).expect("room").id, 'i');
            }
        }
        let id = queue.grant_turn(Instant::default()).expect("a turn");
        order.push(owners[&id]);
        queue.remove_placed(id);
    }
    expect!["bbbbbbibibibib"].assert_eq(&order);
}

#[test]
fn drafts_get_one_turn_in_five() {
    let mut queue = FairQueue::new();
    let team = team("kerb");
    let mut classes = std::collections::HashMap::new();
    for (class, mark) in [(Class::Draft, 'd'), (Class::Interactive, 'i')] {
        for _ in 0..12 {
            let entry = QueueEntry {
                team: &team,
                share: 1,
                class,
                deadline: DEADLINE,
            };
            classes.insert(queue.enqueue(entry).expect("room").id, mark);
        }
    }
    let mut order = String::new();
    while let Some(id) = queue.grant_turn(Instant::default()) {
        order.push(classes[&id]);
        queue.remove_placed(id);
    }
    expect!["iiiidiiiidiiiidddddddddd"].assert_eq(&order);
}

#[test]
fn full_queue_evicts_from_the_longest_team_queue() {
    let mut queue = FairQueue::new();
    let names = [team("a"), team("b"), team("c")];
    let entry = |team| QueueEntry {
        team,
        share: 1,
        class: Class::Draft,
        deadline: DEADLINE,
    };
    let refused = |queue: &mut FairQueue, team| queue.enqueue(entry(team)).is_err();
    let mut fill = |team| {
        (0..MAX_WAITING)
            .filter(|_| refused(&mut queue, team))
            .count()
    };
    assert_eq!(
        [fill(&names[0]), fill(&names[1])],
        [MAX_WAITING - MAX_WAITING_PER_TEAM; 2]
    );
    assert_eq!(queue.len(), MAX_WAITING);
    let enqueued = queue.enqueue(entry(&names[2])).expect("room is made");
    assert!(enqueued.evicted.is_some());
    assert_eq!(queue.len(), MAX_WAITING);
}

#[test]
fn expired_request_never_gets_the_turn() {
    let mut queue = FairQueue::new();
    let team = team("kerb");
    let entry = |millis| QueueEntry {
        team: &team,
        share: 1,
        class: Class::Interactive,
        deadline: Instant::from_millis(millis),
    };
    let first = queue.enqueue(entry(10)).expect("room").id;
    let second = queue.enqueue(entry(30)).expect("room").id;
    assert_eq!(queue.grant_turn(Instant::from_millis(20)), Some(second));
    assert!(!queue.contains(first));
    assert_eq!(queue.grant_turn(Instant::from_millis(20)), None);
    queue.yield_turn(second);
    assert_eq!(queue.grant_turn(Instant::from_millis(40)), None);
    assert!(queue.is_empty());
}
