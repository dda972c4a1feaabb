//! Limits that servers name, at one router and kept by a fleet in virtual time.

use std::{collections::VecDeque, time::Duration};

use ebonyspur::{
    admission::{LimitReport, RateLimit, ServerLimits},
    catalog::Server,
    DomainName, EngineName, Incarnation, Instant, PoolName,
};
use expect_test::expect;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Virtual time between two steps, in milliseconds.
const STEP_MS: u64 = 10;

/// Virtual time that one run simulates, in milliseconds.
const END_MS: u64 = 30_000;

/// Time from which the server names its limit, in milliseconds.
const LIMITED_FROM_MS: u64 = 2_000;

/// Time after which the limit is due to be kept, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// Time between two digests of a router, in milliseconds.
const DIGEST_MS: u64 = 300;

/// Fraction of the digests that are lost.
const LOSS: f64 = 0.05;

/// Time from a request to the response that names the limit, in milliseconds.
const RESPONSE_MS: u64 = 80;

/// Number of seeds of each case.
const SEEDS: u64 = 6;

fn server() -> Server {
    Server {
        name: EngineName::new("e1").unwrap(),
        pool: PoolName::new("writers").unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: DomainName::new("d1").unwrap(),
        incarnation: Incarnation(1),
        slots: 64,
        leaving: false,
    }
}

fn limit(per_second: f64) -> Option<RateLimit> {
    RateLimit::from_per_second(per_second)
}

fn time(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Returns how long a router without news of others waits, if it may not send.
fn wait(limits: &ServerLimits, ms: u64) -> Option<Duration> {
    limits.waits([], time(ms)).get(&server().key()).copied()
}

#[test]
fn a_limit_that_is_used_up_names_the_time_to_return_and_ends_with_a_response_without_it() {
    let limits = ServerLimits::default();
    let mut lines = Vec::new();
    limits.record_response(&server(), None, time(500));
    lines.push(format!("unlimited: known {}", !limits.is_empty()));
    limits.record_response(&server(), limit(2.0), time(1_000));
    for number in 0..4 {
        lines.push(format!("{number} sent: {:?}", wait(&limits, 1_000)));
        limits.record_sent(server().key(), time(1_000));
    }
    lines.push(format!("2 s later: {:?}", wait(&limits, 3_000)));
    limits.record_response(&server(), None, time(1_200));
    lines.push(format!("overtaken: {:?}", wait(&limits, 1_200)));
    limits.record_response(&server(), None, time(1_600));
    lines.push(format!("ended: {:?}", wait(&limits, 1_600)));
    expect![[r#"
        unlimited: known false
        0 sent: None
        1 sent: None
        2 sent: None
        3 sent: Some(286.201687ms)
        2 s later: None
        overtaken: Some(661.565832ms)
        ended: None"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn malformed_limits_are_none_and_a_limit_of_zero_leaves_a_trial_a_minute() {
    let values = [f64::NAN, -1.0, f64::INFINITY, 0.0, 2.7];
    let read = values.map(|value| limit(value).map(RateLimit::per_second));
    expect!["[None, None, Some(4294967.295), Some(0.0), Some(2.7)]"]
        .assert_eq(&format!("{read:?}"));
    let limits = ServerLimits::default();
    let mut sent = Vec::new();
    for second in 1..150 {
        limits.record_response(&server(), limit(0.0), time(second * 1_000));
        if wait(&limits, second * 1_000).is_none() {
            limits.record_sent(server().key(), time(second * 1_000));
            sent.push(second);
        }
    }
    expect!["[1, 61, 122]"].assert_eq(&format!("{sent:?}"));
}

/// A fleet, one limited server, and the demand for it.
#[derive(Clone, Copy)]
struct Case {
    routers: usize,
    /// Requests a second that would go to the server.
    demand: f64,
    limit: f64,
    /// The limit from half of the time on.
    later_limit: Option<f64>,
    /// Whether a router restarts at 10 s.
    restart: bool,
}

const FIRST_SITE: Case = Case {
    routers: 18,
    demand: 7.0,
    limit: 3.5,
    later_limit: Some(3.5),
    restart: false,
};

struct Router {
    limits: ServerLimits,
    /// Latest reports of each other router and when they were received.
    reports: Vec<(Vec<LimitReport>, u64)>,
}

impl Router {
    fn new(count: usize) -> Self {
        Router {
            limits: ServerLimits::default(),
            reports: vec![Default::default(); count],
        }
    }

    fn may_send(&self, now: u64) -> bool {
        let others = self.reports.iter().flat_map(|(reports, at)| {
            let age = Duration::from_millis(now - at);
            reports.iter().map(move |report| (report, age))
        });
        !self
            .limits
            .waits(others, time(now))
            .contains_key(&server().key())
    }
}

/// Runs a case; returns when requests reached the server.
fn run(case: Case, seed: u64) -> Vec<u64> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut routers: Vec<_> = (0..case.routers)
        .map(|_| Router::new(case.routers))
        .collect();
    let mut arrivals = Vec::new();
    let mut responses: VecDeque<(u64, usize)> = VecDeque::new();
    for now in (STEP_MS..END_MS).step_by(STEP_MS as usize) {
        if case.restart && now == 10_000 {
            routers[0] = Router::new(case.routers);
        }
        while responses.front().is_some_and(|(at, _)| *at <= now) {
            let (at, router) = responses.pop_front().expect("a response");
            let in_force = match at {
                0..LIMITED_FROM_MS => None,
                _ if at < END_MS / 2 => limit(case.limit),
                _ => case.later_limit.and_then(limit),
            };
            routers[router]
                .limits
                .record_response(&server(), in_force, time(now));
        }
        for from in 0..case.routers {
            if !(now + 17 * from as u64 * STEP_MS).is_multiple_of(DIGEST_MS) {
                continue;
            }
            let reports = routers[from].limits.reports(time(now));
            for to in (0..case.routers).filter(|to| *to != from) {
                if !rng.random_bool(LOSS) {
                    routers[to].limits.receive(&reports, time(now));
                    routers[to].reports[from] = (reports.clone(), now);
                }
            }
        }
        if rng.random_bool(case.demand * STEP_MS as f64 / 1_000.0) {
            let router = rng.random_range(0..case.routers);
            if routers[router].may_send(now) {
                routers[router]
                    .limits
                    .record_sent(server().key(), time(now));
                arrivals.push(now);
                responses.push_back((now + RESPONSE_MS, router));
            }
        }
    }
    arrivals
}

/// Runs a case with each seed; describes the most requests in 4 s and the least use of the limit.
fn worst(case: Case) -> String {
    let allowed = 1.5 * 4.0 * case.limit.max(case.later_limit.unwrap_or_default()) + 5.0;
    let (mut most, mut least_rate) = (0, f64::MAX);
    for seed in 0..SEEDS {
        let arrivals = run(case, seed);
        let end = if case.later_limit.is_some() {
            END_MS
        } else {
            END_MS / 2
        };
        let from = LIMITED_FROM_MS + BOUND_MS;
        let bound: Vec<_> = arrivals
            .iter()
            .filter(|at| (from..end).contains(at))
            .collect();
        for first in &bound {
            let in_4_s = bound
                .iter()
                .filter(|at| *at >= first && **at - **first < 4_000);
            most = most.max(in_4_s.count());
        }
        least_rate = least_rate.min(bound.len() as f64 / ((end - from) as f64 / 1_000.0));
    }
    assert!(most as f64 <= allowed, "{most} in 4 s, allowed {allowed}");
    format!("{most} in 4 s of {allowed:.1} allowed, at least {least_rate:.2}/s")
}

#[test]
fn a_fleet_keeps_the_limit_of_a_server_and_uses_it() {
    let cases = [
        ("first deployments", FIRST_SITE),
        (
            "low limit",
            Case {
                limit: 0.3,
                later_limit: Some(0.3),
                ..FIRST_SITE
            },
        ),
        (
            "burst",
            Case {
                demand: 35.0,
                ..FIRST_SITE
            },
        ),
        (
            "high limit",
            Case {
                demand: 80.0,
                limit: 40.0,
                later_limit: Some(40.0),
                ..FIRST_SITE
            },
        ),
        (
            "lower later",
            Case {
                later_limit: Some(1.5),
                ..FIRST_SITE
            },
        ),
        (
            "ends",
            Case {
                later_limit: None,
                ..FIRST_SITE
            },
        ),
        (
            "a router restarts",
            Case {
                restart: true,
                ..FIRST_SITE
            },
        ),
        (
            "many routers",
            Case {
                routers: 140,
                ..FIRST_SITE
            },
        ),
    ];
    let lines = cases.map(|(name, case)| format!("{name}: {}", worst(case)));
    expect![[r#"
        first deployments: 16 in 4 s of 26.0 allowed, at least 2.92/s
        low limit: 4 in 4 s of 6.8 allowed, at least 0.16/s
        burst: 20 in 4 s of 26.0 allowed, at least 3.52/s
        high limit: 168 in 4 s of 245.0 allowed, at least 38.32/s
        lower later: 15 in 4 s of 26.0 allowed, at least 1.80/s
        ends: 15 in 4 s of 26.0 allowed, at least 2.80/s
        a router restarts: 15 in 4 s of 26.0 allowed, at least 2.88/s
        many routers: 16 in 4 s of 26.0 allowed, at least 2.92/s"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn all_routers_learn_that_a_limit_has_ended() {
    let case = Case {
        later_limit: None,
        ..FIRST_SITE
    };
    for seed in 0..SEEDS {
        let arrivals = run(case, seed);
        let last = arrivals.iter().filter(|at| **at >= END_MS - 5_000).count();
        assert!(
            last as f64 >= 0.5 * 5.0 * case.demand,
            "seed {seed}: {last} requests in the last 5 s"
        );
    }
}

#[test]
fn the_limit_of_a_server_that_is_gone_is_forgotten() {
    let limits = ServerLimits::default();
    limits.record_response(&server(), limit(2.0), time(1_000));
    let is_known = [60_000, 121_500].map(|ms| {
        limits.reports(time(ms));
        !limits.is_empty()
    });
    expect!["[true, false]"].assert_eq(&format!("{is_known:?}"));
}

#[test]
fn a_server_that_rejects_requests_gets_none_for_the_time_that_it_names() {
    let limits = ServerLimits::default();
    let mut lines = Vec::new();
    limits.record_rejection(&server(), Duration::from_secs(3), time(1_000));
    for ms in [1_000, 3_999, 4_000] {
        lines.push(format!("{ms}: {:?}", wait(&limits, ms)));
    }
    limits.record_rejection(&server(), Duration::from_secs(3), time(5_000));
    limits.record_response(&server(), None, time(5_100));
    let others = limits.reports(time(5_100)).len();
    lines.push(format!(
        "response to an earlier request: {:?}, reported to {others} others",
        wait(&limits, 5_100)
    ));
    limits.record_rejection(&server(), Duration::MAX, time(10_000));
    lines.push(format!("without end: {:?}", wait(&limits, 10_000)));
    limits.record_response(&server(), limit(0.0), time(69_000));
    limits.record_sent(server().key(), time(69_000));
    limits.record_sent(server().key(), time(69_000));
    let is_longer = wait(&limits, 69_000) > Some(Duration::from_secs(1));
    lines.push(format!("with a limit that waits longer: {is_longer}"));
    expect![[r#"
        1000: Some(3s)
        3999: Some(1ms)
        4000: None
        response to an earlier request: Some(2.9s), reported to 0 others
        without end: Some(60s)
        with a limit that waits longer: true"#]]
    .assert_eq(&lines.join("\n"));
}
