//! Replay: the operator evacuates two of three domains of a fleet, one after the other and both at
//! once, while the follower, routers and the store fail one at a time.

use ebonyspur::evacuation::EvacuationsRead;
use expect_test::expect;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{changes, list, position, Router};

/// Routers of the fleet; the first of those that run follows the store.
const ROUTERS: usize = 12;

/// Longest time for a report from one router to another, in milliseconds.
const MAX_REPORT_MILLIS: u64 = 400;

/// A store whose operator has written a sequence of changes.
#[derive(Default)]
struct Operator {
    offset: u64,
    in_force: Vec<&'static str>,
}

impl Operator {
    fn write(&mut self, change: &'static str) -> EvacuationsRead {
        self.offset += 1;
        let (sign, name) = change.split_at(1);
        self.in_force.retain(|known| *known != name);
        if sign == "+" {
            self.in_force.push(name);
        }
        changes(change)
    }

    fn list(&self) -> EvacuationsRead {
        let names: Vec<_> = self
            .in_force
            .iter()
            .map(|name| format!("+{name}"))
            .collect();
        list(&names.join(" "))
    }
}

/// Passes what `from` knows to the routers after it, each within [`MAX_REPORT_MILLIS`]; every other
/// one only if `is_whole`. Returns the time at which the last one knew it.
fn spread(
    routers: &mut [Router],
    from: usize,
    now: u64,
    is_whole: bool,
    rng: &mut Pcg64Mcg,
) -> u64 {
    let (before, after) = routers.split_at_mut(from + 1);
    let mut last = now;
    for (number, router) in after.iter_mut().enumerate() {
        if is_whole || number % 2 == 0 {
            let arrives = now + rng.random_range(1..=MAX_REPORT_MILLIS);
            router.receive(arrives, &before[from]);
            last = last.max(arrives);
        }
    }
    last
}

/// Returns how many routers know each set of evacuated domains.
fn known(routers: &[Router]) -> String {
    let mut sets = std::collections::BTreeMap::new();
    for router in routers {
        *sets.entry(router.registry.in_force()).or_insert(0) += 1;
    }
    format!("{sets:?}")
}

#[test]
fn every_router_knows_each_evacuation_while_one_part_at_a_time_fails() {
    let mut rng = Pcg64Mcg::seed_from_u64(4711);
    let mut routers: Vec<_> = (0..ROUTERS).map(|_| Router::default()).collect();
    let mut operator = Operator::default();
    let mut lines = Vec::new();
    routers[0].read(0, &operator.list(), position(1, 0));
    spread(&mut routers, 0, 0, true, &mut rng);
    let mut now = 1_000;
    for (what, written) in [("begun", "+d1"), ("both out", "+d2"), ("one back", "-d1")] {
        let read = operator.write(written);
        routers[0].read(now, &read, position(1, operator.offset));
        let last = spread(&mut routers, 0, now, true, &mut rng);
        lines.push(format!(
            "{what}: {} after {} ms",
            known(&routers),
            last - now
        ));
        now += 2_000;
    }
    // The follower dies when half of the routers have heard of the change.
    let read = operator.write("+d1");
    routers[0].read(now, &read, position(1, operator.offset));
    spread(&mut routers, 0, now, false, &mut rng);
    lines.push(format!("half spread: {}", known(&routers[1..])));
    routers[1].read(now + 1_850, &operator.list(), position(1, operator.offset));
    spread(&mut routers, 1, now + 1_850, true, &mut rng);
    lines.push(format!("next follower: {}", known(&routers[1..])));
    // The store comes back from a copy from before the last change, and a router restarts.
    now += 5_000;
    let copy = list("+d2");
    routers[1].read(now, &copy, position(2, 3));
    spread(&mut routers, 1, now, true, &mut rng);
    routers[ROUTERS - 1] = Router::default();
    spread(&mut routers, ROUTERS - 2, now + 500, true, &mut rng);
    lines.push(format!("restored: {}", known(&routers[1..])));
    routers[1].read(now + 3_000, &changes("+d1"), position(2, 4));
    spread(&mut routers, 1, now + 3_000, true, &mut rng);
    for router in &mut routers[1..] {
        router.settle(now + 30_000);
    }
    lines.push(format!("written again: {}", known(&routers[1..])));
    expect![[r#"
        begun: {{d1}: 12} after 348 ms
        both out: {{d1, d2}: 12} after 400 ms
        one back: {{d2}: 12} after 388 ms
        half spread: {{d1, d2}: 6, {d2}: 5}
        next follower: {{d1, d2}: 11}
        restored: {{d1, d2}: 11}
        written again: {{d1, d2}: 11}"#]]
    .assert_eq(&lines.join("\n"));
}
