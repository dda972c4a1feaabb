//! Placement on servers of uneven speed, by expected time in place of a number of requests.

mod measures;
mod model;

use self::{
    measures::Measures,
    model::{Load, Replay, Rule},
};
use expect_test::{expect, Expect};

/// Seeds of each replay.
const SEEDS: [u64; 4] = [4_711, 4_712, 4_713, 4_714];

const ENGINES: Load = Load {
    routers: 60,
    servers: 45,
    slots: 24,
    has_engines: true,
    per_s: 350.0,
    work_ms: 600.0,
    sessions: 900,
    hot_share: 0.0,
    slowness: |_, _| 1.0,
    end_ms: 15_005,
};

const PLAIN: Load = Load {
    routers: 60,
    servers: 7,
    slots: 6,
    has_engines: false,
    per_s: 300.0,
    work_ms: 60.0,
    sessions: 1,
    ..ENGINES
};

/// One server of three works faster than the others all the time.
fn three_speeds(server: usize, _ms: u64) -> f64 {
    if server % 3 == 2 {
        0.77
    } else {
        1.0
    }
}

/// 0.15 of the servers are 2.5 times as slow, others every 600 ms.
fn short_spells(server: usize, ms: u64) -> f64 {
    let spell = (ms / 600).wrapping_mul(2_654_435_761) ^ (server as u64).wrapping_mul(40_503_777);
    if spell.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 < (u64::from(u32::MAX) * 15) / 100 {
        2.5
    } else {
        1.0
    }
}

/// 0.3 of the servers are 4 times as slow for 10 s.
fn long_spell(server: usize, ms: u64) -> f64 {
    if server % 10 < 3 && (2_000..12_000).contains(&ms) {
        4.0
    } else {
        1.0
    }
}

fn check(load: Load, expected: &Expect) {
    let rules = [Rule::Count, Rule::OwnReports, Rule::SharedReports];
    let lines = rules.map(|rule| {
        let runs = SEEDS.map(|seed| Replay::new(load, rule, seed).run());
        let measures = runs.into_iter().reduce(Measures::merge);
        format!("{rule:?}: {}\n", measures.expect("a run"))
    });
    expected.assert_eq(&lines.concat());
}

#[test]
fn engines_as_usual() {
    check(
        ENGINES,
        &expect![[r#"
        Count: busiest over mean 1.52 by requests, 1.52 by time; ms 1096 mean, 1900 p99; of 1,000 62.9 moved, 1.6 over the bound, 0.0 rejected
        OwnReports: busiest over mean 1.52 by requests, 1.52 by time; ms 1096 mean, 1900 p99; of 1,000 62.9 moved, 1.6 over the bound, 0.0 rejected
        SharedReports: busiest over mean 1.52 by requests, 1.52 by time; ms 1096 mean, 1900 p99; of 1,000 62.9 moved, 1.6 over the bound, 0.0 rejected
    "#]],
    );
}

#[test]
fn engines_of_three_speeds() {
    check(
        Load {
            slowness: three_speeds,
            ..ENGINES
        },
        &expect![[r#"
            Count: busiest over mean 1.53 by requests, 1.63 by time; ms 965 mean, 1800 p99; of 1,000 65.9 moved, 2.7 over the bound, 0.0 rejected
            OwnReports: busiest over mean 1.45 by requests, 1.55 by time; ms 936 mean, 1715 p99; of 1,000 61.0 moved, 2.7 over the bound, 0.0 rejected
            SharedReports: busiest over mean 1.45 by requests, 1.55 by time; ms 936 mean, 1715 p99; of 1,000 61.0 moved, 2.7 over the bound, 0.0 rejected
        "#]],
    );
}

#[test]
fn engines_slow_for_600_ms() {
    check(
        Load {
            slowness: short_spells,
            ..ENGINES
        },
        &expect![[r#"
            Count: busiest over mean 1.56 by requests, 1.89 by time; ms 1356 mean, 2815 p99; of 1,000 70.7 moved, 2.8 over the bound, 0.0 rejected
            OwnReports: busiest over mean 1.43 by requests, 1.83 by time; ms 1332 mean, 2670 p99; of 1,000 90.2 moved, 1.2 over the bound, 0.0 rejected
            SharedReports: busiest over mean 1.52 by requests, 1.65 by time; ms 1385 mean, 2610 p99; of 1,000 152.6 moved, 1.0 over the bound, 0.0 rejected
        "#]],
    );
}

#[test]
fn engines_slow_for_10_s() {
    check(
        Load {
            slowness: long_spell,
            ..ENGINES
        },
        &expect![[r#"
            Count: busiest over mean 1.75 by requests, 2.50 by time; ms 2330 mean, 9160 p99; of 1,000 81.5 moved, 1.1 over the bound, 0.0 rejected
            OwnReports: busiest over mean 1.58 by requests, 2.49 by time; ms 1964 mean, 8535 p99; of 1,000 79.1 moved, 1.3 over the bound, 0.0 rejected
            SharedReports: busiest over mean 1.58 by requests, 1.71 by time; ms 1619 mean, 5435 p99; of 1,000 107.2 moved, 3.9 over the bound, 0.0 rejected
        "#]],
    );
}

#[test]
fn engines_slow_with_a_hot_session() {
    check(
        Load {
            slowness: long_spell,
            hot_share: 0.1,
            ..ENGINES
        },
        &expect![[r#"
            Count: busiest over mean 1.99 by requests, 2.50 by time; ms 2460 mean, 9080 p99; of 1,000 96.1 moved, 23.2 over the bound, 0.0 rejected
            OwnReports: busiest over mean 1.98 by requests, 2.48 by time; ms 2000 mean, 8365 p99; of 1,000 87.3 moved, 34.0 over the bound, 0.0 rejected
            SharedReports: busiest over mean 2.03 by requests, 1.88 by time; ms 1685 mean, 5330 p99; of 1,000 113.7 moved, 43.5 over the bound, 0.0 rejected
        "#]],
    );
}

#[test]
fn plain_servers_of_three_speeds() {
    check(
        Load {
            slowness: three_speeds,
            ..PLAIN
        },
        &expect![[r#"
            Count: busiest over mean 1.18 by requests, 1.25 by time; ms 62 mean, 130 p99; of 1,000 0.0 moved, 29.7 over the bound, 0.0 rejected
            OwnReports: busiest over mean 1.16 by requests, 1.17 by time; ms 59 mean, 110 p99; of 1,000 0.0 moved, 13.6 over the bound, 0.0 rejected
            SharedReports: busiest over mean 1.16 by requests, 1.17 by time; ms 59 mean, 110 p99; of 1,000 0.0 moved, 13.6 over the bound, 0.0 rejected
        "#]],
    );
}

#[test]
fn plain_servers_slow_for_600_ms() {
    check(
        Load {
            slowness: short_spells,
            ..PLAIN
        },
        &expect![[r#"
            Count: busiest over mean 1.34 by requests, 1.64 by time; ms 89 mean, 405 p99; of 1,000 0.0 moved, 42.8 over the bound, 0.0 rejected
            OwnReports: busiest over mean 1.22 by requests, 1.42 by time; ms 83 mean, 345 p99; of 1,000 0.0 moved, 33.1 over the bound, 0.0 rejected
            SharedReports: busiest over mean 1.26 by requests, 1.50 by time; ms 84 mean, 360 p99; of 1,000 0.0 moved, 32.4 over the bound, 0.0 rejected
        "#]],
    );
}

#[test]
fn plain_servers_slow_for_10_s() {
    check(
        Load {
            slowness: long_spell,
            ..PLAIN
        },
        &expect![[r#"
            Count: busiest over mean 1.75 by requests, 2.37 by time; ms 140 mean, 980 p99; of 1,000 0.0 moved, 45.2 over the bound, 0.4 rejected
            OwnReports: busiest over mean 1.18 by requests, 1.87 by time; ms 94 mean, 415 p99; of 1,000 0.0 moved, 9.9 over the bound, 0.0 rejected
            SharedReports: busiest over mean 1.14 by requests, 1.90 by time; ms 91 mean, 425 p99; of 1,000 0.0 moved, 14.6 over the bound, 0.0 rejected
        "#]],
    );
}
