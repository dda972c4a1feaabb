//! A surge on idle engines must raise the load bound, so that free slots are used.

use ebonyspur::{
    membership::PoolLoad,
    steward::{cautious_factor, load_bound, with_waiting},
};
use expect_test::expect;

/// Maximum number of requests that each of the two engines serves at once.
const SLOTS_PER_ENGINE: usize = 16;
/// Time to serve a request.
const SERVICE_MS: u64 = 100;
/// Time after which a waiting request is refused.
const QUEUE_TIMEOUT_MS: u64 = 5_000;
/// Delay of load reports.
const REPORT_DELAY_MS: usize = 1_000;
/// Duration of the surge.
const SURGE_MS: u64 = 20_000;

/// Two engines with one steward and a queue.
#[derive(Default)]
struct Pool {
    /// Requests in flight at the end of each millisecond.
    history: Vec<u32>,
    ends: [Vec<u64>; 2],
    queue: Vec<u64>,
    refused: u64,
    longest_wait_ms: u64,
    peak: usize,
}

impl Pool {
    fn tick(&mut self, now: u64) {
        for ends in &mut self.ends {
            ends.retain(|end| *end > now);
        }
        let before = self.queue.len();
        self.queue.retain(|since| now - since < QUEUE_TIMEOUT_MS);
        self.refused += (before - self.queue.len()) as u64;
        while !self.queue.is_empty() && self.place(now) {
            let since = self.queue.remove(0);
            self.longest_wait_ms = self.longest_wait_ms.max(now - since);
        }
        let in_flight: usize = self.ends.iter().map(Vec::len).sum();
        self.history.push(in_flight as u32);
    }

    fn place(&mut self, now: u64) -> bool {
        let reported_at = self.history.len().checked_sub(REPORT_DELAY_MS);
        let in_flight = reported_at.map_or(0, |at| self.history[at]);
        let load = PoolLoad::new(in_flight, 2);
        let load = with_waiting(load, self.queue.len() as u32);
        let bound = load_bound(load, cautious_factor(load, 1.25)) as usize;
        let least_loaded = self.ends.iter_mut().min_by_key(|ends| ends.len());
        let ends = least_loaded.expect("two engines");
        if ends.len() >= bound.min(SLOTS_PER_ENGINE) {
            return false;
        }
        ends.push(now + SERVICE_MS);
        self.peak = self.peak.max(ends.len());
        true
    }
}

/// Sends `per_second` requests per second to idle engines, and summarizes the result.
fn surge(per_second: u64) -> String {
    let mut pool = Pool::default();
    for now in 0..SURGE_MS {
        let arrived = |at: u64| at * per_second / 1_000;
        let new = arrived(now + 1) - arrived(now);
        pool.queue.extend((0..new).map(|_| now));
        pool.tick(now);
    }
    format!(
        "{per_second}/s: refused {}, longest wait {} ms, most on an engine {}",
        pool.refused, pool.longest_wait_ms, pool.peak
    )
}

#[test]
fn waiting_requests_raise_the_bound() {
    let results = [40, 100, 200].map(surge);
    expect![[r#"
        40/s: refused 0, longest wait 25 ms, most on an engine 3
        100/s: refused 0, longest wait 70 ms, most on an engine 6
        200/s: refused 0, longest wait 85 ms, most on an engine 13"#]]
    .assert_eq(&results.join("\n"));
}
