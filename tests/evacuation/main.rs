//! Which failure domains are evacuated, from reads of the store and reports of other routers.

mod domains_under_load;

use ebonyspur::{
    evacuation::{EvacuationChange, EvacuationDelta, EvacuationRegistry, EvacuationsRead},
    feed::{Position, StoreEra},
    DomainName, Instant, Offset,
};
use expect_test::expect;

pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a name")
}

pub fn position(era: u64, offset: u64) -> Position {
    Position::new(StoreEra(era), Offset(offset))
}

/// Returns a read of the changes `+d1 -d2 ?d3`: begun, ended and unreadable.
pub fn changes(text: &str) -> EvacuationsRead {
    let change = |word: &str| {
        let (sign, name) = word.split_at(1);
        match sign {
            "+" => EvacuationChange::Begun(domain(name)),
            "-" => EvacuationChange::Ended(domain(name)),
            _ => EvacuationChange::Unreadable(domain(name)),
        }
    };
    EvacuationsRead {
        changes: text.split_whitespace().map(change).collect(),
        is_complete: false,
    }
}

/// Returns a read of the complete list of evacuations.
pub fn list(text: &str) -> EvacuationsRead {
    EvacuationsRead {
        is_complete: true,
        ..changes(text)
    }
}

fn names(names: impl IntoIterator<Item = DomainName>) -> String {
    let names: Vec<_> = names.into_iter().map(|name| name.to_string()).collect();
    names.join(" ")
}

/// Describes the evacuated domains after a change.
pub fn describe(registry: &EvacuationRegistry, delta: EvacuationDelta) -> String {
    let EvacuationDelta {
        begun,
        ended,
        doubted,
        confirmed,
    } = delta;
    let mut line = format!("[{}]", names(registry.in_force()));
    for (what, domains) in [
        ("begun", begun),
        ("ended", ended),
        ("doubted", doubted),
        ("confirmed", confirmed),
    ] {
        if !domains.is_empty() {
            line += &format!(" {what} {}", names(domains));
        }
    }
    line
}

/// A router's registry and what happened to it.
#[derive(Default)]
pub struct Router {
    pub registry: EvacuationRegistry,
    pub lines: Vec<String>,
}

impl Router {
    /// Applies a read that ended at `millis` and included all changes before `next`.
    pub fn read(&mut self, millis: u64, read: &EvacuationsRead, next: Position) {
        let delta = self.registry.apply(read, next, at(millis));
        self.log(millis, delta);
    }

    /// Receives at `millis` the report of `from`.
    pub fn receive(&mut self, millis: u64, from: &Router) {
        let report = from.registry.report(at(millis)).expect("a report");
        let delta = self.registry.receive(&report, at(millis));
        self.log(millis, delta);
    }

    pub fn settle(&mut self, millis: u64) {
        let delta = self.registry.settle(at(millis));
        self.log(millis, delta);
    }

    fn log(&mut self, millis: u64, delta: EvacuationDelta) {
        let line = describe(&self.registry, delta);
        self.lines.push(format!("{millis}: {line}"));
    }

    fn text(&self) -> String {
        self.lines.join("\n")
    }
}

#[test]
fn evacuations_begin_and_end_in_the_order_in_which_they_are_written() {
    let mut router = Router::default();
    router.read(100, &list(""), position(1, 4));
    router.read(200, &changes("+d1"), position(1, 5));
    router.read(300, &changes("+d2 -d1"), position(1, 7));
    router.read(400, &changes("+d1 -d1 +d1 -d9"), position(1, 11));
    // A read that began before.
    router.read(450, &changes("-d1"), position(1, 8));
    router.read(500, &list("+d2"), position(1, 12));
    router.read(600, &changes("-d2"), position(1, 13));
    expect![[r#"
        100: []
        200: [d1] begun d1
        300: [d2] begun d2 ended d1
        400: [d1 d2] begun d1
        450: [d1 d2]
        500: [d2] ended d1
        600: [] ended d2"#]]
    .assert_eq(&router.text());
}

#[test]
fn a_record_that_cannot_be_read_changes_nothing() {
    let mut router = Router::default();
    router.read(100, &list("+d1 ?d2"), position(1, 4));
    router.read(200, &changes("?d1 ?d3"), position(1, 6));
    router.read(300, &list("?d1 ?d2 +d4"), position(1, 8));
    expect![[r#"
        100: [d1] begun d1
        200: [d1]
        300: [d1 d4] begun d4"#]]
    .assert_eq(&router.text());
}

#[test]
fn a_restored_store_that_lacks_an_evacuation_takes_it_back_only_after_a_while() {
    let mut router = Router::default();
    router.read(100, &list("+d1 +d2 +d3"), position(1, 9));
    router.read(1_000, &list("+d1"), position(2, 5));
    // The operator writes the second again and takes the third back.
    router.read(3_000, &changes("+d2 -d3"), position(2, 7));
    router.read(4_000, &list("+d1 +d2"), position(2, 7));
    router.read(12_000, &changes(""), position(2, 7));
    let mut forgotten = Router::default();
    forgotten.read(100, &list("+d1"), position(1, 9));
    forgotten.read(1_000, &list(""), position(2, 5));
    forgotten.read(2_000, &list(""), position(2, 5));
    forgotten.read(10_900, &changes(""), position(2, 5));
    forgotten.settle(11_000);
    expect![[r#"
        100: [d1 d2 d3] begun d1 d2 d3
        1000: [d1 d2 d3] doubted d2 d3
        3000: [d1 d2] ended d3 confirmed d2
        4000: [d1 d2]
        12000: [d1 d2]
        --
        100: [d1] begun d1
        1000: [d1] doubted d1
        2000: [d1]
        10900: [d1]
        11000: [] ended d1"#]]
    .assert_eq(&format!("{}\n--\n{}", router.text(), forgotten.text()));
}

#[test]
fn a_router_takes_the_later_of_two_reports() {
    let (mut follower, mut cut_off) = (Router::default(), Router::default());
    let mut subscriber = Router::default();
    cut_off.read(100, &list("+d1"), position(1, 5));
    follower.read(200, &list("+d2"), position(1, 7));
    subscriber.receive(300, &cut_off);
    subscriber.receive(400, &follower);
    subscriber.receive(500, &cut_off);
    // A router that starts while none reaches the store.
    let mut started = Router::default();
    started.receive(600, &subscriber);
    expect![[r#"
        300: [d1] begun d1
        400: [d2] begun d2 ended d1
        500: [d2]
        --
        600: [d2] begun d2"#]]
    .assert_eq(&format!("{}\n--\n{}", subscriber.text(), started.text()));
}

#[test]
fn what_a_restored_store_forgot_reaches_routers_that_start_until_the_doubt_ends() {
    let (mut running, mut started) = (Router::default(), Router::default());
    running.read(100, &list("+d1"), position(1, 9));
    running.read(1_000, &list(""), position(2, 5));
    started.read(2_000, &list(""), position(2, 5));
    started.receive(3_000, &running);
    // It does not take the evacuation from a router that has not heard of it.
    let mut other = Router::default();
    other.read(3_000, &list(""), position(2, 5));
    started.receive(3_500, &other);
    started.read(10_500, &changes(""), position(2, 5));
    started.settle(11_000);
    running.settle(11_000);
    // A router that is behind with the time does not bring it back.
    let mut late = Router::default();
    late.read(4_000, &list("+d1"), position(1, 9));
    late.read(4_500, &list(""), position(2, 5));
    started.receive(11_500, &late);
    expect![[r#"
        2000: []
        3000: [d1] begun d1
        3500: [d1]
        10500: [d1]
        11000: [] ended d1
        11500: []"#]]
    .assert_eq(&started.text());
}

#[test]
fn the_end_of_an_evacuation_is_known_for_a_minute_also_at_routers_that_start() {
    let mut router = Router::default();
    router.read(1_000, &list("+d1 +d2"), position(1, 5));
    router.read(5_000, &changes("-d1"), position(1, 6));
    let mut started = Router::default();
    started.receive(9_000, &router);
    let ended = |router: &Router| {
        let times = ["d1", "d2", "d3"].map(|name| {
            let ended_at = router.registry.ended_at(&domain(name));
            ended_at.map(|at| at.as_micros() / 1_000)
        });
        format!("{times:?}")
    };
    let mut lines = vec![ended(&router), ended(&started)];
    started.read(9_500, &changes("+d1 -d2"), position(1, 8));
    lines.push(ended(&started));
    router.settle(64_900);
    lines.push(ended(&router));
    router.settle(65_000);
    lines.push(ended(&router));
    expect![[r#"
        [Some(5000), None, None]
        [Some(5000), None, None]
        [None, Some(9500), None]
        [Some(5000), None, None]
        [None, None, None]"#]]
    .assert_eq(&lines.join("\n"));
}
