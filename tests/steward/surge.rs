//! A surge must not lock out work that the engines have room for.

use ebonyspur::{
    membership::PoolLoad,
    steward::{cautious_factor, load_bound, with_waiting},
};
use expect_test::expect;

/// Requests in flight that each of the two engines can serve.
const SLOTS: usize = 16;
/// Time to serve a request, in milliseconds.
const SERVICE_MS: u64 = 100;
/// Longest wait of a request, in milliseconds.
const PATIENCE_MS: u64 = 5_000;
/// How late a load is heard, in milliseconds.
const HEARD_MS: usize = 1_000;
/// Length of the surge, in milliseconds.
const SURGE_MS: u64 = 20_000;

/// Two engines, one steward, and a line of requests in front of them.
#[derive(Default)]
struct Pool {
    /// Requests in flight at the end of each millisecond.
    history: Vec<u32>,
    ends: [Vec<u64>; 2],
    line: Vec<u64>,
    refused: u64,
    longest_wait_ms: u64,
    peak: usize,
}

impl Pool {
    fn tick(&mut self, now: u64) {
        for ends in &mut self.ends {
            ends.retain(|end| *end > now);
        }
        let before = self.line.len();
        self.line.retain(|since| now - since < PATIENCE_MS);
        self.refused += (before - self.line.len()) as u64;
        while !self.line.is_empty() && self.place(now) {
            let since = self.line.remove(0);
            self.longest_wait_ms = self.longest_wait_ms.max(now - since);
        }
        let in_flight: usize = self.ends.iter().map(Vec::len).sum();
        self.history.push(in_flight as u32);
    }

    fn place(&mut self, now: u64) -> bool {
        let heard = self.history.len().checked_sub(HEARD_MS);
        let in_flight = heard.map_or(0, |at| self.history[at]);
        let load = PoolLoad::new(in_flight, 2);
        let load = with_waiting(load, self.line.len() as u32);
        let bound = load_bound(load, cautious_factor(load, 1.25)) as usize;
        let idlest = self.ends.iter_mut().min_by_key(|ends| ends.len());
        let ends = idlest.expect("two engines");
        if ends.len() >= bound.min(SLOTS) {
            return false;
        }
        ends.push(now + SERVICE_MS);
        self.peak = self.peak.max(ends.len());
        true
    }
}

/// Sends `per_second` requests to engines that were idle, and says what came of them.
fn surge(per_second: u64) -> String {
    let mut pool = Pool::default();
    for now in 0..SURGE_MS {
        let arrived = |at: u64| at * per_second / 1_000;
        let new = arrived(now + 1) - arrived(now);
        pool.line.extend((0..new).map(|_| now));
        pool.tick(now);
    }
    format!(
        "{per_second}/s: refused {}, longest wait {} ms, most on an engine {}",
        pool.refused, pool.longest_wait_ms, pool.peak
    )
}

#[test]
fn waiting_requests_raise_the_bound() {
    let lines = [40, 100, 200].map(surge);
    expect![[r#"
        40/s: refused 0, longest wait 25 ms, most on an engine 3
        100/s: refused 0, longest wait 70 ms, most on an engine 6
        200/s: refused 0, longest wait 85 ms, most on an engine 13"#]]
    .assert_eq(&lines.join("\n"));
}
