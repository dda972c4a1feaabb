//! Cold servers whose limit a fleet keeps in virtual time.

use ebonyspur::{
    admission::{FleetPlace, RateLimit, WarmUpBounds, WarmUpShares, WarmUpSlots},
    catalog::{Cold, ServerKey},
    Instant,
};
use expect_test::expect;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Virtual time between two steps, in milliseconds.
const STEP_MS: u64 = 5;

/// Time at which the servers come back cold, in milliseconds.
const BACK_MS: u64 = 1_000;

/// Time for which they stay cold, in milliseconds.
const COLD_MS: u64 = 3_000;

/// Cold servers that come back at once.
const SERVERS: usize = 30;

/// Number of seeds of each case.
const SEEDS: u64 = 4;

const LIMIT: f64 = 17.0;

/// Requests a second that each server would get if none were cold, under 2.5 times the traffic.
const SHARE: f64 = 8.0 * 2.5;

const BOUNDS: WarmUpBounds = WarmUpBounds {
    overshoot: 1.5,
    slack: 5.0,
};

fn limit(per_second: f64) -> RateLimit {
    RateLimit::from_per_second(per_second).expect("a limit")
}

fn time(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// A fleet under load, of which some routers are late or see it differently.
#[derive(Clone, Copy)]
struct Case {
    routers: usize,
    /// Requests a second that would go to each cold server, at least [`SHARE`].
    demand: f64,
    /// Whether all requests go to whatever cold server has room, as these look idle.
    herd: bool,
    /// Longest time until a router knows that the servers are cold, in milliseconds.
    news_ms: u64,
    /// Fraction of the routers that miss the first news and learn it a heartbeat later.
    lost_news: f64,
    /// Fraction of the routers of which each router does not know.
    unknown: f64,
    /// Fraction of the routers that are cut off and keep the place that they last had, in a fleet
    /// that was a tenth smaller.
    cut_off: f64,
    /// Time until which there are no requests, all of which then come at once, in milliseconds.
    pause_ms: u64,
    /// Time by which routers differ about when the servers are warm, in milliseconds.
    skew_ms: u64,
}

const FLEET: Case = Case {
    routers: 122,
    demand: SHARE,
    herd: false,
    news_ms: 200,
    lost_news: 0.0,
    unknown: 0.0,
    cut_off: 0.0,
    pause_ms: 0,
    skew_ms: 100,
};

struct Router {
    learned_ms: u64,
    warm_at: Instant,
    place: FleetPlace,
    shares: WarmUpShares,
}

impl Router {
    fn slots(&self, server: usize) -> (ServerKey, WarmUpSlots) {
        let key = ServerKey((server as u32).wrapping_mul(0x9e37_79b9));
        let cold = Cold {
            warm_at: self.warm_at,
            learned: time(self.learned_ms),
            certain_until: Instant::default(),
        };
        let slots = WarmUpSlots::new(key, cold, limit(LIMIT), BOUNDS, self.place);
        (key, slots)
    }

    /// Returns whether the router sends a request to the server, which it then has done.
    fn sends(&self, server: usize, now: u64) -> bool {
        let (key, slots) = self.slots(server);
        self.shares.use_slot(key, &slots, time(now))
    }
}

fn routers(case: Case, rng: &mut Pcg64Mcg) -> Vec<Router> {
    let router = |index: usize| {
        let mut learned_ms = BACK_MS + rng.random_range(0..=case.news_ms);
        if rng.random_bool(case.lost_news) {
            learned_ms += 1_200;
        }
        let mut place = FleetPlace {
            index,
            size: case.routers,
        };
        if rng.random_bool(case.cut_off) {
            place = FleetPlace {
                index: index * 9 / 10,
                size: (case.routers * 9).div_ceil(10),
            };
        }
        let lower = (0..place.index).filter(|_| rng.random_bool(case.unknown));
        place.index -= lower.count();
        let higher = (place.index + 1..place.size).filter(|_| rng.random_bool(case.unknown));
        place.size -= higher.count();
        Router {
            learned_ms,
            warm_at: time(BACK_MS + COLD_MS + rng.random_range(0..=case.skew_ms)),
            place,
            shares: WarmUpShares::default(),
        }
    };
    (0..case.routers).map(router).collect()
}

/// Runs a case; returns when requests reached each server.
fn run(case: Case, seed: u64) -> Vec<Vec<u64>> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let routers = routers(case, &mut rng);
    let mut arrivals = vec![Vec::new(); SERVERS];
    let mut due = 0.0;
    for now in (BACK_MS..BACK_MS + COLD_MS).step_by(STEP_MS as usize) {
        due += case.demand * SERVERS as f64 * STEP_MS as f64 / 1_000.0;
        while due >= 1.0 && now >= BACK_MS + case.pause_ms {
            due -= 1.0;
            let router = &routers[rng.random_range(0..case.routers)];
            let first = rng.random_range(0..SERVERS);
            if router.learned_ms > now {
                // To this router the server looks as busy as the others.
                if rng.random_bool(SHARE / case.demand) {
                    arrivals[first].push(now);
                }
                continue;
            }
            let tries = if case.herd { SERVERS } else { 1 };
            let mut servers = (first..first + tries).map(|server| server % SERVERS);
            if let Some(server) = servers.find(|server| router.sends(*server, now)) {
                arrivals[server].push(now);
            }
        }
    }
    arrivals
}

/// Runs a case with each seed; describes the most requests in one second and the mean rate.
fn worst(case: Case) -> String {
    let allowed = LIMIT * BOUNDS.overshoot + BOUNDS.slack;
    let (mut most, mut total) = (0, 0);
    for seed in 0..SEEDS {
        for arrivals in run(case, seed) {
            total += arrivals.len();
            for first in &arrivals {
                let in_1_s = |at: &&u64| **at >= *first && **at < first + 1_000;
                most = most.max(arrivals.iter().filter(in_1_s).count());
            }
        }
    }
    assert!(most as f64 <= allowed, "{most} in 1 s, allowed {allowed}");
    let seconds = SEEDS as f64 * SERVERS as f64 * COLD_MS as f64 / 1_000.0;
    let mean = total as f64 / seconds;
    format!("{most} in 1 s of {allowed:.1} allowed, {mean:.1}/s")
}

#[test]
fn a_fleet_keeps_the_limit_of_cold_servers_and_uses_it() {
    let herd = Case {
        herd: true,
        demand: 2.5 * SHARE,
        ..FLEET
    };
    let cases = [
        ("sessions", FLEET),
        ("idle servers attract all requests", herd),
        (
            "more routers",
            Case {
                routers: 195,
                ..herd
            },
        ),
        ("few routers", Case { routers: 6, ..herd }),
        ("two routers", Case { routers: 2, ..herd }),
        (
            "news lost",
            Case {
                lost_news: 0.3,
                ..herd
            },
        ),
        (
            "routers unknown",
            Case {
                unknown: 0.1,
                ..herd
            },
        ),
        (
            "routers cut off",
            Case {
                cut_off: 0.2,
                ..herd
            },
        ),
        (
            "burst after a pause",
            Case {
                pause_ms: 1_500,
                ..herd
            },
        ),
        (
            "burst after a pause, routers cut off",
            Case {
                pause_ms: 1_500,
                cut_off: 0.2,
                ..herd
            },
        ),
        (
            "news late",
            Case {
                news_ms: 1_500,
                skew_ms: 1_500,
                ..herd
            },
        ),
    ];
    let lines = cases.map(|(name, case)| format!("{name}: {}", worst(case)));
    expect![[r#"
        sessions: 8 in 1 s of 30.5 allowed, 2.0/s
        idle servers attract all requests: 18 in 1 s of 30.5 allowed, 11.0/s
        more routers: 16 in 1 s of 30.5 allowed, 10.8/s
        few routers: 17 in 1 s of 30.5 allowed, 11.3/s
        two routers: 16 in 1 s of 30.5 allowed, 11.3/s
        news lost: 23 in 1 s of 30.5 allowed, 11.9/s
        routers unknown: 26 in 1 s of 30.5 allowed, 10.3/s
        routers cut off: 19 in 1 s of 30.5 allowed, 11.3/s
        burst after a pause: 23 in 1 s of 30.5 allowed, 8.9/s
        burst after a pause, routers cut off: 30 in 1 s of 30.5 allowed, 9.1/s
        news late: 27 in 1 s of 30.5 allowed, 13.1/s"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_router_uses_each_of_its_slots_once_and_names_the_time_until_the_next() {
    let cold = Cold {
        warm_at: time(10_000),
        learned: time(5_000),
        certain_until: Instant::default(),
    };
    let place = FleetPlace { index: 0, size: 20 };
    let slots = WarmUpSlots::new(ServerKey(0), cold, limit(LIMIT), BOUNDS, place);
    let shares = WarmUpShares::default();
    let mut lines = Vec::new();
    for ms in [5_000, 6_000, 6_001, 7_000, 9_500, 9_999, 10_000] {
        let wait = shares.wait(ServerKey(0), &slots, time(ms));
        let used = [(); 2].map(|()| shares.use_slot(ServerKey(0), &slots, time(ms)));
        lines.push(format!("{ms}: wait {wait:?}, used {used:?}"));
    }
    expect![[r#"
        5000: wait 1.384181s, used [false, false]
        6000: wait 384.181ms, used [false, false]
        6001: wait 383.181ms, used [false, false]
        7000: wait 0ns, used [true, false]
        9500: wait 500ms, used [false, false]
        9999: wait 1ms, used [false, false]
        10000: wait 0ns, used [true, false]"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_time_that_moves_a_little_gives_no_slot_twice() {
    let place = FleetPlace { index: 3, size: 20 };
    let shares = WarmUpShares::default();
    let mut used = Vec::new();
    for ms in (5_000..8_000).step_by(10) {
        let cold = Cold {
            warm_at: time(8_000 + 37 * (ms / 10 % 9)),
            learned: time(5_000),
            certain_until: Instant::default(),
        };
        let slots = WarmUpSlots::new(ServerKey(7), cold, limit(LIMIT), BOUNDS, place);
        if shares.use_slot(ServerKey(7), &slots, time(ms)) {
            used.push(ms);
        }
    }
    expect!["[5310, 7110]"].assert_eq(&format!("{used:?}"));
}

#[test]
fn a_limit_that_the_bounds_leave_no_room_for_gives_no_slots() {
    let cold = Cold {
        warm_at: time(10_000),
        learned: time(1_000),
        certain_until: Instant::default(),
    };
    let strict = WarmUpBounds {
        overshoot: 1.0,
        slack: 0.0,
    };
    let place = FleetPlace { index: 0, size: 1 };
    let shares = WarmUpShares::default();
    let limits = [(0.0, BOUNDS), (1.0, strict), (1e9, BOUNDS)];
    let waits = limits.map(|(per_second, bounds)| {
        let slots = WarmUpSlots::new(ServerKey(1), cold, limit(per_second), bounds, place);
        shares.wait(ServerKey(1), &slots, time(2_000))
    });
    expect!["[8s, 8s, 0ns]"].assert_eq(&format!("{waits:?}"));
}
